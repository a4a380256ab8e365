"""Items of the queue of the fleet's thread: calls for the thread to make."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

Event = Callable[[], Any]  # any callable without parameters


@dataclass(frozen=True, slots=True)
class Invoke:
    """Event: make this call with these arguments."""

    call: Callable[..., Any]
    arguments: tuple[Any, ...] = ()

    def __call__(self) -> None:
        """Make the call."""
        self.call(*self.arguments)
