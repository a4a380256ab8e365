"""What the decision module and its fronts share: what a deployment agreed to, and the verbs of results.

A front (the service on sockets, the drill adapter) builds an Agreement once, makes one
`policy.Gateway(seed, agreement, now)` for each workload manager and calls its methods. Every call takes the
time in whole microseconds first and returns plain tuples that start with one of the verbs below. Absent
figures are zero; absent limits are None.
"""

from typing import NamedTuple

# Kinds of profile: may run again; carries a mark by which a repeat is known; must never run twice.
REPLAYABLE, UNIQUED, NON_REPLAYABLE = range(3)
# Engines that drop repeats of a uniqued command: all, those in one location, those in one cell.
ALL, LOCATION, CELL = range(3)
# Engine states in a list entry.
GONE, READY, DRAINING = range(3)
# How a send ended. FULL, NO_CONNECTION and MOOT prove that it never ran.
ANSWERED, ERROR, FULL, TIMED_OUT, NO_CONNECTION, RESET, CANCELLED, MOOT = range(8)
NEVER_RAN = frozenset((FULL, NO_CONNECTION, MOOT))
# Notes on a send that is out: share done, MB missing, what it waits for.
PROGRESS, SPILLS, WAITS = range(3)

# Verbs of results:
SEND = 0  # (SEND, command, engine, until_us): hand the command to the engine
TERMS = 1  # (TERMS, command, grant_mb, priority): memory of further sends; priority also of one that is out
CANCEL = 2  # (CANCEL, command, send_no): stop waiting for a send
SHED = 3  # (SHED, command, come_back_us): final answer, trying again does no harm
FAIL = 4  # (FAIL, command): final answer that promises nothing
TIMER = 5  # (TIMER, delay_us, token): call timer(token) after the delay
LOG = 6  # (LOG, text): a line for staff
LACKS = 7  # (LACKS, ((budget, of what, amount), ...)): what held commands would need beside what is out

# Budgets of a fleet. Held: threads, and MB, on an engine; commands of a tenant that are open. Over a window:
# further sends; millionths of what a cold engine can stand; commands of a tenant that are taken; calls to the
# list's service (the front's). By weight: millionths of the traffic. "Of what": an engine's id, a tenant's
# index, or 0.
THREADS, MEMORY, OPEN, FURTHER, COLD, TAKEN, SHARE, LISTS = range(8)


class Profile(NamedTuple):
    """How commands of one profile behave and what was promised for them."""

    threads: int
    target_us: int  # latency target ...
    target_stretch: float  # ... and how it grows with work divided by threads
    timeout_us: int  # client timeout over all of the client's tries
    benefit: float
    late_benefit: float  # share of the benefit that an answer after the target still earns
    effect: int
    dedup_scope: int
    dedup_us: int
    ordered: bool
    locations: frozenset | None
    kinds: frozenset | None
    loads: bool  # holds its data set on its engine while it runs
    stands_still: bool  # waits while a load holds its data set
    name: str = ""  # for fronts only: what clients and engines call it


class Tenant(NamedTuple):
    """A tenant's share of the service."""

    share: float
    allowance: float = 0.0  # commands a second inside its share, all gateways together; 0: not stated
    name: str = ""  # for fronts only


class Agreement(NamedTuple):
    """What a deployment states at start, in our words."""

    profiles: tuple
    tenants: tuple
    managers: int
    location: int
    kind_cores: tuple
    kind_memory_mb: tuple
    most_grant: float
    heeds_grants: bool
    heeds_priority: bool
    sends_cap: int
    may_cancel: bool
    come_back_us: int  # longest wait a shed reply may ask of a client; 0: none
    cold_from: float
    cold_us: int
    fall_multiple: float
    fall_us: int
    key_rest_us: int
    extra_free: float | None  # further sends allowed in any window; None: no budget
    extra_share: float
    extra_us: int
    crossing_costs: bool
    # For fronts only: names by index, and the limits of connections.
    locations: tuple = ()
    kinds: tuple = ()
    report_fields: tuple = ()  # the figures of a load report, in their order
    note_us: int = 0  # between notes on a send that is out; 0: none
    streams: int = 1  # sends that one connection to an engine carries
    connect_us: int = 0
    idle_us: int = 0  # after which an idle connection is closed by the engine
    open_cap: int = 0  # commands owed or out at once; 0: no cap
