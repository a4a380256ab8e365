"""Types shared by the decisions and their drivers: settings, engine entries, events and results.

A driver (the service on sockets, the simulator adapter) reads an Agreement once, creates one
`decisions.gateway.Gateway(seed, agreement, now)` for each gateway process and calls its methods. Every call
takes the time in integer microseconds first and returns a list of the result types below. Absent figures are
zero; absent limits are None.

The results are NamedTuples: each start imports this module, and a frozen dataclass costs several times as
much to create, both the class and its objects. Two results of different types are equal if their fields are,
so distinguish them by type.
"""

from enum import IntEnum
from typing import NamedTuple, Protocol

US_PER_SECOND = 1e6
MILLIONTHS = 1e6  # in 1; the unit of some budgets


class Idempotency(IntEnum):
    """Whether the commands of a profile may run more than once."""

    IDEMPOTENT = 0  # any number of times
    KEYED = 1  # a repeat carries the same idempotency key; engines that know the key drop it
    NON_IDEMPOTENT = 2  # at most once


class DeduplicationScope(IntEnum):
    """Which engines drop a repeat of a keyed command: all, those of one zone, those of one cell."""

    ALL_ENGINES = 0
    ZONE = 1
    CELL = 2


class EngineState(IntEnum):
    """State of an engine in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How an attempt ended."""

    ANSWERED = 0
    ERROR = 1
    OVERLOADED = 2
    TIMED_OUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_STARTED = 7  # withdrawn before its first byte went out, or refused by the engine as expired


NEVER_RAN = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED))


class StatusKind(IntEnum):
    """Kind of a status note on an open attempt; the meaning of its value."""

    PROGRESS = 0  # share done, 0 to 1
    SPILLING = 1  # memory that it lacks, MB
    WAITING = 2  # code of what it waits for


class BudgetKind(IntEnum):
    """Budgets of a fleet. Their subject is the id of an engine, the index of a tenant, or 0.

    In use at the same time: THREADS and MEMORY (MB) of an engine, OPEN_COMMANDS of a tenant. Spent over a
    window: RETRIES; WARMUP, millionths of what a warming engine can take; ADMISSIONS of a tenant;
    DISCOVERY_CALLS. By weight: TRAFFIC_SHARE, millionths of the traffic.
    """

    THREADS = 0
    MEMORY = 1
    OPEN_COMMANDS = 2
    RETRIES = 3
    WARMUP = 4
    ADMISSIONS = 5
    TRAFFIC_SHARE = 6
    DISCOVERY_CALLS = 7


class Dispatch(NamedTuple):
    """Result: start an attempt of the command on the engine, not later than the deadline."""

    command: int
    engine: int
    deadline_us: int


class SetGrantAndPriority(NamedTuple):
    """Result: memory granted to later attempts of a command, and its priority, also of an open attempt."""

    command: int
    grant_mb: float
    priority: int


class CancelAttempt(NamedTuple):
    """Result: cancel one attempt of a command, by its number."""

    command: int
    attempt: int


class Shed(NamedTuple):
    """Result: the final answer is that the command was shed; a retry does no harm.

    retry_after_us: the longest Retry-After that the client may be given; 0: none.
    """

    command: int
    retry_after_us: int


class Fail(NamedTuple):
    """Result: the final answer is a failure; the command may have run."""

    command: int


class StartTimer(NamedTuple):
    """Result: call timer_fired() with the token after the delay."""

    delay_us: int
    token: int


class LogLine(NamedTuple):
    """Result: a line for the log."""

    text: str


class Demand(NamedTuple):
    """What queued commands would need of one budget, beyond what is in use."""

    budget: BudgetKind
    subject: int
    amount: int


class ReportDemand(NamedTuple):
    """Result: the demand for budgets of the fleet."""

    demands: tuple[Demand, ...]


Result = Dispatch | SetGrantAndPriority | CancelAttempt | Shed | Fail | StartTimer | LogLine | ReportDemand


class EngineEntry(NamedTuple):
    """One engine in the endpoint list. zone, kind: indexes of the agreement's names; -1: unknown."""

    id: int
    zone: int
    weight: float
    kind: int
    state: EngineState
    cell: int
    started_us: int  # Unix time, us; 0: long ago


class BudgetShare(Protocol):
    """This gateway's share of one budget of the fleet."""

    def limit(self) -> int:
        """The largest amount that may be in use now."""
        ...

    def allows(self, amount: int) -> bool:
        """Whether this amount may be acquired now."""
        ...

    def acquire(self, amount: int) -> None:
        """Acquire an amount, after allows()."""
        ...

    def release(self, amount: int, confirmed: bool = True) -> None:
        """Release an amount. Not confirmed: the work was cancelled and may run on for a moment."""
        ...

    def record_rejection(self, amount: int) -> None:
        """Count an amount that could not be acquired."""
        ...


class PolicyGate(Protocol):
    """Whether the fleet's policy lets this gateway work at the moment."""

    def may_dispatch(self) -> bool:
        """Whether an attempt may be started now."""
        ...

    def rejects_new(self) -> bool:
        """Whether commands that arrive now are rejected."""
        ...


class Profile(NamedTuple):
    """How the commands of one profile behave, and what was promised for them."""

    threads: int
    objective_us: int  # latency objective ...
    objective_stretch: float  # ... and how it grows with work divided by threads
    timeout_us: int  # client timeout over all of the client's attempts
    benefit: float
    late_benefit_share: float  # share of the benefit that an answer after the objective still earns
    idempotency: Idempotency
    dedup_scope: DeduplicationScope
    dedup_window_us: int
    ordered: bool
    zones: frozenset[int] | None  # that may run it; None: all
    engine_kinds: frozenset[int] | None  # that may run it; None: all
    loads_dataset: bool  # locks its data set on its engine while it runs
    waits_for_loads: bool  # waits while its data set is locked
    name: str = ""  # for drivers only: its name in requests


class Tenant(NamedTuple):
    """A tenant's share of the service."""

    share: float
    allowance: float = 0.0  # commands a second inside its share, all gateways together; 0: not stated
    name: str = ""  # for drivers only


class Agreement(NamedTuple):
    """What a deployment's settings state, read once at the start."""

    profiles: tuple[Profile, ...]
    tenants: tuple[Tenant, ...]
    gateways: int
    zone: int  # of this gateway
    cores_by_kind: tuple[float, ...]
    memory_mb_by_kind: tuple[float, ...]
    max_grant_share: float
    honors_grants: bool
    honors_priority: bool
    max_attempts: int
    supports_cancel: bool
    max_retry_after_us: int  # longest wait that a shed reply may ask of a client; 0: none
    warmup_initial_share: float
    warmup_us: int
    overload_multiple: float
    overload_window_us: int
    key_settle_us: int
    retry_budget_base: float | None  # retries allowed in any window whatever the traffic; None: no budget
    retry_budget_share: float
    retry_budget_window_us: int
    cross_zone_costs: bool
    # For drivers only: names by index, and the limits of connections.
    zone_names: tuple[str, ...] = ()
    kind_names: tuple[str, ...] = ()
    report_fields: tuple[str, ...] = ()  # the figures of a load report, in their order
    status_interval_us: int = 0  # between status notes on an open attempt; 0: none
    streams_per_connection: int = 1  # attempts that one connection to an engine carries
    connect_timeout_us: int = 0
    idle_timeout_us: int = 0  # after which the engine closes an idle connection
    max_open_commands: int = 0  # commands without a final answer, at once; 0: no limit
