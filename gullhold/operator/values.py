"""Values of nodes, which may not be concrete yet (only constraints), and their text in errors."""

from collections.abc import Iterable
from difflib import get_close_matches
from typing import Any, NamedTuple, TypeAlias

from gullhold.operator.errors import Location
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
DURATION_UNITS_US = {"h": 3_600_000_000, "min": 60_000_000, "s": 1_000_000, "ms": 1000}  # largest first
MIN_SIMILARITY = 0.5  # smallest difflib ratio at which a known name is suggested for an unknown one
ABSENT: Any = object()  # the value of a scalar of which only types and bounds are stated


class ValueBound(NamedTuple):
    """A comparison that a value has to satisfy. text: as written in a file, such as >=1, for errors."""

    operator: str
    limit: Any
    text: str


class Scalar(NamedTuple):
    """A scalar value, or ABSENT, and the constraints on it. types: the allowed types, None: any."""

    types: frozenset[ScalarType] | None
    bounds: tuple[ValueBound, ...]
    value: Any
    location: Location


class RecordField(NamedTuple):
    """The value of a field of a record; is_optional: the field may be left out."""

    value: "Value"
    is_optional: bool
    location: Location


class NameRule(NamedTuple):
    """A rule for the fields of certain names. names: constraint on the names; value: on their values."""

    names: "Value"
    value: "Value"


class Record(NamedTuple):
    """A record. rules: those for fields of other names; is_closed: fields of other names are not allowed."""

    fields: dict[str, RecordField]
    rules: tuple[NameRule, ...]
    is_closed: bool
    location: Location


class List(NamedTuple):
    """A list. items: None if none are stated; item_rule: a constraint on each item, None: no constraint."""

    items: tuple["Value", ...] | None
    item_rule: "Value | None"
    location: Location


class Choice(NamedTuple):
    """One of the alternatives of Choices; is_default: it is chosen if nothing else decides."""

    is_default: bool
    value: "Value"


class Choices(NamedTuple):
    """Alternatives of which one will be chosen: by unification with another value, or as the default."""

    choices: tuple[Choice, ...]
    location: Location


Value: TypeAlias = Scalar | Record | List | Choices


def suggestion(name: str, known_names: Iterable[str]) -> str:
    """Return the end of an error that suggests the most similar known name; empty if none is similar."""
    nearest = get_close_matches(name, list(known_names), n=1, cutoff=MIN_SIMILARITY)
    return f"; did you mean {nearest[0]}?" if nearest else ""


def format_scalar(scalar_type: ScalarType, value: Any) -> str:
    """Return a scalar value in the syntax of a file; a duration in the largest unit that divides it."""
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
    """Return the names of types for an error, joined by "or"; None or no type: "anything"."""
    return " or ".join(sorted(types)) if types else "anything"


def describe(value: Value) -> str:
    """Return what kind of value it is, for an error about a wrong type."""
    match value:
        case Scalar():
            return format_types(value.types)
        case Record():
            return "a record"
        case List():
            return "a list"
        case Choices():
            return "alternatives"
