"""Every way in which a connection ends, and what that, or an engine's word, means for an attempt."""

import errno
from enum import Enum

from loguru import logger

from gullhold.interface import Outcome


class ProtocolError(Exception):
    """Bytes that the protocol does not allow."""


class ConnectionEnd(Enum):
    """How a connection ended; the text is what staff read."""

    REFUSED = "refused"
    NOT_UP = "not up in time"
    UNREACHABLE = "unreachable"
    CLOSED = "closed by the other side"
    RESET = "reset"
    MALFORMED = "malformed bytes"
    SILENT = "silent: no word, not even an alive"
    BACKED_UP = "other side does not read"
    IDLE = "idle, closed by us"
    RETIRED = "no longer needed, closed by us"
    SHORT = "no socket, port or buffer left here"
    FAULT = "fault of ours"


# What socket() and connect() say where this machine is short of something, for a moment: socket(2),
# connect(2), ip(7). It proves nothing about the other side.
SHORT_HERE = frozenset(
    (
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
    )
)


# Ends that we bring about while something is open.
CAUSED_BY_US = frozenset(
    (ConnectionEnd.MALFORMED, ConnectionEnd.SILENT, ConnectionEnd.BACKED_UP, ConnectionEnd.FAULT)
)
# Ends at which what never went out is no failure of the other side.
NO_BLAME = frozenset((ConnectionEnd.RETIRED, ConnectionEnd.SHORT))
# Ends of a client's connection at which the client is still there, and waits for what it asked.
CLIENT_STILL_WAITS = frozenset((ConnectionEnd.IDLE, ConnectionEnd.MALFORMED, ConnectionEnd.FAULT))


def outcome(is_written: bool) -> Outcome:
    """What the end of a connection, however it came, is to an attempt whose fetch was or was not written.

    One that never went out whole never ran.
    """
    return Outcome.RESET if is_written else Outcome.CONNECT_FAILED


def classify_exception(error: Exception, connecting: bool = False) -> tuple[ConnectionEnd, str]:
    """The end and its text for what a reader caught; all that no protocol or system explains is our fault."""
    if isinstance(error, ProtocolError):
        return ConnectionEnd.MALFORMED, str(error)
    if isinstance(error, OSError):
        return classify_os_error(error, connecting), str(error)
    logger.opt(exception=error).error("a reader failed")
    return ConnectionEnd.FAULT, ""


def classify_os_error(error: OSError, connecting: bool = False) -> ConnectionEnd:
    """The end that an operating system's error stands for."""
    if isinstance(error, ConnectionRefusedError):
        return ConnectionEnd.REFUSED
    if connecting and error.errno in SHORT_HERE:
        return ConnectionEnd.SHORT
    if isinstance(error, BlockingIOError):
        return ConnectionEnd.IDLE  # a read's time-out
    if isinstance(error, TimeoutError):  # on an open connection ETIMEDOUT: it broke, as by a reset
        return ConnectionEnd.NOT_UP if connecting else ConnectionEnd.RESET
    if isinstance(error, ConnectionError):
        return ConnectionEnd.RESET
    return ConnectionEnd.UNREACHABLE if connecting else ConnectionEnd.RESET
