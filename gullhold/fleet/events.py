"""What is put on the queue of the fleet's thread: calls that the thread makes."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

Event = Callable[[], Any]  # any call without arguments may be put on the queue


@dataclass(frozen=True, slots=True)
class Invoke:
    """Event: make this call with these arguments."""

    call: Callable[..., Any]
    arguments: tuple[Any, ...] = ()

    def __call__(self) -> None:
        """Make the call."""
        self.call(*self.arguments)
