"""What the gateway took in, sent and answered: for staff, and for a canary of the fleet's."""

from collections import Counter
from threading import Lock


class Counters:
    """Named counts and highest values, safe from every thread."""

    def __init__(self):
        self.counts, self.peaks, self.lock = Counter(), {}, Lock()

    def add(self, name, step=1):
        """Count."""
        with self.lock:
            self.counts[name] += step

    def peak(self, name, value):
        """Keep the highest."""
        if value > self.peaks.get(name, 0):
            with self.lock:
                self.peaks[name] = max(value, self.peaks.get(name, 0))

    def lines(self):
        """All of them as text, by name."""
        with self.lock:
            rows = [(name, count) for name, count in self.counts.items()]
            rows += [(f"most {name}", value) for name, value in self.peaks.items()]
        return [f"{name}: {value}" for name, value in sorted(rows)]
