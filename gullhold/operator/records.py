"""Typed records of an operator file's settings, validated, with the field names of the file.

Other packages translate them into settings under their own names: admission/settings.py, fleet/assembly.py,
budgets/budget_rules.py. Durations are in integer microseconds.
"""

from collections.abc import Iterator, Sequence
from importlib.resources import files
from typing import Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from gullhold.operator.errors import Location, OperatorFileError
from gullhold.operator.evaluation import concretize, evaluate_file
from gullhold.operator.nodes import ListNode, Node, RecordNode
from gullhold.operator.parser import parse
from gullhold.operator.unification import unify
from gullhold.operator.values import Record

SCHEMA = "schema.cue"
US_PER_S = 1_000_000
VALIDATOR_PREFIX = "Value error, "  # added by pydantic to the text of a ValueError

# Kinds of budgets, by the values of BudgetRecord.of: "open" is for open commands, "taken" for admitted ones,
# "lists" for calls to the discovery service, "share" for a share of the traffic. "further" (retries) and
# "cold" (work of warming engines) may have a window: if the file states none, it is that of the agreement.
PER_TENANT_BUDGETS = ("open", "taken")
WINDOW_REQUIRED_BUDGETS = ("taken", "lists")
NO_WINDOW_BUDGETS = ("threads", "memory", "open", "share")


class OperatorRecord(BaseModel):
    """Base class of the records: immutable; an unknown field is an error.

    The fields are named as in the file. schema.cue states the unit, the bounds and the default of each.
    """

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)


class ClientNetworkRecord(OperatorRecord):
    """An IP network, and how the clients in it are told apart.

    net: address and prefix length; each: what counts as one client, "network" (the whole), "address" or
    "connection"; name: the client's name, if the whole network is one client.
    """

    net: str
    name: str
    each: str


class ClientIdentityRecord(OperatorRecord):
    """How the client of a command is identified inside its tenant.

    field: request field with the client's name, "": none; networks: identify the clients of requests without
    that field; otherwise: outside of all networks, "address" or "connection" identifies the client.
    """

    field: str
    networks: tuple[ClientNetworkRecord, ...] = Field(default=(), strict=False)
    otherwise: str


class RetryAfterRecord(OperatorRecord):
    """Retry-After times for clients whose commands the admission queue sheds, and the capacity kept for them.

    field: field of the shed reply with the time in ms, "": no Retry-After time is sent; least, most: bounds
    of the time, in us; spread: random addition to it, as a part of it; part: share of a flow's service that
    is reserved for retries in their windows; grace: us for which a retry that is late still counts as in its
    window; each, all: limits of open windows in one flow and in all flows.
    """

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
            raise ValueError(f"least of {self.least} us is over most of {self.most} us")
        return self


class AdmissionQueueRecord(OperatorRecord):
    """The admission queue: fair queueing in front of the decision module.

    window, held: limits of the commands that are with the decision module and not dispatched yet, of one
    profile of one tenant and in all; waiting, bytes: limits of the queued commands and of their statements;
    patience: expected wait, in latency objectives, above which a command is shed; exact: limit of the flows
    of a single client each; shared: flows of a tenant that its other clients share; redeal: us between two
    redistributions of clients over the shared flows; tenants: "closed" (only tenants of the agreement) or
    "open"; others: the tenant whose share unknown tenants use; weights: clients' weights by name.
    """

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
            raise ValueError('tenants: "open" needs others: the tenant whose share unknown tenants use')
        return self


class ClockDriftRecord(OperatorRecord):
    """How much the clocks of the members' hosts may differ.

    rate: largest relative difference of two clocks' rates; margin: by how many us the store may expire a
    lease too early; skew: largest difference of two Unix clocks, in us.
    """

    rate: float
    margin: int
    skew: int


class BackoffRecord(OperatorRecord):
    """Bounds of the backoff between retries of a call to the store, in us."""

    least: int
    most: int


class RolesRecord(OperatorRecord):
    """How roles are distributed over members.

    moves: limit of the roles that a member gives up to other members, per second; settle: us that a member
    which joins others waits before roles move to it; pauses: backoff of the calls to the store; leaving: us
    that a leaving member waits for its work in progress; beats: number of heartbeat roles, whose leaders only
    write to the store, every `beat` us, to monitor that leadership works.
    """

    moves: int
    settle: int
    pauses: BackoffRecord
    leaving: int
    beats: int
    beat: int


class ScheduledCommandRecord(OperatorRecord):
    """A command that the fleet submits at scheduled times.

    at: calendar expression, in the time zone `zone`; every: interval in us, instead of `at`; work: expected
    work in us on one core; memory: expected memory in MB; window: us after its due time within which an
    occurrence may begin; tries: limit of its attempts; overlap: "skip" or "wait", what to do with an
    occurrence while the previous one runs.
    """

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
    """A budget that is divided among the members of the fleet: one, or one for each engine or tenant.

    of: the kind, which decides the unit; tenant: the tenant that it is for, "": one for each tenant without
    a budget of its own; whole: the total for the fleet; window: length in us of the window in which spending
    is limited; linger: us for which work of a stopped member is taken to run on; alone: the reserve of each
    member, which it may also use without the store; members: number of members for which reserves are kept;
    floor: smallest allocation of a member; grain: smallest amount that is usable.
    """

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
            raise ValueError("alone needs members: the number of gateways for which it is kept back")
        if self.alone * self.members > self.whole:
            raise ValueError(
                f"alone of {self.alone} for {self.members} members is over the whole of {self.whole}"
            )
        return self

    @model_validator(mode="after")
    def _check_kind(self) -> Self:
        if self.tenant and self.of not in PER_TENANT_BUDGETS:
            raise ValueError(f"a budget of {self.of} has no tenant, but {self.tenant!r} is stated")
        if self.of in WINDOW_REQUIRED_BUDGETS and not self.window:
            raise ValueError(f"a budget of {self.of} needs a window")
        if self.of == "lists" and not self.alone:
            raise ValueError("a budget of lists needs alone: a gateway without the register reads lists too")
        if self.window and self.of in NO_WINDOW_BUDGETS:
            raise ValueError(f"a budget of {self.of} has no window, but one of {self.window} us is stated")
        return self


class PolicyRecord(OperatorRecord):
    """Rollouts of policy changes to all members.

    cut: when a member that can't reach the store during a rollout stops dispatching, "keep": when its lease
    ends, "stand": earlier, by a third of the time for which a lease certainly holds; snapshot: path of the
    file that keeps the policy in force, "": none; spare: age in us up to which a member that starts without
    the store uses the snapshot, 0: never.
    """

    on: bool
    cut: str
    snapshot: str
    spare: int


class FleetRecord(OperatorRecord):
    """Work that several gateways coordinate through a store.

    name: the fleet's name, as several fleets may share a store; register_: HOST:PORT of the store; timeout:
    time limit of a call to it, in us; lease: lifetime of a member's lease without a renewal, in us; schedule:
    scheduled commands; look: us between two collections of a member's usage of budgets; events: path of the
    file to which each event is appended as a JSON line, "": only the log has the events.
    """

    on: bool
    name: str
    register_: str = Field(alias="register")  # BaseModel has a method named register
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
            raise ValueError(f"fleet.lease of {self.lease} us must be in whole seconds")
        if self.lease * (1 - self.drift.rate) - self.drift.margin < self.lease / 2:
            raise ValueError(
                f"fleet.drift with a rate of {self.drift.rate} and a margin of {self.drift.margin} us leaves "
                f"less than half of fleet.lease of {self.lease} us"
            )
        if self.duties.pauses.least > self.duties.pauses.most:
            raise ValueError(
                f"fleet.duties.pauses: least of {self.duties.pauses.least} us is over most of "
                f"{self.duties.pauses.most} us"
            )
        return self

    @model_validator(mode="after")
    def _check_names(self) -> Self:
        names = [command.name for command in self.schedule]
        if len(set(names)) < len(names):
            raise ValueError(f"fleet.schedule: two commands of one name among {', '.join(names)}")
        budgets = [(budget.of, budget.tenant) for budget in self.budgets]
        if len(set(budgets)) < len(budgets):
            raise ValueError(f"fleet.budgets: two of the same kind and tenant among {budgets}")
        return self


class OperatorFile(OperatorRecord):
    """A complete operator file."""

    door: AdmissionQueueRecord
    fleet: FleetRecord


def load(path: str | None) -> OperatorFile:
    """Read the operator file at a path; None: all settings have their defaults.

    Raises OperatorFileError, or OSError if the file can't be read.
    """
    if path is None:
        return read("", "no file")
    with open(path, encoding="utf-8") as file:
        try:
            return read(file.read(), str(path))
        except UnicodeDecodeError as error:
            raise OperatorFileError(
                Location(str(path), 1, 1), (), f"not UTF-8 text: {error.reason}"
            ) from None


def read(source: str, file_name: str) -> OperatorFile:
    """Read the text of an operator file, with defaults for the settings it omits. Raises OperatorFileError.

    file_name: stated in the locations of errors.
    """
    root = parse(source, file_name)
    try:
        content = concretize(unify(_schema(), evaluate_file(root), ()))
    except OperatorFileError as error:
        if error.location.file != SCHEMA:
            raise
        # The location is in the schema if a required field is missing: report the nearest record of the file.
        location = _nearest_location(root, error.path, file_name)
        raise OperatorFileError(location, error.path, error.text) from None
    try:
        return OperatorFile.model_validate(content)
    except ValidationError as error:
        raise _validation_error(error, root, file_name) from None


def _schema() -> Record:
    """Return the value of schema.cue. It is closed: the file may have no other fields."""
    source = files("gullhold.operator").joinpath(SCHEMA).read_text("utf-8")
    return evaluate_file(parse(source, SCHEMA), is_closed=True)


def _validation_error(error: ValidationError, root: RecordNode, file_name: str) -> OperatorFileError:
    """Convert the first error that pydantic found to one with its location in the file."""
    first = error.errors()[0]
    path = tuple(str(step) for step in first["loc"])
    text = first["msg"].removeprefix(VALIDATOR_PREFIX)
    return OperatorFileError(_nearest_location(root, path, file_name), path, text)


def _nearest_location(root: RecordNode, path: Sequence[str], file_name: str) -> Location:
    """Return the location of the innermost field of a path that the file has; line 1 if it has none."""
    node: Node = root
    location = Location(file_name, 1, 1)
    for step in path:
        found = _step_into(node, step)
        if found is None:
            break
        node, location = found
    return location


def _step_into(node: Node, step: str) -> tuple[Node, Location] | None:
    """Return the node and the location of a record's field or a list's item; None if there is none."""
    match node:
        case RecordNode():
            fields = [field for field in node.fields if field.name == step]
            return (fields[-1].node, fields[-1].location) if fields else None
        case ListNode() if step.isdigit() and int(step) < len(node.items):
            item = node.items[int(step)]
            return item, item.location
        case _:
            return None


def setting_lines(record: BaseModel, path: str = "") -> Iterator[str]:
    """Iterate over the lines that `gullhold config --operator` prints for a record, one for each setting.

    path: names of the fields that lead to the record, each followed by a dot.
    """
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
