"""Evaluates the syntax tree of a file to values, and converts concrete values to plain Python objects."""

from typing import Any, cast, overload

from gullhold.operator.errors import OperatorFileError
from gullhold.operator.nodes import (
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
from gullhold.operator.unification import Path, unify
from gullhold.operator.values import (
    ABSENT,
    NUMBER_TYPES,
    TYPES_BY_NAME,
    Choice,
    Choices,
    List,
    NameRule,
    Record,
    RecordField,
    Scalar,
    Value,
    ValueBound,
    format_scalar,
    format_types,
    suggestion,
)

MAX_DEPTH = 64  # nested nodes; guards against a definition that contains itself
EVERY_FIELD = "[]"  # stands in the path of an error for all fields that a name rule matches


def evaluate_file(root: RecordNode, is_closed: bool = False) -> Record:
    """Return the value of a file's top-level record. Raises OperatorFileError.

    is_closed: unification rejects fields that the record does not have; set for schemas.
    """
    return Evaluator(root).evaluate(root)._replace(is_closed=is_closed)


class Evaluator:
    """Evaluates the nodes of one file, with its definitions (names that begin with #)."""

    def __init__(self, root: RecordNode) -> None:
        self._definitions = {
            cast("str", field.name): field.node for field in root.fields if field.is_definition()
        }

    @overload
    def evaluate(self, node: RecordNode, path: Path = (), depth: int = 0) -> Record: ...

    @overload
    def evaluate(self, node: Node, path: Path = (), depth: int = 0) -> Value: ...

    def evaluate(self, node: Node, path: Path = (), depth: int = 0) -> Value:
        """Return the value of a node. Raises OperatorFileError.

        path: field names that lead to the node, for errors; depth: number of nodes around it.
        """
        if depth > MAX_DEPTH:
            raise OperatorFileError(
                node.location,
                path,
                "definitions refer to themselves, or values are nested too deep: "
                f"more than {MAX_DEPTH} levels",
            )
        match node:
            case Constant():
                return Scalar(frozenset((node.type,)), (), node.value, node.location)
            case Reference():
                return self._evaluate_reference(node, path, depth)
            case Bound():
                return self._evaluate_bound(node, path, depth)
            case Alternatives():
                return self._evaluate_alternatives(node, path, depth)
            case Conjunction():
                return self._evaluate_conjunction(node, path, depth)
            case RecordNode():
                return self._evaluate_record(node, path, depth, is_closed=False)
            case OpenListNode():
                return List(None, self.evaluate(node.item, path, depth + 1), node.location)
            case ListNode():
                return self._evaluate_list(node, path, depth)

    def _evaluate_reference(self, node: Reference, path: Path, depth: int) -> Value:
        if node.name in TYPES_BY_NAME:
            return Scalar(TYPES_BY_NAME[node.name], (), ABSENT, node.location)
        if node.name not in self._definitions:
            known_names = [*TYPES_BY_NAME, *self._definitions, "true", "false"]
            text = f"{node.name} is not known{suggestion(node.name, known_names)}"
            raise OperatorFileError(node.location, path, text)
        definition = self._definitions[node.name]
        if isinstance(definition, RecordNode):  # records in definitions are closed
            return self._evaluate_record(definition, path, depth + 1, is_closed=True)
        return self.evaluate(definition, path, depth + 1)

    def _evaluate_bound(self, node: Bound, path: Path, depth: int) -> Scalar:
        limit = concretize(self.evaluate(node.operand, path, depth + 1), path)
        limit_type = node.operand.type if isinstance(node.operand, Constant) else ScalarType.INT
        bound = ValueBound(node.operator, limit, f"{node.operator}{format_scalar(limit_type, limit)}")
        if node.operator == "!=":
            types = None
        elif limit_type in NUMBER_TYPES:
            types = NUMBER_TYPES
        else:
            types = frozenset((limit_type,))
        return Scalar(types, (bound,), ABSENT, node.location)

    def _evaluate_alternatives(self, node: Alternatives, path: Path, depth: int) -> Choices:
        choices = (
            Choice(alternative.is_default, self.evaluate(alternative.node, path, depth + 1))
            for alternative in node.alternatives
        )
        return Choices(tuple(choices), node.location)

    def _evaluate_conjunction(self, node: Conjunction, path: Path, depth: int) -> Value:
        first, *others = node.operands
        value = self.evaluate(first, path, depth + 1)
        for operand in others:
            value = unify(value, self.evaluate(operand, path, depth + 1), path)
        return value

    def _evaluate_list(self, node: ListNode, path: Path, depth: int) -> List:
        items = (self.evaluate(item, (*path, str(i)), depth + 1) for i, item in enumerate(node.items))
        return List(tuple(items), None, node.location)

    def _evaluate_record(self, node: RecordNode, path: Path, depth: int, is_closed: bool) -> Record:
        fields: dict[str, RecordField] = {}
        rules: list[NameRule] = []
        for field in node.fields:
            if field.is_definition():
                continue
            if field.label is LabelKind.EVERY:
                rules.append(self._evaluate_rule(field, path, depth))
                continue
            name = cast("str", field.name)
            inner_path = (*path, name)
            value = self.evaluate(field.node, inner_path, depth + 1)
            is_optional = field.is_optional
            earlier = fields.get(name)
            if earlier is not None:
                value = unify(earlier.value, value, inner_path)
                is_optional = is_optional and earlier.is_optional
            fields[name] = RecordField(value, is_optional, field.location)
        return Record(fields, tuple(rules), is_closed and not rules, node.location)

    def _evaluate_rule(self, field: Field, path: Path, depth: int) -> NameRule:
        inner_path = (*path, EVERY_FIELD)
        value = self.evaluate(field.node, inner_path, depth + 1)
        names = self.evaluate(cast("Node", field.name), inner_path, depth + 1)
        return NameRule(names, value)


def concretize(value: Value, path: Path = ()) -> Any:
    """Convert a value to numbers (durations in us), strings, booleans, dicts and lists; defaults are applied.

    Raises OperatorFileError for a required value that is neither stated nor has a default.
    """
    match value:
        case Choices():
            return _concretize_choices(value, path)
        case Scalar():
            return _concretize_scalar(value, path)
        case List():
            return [concretize(item, (*path, str(i))) for i, item in enumerate(value.items or ())]
        case Record():
            return {
                name: concretize(field.value, (*path, name))
                for name, field in value.fields.items()
                if not (field.is_optional and _is_unstated(field.value))
            }


def _concretize_choices(value: Choices, path: Path) -> Any:
    defaults = [choice.value for choice in value.choices if choice.is_default]
    candidates = defaults or [choice.value for choice in value.choices]
    if len(candidates) > 1 and _differ(candidates, path):
        raise OperatorFileError(value.location, path, "must be set: there is no default")
    return concretize(candidates[0], path)


def _differ(candidates: list[Value], path: Path) -> bool:
    """Whether alternatives without a default lead to different values, so that none can be chosen."""
    forms = {repr(value if _is_unstated(value) else concretize(value, path)) for value in candidates}
    return len(forms) > 1


def _concretize_scalar(value: Scalar, path: Path) -> Any:
    if value.value is ABSENT:
        bounds = "".join(f" {bound.text}" for bound in value.bounds)
        raise OperatorFileError(value.location, path, f"must be set: {format_types(value.types)}{bounds}")
    return value.value


def _is_unstated(value: Value) -> bool:
    """Whether a value is not concrete: nothing was stated for it, and it has no default."""
    match value:
        case Scalar():
            return value.value is ABSENT
        case Choices():
            has_default = any(choice.is_default for choice in value.choices)
            return not has_default and all(_is_unstated(choice.value) for choice in value.choices)
        case List():
            return value.items is None
        case Record():
            return any(_is_unstated(field.value) for field in value.fields.values() if not field.is_optional)
