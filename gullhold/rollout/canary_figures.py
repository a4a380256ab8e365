"""Figures on this member's commands while a canary runs, reported in its vote. Performs no I/O."""

from collections.abc import Callable

from gullhold.rollout.vote import CommandFigures

REPORT_INTERVAL_US = 500_000  # us between reports while a canary runs


class CanaryFigures:
    """Computes the figures to report. due_at: when the next report is due, us of a monotonic clock."""

    def __init__(self, read_figures: Callable[[], CommandFigures]) -> None:
        """read_figures: returns figures on commands since the start of the process."""
        self.due_at = 0
        self._read_figures = read_figures
        self._baseline: CommandFigures | None = None  # figures at the first report

    def reset(self) -> None:
        """Start from zero again: the next report is the new baseline."""
        self._baseline = None

    def next_report(self, now: int) -> CommandFigures:
        """Return the figures since the first report, and schedule the next one."""
        self.due_at = now + REPORT_INTERVAL_US
        figures = self._read_figures()
        if self._baseline is None:
            self._baseline = figures
        return figures.since(self._baseline)
