"""A relay between two processes, which cuts, delays, halves and loses what passes, one way or both."""

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
CLOSE_CHECK_S = 0.5  # the most that a held connection waits between looks at whether the relay is closed


class Direction(StrEnum):
    """A direction of a relay."""

    THERE = "there"  # from the side that connects to the one that listens
    BACK = "back"


class RelayMode(StrEnum):
    """What becomes of the bytes of a direction."""

    OPEN = "open"
    HELD = "held"
    LOST = "lost"
    HALVED = "halved"


class Relay:
    """Passes bytes to a target until set() says otherwise.

    Held bytes go on when the direction is open again, as a network would deliver them late, also those of a
    side that has given up. Lost: the connection ends in their place. Halved: half of the next bytes go on,
    then the connection ends.
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
        """From now on what passes in these directions is open, held, lost or halved."""
        with self._changed:
            self._modes.update(dict.fromkeys(directions, mode))
            self._changed.notify_all()

    def reset(self) -> None:
        """End every connection."""
        for sock in list(self._sockets):
            self._end(sock)

    def close(self) -> None:
        """Refuse connections from now on."""
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
        self._wait(Direction.THERE)  # a new connection does not come up through a cut
        try:
            far = socket.create_connection(self.target, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(sock)
        back = threading.Thread(target=self._pump, args=(far, near, Direction.BACK), daemon=True)
        back.start()
        self._pump(near, far, Direction.THERE)
        back.join()
        # Only now: while a thread reads there the socket's number must not become another's.
        for sock in (near, far):
            self._sockets.discard(sock)
            sock.close()

    def _wait(self, direction: Direction) -> RelayMode:
        """Wait while a direction is held; its mode after that."""
        with self._changed:
            while self._modes[direction] == RelayMode.HELD and not self._is_closed:
                self._changed.wait(CLOSE_CHECK_S)
            return self._modes[direction]

    def _pump(self, source: socket.socket, sink: socket.socket, direction: Direction) -> None:
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                mode = self._wait(direction)
                if mode == RelayMode.LOST:
                    break
                sink.sendall(data[: len(data) // 2] if mode == RelayMode.HALVED else data)
                if mode == RelayMode.HALVED:
                    break
            else:  # what was sent before the end still goes on
                self._wait(direction)
                sink.shutdown(socket.SHUT_WR)
                return
        self._end(source)
        self._end(sink)

    def _end(self, sock: socket.socket) -> None:
        """Both threads that read and write there return; the one that made the socket closes it."""
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
