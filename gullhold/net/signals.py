"""Delivers signals as bytes in a pipe that one thread reads, so that they interrupt no other thread."""

import os
import select
import signal
from collections.abc import Iterable
from contextlib import suppress

CORE_ENDED = 0  # the byte that wake() writes; no signal has this number
READ_SIZE = 4096  # bytes per read; each byte is a signal number


class Signals:
    """The signals that this process receives, read by wait(). Create it in the main thread.

    Python runs signal handlers only in the main thread, once its current wait returns; a signal that the
    system delivers to another thread does not interrupt that wait. The wakeup descriptor works in either
    case: the interpreter's C handler writes the signal number to the pipe in whichever thread it runs.
    """

    def __init__(self, signal_numbers: Iterable[int]) -> None:
        self._read_end, self._write_end = os.pipe()
        os.set_blocking(self._read_end, False)
        os.set_blocking(self._write_end, False)
        # No warning if the pipe is full: its bytes wake the reader anyway.
        signal.set_wakeup_fd(self._write_end, warn_on_full_buffer=False)
        for number in signal_numbers:
            signal.signal(number, lambda *_: None)  # no byte is written without a Python handler

    def wake(self) -> None:
        """Make wait() return CORE_ENDED. Thread-safe."""
        with suppress(BlockingIOError):  # full: its bytes wake the reader anyway
            os.write(self._write_end, bytes([CORE_ENDED]))

    def wait(self, timeout_s: float | None) -> tuple[int, ...]:
        """Return the signals received, each once, in order; empty after the timeout (None: no timeout)."""
        readable, _, _ = select.select([self._read_end], [], [], timeout_s)
        if not readable:
            return ()
        return tuple(dict.fromkeys(os.read(self._read_end, READ_SIZE)))
