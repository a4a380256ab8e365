"""Review of open attempts of idempotent commands: cancel, mark as stalled or leave alone."""

from enum import Enum, auto

from gullhold.decisions.command import Command
from gullhold.decisions.estimators import Estimates
from gullhold.decisions.retry_policy import RetryPolicy
from gullhold.interface import Agreement

# In multiples of the usual run time of a command:
REVIEW_INTERVAL_RUNS = 0.6  # time between reviews of an attempt
SLOW_RUNS = 1.8  # age from which an attempt is slow, because of a bad query plan or a slow engine
STALLED_RUNS = 3.0  # age from which it is stalled; also the remaining run time from which it is slow


class Verdict(Enum):
    """What is to be done with an open attempt."""

    CANCEL = auto()  # cancel it, then dispatch the command again
    STALLED = auto()  # leave it open, and start no new attempts on its engine
    REVIEW_AGAIN = auto()  # leave it open, and review it later
    LEAVE_ALONE = auto()  # a new attempt would be too late


class AttemptReview:
    """Compares the age and progress of open attempts with the usual run time of their profile.

    A slow attempt that can't be cancelled (engines don't support it, or the profile has no cancel credit)
    stays open until its end is known. Once it is stalled, its engine gets no new attempts from this gateway,
    because some engines accept work and never answer, or become extremely slow. The price is that one command
    with a bad query plan keeps this gateway off an engine while it runs.
    """

    def __init__(self, agreement: Agreement, estimates: Estimates, retries: RetryPolicy) -> None:
        self._supports_cancel = agreement.supports_cancel
        self._estimates = estimates
        self._retries = retries

    def first_review_at(self, run_us: float, now: int) -> int:
        """Return the time (us) of the first review of an attempt that starts now."""
        return int(now + REVIEW_INTERVAL_RUNS * run_us)

    def next_review_at(self, command: Command, now: int) -> int:
        """Return the time (us) of the next review of an attempt that is reviewed now."""
        return int(now + REVIEW_INTERVAL_RUNS * self._estimates.run_us(command)) + 1

    def verdict(self, command: Command, now: int) -> Verdict:
        """Decide what is to be done with the command's open attempt."""
        run_us = self._estimates.run_us(command)
        if now + run_us > command.worthwhile_until:
            return Verdict.LEAVE_ALONE
        if self._is_slow(command, run_us, now) and self._may_cancel(command, now):
            return Verdict.CANCEL
        if now - command.sent_at >= STALLED_RUNS * run_us:
            return Verdict.STALLED
        return Verdict.REVIEW_AGAIN

    def _is_slow(self, command: Command, run_us: float, now: int) -> bool:
        """Whether the attempt is slow, by the progress that its engine reported if any, else by its age."""
        age_us = now - command.sent_at
        if command.progress:
            return age_us * (1 / command.progress - 1) > STALLED_RUNS * run_us
        return age_us >= SLOW_RUNS * run_us

    def _may_cancel(self, command: Command, now: int) -> bool:
        if not self._supports_cancel or not self._retries.has_cancel_credit(command):
            return False
        return self._retries.may_start(command, now)
