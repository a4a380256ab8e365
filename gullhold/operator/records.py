"""The records of an operator file, validated once, with the field names of the file.

Other packages translate them into their own terms: admission/settings.py, fleet/assembly.py,
budgets/budget_rules.py.
"""

from collections.abc import Iterator, Sequence
from importlib.resources import files
from typing import Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from gullhold.operator.errors import OperatorFileError, Place
from gullhold.operator.evaluation import concretize, evaluate_file
from gullhold.operator.nodes import ListNode, Node, RecordNode
from gullhold.operator.parser import parse
from gullhold.operator.unification import unify
from gullhold.operator.values import Record

SCHEMA = "schema.cue"
US_PER_S = 1_000_000
VALIDATOR_PREFIX = "Value error, "  # added by pydantic to the text of a ValueError

# Kinds of budgets, by the file's names (BudgetRecord.of).
BUDGETS_OF_TENANTS = ("open", "taken")
BUDGETS_SPENT = ("taken", "lists")
BUDGETS_HELD = ("threads", "memory", "open", "share")


class OperatorRecord(BaseModel):
    """Base of all records: frozen, without additional fields. Durations are integer microseconds.

    The fields are named as in the file; schema.cue documents them, with units, bounds and defaults.
    """

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)


class ClientNetworkRecord(OperatorRecord):
    """A network, and the name of the client that its addresses belong to."""

    net: str
    name: str
    each: str


class ClientIdentityRecord(OperatorRecord):
    """How the clients of a tenant are identified."""

    field: str
    networks: tuple[ClientNetworkRecord, ...] = Field(default=(), strict=False)
    otherwise: str


class RetryAfterRecord(OperatorRecord):
    """The Retry-After times for clients whose commands are rejected."""

    field: str
    least: int
    most: int
    spread: float
    part: float
    grace: int
    each: int
    all: int

    @model_validator(mode="after")
    def _check_bounds(self) -> Self:
        if self.least > self.most:
            raise ValueError("least is over most")
        return self


class AdmissionQueueRecord(OperatorRecord):
    """The admission queue."""

    on: bool
    window: int
    held: int
    waiting: int
    bytes: int
    patience: float
    exact: int
    shared: int
    redeal: int
    tenants: str
    others: str
    client: ClientIdentityRecord
    weights: dict[str, float]
    come_back: RetryAfterRecord

    @model_validator(mode="after")
    def _check_tenant_of_others(self) -> Self:
        if self.tenants == "open" and not self.others:
            raise ValueError('tenants: "open" needs others: the tenant in whose part they share')
        return self


class ClockDriftRecord(OperatorRecord):
    """How far the clocks of members may differ."""

    rate: float
    margin: int
    skew: int


class BackoffRecord(OperatorRecord):
    """The shortest and the longest wait between retries."""

    least: int
    most: int


class RolesRecord(OperatorRecord):
    """How roles are distributed over members."""

    moves: int
    settle: int
    pauses: BackoffRecord
    leaving: int
    beats: int
    beat: int


class ScheduledCommandRecord(OperatorRecord):
    """A scheduled command of the fleet."""

    name: str
    at: str
    zone: str
    every: int
    profile: str
    tenant: str
    statement: str
    work: int
    memory: int
    window: int
    tries: int
    overlap: str


class BudgetRecord(OperatorRecord):
    """A budget of the fleet, or one for each engine or tenant."""

    of: str
    tenant: str
    whole: int
    window: int
    linger: int
    alone: int
    members: int
    floor: int
    grain: int

    @model_validator(mode="after")
    def _check_reserve(self) -> Self:
        if self.alone and not self.members:
            raise ValueError("alone needs members: for how many gateways it is kept back")
        if self.alone * self.members > self.whole:
            raise ValueError(f"alone for {self.members} members is over the whole of {self.whole}")
        return self

    @model_validator(mode="after")
    def _check_kind(self) -> Self:
        if self.tenant and self.of not in BUDGETS_OF_TENANTS:
            raise ValueError(f"a budget of {self.of} has no tenant")
        if self.of in BUDGETS_SPENT and not self.window:
            raise ValueError(f"a budget of {self.of} needs a window")
        if self.of == "lists" and not self.alone:
            raise ValueError("a budget of lists needs alone: it must hear of engines then too")
        if self.window and self.of in BUDGETS_HELD:
            raise ValueError(f"a budget of {self.of} has no window")
        return self


class PolicyRecord(OperatorRecord):
    """Rollouts of policy changes."""

    on: bool
    cut: str
    snapshot: str
    spare: int


class FleetRecord(OperatorRecord):
    """Work on behalf of several gateways."""

    on: bool
    name: str
    register_: str = Field(alias="register")  # a model has a method of that name
    timeout: int
    lease: int
    drift: ClockDriftRecord
    duties: RolesRecord
    schedule: tuple[ScheduledCommandRecord, ...] = Field(default=(), strict=False)
    budgets: tuple[BudgetRecord, ...] = Field(default=(), strict=False)
    look: int
    policy: PolicyRecord
    events: str

    @model_validator(mode="after")
    def _check_lease(self) -> Self:
        if self.on and not self.register_:
            raise ValueError("fleet.on needs fleet.register: HOST:PORT")
        if self.lease % US_PER_S:
            raise ValueError("fleet.lease is in whole seconds")
        if self.lease * (1 - self.drift.rate) - self.drift.margin < self.lease / 2:
            raise ValueError("fleet.drift leaves less than half of fleet.lease")
        if self.duties.pauses.least > self.duties.pauses.most:
            raise ValueError("fleet.duties.pauses: least is over most")
        return self

    @model_validator(mode="after")
    def _check_names(self) -> Self:
        names = [command.name for command in self.schedule]
        if len(set(names)) < len(names):
            raise ValueError("fleet.schedule: two commands of one name")
        budgets = [(budget.of, budget.tenant) for budget in self.budgets]
        if len(set(budgets)) < len(budgets):
            raise ValueError("fleet.budgets: two of the same")
        return self


class OperatorFile(OperatorRecord):
    """A complete operator file."""

    door: AdmissionQueueRecord
    fleet: FleetRecord


def load(path: str | None) -> OperatorFile:
    """Read the operator file at a path; None: all defaults. Raises OperatorFileError or OSError."""
    if path is None:
        return read("", "no file")
    with open(path, encoding="utf-8") as file:
        try:
            return read(file.read(), str(path))
        except UnicodeDecodeError as error:
            raise OperatorFileError(Place(str(path), 1, 1), (), f"not text: {error.reason}") from None


def read(source: str, file_name: str) -> OperatorFile:
    """Read an operator file from its text, and add defaults. Raises OperatorFileError."""
    root = parse(source, file_name)
    try:
        content = concretize(unify(_schema(), evaluate_file(root), ()))
    except OperatorFileError as error:
        if error.place.file != SCHEMA:
            raise
        # A missing field has no place in the file: report the nearest record's place.
        place = _nearest_place(root, error.path, file_name)
        raise OperatorFileError(place, error.path, error.text) from None
    try:
        return OperatorFile.model_validate(content)
    except ValidationError as error:
        raise _validation_error(error, root, file_name) from None


def _schema() -> Record:
    """Return the value of the schema."""
    source = files("gullhold.operator").joinpath(SCHEMA).read_text("utf-8")
    return evaluate_file(parse(source, SCHEMA), is_closed=True)


def _validation_error(error: ValidationError, root: RecordNode, file_name: str) -> OperatorFileError:
    """Convert the first fault that pydantic found to an error with its place in the file."""
    first = error.errors()[0]
    path = tuple(str(step) for step in first["loc"])
    text = first["msg"].removeprefix(VALIDATOR_PREFIX)
    return OperatorFileError(_nearest_place(root, path, file_name), path, text)


def _nearest_place(root: RecordNode, path: Sequence[str], file_name: str) -> Place:
    """Return the place of the longest part of this path that the file has; its first line if it has none."""
    node: Node = root
    place = Place(file_name, 1, 1)
    for step in path:
        found = _step_into(node, step)
        if found is None:
            break
        node, place = found
    return place


def _step_into(node: Node, step: str) -> tuple[Node, Place] | None:
    """Return a field or an item of a node, and its place."""
    match node:
        case RecordNode():
            fields = [field for field in node.fields if field.name == step]
            return (fields[-1].node, fields[-1].place) if fields else None
        case ListNode() if step.isdigit() and int(step) < len(node.items):
            item = node.items[int(step)]
            return item, item.place
        case _:
            return None


def setting_lines(record: BaseModel, path: str = "") -> Iterator[str]:
    """Iterate over the lines that show a record, one for each setting."""
    for name, value in record:
        inner_path = f"{path}{type(record).model_fields[name].alias or name}"
        if isinstance(value, BaseModel):
            yield from setting_lines(value, f"{inner_path}.")
        elif isinstance(value, tuple):
            yield f"{inner_path}: {len(value)}"
            for i, item in enumerate(value):
                yield from setting_lines(item, f"{inner_path}.{i}.")
        else:
            yield f"{inner_path}: {value!r}"
