"""Estimates for each profile: work of a command, memory need compared with the stated one, and pace.

Work is in core-microseconds. Pace is the latency of an attempt times its threads, divided by its work: 1 if
all threads ran without waiting, more if the attempt was slower.
"""

from gullhold.decisions.command import Command
from gullhold.decisions.moving_average import SMOOTHING_FACTOR
from gullhold.interface import Agreement

# Estimates before the first answer.
INITIAL_PACE = 1.5
INITIAL_RUN_SHARE = 0.5  # ratio of run time at pace 1 to latency objective
INITIAL_NEED_RATIO = 1.1  # mean ratio of memory need to stated need
INITIAL_NEED_DEVIATION = 0.2  # mean absolute deviation of that ratio

GRANTED_DEVIATIONS = 2.0  # deviations granted above the mean need: spilling costs more than unused memory
MAX_WORK_TIMEOUTS = 100  # upper bound of a client's estimate of work, in client timeouts of its profile
MIN_WORK_RATIO = 0.2  # lowest ratio of work to estimated work that one answer counts with
MAX_WORK_RATIO = 5.0  # highest ratio of work to estimated work that one answer counts with
MIN_PACE = 0.01  # a lower pace of an attempt counts as this: keeps ratios of paces finite
MAX_PACE_GROWTH = 3  # highest pace that one attempt counts with, in multiples of the usual pace
BEST_PACE_SMOOTHING = SMOOTHING_FACTOR / 10  # weight of a worse pace: low, so that the best is kept for long


class ProfileEstimate:
    """Moving averages of what the commands of one profile need."""

    __slots__ = ("attempts", "best_pace", "need_deviation", "need_ratio", "pace", "usual_work", "work_bias")

    def __init__(self) -> None:
        self.usual_work = 0.0  # core-us; 0: no command yet
        self.work_bias = 1.0  # ratio of the actual work to the stated work
        self.need_ratio = INITIAL_NEED_RATIO
        self.need_deviation = INITIAL_NEED_DEVIATION
        self.best_pace = 1.0
        self.pace = INITIAL_PACE
        self.attempts = 0  # ended attempts that have been recorded

    def record_need(self, ratio: float, smoothing: float) -> None:
        """Record the memory that an attempt needed. ratio: of its need to the stated need."""
        offset = ratio - self.need_ratio
        self.need_ratio = self.need_ratio + offset * smoothing
        self.need_deviation = self.need_deviation + (abs(offset) - self.need_deviation) * smoothing

    def record_answer(self, work: float, estimated_work: float, pace: float) -> None:
        """Record the work (core-us) and the pace of an attempt that was answered."""
        ratio = min(max(work / estimated_work, MIN_WORK_RATIO), MAX_WORK_RATIO)
        self.work_bias += SMOOTHING_FACTOR * (ratio - 1.0) * self.work_bias
        self.best_pace = min(pace, self.best_pace + BEST_PACE_SMOOTHING * (pace - self.best_pace))

    def record_pace(self, pace: float, smoothing: float) -> None:
        """Record the pace of an attempt, also of one that was cancelled or timed out."""
        self.pace += smoothing * (min(pace, MAX_PACE_GROWTH * self.pace) - self.pace)


class Estimates:
    """The estimates of all profiles."""

    def __init__(self, agreement: Agreement) -> None:
        self._profiles = agreement.profiles
        self.by_profile = [ProfileEstimate() for _ in agreement.profiles]
        self.smallest_usual_work = 1.0

    def command_work(self, profile_index: int, stated_work: float) -> float:
        """Estimate the work of a new command, and learn from it.

        stated_work: the client's estimate (core-us), of any value; 0: none. An estimate that is negative or
        not a number is replaced, and one that is far too high is bounded; neither is an error.
        """
        profile = self._profiles[profile_index]
        estimate = self.by_profile[profile_index]
        if stated_work > 0:
            work = min(stated_work * estimate.work_bias, MAX_WORK_TIMEOUTS * profile.timeout_us)
        else:
            work = estimate.usual_work
        work = work or INITIAL_RUN_SHARE * profile.objective_us * profile.threads
        if estimate.usual_work:
            estimate.usual_work += SMOOTHING_FACTOR * (work - estimate.usual_work)
        else:
            estimate.usual_work = work
        self.smallest_usual_work = min(each.usual_work for each in self.by_profile if each.usual_work)
        return work

    def largest_usual_work(self) -> float:
        """Return the highest usual work (core-us) of any profile."""
        return max([estimate.usual_work for estimate in self.by_profile])

    def run_us(self, command: Command) -> float:
        """Return the run time (us) to be expected of the command at the usual pace of its profile."""
        return command.work / command.threads * self.by_profile[command.profile_index].pace

    def best_run_us(self, command: Command) -> float:
        """Return the run time (us) to be expected of the command at the best pace seen."""
        return command.work / command.threads * min(self.by_profile[command.profile_index].best_pace, 1.0)

    def need_mb(self, command: Command) -> float:
        """Return memory (MB) that is enough for nearly all runs of the command."""
        estimate = self.by_profile[command.profile_index]
        return command.need_mb * (estimate.need_ratio + GRANTED_DEVIATIONS * estimate.need_deviation)
