"""A working test engine that records the commands that it receives."""

import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from gullhold.testing.working_engine import WorkingEngine


class ReceivedCommand(NamedTuple):
    """A command that an engine received. at: Unix s; idempotency_key: empty if the command has none."""

    at: float
    idempotency_key: str
    profile: str
    statement: str


def fetch_fields(words: list[bytes]) -> dict[bytes, bytes]:
    """Return the fields of a fetch message, by their names on the wire."""
    return dict(pair.partition(b"=")[::2] for pair in words[2].split(b","))


class RecordingEngine(WorkingEngine):
    """A working engine with a record of the commands that it received.

    on_fetch: called with the fields and the statement of each fetch before the engine handles it.
    """

    def __init__(self, **other: Any) -> None:
        """other: arguments of WorkingEngine."""
        self.received: list[ReceivedCommand] = []
        self.on_fetch: Callable[[dict[bytes, bytes], bytes], Any] = lambda *_: None
        super().__init__(**other)

    def _receive(self, connection: socket.socket, words: list[bytes]) -> None:
        if words[0] == b"fetch":
            fields = fetch_fields(words)
            key = fields.get(b"i", b"").decode()
            command = ReceivedCommand(time.time(), key, fields[b"c"].decode(), words[3].decode())
            self.received.append(command)
            self.on_fetch(fields, words[3])
        super()._receive(connection, words)
