"""A thread that carries out requests to the store, one after another."""

from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, Protocol

from gullhold.fleet.store_calls import Reply, Request
from gullhold.net.startup import start_thread


class StoreSession(Protocol):
    """One session with the store, as a lane needs it."""

    def call(self, request: Request) -> Reply:
        """Carry one request out."""
        ...


class Lane:
    """A queue of requests with a thread and a session with the store of its own.

    Requests of one lane are carried out in turn, those of different lanes do not wait for each other.
    """

    def __init__(
        self, name: str, make_session: Callable[[], StoreSession], post: Callable[..., None]
    ) -> None:
        """post(call, *arguments): has the call made on the fleet's thread."""
        self._make_session = make_session
        self._post = post
        self._requests: SimpleQueue[tuple[Request, Callable[..., Any], tuple[Any, ...]]] = SimpleQueue()
        start_thread(self._run, f"fleet {name}")

    def put(self, request: Request, on_reply: Callable[..., Any], *context: Any) -> None:
        """Carry the request out; on_reply(*context, reply) follows on the fleet's thread."""
        self._requests.put((request, on_reply, context))

    def _run(self) -> None:
        session = self._make_session()
        while True:
            request, on_reply, context = self._requests.get()
            self._post(on_reply, *context, session.call(request))
