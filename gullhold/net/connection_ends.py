"""The ways in which a connection ends, and what each means for the attempts on it."""

import errno
from enum import Enum

from loguru import logger

from gullhold.interface import Outcome


class ProtocolError(Exception):
    """Received bytes violate a protocol; the message says how."""


class ConnectionEnd(Enum):
    """How a connection ended; the value is the reason in log lines and counters."""

    REFUSED = "refused"
    CONNECT_TIMEOUT = "connect_timeout"
    UNREACHABLE = "unreachable"
    CLOSED_BY_PEER = "closed_by_peer"
    RESET = "reset"
    MALFORMED = "malformed"
    SILENT = "silent"
    PEER_NOT_READING = "peer_not_reading"
    IDLE = "idle"
    RETIRED = "retired"
    REPLACED = "replaced"
    LOCAL_EXHAUSTION = "local_exhaustion"
    INTERNAL_FAULT = "internal_fault"


# Errors of socket() and connect() that mean a temporary shortage on this machine: socket(2), connect(2),
# ip(7). They say nothing about the peer.
LOCAL_EXHAUSTION_ERRNOS = frozenset(
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


# Ends that the gateway causes while attempts or requests are open.
CAUSED_BY_GATEWAY = frozenset(
    (
        ConnectionEnd.MALFORMED,
        ConnectionEnd.SILENT,
        ConnectionEnd.PEER_NOT_READING,
        ConnectionEnd.REPLACED,
        ConnectionEnd.INTERNAL_FAULT,
    )
)
# Ends that are no fault of the peer if nothing was written.
PEER_NOT_AT_FAULT = frozenset((ConnectionEnd.RETIRED, ConnectionEnd.REPLACED, ConnectionEnd.LOCAL_EXHAUSTION))
# Ends of a client connection after which the client still waits for its answers.
CLIENT_STILL_WAITS = frozenset((ConnectionEnd.IDLE, ConnectionEnd.MALFORMED, ConnectionEnd.INTERNAL_FAULT))


def attempt_outcome(is_written: bool) -> Outcome:
    """Return the outcome of an attempt whose connection ended; is_written: its fetch was written completely.

    An attempt whose fetch was not written completely never ran.
    """
    return Outcome.RESET if is_written else Outcome.CONNECT_FAILED


def classify_exception(error: Exception, connecting: bool = False) -> tuple[ConnectionEnd, str]:
    """Return the end and its details for an exception of a reader; an unexpected one is logged as a fault."""
    if isinstance(error, ProtocolError):
        return ConnectionEnd.MALFORMED, str(error)
    if isinstance(error, OSError):
        return classify_os_error(error, connecting), str(error)
    logger.opt(exception=error).error("connection reader failed")
    return ConnectionEnd.INTERNAL_FAULT, ""


def classify_os_error(error: OSError, connecting: bool = False) -> ConnectionEnd:
    """Return the end that an error of a socket call means; connecting: it occurred while connecting."""
    if isinstance(error, ConnectionRefusedError):
        return ConnectionEnd.REFUSED
    if connecting and error.errno in LOCAL_EXHAUSTION_ERRNOS:
        return ConnectionEnd.LOCAL_EXHAUSTION
    if isinstance(error, BlockingIOError):
        return ConnectionEnd.IDLE  # SO_RCVTIMEO: nothing arrived in time
    if isinstance(error, TimeoutError):  # ETIMEDOUT on an open connection: it broke, as by a reset
        return ConnectionEnd.CONNECT_TIMEOUT if connecting else ConnectionEnd.RESET
    if isinstance(error, ConnectionError):
        return ConnectionEnd.RESET
    return ConnectionEnd.UNREACHABLE if connecting else ConnectionEnd.RESET
