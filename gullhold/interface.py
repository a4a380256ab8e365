"""Types shared by the decisions and their drivers: settings, engine entries, events and results.

A driver (the service on sockets, the simulator adapter) reads an Agreement once, creates one
`decisions.gateway.Gateway(seed, agreement, now)` for each gateway process and calls its methods. Every call
takes the time in integer microseconds as its first argument and returns a list of the result types below. An
unknown quantity is 0; an absent limit is None.

The results are NamedTuples: every process imports this module at its start, and a frozen dataclass takes
several times as long to create, both the class and its objects. Two results of different types compare as
equal if their fields are equal, so compare their types too.
"""

from enum import IntEnum
from typing import NamedTuple, Protocol

US_PER_SECOND = 1e6
MILLIONTHS_PER_UNIT = 1e6  # budgets that are fractions are counted in integer millionths


class Idempotency(IntEnum):
    """Whether the commands of a profile may run more than once."""

    IDEMPOTENT = 0  # any number of times
    KEYED = 1  # a retry carries the same idempotency key, and an engine that knows the key drops the retry
    NON_IDEMPOTENT = 2  # at most once


class DeduplicationScope(IntEnum):
    """Which engines drop a retry of a keyed command: all, or those in the zone or cell of its first run."""

    ALL_ENGINES = 0
    ZONE = 1
    CELL = 2


class EngineState(IntEnum):
    """State of an engine in the endpoint list; only READY engines get new attempts."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How an attempt ended."""

    ANSWERED = 0
    ERROR = 1  # the engine answered with an error
    OVERLOADED = 2  # the engine rejected it without running it
    TIMED_OUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_STARTED = 7  # withdrawn before its first byte went out, or refused by the engine as expired


# Outcomes after which it is certain that the engine did not run the command.
NEVER_RAN = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED))


class StatusKind(IntEnum):
    """Kind of a status note on an open attempt, which gives the note's value its meaning."""

    PROGRESS = 0  # share of the work that is done, 0 to 1
    SPILLING = 1  # memory that the attempt lacks, MB
    WAITING = 2  # code of what the attempt waits for


class BudgetKind(IntEnum):
    """Kinds of budgets that the gateways of a fleet share.

    The subject of a budget is the id of an engine, the index of a tenant, or 0. Budgets of what is in use at
    one time: THREADS and MEMORY (MB) of an engine, OPEN_COMMANDS of a tenant. Budgets of what is spent
    over a window: RETRIES; WARMUP, in millionths of the work that a warming engine can take; ADMISSIONS of a
    tenant; DISCOVERY_CALLS. Divided by weight: TRAFFIC_SHARE, in millionths of the fleet's traffic.
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
    """Result: start an attempt of the command on the engine, not later than the deadline.

    send_until_us: its fetch must be written before this time, by which the attempt may have waited for a
    connection; the deadline, or earlier where the deduplication window of an attempt that may have run ends.
    """

    command: int
    engine: int
    deadline_us: int
    send_until_us: int


class SetGrantAndPriority(NamedTuple):
    """Result: memory granted to later attempts of a command, and its priority, also of an open attempt."""

    command: int
    grant_mb: float
    priority: int


class CancelAttempt(NamedTuple):
    """Result: cancel one attempt of a command, given by its number, which counts from 0."""

    command: int
    attempt: int


class Shed(NamedTuple):
    """Result: the final answer is that the command was shed; a retry by the client does no harm.

    retry_after_us: the longest Retry-After that the answer may give the client; 0: none.
    """

    command: int
    retry_after_us: int


class Fail(NamedTuple):
    """Result: the final answer is a failure; the command may have run."""

    command: int


class StartTimer(NamedTuple):
    """Result: call timer_fired() with this token after the delay."""

    delay_us: int
    token: int


class LogLine(NamedTuple):
    """Result: a line for the log."""

    text: str


class Demand(NamedTuple):
    """The amount of one budget that queued commands would need, beyond what is in use."""

    budget: BudgetKind
    subject: int
    amount: int


class ReportDemand(NamedTuple):
    """Result: this gateway's demand for budgets of the fleet."""

    demands: tuple[Demand, ...]


Result = Dispatch | SetGrantAndPriority | CancelAttempt | Shed | Fail | StartTimer | LogLine | ReportDemand


class EngineEntry(NamedTuple):
    """One engine in the endpoint list. zone, kind: indexes of the agreement's names; -1: unknown."""

    id: int
    zone: int
    weight: float  # as the list states it; no decision depends on it
    kind: int
    state: EngineState
    cell: int
    started_us: int  # start of the engine's process, Unix time in us; 0: long ago


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
        """Release an amount. Not confirmed: the end of the work is unknown, so it may run on for a while."""
        ...

    def record_rejection(self, amount: int) -> None:
        """Count an amount that could not be acquired."""
        ...


class PolicyGate(Protocol):
    """What the policy in force on the fleet lets this gateway do at the moment."""

    def may_dispatch(self) -> bool:
        """Whether an attempt may be started now."""
        ...

    def rejects_new(self) -> bool:
        """Whether commands that arrive now are rejected."""
        ...


class Profile(NamedTuple):
    """How the commands of one profile behave, and their latency objective."""

    threads: int  # threads that a command uses on its engine
    objective_us: int  # latency objective of a command with little work
    objective_stretch: float  # growth (us) of the objective for each us of work per thread
    timeout_us: int  # client timeout of a command, over all its attempts
    benefit: float  # benefit of an answer within the latency objective
    late_benefit_share: float  # share of the benefit that an answer after the objective still earns
    idempotency: Idempotency
    dedup_scope: DeduplicationScope
    dedup_window_us: int  # time for which engines drop retries, from the first attempt that may have run on
    ordered: bool  # commands with the same key run one after another
    zones: frozenset[int] | None  # zones whose engines may run it; None: all
    engine_kinds: frozenset[int] | None  # kinds of engines that may run it; None: all
    loads_dataset: bool  # a command locks its data set on its engine while it runs
    waits_for_loads: bool  # a command waits on its engine while its data set is locked there
    name: str = ""  # for drivers only: its name in requests


class Tenant(NamedTuple):
    """A tenant's share of the service. Queued commands of tenants are dispatched in proportion to it."""

    share: float
    allowance: float = 0.0  # commands/s that the tenant may submit to all gateways together; 0: not stated
    name: str = ""  # for drivers only


class Agreement(NamedTuple):
    """What a deployment's settings state, read once at the start."""

    profiles: tuple[Profile, ...]
    tenants: tuple[Tenant, ...]
    gateways: int  # number of gateways in the fleet
    zone: int  # zone of this gateway
    cores_by_kind: tuple[float, ...]  # cores of an engine, by its kind
    memory_mb_by_kind: tuple[float, ...]  # memory of an engine, by its kind
    max_grant_share: float  # largest part of an engine's memory that one attempt may be granted
    honors_grants: bool  # engines heed the memory granted to an attempt
    honors_priority: bool  # engines heed the priority of an attempt
    max_attempts: int  # largest number of attempts of one command; 0: no limit
    supports_cancel: bool  # engines can cancel an open attempt
    max_retry_after_us: int  # longest wait that a shed reply may ask of a client; 0: none
    warmup_initial_share: float  # share of its full capacity that an engine has at its start
    warmup_us: int  # time from its start until an engine has its full capacity
    # An engine is overloaded by more work in one window than overload_multiple * its cores * the window.
    overload_multiple: float
    overload_window_us: int
    key_settle_us: int  # time for which an ordered key waits after an attempt that may still run
    retry_budget_base: float | None  # retries allowed in any window whatever the traffic; None: no budget
    retry_budget_share: float  # further retries allowed for each ended command of the window
    retry_budget_window_us: int
    cross_zone_costs: bool  # traffic between zones is charged for
    # For drivers only: names by index, load reports, and limits of connections and of open commands.
    zone_names: tuple[str, ...] = ()
    kind_names: tuple[str, ...] = ()
    report_fields: tuple[str, ...] = ()  # names of the values in a load report, in their order
    status_interval_us: int = 0  # time between status notes on an open attempt; 0: engines send none
    streams_per_connection: int = 1  # attempts that one connection to an engine carries
    connect_timeout_us: int = 0
    idle_timeout_us: int = 0  # time after which an engine closes an idle connection
    max_open_commands: int = 0  # most commands of one gateway without a final answer; 0: no limit
