"""The nodes of an operator file's syntax tree, each with its location in the file for errors."""

from enum import Enum, StrEnum
from typing import NamedTuple, TypeAlias, cast

from gullhold.operator.errors import Location


class ScalarType(StrEnum):
    """Types of a scalar value, by their names in a file; a duration is kept in integer microseconds."""

    INT = "int"
    FLOAT = "float"
    STRING = "string"
    BOOL = "bool"
    DURATION = "duration"


class LabelKind(Enum):
    """How the part of a field before its colon is written; the values are the names in grammar.lark."""

    NAMED = "named"  # name:
    QUOTED = "quoted"  # "name":
    EVERY = "every"  # [constraint]: a rule for all fields whose names satisfy the constraint


class Constant(NamedTuple):
    """A literal, such as 64Ki, 2.5s, "a" or true; value: with its unit applied, durations in us."""

    type: ScalarType
    value: int | float | str | bool
    location: Location


class Reference(NamedTuple):
    """The name of a type, such as int, or of a definition, such as #Client, in place of a value."""

    name: str
    location: Location


class Bound(NamedTuple):
    """A comparison that a value has to satisfy, such as >=1; operator: >=, <=, !=, =~, > or <."""

    operator: str
    operand: "Node"
    location: Location


class Alternative(NamedTuple):
    """One operand of Alternatives; is_default: it is marked with *."""

    is_default: bool
    node: "Node"


class Alternatives(NamedTuple):
    """Alternatives, of which a value has to satisfy one, such as *1 | int."""

    alternatives: tuple[Alternative, ...]
    location: Location


class Conjunction(NamedTuple):
    """Constraints that a value has to satisfy together, such as int & >=1."""

    operands: tuple["Node", ...]
    location: Location


class Field(NamedTuple):
    """A field of a record.

    name: for LabelKind.EVERY the node of the constraint on names, else the name; is_optional: the name is
    followed by ?, so that the field may be left out.
    """

    label: LabelKind
    name: "str | Node"
    is_optional: bool
    node: "Node"
    location: Location

    def is_definition(self) -> bool:
        """Whether it defines a name (#name) for references, and is not part of the record."""
        return self.label is LabelKind.NAMED and cast("str", self.name).startswith("#")


class RecordNode(NamedTuple):
    """A record, {name: value, ...}; a name may occur more than once."""

    fields: tuple[Field, ...]
    location: Location


class ListNode(NamedTuple):
    """A list of the given items, such as [1, 2]."""

    items: tuple["Node", ...]
    location: Location


class OpenListNode(NamedTuple):
    """A list of any number of items that satisfy a constraint, such as [...int]."""

    item: "Node"
    location: Location


Node: TypeAlias = (
    Constant | Reference | Bound | Alternatives | Conjunction | RecordNode | ListNode | OpenListNode
)
