"""Parses the text of an operator file, written in a subset of CUE (grammar.lark), into a syntax tree."""

import json
import re
from collections.abc import Iterator
from functools import cache
from importlib.resources import files
from typing import TYPE_CHECKING, cast

from gullhold.operator.errors import Location, OperatorFileError
from gullhold.operator.nodes import (
    Alternative,
    Alternatives,
    Bound,
    Conjunction,
    Constant,
    Field,
    LabelKind,
    ListNode,
    Node,
    OpenListNode,
    RecordNode,
    Reference,
    ScalarType,
)

if TYPE_CHECKING:  # slow to import, and needed only with an operator file
    from lark import Lark, Tree
    from lark.exceptions import UnexpectedInput

DURATION_UNITS_US = {
    "ns": 1e-3,
    "us": 1,
    "ms": 1000,
    "s": 1_000_000,
    "min": 60_000_000,
    "h": 3_600_000_000,
}
MULTIPLIERS = {"K": 10**3, "M": 10**6, "G": 10**9, "Ki": 2**10, "Mi": 2**20, "Gi": 2**30}
UNIT_PATTERN = re.compile(r"[A-Za-z]+\Z")
INT_PATTERN = re.compile(r"[-+]?[0-9]+")
EXPONENT_SIGNS = ("e", "E")
END_OF_FILE = "$END"  # Lark's name of the token at the end of the input


def parse(source: str, file_name: str) -> RecordNode:
    """Parse the text of a file into its top-level record. Raises OperatorFileError for a syntax error.

    file_name: stated in the locations of errors.
    """
    from lark.exceptions import UnexpectedInput  # noqa: PLC0415

    try:
        tree = _lark_parser().parse(source)
    except UnexpectedInput as error:
        raise _syntax_error(error, source, file_name) from None
    return RecordNode(tuple(_parse_fields(tree, file_name)), Location(file_name, 1, 1))


@cache
def _lark_parser() -> "Lark":
    from lark import Lark  # noqa: PLC0415

    grammar = files("gullhold.operator").joinpath("grammar.lark").read_text("utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def _syntax_error(error: "UnexpectedInput", source: str, file_name: str) -> OperatorFileError:
    from lark.exceptions import UnexpectedCharacters, UnexpectedToken  # noqa: PLC0415

    if error.line and error.line > 0:
        location = Location(file_name, error.line, error.column)
    else:  # Lark gives no line for an error at the end of the file
        location = Location(file_name, source.count("\n") + 1, len(source) - source.rfind("\n"))
    unexpected = "the end of the file"
    if isinstance(error, UnexpectedCharacters):
        unexpected = repr(source[cast("int", error.pos_in_stream)])
    elif isinstance(error, UnexpectedToken) and error.token.type != END_OF_FILE:
        unexpected = repr(str(error.token)) if error.token.strip() else "the end of the line"
    return OperatorFileError(location, (), f"{unexpected} is not expected here")


def _location(tree: "Tree", file_name: str) -> Location:
    return Location(file_name, getattr(tree.meta, "line", 1), getattr(tree.meta, "column", 1))


def _subtrees(tree: "Tree") -> list["Tree"]:
    """Return a tree's children that are trees, without its tokens."""
    return [child for child in tree.children if hasattr(child, "data")]


def _parse_fields(tree: "Tree", file_name: str) -> Iterator[Field]:
    for child in _subtrees(tree):
        if child.data == "field":
            yield _parse_field(child, file_name)


def _parse_field(tree: "Tree", file_name: str) -> Field:
    label_tree, value_tree = tree.children
    label = LabelKind(label_tree.data)
    location = _location(label_tree, file_name)
    is_optional = len(label_tree.children) > 1
    match label:
        case LabelKind.EVERY:
            name: str | Node = _parse_node(label_tree.children[0], file_name)
            is_optional = False
        case LabelKind.QUOTED:
            name = _parse_string(str(label_tree.children[0]), location)
        case LabelKind.NAMED:
            name = str(label_tree.children[0])
    if value_tree.data == "field":  # "a: b: c" is short for "a: {b: c}"
        node: Node = RecordNode((_parse_field(value_tree, file_name),), _location(value_tree, file_name))
    else:
        node = _parse_node(value_tree, file_name)
    return Field(label, name, is_optional, node, location)


def _parse_node(tree: "Tree", file_name: str) -> Node:  # noqa: C901  one short case for each rule of the grammar
    location = _location(tree, file_name)
    subtrees = _subtrees(tree)
    is_single = len(subtrees) == 1
    match tree.data:
        case "either" | "both" if is_single and subtrees[0].data != "preferred":
            return _parse_node(subtrees[0], file_name)
        case "either":
            return Alternatives(tuple(_parse_alternative(child, file_name) for child in subtrees), location)
        case "both":
            return Conjunction(tuple(_parse_node(child, file_name) for child in subtrees), location)
        case "number":
            return _parse_number(str(tree.children[0]), location)
        case "string":
            return Constant(ScalarType.STRING, _parse_string(str(tree.children[0]), location), location)
        case "name":
            return _parse_name(str(tree.children[0]), location)
        case "bound":
            return Bound(str(tree.children[0]), _parse_node(subtrees[-1], file_name), location)
        case "record":
            return RecordNode(tuple(_parse_fields(tree, file_name)), location)
        case "rest":
            return OpenListNode(_parse_node(subtrees[0], file_name), location)
        case "list":
            return ListNode(tuple(_parse_node(child, file_name) for child in subtrees), location)
        case _:
            raise AssertionError(f"the parser has no case for the grammar's rule {tree.data}")


def _parse_alternative(tree: "Tree", file_name: str) -> Alternative:
    is_default = tree.data == "preferred"
    return Alternative(is_default, _parse_node(tree.children[0] if is_default else tree, file_name))


def _parse_name(name: str, location: Location) -> Constant | Reference:
    if name in ("true", "false"):
        return Constant(ScalarType.BOOL, name == "true", location)
    return Reference(name, location)


def _parse_string(text: str, location: Location) -> str:
    try:
        return json.loads(text)
    except ValueError:
        raise OperatorFileError(location, (), f"{text} is not a valid JSON string") from None


def _parse_number(text: str, location: Location) -> Constant:
    """Parse an int, a float, an int with a multiplier (64Ki) or a duration (250ms)."""
    unit_match = UNIT_PATTERN.search(text)
    if unit_match is None or unit_match.group() in EXPONENT_SIGNS:
        if INT_PATTERN.fullmatch(text):
            return Constant(ScalarType.INT, int(text), location)
        return Constant(ScalarType.FLOAT, float(text), location)
    unit = unit_match.group()
    amount = float(text[: unit_match.start()])
    if unit in DURATION_UNITS_US:
        return Constant(ScalarType.DURATION, round(amount * DURATION_UNITS_US[unit]), location)
    value = amount * MULTIPLIERS[unit]
    if value % 1:
        raise OperatorFileError(location, (), f"{text} is not a whole number")
    return Constant(ScalarType.INT, round(value), location)
