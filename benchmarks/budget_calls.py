"""Calls and bytes that budgets cost a member of a large fleet, by the decisions alone."""

import time
from typing import NamedTuple

from gullhold.budgets.allocator import Budget
from gullhold.budgets.allocator_role import MIN_WRITE_INTERVAL_US, AllocatorRole
from gullhold.budgets.budget_schema import ALLOCATIONS, REPORTS, Usage, UsageReport, encode_report
from gullhold.budgets.ledger import LedgerKind
from gullhold.fleet.role_state import ReadKeys, WriteKeys
from gullhold.fleet.store_calls import KeyValue, Proof, Put, Reply

BUDGETS = 5000  # in the fleet
BUDGETS_PER_MEMBER = 250  # that each member reports
CHANGED_BUDGETS = 5  # of a member in a turn
TURNS = 2
TURN_US = 1_000_000
TOTAL = 10_000  # of each budget
KINDS = ("threads", "taken")  # a held and a windowed one
LINGER_US = 1_000_000  # of the held one
WINDOW_US = 1_000_000  # of the other
FIRST_USAGE = Usage(0, 5, 8)  # of each budget of a member


class CallCosts(NamedTuple):
    """calls, bytes: of one member for a change of some of its budgets; longest_ms: of one allocation."""

    calls: float
    bytes: int
    longest_ms: float


class AllocatorLoop:
    """An allocator's role whose calls to the store are answered here at once; counts calls and bytes."""

    def __init__(self, usage: dict[str, dict[str, Usage]]) -> None:
        """usage: by member and budget, as reported first."""
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
        """Step until nothing is to be allocated."""
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
        """A member reports its usage as it is now."""
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
    """The costs in a fleet of so many members, some of whose budgets change in each turn.

    Each member reports a part of the budgets: scaled down from all of them.
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
