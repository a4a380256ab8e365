"""What nodes stand for: values that may still be partly unknown, and their wording in errors."""

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
SIMILARITY = 0.5  # of a name to a known one, from which on it is taken for a slip of the pen
ABSENT: Any = object()  # the value of a scalar of which only types and bounds are known


class ValueBound(NamedTuple):
    """A comparison that a value has to pass. text: as an error shows it."""

    operator: str
    limit: Any
    text: str


class Scalar(NamedTuple):
    """A plain value, or ABSENT, and what it must fulfil. types: None: any."""

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
    """What the fields hold whose names fulfil a condition."""

    names: "Value"
    value: "Value"


class Record(NamedTuple):
    """Fields by name, and rules for others. is_closed: no other names may be added."""

    fields: dict[str, RecordField]
    rules: tuple[NameRule, ...]
    is_closed: bool
    place: Place


class List(NamedTuple):
    """A list. items: None where they are not stated; item_rule: what each must fulfil, None: anything."""

    items: tuple["Value", ...] | None
    item_rule: "Value | None"
    place: Place


class Choice(NamedTuple):
    """One of several alternatives."""

    is_default: bool
    value: "Value"


class Choices(NamedTuple):
    """Alternatives of which one will hold."""

    choices: tuple[Choice, ...]
    place: Place


Value: TypeAlias = Scalar | Record | List | Choices


def suggestion(name: str, known_names: Iterable[str]) -> str:
    """Return a hint at the nearest known name, empty where none is near."""
    nearest = get_close_matches(name, list(known_names), n=1, cutoff=SIMILARITY)
    return f"; did you mean {nearest[0]}?" if nearest else ""


def format_scalar(scalar_type: ScalarType, value: Any) -> str:
    """Return a value as it would be written in a file."""
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
