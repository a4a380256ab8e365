"""The syntax tree of an operator file. Each node has its place in the file."""

from enum import Enum, StrEnum
from typing import NamedTuple, TypeAlias, cast

from gullhold.operator.errors import Place


class ScalarType(StrEnum):
    """Types of a scalar value; a duration is in integer microseconds."""

    INT = "int"
    FLOAT = "float"
    STRING = "string"
    BOOL = "bool"
    DURATION = "duration"


class LabelKind(Enum):
    """How a field's name was written; the values are the grammar's names of these labels."""

    NAMED = "named"  # name:
    QUOTED = "quoted"  # "name":
    EVERY = "every"  # [condition]: a rule for all names that fulfil it


class Constant(NamedTuple):
    """A scalar value."""

    type: ScalarType
    value: int | float | str | bool
    place: Place


class Reference(NamedTuple):
    """The name of a type or of a definition."""

    name: str
    place: Place


class Bound(NamedTuple):
    """A comparison that a value has to satisfy, such as >=1."""

    operator: str
    operand: "Node"
    place: Place


class Alternative(NamedTuple):
    """One of several alternatives."""

    is_default: bool
    node: "Node"


class Alternatives(NamedTuple):
    """Alternatives, such as *1 | int."""

    alternatives: tuple[Alternative, ...]
    place: Place


class Conjunction(NamedTuple):
    """Conditions that all hold, such as int & >=1."""

    operands: tuple["Node", ...]
    place: Place


class Field(NamedTuple):
    """A field of a record. name: for LabelKind.EVERY the condition on names, a node."""

    label: LabelKind
    name: "str | Node"
    is_optional: bool
    node: "Node"
    place: Place

    def is_definition(self) -> bool:
        """Whether it defines a name (#name) instead of a field."""
        return self.label is LabelKind.NAMED and cast("str", self.name).startswith("#")


class RecordNode(NamedTuple):
    """A record, {name: value, ...}."""

    fields: tuple[Field, ...]
    place: Place


class ListNode(NamedTuple):
    """A list of the given items, [1, 2]."""

    items: tuple["Node", ...]
    place: Place


class OpenListNode(NamedTuple):
    """A list of any number of items that fulfil a condition, [...int]."""

    item: "Node"
    place: Place


Node: TypeAlias = (
    Constant | Reference | Bound | Alternatives | Conjunction | RecordNode | ListNode | OpenListNode
)
