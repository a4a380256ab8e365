"""Unifies two values, such as the schema's and the file's, into the value that satisfies both, as CUE does.

unify() is commutative except for the text and the location of errors.
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
COMPARISON_SIGNS = "<>=!"  # first characters of the operators above
# Parts of the texts of errors, by which _most_specific() tells one kind of error from another.
VIOLATION = " is not "  # between a value and the bound or constant that it violates
TYPE_MISMATCH = " is expected"  # at the end, for a value of another type or a list of another length


def unify(expected: Value, found: Value, path: Path) -> Value:
    """Return the value that satisfies both values. Raises OperatorFileError if there is none.

    Errors name the location of `found`, which is the file's value, and state `expected`, the schema's value,
    as the requirement. path: the value's path, for errors.
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
    raise OperatorFileError(found.location, path, f"{describe(found)} where {describe(expected)} is expected")


def _unify_scalars(expected: Scalar, found: Scalar, path: Path) -> Scalar:
    types = _common_types(expected, found)
    if types is not None and not types:
        text = f"{describe(found)} where {format_types(expected.types)} is expected"
        raise OperatorFileError(found.location, path, text)
    are_both_known = expected.value is not ABSENT and found.value is not ABSENT
    if are_both_known and expected.value != found.value:
        text = f"{_format_known(found)} is not {_format_known(expected)}"
        raise OperatorFileError(found.location, path, text)
    known = found if expected.value is ABSENT else expected
    unified = Scalar(types, expected.bounds + found.bounds, known.value, found.location)
    if unified.value is not ABSENT:
        for bound in unified.bounds:
            if not _is_within(unified.value, bound):
                raise OperatorFileError(known.location, path, f"{_format_known(unified)} is not {bound.text}")
    return unified


def _common_types(first: Scalar, second: Scalar) -> frozenset[ScalarType] | None:
    """Return the types that both scalars allow; None: any type, empty: they have none in common."""
    if first.types is None:
        return second.types
    if second.types is None:
        return first.types
    return first.types & second.types


def _format_known(scalar: Scalar) -> str:
    """Return a scalar that is not ABSENT, and so has one type, in the syntax of a file."""
    return format_scalar(next(iter(cast("frozenset[ScalarType]", scalar.types))), scalar.value)


def _is_within(value: Any, bound: ValueBound) -> bool:
    try:
        return bool(COMPARISONS[bound.operator](value, bound.limit))
    except TypeError:  # values of these two types can't be compared
        return bound.operator == "!="


def _unify_choices(expected: Value, found: Value, path: Path) -> Value:
    """Unify each alternative of one value with each of the other; those that can be unified remain."""
    expected_choices = _choices(expected)
    found_choices = _choices(found)
    has_default = any(choice.is_default for choice in (*expected_choices, *found_choices))
    unified: list[Choice] = []
    errors: list[OperatorFileError] = []
    for left in expected_choices:
        for right in found_choices:
            is_default = has_default and (left.is_default or right.is_default)
            try:
                unified.append(Choice(is_default, unify(left.value, right.value, path)))
            except OperatorFileError as error:
                errors.append(error)
    if not unified:
        raise _most_specific(errors, path)
    if len(unified) == 1:
        return unified[0].value
    location = expected.location if isinstance(found, Choices) else found.location
    return Choices(tuple(unified), location)


def _choices(value: Value) -> tuple[Choice, ...]:
    return value.choices if isinstance(value, Choices) else (Choice(False, value),)


def _most_specific(errors: list[OperatorFileError], path: Path) -> OperatorFileError:
    """Return the error to report if no alternative can be unified with a value.

    A violated bound is preferred to a different constant, and both to a wrong type. If all errors are
    violated bounds or different constants, they are combined into one that names all allowed values.
    """
    errors = sorted(errors, key=lambda error: (TYPE_MISMATCH in error.text, _is_other_constant(error)))
    first = errors[0]
    if len(errors) == 1 or any(VIOLATION not in error.text for error in errors):
        return first
    value = first.text.split(VIOLATION, 1)[0]
    requirements = dict.fromkeys(error.text.split(VIOLATION, 1)[1] for error in errors)
    return OperatorFileError(first.location, path, f"{value} is not {' or '.join(requirements)}")


def _is_other_constant(error: OperatorFileError) -> bool:
    """Whether the error says that a value differs from a constant, not that it violates a bound."""
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
    return List(items, item_rule, found.location)


def _common_items(expected: List, found: List, path: Path) -> tuple[Value, ...] | None:
    if expected.items is None:
        return found.items
    if found.items is None:
        return expected.items
    if len(expected.items) != len(found.items):
        text = f"{len(found.items)} items where a list of {len(expected.items)} is expected"
        raise OperatorFileError(found.location, path, text)
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
    return Record(fields, expected.rules + found.rules, expected.is_closed or found.is_closed, found.location)


def _unify_fields(expected: RecordField, found: RecordField, path: Path) -> RecordField:
    value = unify(expected.value, found.value, path)
    return RecordField(value, expected.is_optional and found.is_optional, found.location)


def _rules_for(record: Record, name: str, field: RecordField, path: Path) -> list[Value]:
    """Return the values of a record's name rules that match a field which the record does not have itself.

    Raises OperatorFileError if the record does not allow a field of this name.
    """
    rules = [rule.value for rule in record.rules if _matches(rule.names, name)]
    if record.is_closed or (record.rules and not rules):
        raise OperatorFileError(field.location, path, f"not a known name{suggestion(name, record.fields)}")
    return rules


def _matches(names: Value, name: str) -> bool:
    """Whether a field's name satisfies the constraint of a name rule."""
    try:
        unify(names, Scalar(frozenset((ScalarType.STRING,)), (), name, names.location), ())
    except OperatorFileError:
        return False
    return True
