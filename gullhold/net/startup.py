"""What a process asks of the system at its start, asked again where it is refused for a moment.

Guards against a process that ends at its start, or lives on without a part of it, because the machine was
short of threads, descriptors or buffers in that instant: hundreds of processes may start there at once.
"""

import errno
import time
from threading import Thread

from gullhold.net.connection_ends import SHORT_HERE

PATIENCE_S = 20.0  # s in which what is refused is asked for again: under the 30 s that a start may take
PAUSE_S = 0.02  # s between tries
MOMENTARY = SHORT_HERE | {errno.ECONNABORTED}


class Refused(Exception):
    """The system went on refusing; the text names what, and the system's last word."""


def retried(what, call, seconds=PATIENCE_S):
    """What call() returns, tried again while the system refuses for a moment; other errors go through."""
    end = time.monotonic() + seconds
    while True:
        try:
            return call()
        except OSError as error:
            last = error
            if error.errno not in MOMENTARY:
                raise
        except (RuntimeError, MemoryError) as error:  # how Python tells that a thread can't be started
            last = error
        if time.monotonic() >= end:
            raise Refused(f"{what}: refused for {seconds:g} s: {last}") from last
        time.sleep(PAUSE_S)


def start_thread(run, name):
    """Start a long-lived thread."""

    def start():
        Thread(target=run, name=name, daemon=True).start()

    retried(f"thread {name}", start)
