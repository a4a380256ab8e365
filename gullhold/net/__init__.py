"""The gateway on sockets: one module for each stage of a command. Nothing here decides."""

import socket
import struct
from contextlib import suppress

OPTION_TRIES = 8  # of one option of a socket; each is refused for a moment at most


def host_port(address):
    """HOST:PORT as sockets want it."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def set_read_timeout(sock, wait_us):
    """A read waits so long at most (0: for ever), then raises BlockingIOError; writes are as before.

    Tried several times: where the system refuses for a moment, a connection with requests on it would end.
    """
    option = struct.pack("ll", *divmod(wait_us, 1_000_000))
    for left in reversed(range(OPTION_TRIES)):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, option)
            return
        except OSError:
            if not left:
                raise


def set_no_delay(sock):
    """Small writes go out at once. Where the system refuses they go out a little later: no reason to end."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
