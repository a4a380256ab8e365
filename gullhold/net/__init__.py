"""The gateway's sockets, threads and event loop. Scheduling decisions are made in gullhold.decisions."""

import socket
import struct
from contextlib import suppress

MAX_SETSOCKOPT_ATTEMPTS = 8  # the system refuses to set an option for a moment at most
US_PER_MS = 1000
US_PER_S = 1_000_000


def split_host_port(address: str) -> tuple[str, int]:
    """Split HOST:PORT into the pair that socket calls take. Raises ValueError if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def ceil_to_ms(duration_us: int) -> int:
    """Convert microseconds to whole milliseconds, rounded up."""
    return -(-duration_us // US_PER_MS)


def set_read_timeout(sock: socket.socket, timeout_us: int) -> None:
    """Set how long a read blocks (0: no limit) before it raises BlockingIOError; writes are not affected.

    A refusal by the system is retried, so that a short one does not end a connection with open requests.
    Raises OSError if every attempt fails.
    """
    seconds_and_us = struct.pack("ll", *divmod(timeout_us, US_PER_S))
    for attempts_left in reversed(range(MAX_SETSOCKOPT_ATTEMPTS)):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, seconds_and_us)
            return
        except OSError:
            if not attempts_left:
                raise


def set_no_delay(sock: socket.socket) -> None:
    """Send small writes at once (TCP_NODELAY). An error is ignored, as it only delays them a little."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
