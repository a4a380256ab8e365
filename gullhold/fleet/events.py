"""Items of the queue of the fleet's thread, which calls each of them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

Event = Callable[[], Any]


@dataclass(frozen=True, slots=True)
class Invoke:
    """Event: a function to call, with its arguments."""

    call: Callable[..., Any]
    arguments: tuple[Any, ...] = ()

    def __call__(self) -> None:
        """Make the call."""
        self.call(*self.arguments)
