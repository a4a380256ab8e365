"""From the text of an operator file to a tree of nodes, each with the place where it stands."""

import json
import re
from functools import cache
from importlib.resources import files
from typing import NamedTuple

DURATIONS_US = {"ns": 1e-3, "us": 1, "ms": 1000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
SIZES = {"K": 10**3, "M": 10**6, "G": 10**9, "Ki": 2**10, "Mi": 2**20, "Gi": 2**30}
UNIT = re.compile(r"[A-Za-z]+\Z")


class Place(NamedTuple):
    """Where something stands: file name, line and column from 1."""

    file: str
    line: int
    column: int

    def __str__(self):
        return f"{self.file}:{self.line}:{self.column}"


class OperatorFileError(Exception):
    """A file that can't be used; the text is one plain line with its place and path."""

    def __init__(self, place, path, text):
        super().__init__(": ".join(part for part in (str(place), ".".join(path), text) if part))
        self.place, self.path, self.text = place, path, text


class Node(NamedTuple):
    """One thing that was written: kind, its facts, and its place."""

    kind: str
    facts: tuple
    place: Place


@cache
def _parser():
    from lark import Lark  # noqa: PLC0415  only those who name an operator file need it

    grammar = files("gullhold.operator").joinpath("grammar.lark").read_text("utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def number(word, place):
    """(kind, value) of a number: int, float, or a duration in whole us."""
    unit = UNIT.search(word)
    if not unit or word[unit.start() :] in ("e", "E"):
        return ("int", int(word)) if re.fullmatch(r"[-+]?[0-9]+", word) else ("float", float(word))
    amount, unit = float(word[: unit.start()]), unit.group()
    if unit in DURATIONS_US:
        return "duration", round(amount * DURATIONS_US[unit])
    if amount * SIZES[unit] % 1:
        raise OperatorFileError(place, (), f"{word} is no whole number")
    return "int", round(amount * SIZES[unit])


def parse(text, file):
    """The nodes of a file: a Node "record" whose facts are fields (label kind, name, optional, Node, place).

    Raises OperatorFileError with the place of what can't be read.
    """
    from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken  # noqa: PLC0415

    try:
        tree = _parser().parse(text)
    except UnexpectedInput as fault:
        line, column = (
            (fault.line, fault.column)
            if fault.line and fault.line > 0
            else (text.count("\n") + 1, len(text) - text.rfind("\n"))
        )
        shown = "the end of the file"
        if isinstance(fault, UnexpectedCharacters):
            shown = repr(text[fault.pos_in_stream])
        elif isinstance(fault, UnexpectedToken) and fault.token.type != "$END":
            shown = repr(str(fault.token)) if fault.token.strip() else "the end of the line"
        raise OperatorFileError(Place(file, line, column), (), f"{shown} can't stand here") from None
    return Node("record", tuple(_fields(tree, file)), Place(file, 1, 1))


def _place(tree, file):
    meta = tree.meta
    return Place(file, getattr(meta, "line", 1), getattr(meta, "column", 1))


def _fields(tree, file):
    for part in tree.children:
        if getattr(part, "data", "") != "field":
            continue
        label, value = part.children
        place, optional, name = _place(label, file), len(label.children) > 1, None
        if label.data == "every":
            name = _node(label.children[0], file)
            optional = False
        else:
            name = str(label.children[0])
            name = _text(name, place) if label.data == "quoted" else name
        if value.data == "field":  # a: b: c is a: {b: c}
            holder = type(part)("record", [value], value.meta)
            node = Node("record", tuple(_fields(holder, file)), _place(value, file))
        else:
            node = _node(value, file)
        yield label.data, name, optional, node, place


def _text(word, place):
    try:
        return json.loads(word)
    except ValueError:
        raise OperatorFileError(place, (), f"{word} is no string") from None


def _node(tree, file):
    place, kind = _place(tree, file), str(tree.data)
    parts = [part for part in tree.children if hasattr(part, "data")]
    if kind in ("either", "both") and len(parts) == 1 and parts[0].data != "preferred":
        return _node(parts[0], file)
    if kind == "either":
        return Node(
            "either",
            tuple(
                (
                    part.data == "preferred",
                    _node(part.children[0] if part.data == "preferred" else part, file),
                )
                for part in parts
            ),
            place,
        )
    if kind == "number":
        return Node("value", number(str(tree.children[0]), place), place)
    if kind == "string":
        return Node("value", ("string", _text(str(tree.children[0]), place)), place)
    if kind == "name":
        word = str(tree.children[0])
        if word in ("true", "false"):
            return Node("value", ("bool", word == "true"), place)
        return Node("name", (word,), place)
    if kind == "bound":
        return Node("bound", (str(tree.children[0]), _node(parts[-1], file)), place)
    if kind == "record":
        return Node("record", tuple(_fields(tree, file)), place)
    return Node(kind, tuple(_node(part, file) for part in parts), place)
