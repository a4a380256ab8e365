"""The call of the driver that is being decided on."""

from gullhold.interface import Result


class DecisionCall:
    """Its time (us), and the results so far; they stand also after the call has raised an exception."""

    __slots__ = ("now", "results")

    def __init__(self, now: int) -> None:
        self.now = now
        self.results: list[Result] = []

    def begin(self, now: int) -> None:
        """A new call begins."""
        self.now = now
        self.results = []
