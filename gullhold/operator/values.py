"""Values of nodes, which may still be partly unknown, and their text in errors."""

from collections.abc import Iterable
from difflib import get_close_matches
from typing import Any, NamedTuple, TypeAlias

from gullhold.operator.errors import Place
from gullhold.operator.nodes import ScalarType

NUMBER_TYPES = frozenset((ScalarType.INT, ScalarType.FLOAT))
TYPES_BY_NAME = {
    "int": frozenset((ScalarType.INT,)),
    "float": NUMBER_TYPES,
    "number": NUMBER_TYPES,
    "string": frozenset((ScalarType.STRING,)),
    "bool": frozenset((ScalarType.BOOL,)),
    "duration": frozenset((ScalarType.DURATION,)),
}
DURATION_UNITS_US = {"h": 3_600_000_000, "min": 60_000_000, "s": 1_000_000, "ms": 1000}  # the largest first
SIMILARITY = 0.5  # of an unknown name to a known one, from which on it is taken for a typing error
ABSENT: Any = object()  # the value of a scalar with only types and bounds


class ValueBound(NamedTuple):
    """A comparison that a value has to satisfy. text: for errors."""

    operator: str
    limit: Any
    text: str


class Scalar(NamedTuple):
    """A scalar value, or ABSENT, and its constraints. types: None: any."""

    types: frozenset[ScalarType] | None
    bounds: tuple[ValueBound, ...]
    value: Any
    place: Place


class RecordField(NamedTuple):
    """A field of a record."""

    value: "Value"
    is_optional: bool
    place: Place


class NameRule(NamedTuple):
    """The constraint on fields whose names fulfil a condition."""

    names: "Value"
    value: "Value"


class Record(NamedTuple):
    """Fields by name, and rules for others. is_closed: no other fields may be added."""

    fields: dict[str, RecordField]
    rules: tuple[NameRule, ...]
    is_closed: bool
    place: Place


class List(NamedTuple):
    """A list. items: None if they are not stated; item_rule: the constraint on each item, None: none."""

    items: tuple["Value", ...] | None
    item_rule: "Value | None"
    place: Place


class Choice(NamedTuple):
    """One of several alternatives."""

    is_default: bool
    value: "Value"


class Choices(NamedTuple):
    """Alternatives, one of which will be chosen."""

    choices: tuple[Choice, ...]
    place: Place


Value: TypeAlias = Scalar | Record | List | Choices


def suggestion(name: str, known_names: Iterable[str]) -> str:
    """Return a hint at the most similar known name, empty if none is similar."""
    nearest = get_close_matches(name, list(known_names), n=1, cutoff=SIMILARITY)
    return f"; did you mean {nearest[0]}?" if nearest else ""


def format_scalar(scalar_type: ScalarType, value: Any) -> str:
    """Return a value in the syntax of a file."""
    match scalar_type:
        case ScalarType.DURATION:
            return _format_duration(value)
        case ScalarType.STRING:
            return f'"{value}"'
        case ScalarType.BOOL:
            return str(value).lower()
        case _:
            return str(value)


def _format_duration(duration_us: int) -> str:
    for unit, unit_us in DURATION_UNITS_US.items():
        if duration_us and duration_us % unit_us == 0:
            return f"{duration_us // unit_us}{unit}"
    return f"{duration_us}us"


def format_types(types: Iterable[ScalarType] | None) -> str:
    """Return types in words."""
    return " or ".join(sorted(types)) if types else "anything"


def describe(value: Value) -> str:
    """Return the kind of a value in words."""
    match value:
        case Scalar():
            return format_types(value.types)
        case Record():
            return "a record"
        case List():
            return "a list"
        case Choices():
            return "alternatives"
