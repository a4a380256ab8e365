"""What the program reads of an operator file: frozen records, checked once."""

from importlib.resources import files

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from gullhold.operator import text, values
from gullhold.operator.text import OperatorFileError, Place

SCHEMA = "schema.cue"


class Told(BaseModel):
    """A record of the operator's: frozen, with no names but its own. Durations are whole us."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)


class Network(Told):
    """One network and who its addresses are."""

    net: str
    name: str
    each: str


class ClientRule(Told):
    """Whose command it is inside a tenant."""

    field: str
    networks: tuple[Network, ...] = Field(default=(), strict=False)
    otherwise: str


class ComeBack(Told):
    """What those who are turned away are told."""

    field: str
    least: int
    most: int
    spread: float
    part: float
    grace: int
    each: int
    all: int

    @model_validator(mode="after")
    def _order(self):
        if self.least > self.most:
            raise ValueError("least is over most")
        return self


class DoorRecord(Told):
    """The door."""

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
    client: ClientRule
    weights: dict[str, float]
    come_back: ComeBack

    @model_validator(mode="after")
    def _open(self):
        if self.tenants == "open" and not self.others:
            raise ValueError('tenants: "open" needs others: the tenant in whose part they share')
        return self


class Drift(Told):
    """How far clocks may be off."""

    rate: float
    margin: int
    skew: int


class Pauses(Told):
    """Between tries."""

    least: int
    most: int


class Duties(Told):
    """How duties are spread over members."""

    moves: int
    settle: int
    pauses: Pauses
    leaving: int
    beats: int
    beat: int


class Scheduled(Told):
    """A command that is sent on behalf of the fleet."""

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


class BudgetRecord(Told):
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
    def _sums(self):
        if self.alone and not self.members:
            raise ValueError("alone needs members: for how many gateways it is kept back")
        if self.alone * self.members > self.whole:
            raise ValueError(f"alone for {self.members} members is over the whole of {self.whole}")
        if self.tenant and self.of not in ("open", "taken"):
            raise ValueError(f"a budget of {self.of} has no tenant")
        if self.of in ("taken", "lists") and not self.window:
            raise ValueError(f"a budget of {self.of} needs a window")
        if self.of == "lists" and not self.alone:
            raise ValueError("a budget of lists needs alone: it must hear of engines then too")
        if self.window and self.of in ("threads", "memory", "open", "share"):
            raise ValueError(f"a budget of {self.of} has no window")
        return self


class PolicyRecord(Told):
    """Changes of policy."""

    on: bool
    cut: str
    snapshot: str
    spare: int


class FleetRecord(Told):
    """Work on behalf of several gateways."""

    on: bool
    name: str
    register_: str = Field(alias="register")  # a model has a method of that name
    timeout: int
    lease: int
    drift: Drift
    duties: Duties
    schedule: tuple[Scheduled, ...] = Field(default=(), strict=False)
    budgets: tuple[BudgetRecord, ...] = Field(default=(), strict=False)
    look: int
    policy: PolicyRecord
    events: str

    @model_validator(mode="after")
    def _usable(self):
        if self.on and not self.register_:
            raise ValueError("fleet.on needs fleet.register: HOST:PORT")
        if self.lease % 1_000_000:
            raise ValueError("fleet.lease is in whole seconds")
        if self.lease * (1 - self.drift.rate) - self.drift.margin < self.lease / 2:
            raise ValueError("fleet.drift leaves less than half of fleet.lease")
        if self.duties.pauses.least > self.duties.pauses.most:
            raise ValueError("fleet.duties.pauses: least is over most")
        names = [item.name for item in self.schedule]
        if len(set(names)) < len(names):
            raise ValueError("fleet.schedule: two commands of one name")
        budgets = [(item.of, item.tenant) for item in self.budgets]
        if len(set(budgets)) < len(budgets):
            raise ValueError("fleet.budgets: two of the same")
        return self


class OperatorFile(Told):
    """All that an operator file says."""

    door: DoorRecord
    fleet: FleetRecord


def schema():
    """The schema's value, evaluated anew."""
    source = files("gullhold.operator").joinpath(SCHEMA).read_text("utf-8")
    return values.root(text.parse(source, SCHEMA), closed=True)


def read(source, file):
    """The OperatorFile that this text says, defaults filled in. Raises OperatorFileError."""
    nodes = text.parse(source, file)
    try:
        told = values.concrete(values.unify(schema(), values.root(nodes), ()))
    except OperatorFileError as fault:
        if fault.place.file != SCHEMA:
            raise
        raise OperatorFileError(
            _place(nodes, fault.path, file), fault.path, fault.text
        ) from None  # what is not there
    try:
        return OperatorFile.model_validate(told)
    except ValidationError as fault:
        first = fault.errors()[0]
        path = tuple(str(step) for step in first["loc"])
        raise OperatorFileError(
            _place(nodes, path, file), path, first["msg"].removeprefix("Value error, ")
        ) from None


def load(path):
    """The OperatorFile at a path; None: all defaults. Raises OperatorFileError, or OSError."""
    if path is None:
        return read("", "no file")
    with open(path, encoding="utf-8") as source:
        try:
            return read(source.read(), str(path))
        except UnicodeDecodeError as fault:
            raise OperatorFileError(Place(str(path), 1, 1), (), f"not text: {fault.reason}") from None


def _place(nodes, path, file):
    """Where the file says most of this path; its first line where it says nothing."""
    place = Place(file, 1, 1)
    for step in path:
        found = []
        if nodes.kind == "record":
            found = [(node, at) for _, name, _, node, at in nodes.facts if name == step]
        elif nodes.kind == "list" and step.isdigit() and int(step) < len(nodes.facts):
            found = [(nodes.facts[int(step)], nodes.facts[int(step)].place)]
        if not found:
            break
        nodes, place = found[-1]
    return place


def lines(told, path=""):
    """What was understood, a line a setting."""
    for name, value in told:
        inner = f"{path}{type(told).model_fields[name].alias or name}"
        if isinstance(value, BaseModel):
            yield from lines(value, f"{inner}.")
        elif isinstance(value, tuple):
            yield f"{inner}: {len(value)}"
            for i, item in enumerate(value):
                yield from lines(item, f"{inner}.{i}.")
        else:
            yield f"{inner}: {value!r}"
