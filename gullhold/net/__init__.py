"""The gateway on sockets: a module for each stage of a command. Decisions are made in gullhold.decisions."""

import socket
import struct
from contextlib import suppress

MAX_OPTION_ATTEMPTS = 8  # to set one option of a socket; a refusal lasts for a moment at most
US_PER_MS = 1000
US_PER_S = 1_000_000


def split_host_port(address: str) -> tuple[str, int]:
    """Split HOST:PORT as sockets want it. Raises ValueError where the port is no number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def ceil_to_ms(duration_us: int) -> int:
    """Whole milliseconds, rounded up."""
    return -(-duration_us // US_PER_MS)


def set_read_timeout(sock: socket.socket, timeout_us: int) -> None:
    """Set how long a read waits (0: no limit) before it raises BlockingIOError; writes are not affected.

    Attempted several times, so that a short refusal of the system ends no connection with open requests.
    Raises OSError where it keeps refusing.
    """
    seconds_and_us = struct.pack("ll", *divmod(timeout_us, US_PER_S))
    for attempts_left in reversed(range(MAX_OPTION_ATTEMPTS)):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, seconds_and_us)
            return
        except OSError:
            if not attempts_left:
                raise


def set_no_delay(sock: socket.socket) -> None:
    """Send small writes at once. A refusal of the system is ignored: they are only sent a little later."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
