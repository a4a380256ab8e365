"""A TCP relay that can hold, delay, truncate or drop the bytes of one direction or both."""

import socket
import threading
import time
from collections.abc import Iterable
from contextlib import suppress
from enum import StrEnum

from gullhold.net import split_host_port
from gullhold.testing import open_listener

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 5
CLOSE_CHECK_INTERVAL_S = 0.5  # time between a held connection's checks whether the relay is closed


class Direction(StrEnum):
    """A direction of the bytes through a relay."""

    FORWARD = "there"  # from the client to the target
    BACKWARD = "back"


class RelayMode(StrEnum):
    """What becomes of the bytes of a direction."""

    OPEN = "open"  # they are passed on
    HELD = "held"  # they are passed on once the direction is open again
    LOST = "lost"  # they are dropped, and the connection ends
    HALVED = "halved"  # half of the next bytes are passed on, and the connection ends


class Relay:
    """Listens, connects each client to a target, and passes bytes on as the mode of their direction says.

    Held bytes are delivered late, as on a network, even if their sender has closed its connection meanwhile.
    delay_s: delay of all bytes.
    """

    def __init__(self, target: str) -> None:
        """target: HOST:PORT."""
        self.target = split_host_port(target)
        self.delay_s = 0.0
        self._modes = dict.fromkeys(Direction, RelayMode.OPEN)
        self._changed = threading.Condition()
        self._sockets: set[socket.socket] = set()
        self._is_closed = False
        self._listener, self.address = open_listener()
        threading.Thread(target=self._accept, daemon=True).start()

    def set(self, mode: RelayMode = RelayMode.OPEN, directions: Iterable[str] = tuple(Direction)) -> None:
        """Set the mode of these directions, by default of both."""
        with self._changed:
            self._modes.update(dict.fromkeys(directions, mode))
            self._changed.notify_all()

    def reset(self) -> None:
        """End every connection."""
        for sock in list(self._sockets):
            self._end(sock)

    def close(self) -> None:
        """Stop listening, and end all connections."""
        self._is_closed = True
        self.set(RelayMode.OPEN)
        self._end(self._listener)
        self.reset()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                near, _ = self._listener.accept()
            except OSError:
                self._listener.close()
                return
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        self._wait_while_held(Direction.FORWARD)  # no connection is made until then
        try:
            far = socket.create_connection(self.target, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(sock)
        back = threading.Thread(target=self._pump, args=(far, near, Direction.BACKWARD), daemon=True)
        back.start()
        self._pump(near, far, Direction.FORWARD)
        back.join()
        # Closed only after both threads have ended: a descriptor that is closed while a thread still reads it
        # may be reused for another connection.
        for sock in (near, far):
            self._sockets.discard(sock)
            sock.close()

    def _wait_while_held(self, direction: Direction) -> RelayMode:
        """Wait while a direction is held; return its mode after that."""
        with self._changed:
            while self._modes[direction] == RelayMode.HELD and not self._is_closed:
                self._changed.wait(CLOSE_CHECK_INTERVAL_S)
            return self._modes[direction]

    def _pump(self, source: socket.socket, sink: socket.socket, direction: Direction) -> None:
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                mode = self._wait_while_held(direction)
                if mode == RelayMode.LOST:
                    break
                sink.sendall(data[: len(data) // 2] if mode == RelayMode.HALVED else data)
                if mode == RelayMode.HALVED:
                    break
            else:  # end of the stream: the bytes before it were passed on
                self._wait_while_held(direction)
                sink.shutdown(socket.SHUT_WR)
                return
        self._end(source)
        self._end(sink)

    def _end(self, sock: socket.socket) -> None:
        """Shut a socket down, so that threads that use it return; the thread that opened it closes it."""
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
