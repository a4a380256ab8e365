"""A test engine that follows a script of steps, one for each fetch, and records the messages it receives.

A step is a function of a connection and the words of a message: step(connection, verb, *words). Each fetch
takes the next step of the script; the last step is used again and again. The step is called for the fetch and
for the messages that follow on its connection, except for alive messages, which the engine answers itself.
"""

import socket
import struct
import time
from collections.abc import Callable
from threading import Thread
from typing import Any

from gullhold.net import resp
from gullhold.testing import accepted_connections, open_listener

MAX_MESSAGE_BYTES = 200_000  # bytes of one message of the gateway
DEFAULT_PAGE = b"a\tb\tc\n"
DEFAULT_FIELDS = b"cost=20.5,need=64,load=inflight:7;x0:0.5"

Step = Callable[..., Any]
# (number of the connection from 1, verb, *words, monotonic time in s). An answer to an alive message is
# recorded as (number of the connection, b"alive answered", monotonic time in s).
ReceivedMessage = tuple[Any, ...]


class ScriptedEngine:
    """An engine that listens until close() and answers according to its script.

    script: the steps that are left, which tests may replace; received: all messages so far; alive_delay_s:
    delay before an alive message is answered.
    """

    def __init__(self, *script: Step) -> None:
        self.script = list(script) or [serve_pages()]
        self.received: list[ReceivedMessage] = []
        self.connections: list[socket.socket] = []
        self.alive_delay_s = 0.0
        self.listener, self.address = open_listener()
        Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        for connection in accepted_connections(self.listener):
            self.connections.append(connection)
            Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        decoder = resp.Decoder(MAX_MESSAGE_BYTES)
        step: Step | None = None
        number = len(self.connections)
        try:
            while decoder.buffer.receive(connection):
                for words in decoder.arrays():
                    self.received.append((number, *words, time.monotonic()))
                    if words[0] == b"fetch":
                        step = self._next_step()
                    if words[0] == b"alive" and step is not answer_nothing:
                        self._answer_alive(connection, number, words[1])
                    elif step:
                        step(connection, *words)
        except OSError:
            pass

    def _next_step(self) -> Step:
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]

    def _answer_alive(self, connection: socket.socket, number: int, txn: bytes) -> None:
        time.sleep(self.alive_delay_s)
        self.received.append((number, b"alive answered", time.monotonic()))
        connection.sendall(resp.encode(txn, b"alive"))

    def messages(self, verb: bytes) -> list[ReceivedMessage]:
        """Return the messages received with this verb."""
        return [message for message in self.received if message[1] == verb]

    def stop_listening(self) -> None:
        """Refuse connections from now on."""
        self.listener.shutdown(socket.SHUT_RDWR)  # close() alone does not end an accept() that is waiting
        self.listener.close()

    def close(self) -> None:
        """Stop listening, and reset all connections, as if the process had died."""
        if self.listener.fileno() >= 0:
            self.stop_listening()
        for connection in self.connections:
            if connection.fileno() >= 0:
                reset_connection(connection, b"fetch")


def serve_pages(*pages: bytes, fields: bytes = DEFAULT_FIELDS) -> Step:
    """Return a step that answers a fetch with these pages, by default with one."""
    pages = pages or (DEFAULT_PAGE,)

    def step(connection: socket.socket, verb: bytes, *words: bytes) -> None:
        if verb == b"fetch":
            header = b"pages=%d,%s" % (len(pages), fields)
            connection.sendall(resp.encode(words[0], b"200", header, pages[0]))
        if verb == b"more":
            connection.sendall(resp.encode(words[0], b"chunk", b"page=" + words[1], pages[int(words[1])]))

    return step


def reply_with(status: bytes, *rest: bytes) -> Step:
    """Return a step that answers a fetch with this status, these further words and no page."""

    def step(connection: socket.socket, verb: bytes, *words: bytes) -> None:
        if verb == b"fetch":
            connection.sendall(resp.encode(words[0], status, *rest, b"-", b""))

    return step


def send_bytes(data: bytes) -> Step:
    """Return a step that answers a fetch with these bytes, which need not be a valid message."""

    def step(connection: socket.socket, verb: bytes, *_words: bytes) -> None:
        if verb == b"fetch":
            connection.sendall(data)

    return step


def reset_connection(connection: socket.socket, verb: bytes, *_words: bytes) -> None:
    """Step: reset the connection at a fetch, like a process that dies while it runs the command."""
    if verb == b"fetch":
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()


def answer_nothing(*_message: Any) -> None:
    """Step: answer nothing, not even alive messages, like a machine that is off the network."""


def never_finish(*_message: Any) -> None:
    """Step: run the command forever, on a connection that still answers alive messages."""
