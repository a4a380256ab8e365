"""Rules for attempts of a command: idempotency, number of attempts, retry budget, cancel credit."""

from bisect import insort
from collections import deque
from typing import TYPE_CHECKING

from gullhold.decisions.command import Command
from gullhold.decisions.fleet_budgets import FleetBudgets
from gullhold.decisions.key_order import KeyOrder
from gullhold.interface import Agreement, BudgetKind, DeduplicationScope

if TYPE_CHECKING:
    from collections.abc import Mapping

DEADLINE_MARGIN_US = 30_000  # us from the last start until a client timeout or deduplication window ends
CANCEL_CREDIT_PER_ATTEMPT = 0.4  # cancels of slow attempts that each dispatched attempt of a profile earns
MAX_CANCEL_CREDIT = 4.0  # cancels, the most that a profile can save up


class RetryPolicy:
    """The rules for attempts, the agreement's retry budget and the cancel credit of each profile."""

    def __init__(self, agreement: Agreement, budgets: FleetBudgets, key_order: KeyOrder) -> None:
        self.agreement = agreement
        self._budgets = budgets
        self._key_order = key_order
        # Arrival times of ended commands, ascending; each of them widens the retry budget.
        self._arrivals: deque[int] = deque()
        self._retry_times: deque[int] = deque()  # times of retries, ascending
        self._cancel_credit = [MAX_CANCEL_CREDIT] * len(agreement.profiles)
        self.max_attempts_by_profile: Mapping[int, int] = {}  # for the profiles that the fleet's policy names

    def may_retry(self, command: Command, now: int) -> bool:
        """Whether the number of attempts, idempotency and deduplication window allow one more attempt."""
        default = self.agreement.max_attempts
        max_attempts = self.max_attempts_by_profile.get(command.profile_index, default)
        if 0 < max_attempts <= command.attempts:
            return False
        if not command.may_have_run or command.is_idempotent:
            return True
        return command.is_keyed and now < command.deduplication_until - DEADLINE_MARGIN_US

    def send_until(self, command: Command) -> int:
        """Return the time before which an attempt that is dispatched now must be sent.

        An attempt may wait for its connection after it was dispatched: a retry that reaches an engine after
        the deduplication window would run a second time.
        """
        if command.is_keyed and command.may_have_run:
            return min(command.last_start_at, command.deduplication_until - DEADLINE_MARGIN_US)
        return command.last_start_at

    def may_start(self, command: Command, now: int) -> bool:
        """Whether an attempt may start now, by its last start, may_retry(), key order and retry budget."""
        self._drop_old_times(now)
        if now >= command.last_start_at or not self.may_retry(command, now):
            return False
        if not command.attempts:
            return not self._key_order.is_settling(command, now)
        return self._has_retry_budget()

    def may_shed(self, command: Command, now: int) -> bool:
        """Whether a retry by the client would do no harm, so that the command may be shed."""
        if command.is_idempotent or not command.may_have_run:
            return True
        is_dropped_everywhere = command.profile.dedup_scope == DeduplicationScope.ALL_ENGINES
        return command.is_keyed and is_dropped_everywhere and now < command.deduplication_until

    def record_attempt(self, command: Command, now: int) -> None:
        """Record that an attempt is about to be dispatched; command.attempts does not count it yet."""
        if command.attempts:
            self._retry_times.append(now)
        credit = self._cancel_credit[command.profile_index] + CANCEL_CREDIT_PER_ATTEMPT
        self._cancel_credit[command.profile_index] = min(MAX_CANCEL_CREDIT, credit)

    def record_ended(self, command: Command, now: int) -> None:
        """Record that a command has ended. It widens the retry budget only now, as its outcome is known."""
        insort(self._arrivals, command.admitted_at)
        self._drop_old_times(now)  # here too, as none may start for long, while commands come and are shed

    def has_cancel_credit(self, command: Command) -> bool:
        """Whether a slow attempt of the command's profile may be cancelled."""
        return self._cancel_credit[command.profile_index] >= 1

    def spend_cancel_credit(self, command: Command) -> None:
        """Record that a slow attempt of the command is cancelled."""
        self._cancel_credit[command.profile_index] -= 1

    def _has_retry_budget(self) -> bool:
        base = self.agreement.retry_budget_base
        if base is None or self._budgets.share(BudgetKind.RETRIES, 0) is not None:
            return True
        return len(self._retry_times) + 1 <= base + self.agreement.retry_budget_share * len(self._arrivals)

    def _drop_old_times(self, now: int) -> None:
        """Drop times that are before the window of the retry budget."""
        window_start = now - self.agreement.retry_budget_window_us
        for times in (self._arrivals, self._retry_times):
            while times and times[0] <= window_start:
                times.popleft()
