"""What becomes of an open attempt of an idempotent command that takes far longer than usual."""

from enum import Enum, auto

from gullhold.decisions.command import Command
from gullhold.decisions.estimators import Estimates
from gullhold.decisions.retry_policy import RetryPolicy
from gullhold.interface import Agreement

REVIEW_RUNS = 0.6  # usual runs between reviews of an attempt
SLOW_RUNS = 1.8  # usual runs after which an attempt is slow (a bad plan, a slow engine)
STALLED_RUNS = 3.0  # usual runs after which one is stalled, or that its progress leaves where it is slow


class Verdict(Enum):
    """What a review comes to."""

    CANCEL = auto()  # to start the command afresh
    STALLED = auto()  # it stays open, and its engine gets nothing new
    REVIEW_AGAIN = auto()
    LEAVE_ALONE = auto()  # a new attempt would be too late


class AttemptReview:
    """Reviews of open attempts against the usual run.

    What can't be started afresh (no cancels, none left) stays open until its end is known, and its engine
    gets nothing new: guards against engines that take work and answer nothing, or crawl. Harm: one bad plan
    closes an engine to us while it runs.
    """

    def __init__(self, agreement: Agreement, estimates: Estimates, retries: RetryPolicy) -> None:
        self._supports_cancel = agreement.supports_cancel
        self._estimates = estimates
        self._retries = retries

    def first_at(self, run_us: float, now: int) -> int:
        """When an attempt that starts now is reviewed first."""
        return int(now + REVIEW_RUNS * run_us)

    def next_at(self, command: Command, now: int) -> int:
        """When an attempt that was reviewed now is reviewed again."""
        return int(now + REVIEW_RUNS * self._estimates.run_us(command)) + 1

    def verdict(self, command: Command, now: int) -> Verdict:
        """What is to become of the command's attempt."""
        run_us = self._estimates.run_us(command)
        if now + run_us > command.worthwhile_until:
            return Verdict.LEAVE_ALONE
        if self._is_slow(command, run_us, now) and self._may_cancel(command, now):
            return Verdict.CANCEL
        if now - command.sent_at >= STALLED_RUNS * run_us:
            return Verdict.STALLED
        return Verdict.REVIEW_AGAIN

    def _is_slow(self, command: Command, run_us: float, now: int) -> bool:
        """By its progress, where the engine reported any, else by its age."""
        age_us = now - command.sent_at
        if command.progress:
            return age_us * (1 / command.progress - 1) > STALLED_RUNS * run_us
        return age_us >= SLOW_RUNS * run_us

    def _may_cancel(self, command: Command, now: int) -> bool:
        if not self._supports_cancel or not self._retries.has_cancel_credit(command):
            return False
        return self._retries.may_start(command, now)
