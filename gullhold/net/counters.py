"""Counters of the gateway: for reports to operators, and for judging the canary of a rollout."""

from collections import Counter
from threading import Lock

# Counters by which the canary of a rollout is judged.
ANSWERED = "answered"
ANSWER_TIME_US = "answer_time_us"  # total of all answered requests; counted only if there is a policy
FAILED = "failed"
SHED = "shed"


class Counters:
    """Named counts and highest values. Thread-safe."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.peaks: dict[str, int] = {}
        self.lock = Lock()

    def add(self, name: str, step: int = 1) -> None:
        """Add a step to a count."""
        with self.lock:
            self.counts[name] += step

    def peak(self, name: str, value: int) -> None:
        """Record a value; only the highest one of a name is kept."""
        if value > self.peaks.get(name, 0):
            with self.lock:
                self.peaks[name] = max(value, self.peaks.get(name, 0))

    def lines(self) -> list[str]:
        """Return all counts and peaks as name=value, sorted by name."""
        with self.lock:
            rows = list(self.counts.items())
            rows += [(f"peak_{name}", value) for name, value in self.peaks.items()]
        return [f"{name}={value}" for name, value in sorted(rows)]
