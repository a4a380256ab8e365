"""Every way in which a connection ends, and what that, or an engine's word, is to the decision module."""

import errno
from enum import Enum

from loguru import logger

from gullhold.interface import Outcome


class Malformed(Exception):
    """Bytes that the protocol does not allow."""


class Ending(Enum):
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
OURS = frozenset((Ending.MALFORMED, Ending.SILENT, Ending.BACKED_UP, Ending.FAULT))
# Ends at which what never went out is no failure of the other side.
NO_BLAME = frozenset((Ending.RETIRED, Ending.SHORT))
# Ends of a client's connection at which the client is still there, and waits for what it asked.
STILL_THERE = frozenset((Ending.IDLE, Ending.MALFORMED, Ending.FAULT))
# Words of engines that end a send; "full" and "over already" prove that it never ran.
WORDS = {
    b"200": Outcome.ANSWERED,
    b"503": Outcome.OVERLOADED,
    b"500": Outcome.ERROR,
    b"504": Outcome.NOT_STARTED,
}


def outcome(whole):
    """What the end of a link, however it came, is to a send: one that never went out whole never ran."""
    return Outcome.RESET if whole else Outcome.CONNECT_FAILED


def caught(error, connecting=False):
    """(ending, text) for what a reader caught; all that no protocol or system explains is our fault."""
    if isinstance(error, Malformed):
        return Ending.MALFORMED, str(error)
    if isinstance(error, OSError):
        return of_error(error, connecting), str(error)
    logger.opt(exception=error).error("a reader failed")
    return Ending.FAULT, ""


def of_error(error, connecting=False):
    """The ending that an operating system's error stands for."""
    if isinstance(error, ConnectionRefusedError):
        return Ending.REFUSED
    if connecting and error.errno in SHORT_HERE:
        return Ending.SHORT
    if isinstance(error, BlockingIOError):
        return Ending.IDLE  # a read's time-out
    if isinstance(error, TimeoutError):  # on an open connection ETIMEDOUT: it broke, as by a reset
        return Ending.NOT_UP if connecting else Ending.RESET
    if isinstance(error, ConnectionError):
        return Ending.RESET
    return Ending.UNREACHABLE if connecting else Ending.RESET
