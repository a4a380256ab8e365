"""Acquires threads and descriptors at the start of a process, with retries while they are short.

Guards against a process that ends at its start, or lives on without a part of it, because the machine was
short of threads, descriptors or buffers in that instant: hundreds of processes may start there at once.
"""

import errno
import time
from collections.abc import Callable
from threading import Thread
from typing import TypeVar

from gullhold.net.connection_ends import LOCAL_EXHAUSTION_ERRNOS

Resource = TypeVar("Resource")

RETRY_LIMIT_S = 20.0  # under the 30 s that a start may take
RETRY_INTERVAL_S = 0.02  # short beside a start; a shortage lasts for moments
TRANSIENT_ERRNOS = LOCAL_EXHAUSTION_ERRNOS | {errno.ECONNABORTED}


class ResourceError(Exception):
    """The system kept refusing a resource; the text names the resource and the last error."""


def retry_while_exhausted(
    resource_name: str, acquire: Callable[[], Resource], limit_s: float = RETRY_LIMIT_S
) -> Resource:
    """Return what acquire() returns, calling it again while the system is short of resources.

    Raises ResourceError once the time limit is over. Errors of other kinds are raised unchanged.
    """
    deadline = time.monotonic() + limit_s
    while True:
        try:
            return acquire()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                raise
            last_error: Exception = error
        except (RuntimeError, MemoryError) as error:  # raised by Python where a thread can't be started
            last_error = error
        if time.monotonic() >= deadline:
            raise ResourceError(f"{resource_name}: refused for {limit_s:g} s: {last_error}") from last_error
        time.sleep(RETRY_INTERVAL_S)


def start_thread(run: Callable[[], None], name: str) -> None:
    """Start a long-lived daemon thread. Raises ResourceError."""

    def start() -> None:
        Thread(target=run, name=name, daemon=True).start()

    retry_while_exhausted(f"thread {name}", start)
