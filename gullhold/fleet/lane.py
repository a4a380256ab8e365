"""A thread that sends requests to the store, one after the other."""

from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, Protocol

from gullhold.fleet.store_calls import Reply, Request
from gullhold.net.startup import start_thread


class StoreSession(Protocol):
    """The interface of a session with the store that a lane uses."""

    def call(self, request: Request) -> Reply:
        """Send one request and wait for its reply; raises nothing."""
        ...


class Lane:
    """A queue of requests to the store, with its own thread and its own session.

    The requests of one lane are sent in order, each after the reply to the one before; different lanes do not
    wait for each other.
    """

    def __init__(
        self, name: str, make_session: Callable[[], StoreSession], post: Callable[..., None]
    ) -> None:
        """post(call, *arguments): has the fleet's thread make a call."""
        self._make_session = make_session
        self._post = post
        self._requests: SimpleQueue[tuple[Request, Callable[..., Any], tuple[Any, ...]]] = SimpleQueue()
        start_thread(self._run, f"fleet {name}")

    def submit(self, request: Request, on_reply: Callable[..., Any], *context: Any) -> None:
        """Queue a request; on_reply(*context, reply) is called on the fleet's thread."""
        self._requests.put((request, on_reply, context))

    def _run(self) -> None:
        session = self._make_session()
        while True:
            request, on_reply, context = self._requests.get()
            self._post(on_reply, *context, session.call(request))
