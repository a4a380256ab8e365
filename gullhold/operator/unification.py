"""Unification of two values, such as the schema's and the file's, into the value that satisfies both.

unify() is commutative except for the text of errors.
"""

import operator
import re
from typing import Any, cast

from gullhold.operator.errors import OperatorFileError
from gullhold.operator.nodes import ScalarType
from gullhold.operator.values import (
    ABSENT,
    Choice,
    Choices,
    List,
    Record,
    RecordField,
    Scalar,
    Value,
    ValueBound,
    describe,
    format_scalar,
    format_types,
    suggestion,
)

Path = tuple[str, ...]  # the names of the fields that lead to a value

COMPARISONS = {
    ">": operator.gt,
    ">=": operator.ge,
    "<": operator.lt,
    "<=": operator.le,
    "!=": operator.ne,
    "=~": lambda value, pattern: re.search(pattern, value) is not None,
}
COMPARISON_SIGNS = "<>=!"
# In the texts of errors.
VIOLATION = " is not "  # between a value and its constraint
TYPE_MISMATCH = " must stand"  # for a value of another type, or a list of another length


def unify(expected: Value, found: Value, path: Path) -> Value:
    """Return the value that satisfies both. Raises OperatorFileError if there is none.

    The text and the place of errors assume that the first is the schema's and the second the file's.
    """
    match expected, found:
        case (Choices(), _) | (_, Choices()):
            return _unify_choices(expected, found, path)
        case Scalar(), Scalar():
            return _unify_scalars(expected, found, path)
        case List(), List():
            return _unify_lists(expected, found, path)
        case Record(), Record():
            return _unify_records(expected, found, path)
    raise OperatorFileError(found.place, path, f"{describe(found)} where {describe(expected)} must stand")


def _unify_scalars(expected: Scalar, found: Scalar, path: Path) -> Scalar:
    types = _common_types(expected, found)
    if types is not None and not types:
        text = f"{describe(found)} where {format_types(expected.types)} must stand"
        raise OperatorFileError(found.place, path, text)
    are_both_known = expected.value is not ABSENT and found.value is not ABSENT
    if are_both_known and expected.value != found.value:
        text = f"{_format_known(found)} is not {_format_known(expected)}"
        raise OperatorFileError(found.place, path, text)
    known = found if expected.value is ABSENT else expected
    unified = Scalar(types, expected.bounds + found.bounds, known.value, found.place)
    if unified.value is not ABSENT:
        for bound in unified.bounds:
            if not _is_within(unified.value, bound):
                raise OperatorFileError(known.place, path, f"{_format_known(unified)} is not {bound.text}")
    return unified


def _common_types(first: Scalar, second: Scalar) -> frozenset[ScalarType] | None:
    if first.types is None:
        return second.types
    if second.types is None:
        return first.types
    return first.types & second.types


def _format_known(scalar: Scalar) -> str:
    """Return a known value, which has one type, in the syntax of a file."""
    return format_scalar(next(iter(cast("frozenset[ScalarType]", scalar.types))), scalar.value)


def _is_within(value: Any, bound: ValueBound) -> bool:
    try:
        return bool(COMPARISONS[bound.operator](value, bound.limit))
    except TypeError:  # values of types that have no order
        return bound.operator == "!="


def _unify_choices(expected: Value, found: Value, path: Path) -> Value:
    """Unify each alternative of one value with each of the other; those that can be unified remain."""
    expected_choices = _choices(expected)
    found_choices = _choices(found)
    has_default = any(choice.is_default for choice in (*expected_choices, *found_choices))
    fitting: list[Choice] = []
    errors: list[OperatorFileError] = []
    for left in expected_choices:
        for right in found_choices:
            is_default = has_default and (left.is_default or right.is_default)
            try:
                fitting.append(Choice(is_default, unify(left.value, right.value, path)))
            except OperatorFileError as error:
                errors.append(error)
    if not fitting:
        raise _most_specific(errors, path)
    if len(fitting) == 1:
        return fitting[0].value
    place = expected.place if isinstance(found, Choices) else found.place
    return Choices(tuple(fitting), place)


def _choices(value: Value) -> tuple[Choice, ...]:
    return value.choices if isinstance(value, Choices) else (Choice(False, value),)


def _most_specific(errors: list[OperatorFileError], path: Path) -> OperatorFileError:
    """Choose the error to report if no alternative can be unified.

    A violated bound of an alternative of the right type is the most specific error, another constant the
    least. If all are violations, they are combined into one error that names all allowed values.
    """
    errors = sorted(errors, key=lambda error: (TYPE_MISMATCH in error.text, _is_other_constant(error)))
    first = errors[0]
    if len(errors) == 1 or any(VIOLATION not in error.text for error in errors):
        return first
    value = first.text.split(VIOLATION, 1)[0]
    requirements = dict.fromkeys(error.text.split(VIOLATION, 1)[1] for error in errors)
    return OperatorFileError(first.place, path, f"{value} is not {' or '.join(requirements)}")


def _is_other_constant(error: OperatorFileError) -> bool:
    """Whether a value was compared with a constant, not with a bound."""
    if VIOLATION not in error.text:
        return False
    requirement = error.text.rsplit(VIOLATION, 1)[1]
    return requirement[:1] not in COMPARISON_SIGNS


def _unify_lists(expected: List, found: List, path: Path) -> List:
    items = _common_items(expected, found, path)
    rules = [rule for rule in (expected.item_rule, found.item_rule) if rule is not None]
    if items is not None:
        for rule in rules:
            items = tuple(unify(rule, item, (*path, str(i))) for i, item in enumerate(items))
    item_rule = rules[0] if rules else None
    if len(rules) > 1:
        item_rule = unify(cast("Value", expected.item_rule), cast("Value", found.item_rule), (*path, "[]"))
    return List(items, item_rule, found.place)


def _common_items(expected: List, found: List, path: Path) -> tuple[Value, ...] | None:
    if expected.items is None:
        return found.items
    if found.items is None:
        return expected.items
    if len(expected.items) != len(found.items):
        text = f"{len(found.items)} items where {len(expected.items)} must stand"
        raise OperatorFileError(found.place, path, text)
    pairs = zip(expected.items, found.items, strict=True)
    return tuple(unify(left, right, (*path, str(i))) for i, (left, right) in enumerate(pairs))


def _unify_records(expected: Record, found: Record, path: Path) -> Record:
    fields: dict[str, RecordField] = {}
    for name, field in found.fields.items():
        inner_path = (*path, name)
        if name in expected.fields:
            fields[name] = _unify_fields(expected.fields[name], field, inner_path)
        else:
            value = field.value
            for rule in _rules_for(expected, name, field, inner_path):
                value = unify(rule, value, inner_path)
            fields[name] = field._replace(value=value)
    for name, field in expected.fields.items():
        if name in fields:
            continue
        inner_path = (*path, name)
        value = field.value
        for rule in _rules_for(found, name, field, inner_path):
            value = unify(value, rule, inner_path)
        fields[name] = field._replace(value=value)
    return Record(fields, expected.rules + found.rules, expected.is_closed or found.is_closed, found.place)


def _unify_fields(expected: RecordField, found: RecordField, path: Path) -> RecordField:
    value = unify(expected.value, found.value, path)
    return RecordField(value, expected.is_optional and found.is_optional, found.place)


def _rules_for(record: Record, name: str, field: RecordField, path: Path) -> list[Value]:
    """Return a record's constraints on a field that it does not have itself.

    Raises OperatorFileError if it does not allow the field.
    """
    rules = [rule.value for rule in record.rules if _fits(rule.names, name)]
    if record.is_closed or (record.rules and not rules):
        raise OperatorFileError(field.place, path, f"not a known name{suggestion(name, record.fields)}")
    return rules


def _fits(names: Value, name: str) -> bool:
    """Whether a field's name fulfils a condition on names."""
    try:
        unify(names, Scalar(frozenset((ScalarType.STRING,)), (), name, names.place), ())
    except OperatorFileError:
        return False
    return True
