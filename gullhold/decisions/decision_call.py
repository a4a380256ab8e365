"""The current call of the driver."""

from gullhold.interface import Result


class DecisionCall:
    """Its time (us) and the results so far, which remain available if the call raises an exception."""

    __slots__ = ("now", "results")

    def __init__(self, now: int) -> None:
        self.now = now
        self.results: list[Result] = []

    def begin(self, now: int) -> None:
        """Begin a new call."""
        self.now = now
        self.results = []
