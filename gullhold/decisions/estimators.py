"""Estimates for each profile: work of a command, memory need against the stated one, and pace.

Work is in core-microseconds. Pace is the latency of an attempt times its threads over its work: 1 where the
threads ran without waiting.
"""

from gullhold.decisions.command import Command
from gullhold.decisions.moving_average import STEP
from gullhold.interface import Agreement

FIRST_PACE = 1.5  # before any answer
FIRST_RUN_SHARE = 0.5  # part of the latency objective that a run takes, before any answer
FIRST_NEED_RATIO = 1.1  # first mean of memory need over estimate
FIRST_NEED_DEVIATION = 0.2  # and how far it lies off
GRANTED_DEVIATIONS = 2.0  # deviations of the need that are granted too: spilling costs more
MAX_WORK_TIMEOUTS = 100  # client timeouts of work that no estimate is believed beyond
MIN_WORK_RATIO = 0.2  # of work over its estimate, as one answer counts
MAX_WORK_RATIO = 5.0
MIN_PACE = 0.01  # of any attempt: keeps ratios of paces finite
MAX_PACE_GROWTH = 3  # times the usual pace that one attempt counts as at the most
BEST_PACE_STEP = STEP / 10  # the best pace forgets slowly


class ProfileEstimate:
    """Moving estimates for the commands of one profile."""

    __slots__ = ("attempts", "best_pace", "need_deviation", "need_ratio", "pace", "usual_work", "work_bias")

    def __init__(self) -> None:
        self.usual_work = 0.0  # 0: no command yet
        self.work_bias = 1.0  # of work over stated work
        self.need_ratio = FIRST_NEED_RATIO
        self.need_deviation = FIRST_NEED_DEVIATION
        self.best_pace = 1.0
        self.pace = FIRST_PACE
        self.attempts = 0  # that ended and count

    def record_need(self, ratio: float, step: float) -> None:
        """An attempt needed so much memory against its estimate."""
        offset = ratio - self.need_ratio
        self.need_ratio = self.need_ratio + offset * step
        self.need_deviation = self.need_deviation + (abs(offset) - self.need_deviation) * step

    def record_answer(self, work: float, estimated_work: float, pace: float) -> None:
        """An attempt was answered."""
        ratio = min(max(work / estimated_work, MIN_WORK_RATIO), MAX_WORK_RATIO)
        self.work_bias += STEP * (ratio - 1.0) * self.work_bias
        self.best_pace = min(pace, self.best_pace + BEST_PACE_STEP * (pace - self.best_pace))

    def record_pace(self, pace: float, step: float) -> None:
        """The pace of an attempt, also of one that was cut off."""
        self.pace += step * (min(pace, MAX_PACE_GROWTH * self.pace) - self.pace)


class Estimates:
    """The estimates of all profiles."""

    def __init__(self, agreement: Agreement) -> None:
        self._profiles = agreement.profiles
        self.by_profile = [ProfileEstimate() for _ in agreement.profiles]
        self.least_usual_work = 1.0

    def command_work(self, profile_index: int, stated_work: float) -> float:
        """The work that a new command is taken to be; stated_work: its estimate, of any value, 0: none.

        Estimates that are none, or beyond all that a client waits for, are bounded, never an error.
        """
        profile = self._profiles[profile_index]
        estimate = self.by_profile[profile_index]
        if stated_work > 0:
            work = min(stated_work * estimate.work_bias, MAX_WORK_TIMEOUTS * profile.timeout_us)
        else:
            work = estimate.usual_work
        work = work or FIRST_RUN_SHARE * profile.target_us * profile.threads
        if estimate.usual_work:
            estimate.usual_work += STEP * (work - estimate.usual_work)
        else:
            estimate.usual_work = work
        self.least_usual_work = min(each.usual_work for each in self.by_profile if each.usual_work)
        return work

    def largest_usual_work(self) -> float:
        """Usual work of the profile that has the most."""
        return max([estimate.usual_work for estimate in self.by_profile])

    def run_us(self, command: Command) -> float:
        """How long a run of the command takes on an ordinary engine, at present."""
        return command.work / command.threads * self.by_profile[command.profile_index].pace

    def best_run_us(self, command: Command) -> float:
        """How long it takes at the best pace seen."""
        return command.work / command.threads * min(self.by_profile[command.profile_index].best_pace, 1.0)

    def need_mb(self, command: Command) -> float:
        """Memory that covers nearly all runs of the command."""
        estimate = self.by_profile[command.profile_index]
        return command.need_mb * (estimate.need_ratio + GRANTED_DEVIATIONS * estimate.need_deviation)
