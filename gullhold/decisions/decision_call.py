"""The driver's call that is being handled."""

from gullhold.interface import Result


class DecisionCall:
    """The time of the call (us) and its results so far, which remain available if it raises an exception."""

    __slots__ = ("now", "results")

    def __init__(self, now: int) -> None:
        self.now = now
        self.results: list[Result] = []

    def begin(self, now: int) -> None:
        """Begin a new call, without results."""
        self.now = now
        self.results = []
