"""Unification: what the schema allows and what the operator wrote become one concrete value, or a fault.

A value is one of Scalar, Record, Row (a list) or Either. unify() is commutative but for the wording of
faults; concrete() takes defaults and asks for what is still missing.
"""

import operator
import re
from difflib import get_close_matches
from typing import NamedTuple

from gullhold.operator.text import OperatorFileError, Place

TYPES = {
    "int": ("int",),
    "float": ("int", "float"),
    "number": ("int", "float"),
    "string": ("string",),
    "bool": ("bool",),
    "duration": ("duration",),
}
COMPARE = {
    ">": operator.gt,
    ">=": operator.ge,
    "<": operator.lt,
    "<=": operator.le,
    "!=": operator.ne,
    "=~": lambda value, form: re.search(form, value) is not None,
}
DEPTH_MOST = 64  # records in records: guards against a definition that holds itself
ABSENT = object()


class Scalar(NamedTuple):
    """A plain value or what is known of it: allowed types (None: any), bounds (op, kind, value, words)."""

    types: frozenset | None
    bounds: tuple
    value: object
    place: Place


class Record(NamedTuple):
    """Fields by name: (value, optional); every: [(names, value)] for the rest; closed: no other names."""

    fields: dict
    every: tuple
    closed: bool
    place: Place


class Row(NamedTuple):
    """A list: its items, None where not said; every: what each must be."""

    items: tuple | None
    every: object
    place: Place


class Either(NamedTuple):
    """Alternatives: (preferred, value)."""

    parts: tuple
    place: Place


class Scope:
    """Evaluates nodes under a file's definitions (names that begin with #)."""

    def __init__(self, *roots):
        self.named = {
            name: (node, place)
            for root in roots
            for label, name, _, node, place in root.facts
            if label == "named" and name.startswith("#")
        }

    def value(self, node, path=(), depth=0):
        """What a node stands for."""
        if depth > DEPTH_MOST:
            raise OperatorFileError(node.place, path, "definitions that hold themselves")
        kind, facts, place = node
        if kind == "value":
            return Scalar(frozenset((facts[0],)), (), facts[1], place)
        if kind == "name":
            return self._named(facts[0], place, path, depth)
        if kind == "bound":
            limit = concrete(self.value(facts[1], path, depth + 1), path)
            limits = facts[1].facts[0] if facts[1].kind == "value" else "int"
            types = TYPES.get(limits, (limits,)) if limits not in ("int", "float") else ("int", "float")
            return Scalar(
                None if facts[0] == "!=" else frozenset(types),
                ((facts[0], limit, f"{facts[0]}{shown(limits, limit)}"),),
                ABSENT,
                place,
            )
        if kind == "either":
            return Either(tuple((first, self.value(part, path, depth + 1)) for first, part in facts), place)
        if kind == "both":
            found = self.value(facts[0], path, depth + 1)
            for part in facts[1:]:
                found = unify(found, self.value(part, path, depth + 1), path)
            return found
        if kind == "record":
            return self._record(facts, place, path, depth, closed=False)
        if kind == "rest":
            return Row(None, self.value(facts[0], path, depth + 1), place)
        return Row(
            tuple(self.value(part, (*path, str(i)), depth + 1) for i, part in enumerate(facts)), None, place
        )

    def _named(self, name, place, path, depth):
        if name in TYPES:
            return Scalar(frozenset(TYPES[name]), (), ABSENT, place)
        if name not in self.named:
            known = [*TYPES, *self.named, "true", "false"]
            raise OperatorFileError(place, path, f"{name} is not known{nearest(name, known)}")
        node, _ = self.named[name]
        if node.kind == "record":  # a definition is closed
            return self._record(node.facts, node.place, path, depth + 1, closed=True)
        return self.value(node, path, depth + 1)

    def _record(self, facts, place, path, depth, closed):
        fields, every = {}, []
        for label, name, optional, node, at in facts:
            if label == "named" and name.startswith("#"):
                continue
            inner = (*path, "[]" if label == "every" else name)
            value = self.value(node, inner, depth + 1)
            if label == "every":
                every.append((self.value(name, inner, depth + 1), value))
                continue
            if name in fields:
                fields[name] = unify(fields[name][0], value, inner), optional and fields[name][1], at
                continue
            fields[name] = value, optional, at
        return Record(fields, tuple(every), closed and not every, place)


def nearest(word, known):
    """A hint at the nearest known name, or nothing."""
    close = get_close_matches(word, list(known), n=1, cutoff=0.5)
    return f"; did you mean {close[0]}?" if close else ""


def shown(kind, value):
    """A value as it would be written."""
    if kind == "duration":
        for unit, size in (("h", 3_600_000_000), ("min", 60_000_000), ("s", 1_000_000), ("ms", 1000)):
            if value and value % size == 0:
                return f"{value // size}{unit}"
        return f"{value}us"
    return f'"{value}"' if kind == "string" else str(value).lower() if kind == "bool" else str(value)


def kinds(types):
    """Types in words."""
    return " or ".join(sorted(types)) if types else "anything"


def unify(one, other, path):
    """What satisfies both; one is the schema's where the wording of errors depends on it.

    Raises OperatorFileError.
    """
    if isinstance(one, Either) or isinstance(other, Either):
        return _either(one, other, path)
    if type(one) is not type(other):
        raise OperatorFileError(other.place, path, f"{_what(other)} where {_what(one)} must stand")
    if isinstance(one, Scalar):
        return _scalar(one, other, path)
    if isinstance(one, Row):
        return _row(one, other, path)
    return _records(one, other, path)


def _what(value):
    if isinstance(value, Scalar):
        return kinds(value.types)
    return "a record" if isinstance(value, Record) else "a list" if isinstance(value, Row) else "alternatives"


def _scalar(one, other, path):
    types = (
        one.types if other.types is None else other.types if one.types is None else one.types & other.types
    )
    if types is not None and not types:
        raise OperatorFileError(other.place, path, f"{_what(other)} where {kinds(one.types)} must stand")
    if one.value is not ABSENT and other.value is not ABSENT and one.value != other.value:
        word = shown(next(iter(one.types)), one.value)
        raise OperatorFileError(
            other.place, path, f"{shown(next(iter(other.types)), other.value)} is not {word}"
        )
    held = one if one.value is not ABSENT else other
    found = Scalar(types, one.bounds + other.bounds, held.value, other.place)
    if found.value is not ABSENT:
        for op, limit, words in found.bounds:
            try:
                good = COMPARE[op](found.value, limit)
            except TypeError:
                good = op == "!="
            if not good:
                value = shown(next(iter(types)), found.value)
                raise OperatorFileError(held.place, path, f"{value} is not {words}")
    return found


def _either(one, other, path):
    firsts = one.parts if isinstance(one, Either) else ((False, one),)
    seconds = other.parts if isinstance(other, Either) else ((False, other),)
    any_first = any(first for first, _ in (*firsts, *seconds))
    parts, faults = [], []
    for first, left in firsts:
        for second, right in seconds:
            try:
                parts.append((any_first and (first or second), unify(left, right, path)))
            except OperatorFileError as fault:
                faults.append(fault)
    if not parts:
        # Most is said by an alternative that took the type and broke a bound, least by another constant.
        faults.sort(
            key=lambda fault: (
                " must stand" in fault.text,
                fault.text.count(" is not ") > 0 and fault.text.rsplit(" is not ", 1)[1][:1] not in "<>=!",
            )
        )
        if len(faults) > 1 and all(" is not " in fault.text for fault in faults):
            bounds = [fault.text.split(" is not ", 1)[1] for fault in faults]
            value = faults[0].text.split(" is not ", 1)[0]
            raise OperatorFileError(
                faults[0].place, path, f"{value} is not {' or '.join(dict.fromkeys(bounds))}"
            )
        raise faults[0]
    place = other.place if not isinstance(other, Either) else one.place
    return parts[0][1] if len(parts) == 1 else Either(tuple(parts), place)


def _row(one, other, path):
    if one.items is not None and other.items is not None and len(one.items) != len(other.items):
        raise OperatorFileError(
            other.place, path, f"{len(other.items)} items where {len(one.items)} must stand"
        )
    rules = [row.every for row in (one, other) if row.every is not None]
    items = one.items if other.items is None else other.items
    if items is not None:
        if one.items is not None and other.items is not None:
            items = [
                unify(left, right, (*path, str(i)))
                for i, (left, right) in enumerate(zip(one.items, other.items, strict=True))
            ]
        for rule in rules:
            items = [unify(rule, item, (*path, str(i))) for i, item in enumerate(items)]
        items = tuple(items)
    every = rules[0] if len(rules) == 1 else unify(*rules, (*path, "[]")) if rules else None
    return Row(items, every, other.place)


def _records(one, other, path):
    fields = {}
    for mine, theirs in ((one, other), (other, one)):
        for name, (value, optional, at) in theirs.fields.items():
            if name in fields:
                continue
            if name in mine.fields:
                left, right = (one, other)
                fields[name] = (
                    unify(left.fields[name][0], right.fields[name][0], (*path, name)),
                    left.fields[name][1] and right.fields[name][1],
                    right.fields[name][2],
                )
                continue
            rules = [rule for names, rule in mine.every if _fits(names, name)]
            if mine.closed or mine.every and not rules:
                raise OperatorFileError(at, (*path, name), f"not a known name{nearest(name, mine.fields)}")
            held = value
            for rule in rules:
                held = unify(rule, held, (*path, name)) if mine is one else unify(held, rule, (*path, name))
            fields[name] = held, optional, at
    return Record(fields, one.every + other.every, one.closed or other.closed, other.place)


def _fits(names, name):
    try:
        unify(names, Scalar(frozenset(("string",)), (), name, names.place), ())
    except OperatorFileError:
        return False
    return True


def concrete(value, path=()):
    """Plain Python: numbers (durations in us), strings, dicts and lists; defaults taken.

    Raises OperatorFileError.
    """
    if isinstance(value, Either):
        firsts = [part for first, part in value.parts if first]
        known = firsts or [part for _, part in value.parts]
        if len(known) > 1 and len({repr(_plain(part, path)) for part in known}) > 1:
            raise OperatorFileError(value.place, path, "must be said: there is no default")
        return concrete(known[0], path)
    if isinstance(value, Scalar):
        if value.value is ABSENT:
            raise OperatorFileError(
                value.place,
                path,
                f"must be said: {kinds(value.types)}" + "".join(f" {words}" for _, _, words in value.bounds),
            )
        return value.value
    if isinstance(value, Row):
        return [concrete(item, (*path, str(i))) for i, item in enumerate(value.items or ())]
    return {
        name: concrete(inner, (*path, name))
        for name, (inner, optional, _) in value.fields.items()
        if not (optional and _open(inner))
    }


def _plain(part, path):
    return part if _open(part) else concrete(part, path)


def _open(value):
    """Whether a field that may be left out was left out."""
    if isinstance(value, Scalar):
        return value.value is ABSENT
    if isinstance(value, Either):
        return not any(first for first, _ in value.parts) and all(_open(part) for _, part in value.parts)
    if isinstance(value, Row):
        return value.items is None
    return any(_open(inner) for inner, optional, _ in value.fields.values() if not optional)


def root(nodes, closed=False):
    """The value of a file's top record under its own definitions; closed: no other names may be added."""
    return Scope(nodes).value(nodes)._replace(closed=closed)
