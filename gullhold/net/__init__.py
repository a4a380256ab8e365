"""The gateway on sockets: one module for each stage of a command. Nothing here decides."""

import socket
import struct


def host_port(address):
    """HOST:PORT as sockets want it."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def patience(sock, wait_us):
    """A read waits so long at most (0: for ever), then raises BlockingIOError; writes are as before."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, struct.pack("ll", *divmod(wait_us, 1_000_000)))
