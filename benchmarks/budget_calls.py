"""Store calls and bytes that budgets cost a member of a large fleet, without real processes."""

import time
from typing import NamedTuple

from gullhold.budgets.allocator import Budget
from gullhold.budgets.allocator_role import MIN_WRITE_INTERVAL_US, AllocatorRole
from gullhold.budgets.budget_schema import ALLOCATIONS, REPORTS, Usage, UsageReport, encode_report
from gullhold.budgets.ledger import LedgerKind
from gullhold.fleet.role_state import ReadKeys, WriteKeys
from gullhold.fleet.store_calls import KeyValue, Proof, Put, Reply

BUDGETS = 5000  # budgets in the fleet
BUDGETS_PER_MEMBER = 250  # budgets that each member reports
CHANGED_BUDGETS = 5  # budgets of each member whose usage changes in a turn
TURNS = 2
TURN_US = 1_000_000  # simulated time
TOTAL = 10_000  # total of each budget
KINDS = ("threads", "taken")  # a held budget and a windowed one
LINGER_US = 1_000_000  # lingering time of the held budget
WINDOW_US = 1_000_000  # window of the windowed budget
FIRST_USAGE = Usage(0, 5, 8)  # the first report of each member on each of its budgets


class CallCosts(NamedTuple):
    """What budgets cost in a fleet of one size.

    calls, bytes: calls to the store and bytes written for each member and turn, those of the allocator shared
    among the members; longest_ms: the longest step of the allocator.
    """

    calls: float
    bytes: int
    longest_ms: float


class AllocatorLoop:
    """Runs an allocator's role, answers its calls to the store at once, and counts calls and bytes."""

    def __init__(self, usage: dict[str, dict[str, Usage]]) -> None:
        """Start the role. usage: each member's usage of each of its budgets, as reported first."""
        self.usage = usage
        self.role = AllocatorRole(
            {
                "threads": Budget(LedgerKind.HELD, TOTAL, linger_us=LINGER_US),
                "taken": Budget(LedgerKind.WINDOWED, TOTAL, window_us=WINDOW_US),
            }
        )
        self.now = 0
        self.revision = 10
        self.writes = 0
        self.reports = 0
        self.bytes = 0
        self.longest_s = 0.0
        items = tuple(KeyValue(REPORTS + member, _report(rows), 2, 1) for member, rows in usage.items())
        self.role.won(1, self.now)
        read = next(action for action in self.role.take_actions() if isinstance(action, ReadKeys))
        self.role.read(self.now, read.serial, Reply(Proof.DONE, 3, items=items))

    def settle(self) -> None:
        """Let the allocator run until it has nothing left to allocate."""
        while True:
            began = time.perf_counter()
            self.role.step(self.now)
            self.longest_s = max(self.longest_s, time.perf_counter() - began)
            writes = [action for action in self.role.take_actions() if isinstance(action, WriteKeys)]
            for write in writes:
                self._answer(write)
            if not writes and self.role.allocator.due() != 0:
                return
            self.now += MIN_WRITE_INTERVAL_US

    def _answer(self, write: WriteKeys) -> None:
        self.writes += 1
        self.revision += 1
        for operation in write.operations:
            if isinstance(operation, Put) and ALLOCATIONS in operation.key:
                self.bytes += len(operation.value)
        self.role.written(self.now, write.serial, Reply(Proof.DONE, self.revision))

    def report(self, member: str) -> None:
        """Report the current usage of a member."""
        self.reports += 1
        self.revision += 1
        text = _report(self.usage[member])
        self.bytes += len(text)
        self.role.changed(self.now, REPORTS + member, text, self.revision)
        if self.role.writing:
            self.role.written(self.now, self.role.writing, Reply(Proof.DONE, self.revision))


def _report(usage: dict[str, Usage]) -> str:
    return encode_report(UsageReport(0, usage))


def call_costs(members: int) -> CallCosts:
    """Measure the costs in a fleet of this many members; some budgets of each member change in each turn.

    The case is scaled down: each member reports BUDGETS_PER_MEMBER of the budgets, not all of them.
    """
    names = [f"{KINDS[number % len(KINDS)]}/{number}" for number in range(BUDGETS)]
    usage = {}
    for number in range(members):
        first = number * BUDGETS_PER_MEMBER
        own = [names[(first + index) % BUDGETS] for index in range(BUDGETS_PER_MEMBER)]
        usage[f"m{number}/1"] = dict.fromkeys(own, FIRST_USAGE)
    loop = AllocatorLoop(usage)
    loop.settle()
    loop.writes = 0
    loop.bytes = 0
    for turn in range(TURNS):
        for number, (member, rows) in enumerate(usage.items()):
            first = CHANGED_BUDGETS * turn
            for name in list(rows)[first : first + CHANGED_BUDGETS]:
                rows[name] = Usage(0, 20 + turn + number % 3, 40 + turn)
            loop.report(member)
        loop.now += TURN_US
        loop.settle()
    return CallCosts(
        round((loop.reports + loop.writes) / members / TURNS, 3),
        round(loop.bytes / members / TURNS),
        round(loop.longest_s * 1000, 1),
    )
