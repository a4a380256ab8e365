"""Signals as bytes in a pipe that one thread reads, so that they interrupt no other thread."""

import os
import select
import signal
from collections.abc import Iterable
from contextlib import suppress

CORE_ENDED = 0  # no signal number: the byte that wake() writes
READ_SIZE = 4096  # bytes of one read, a signal each


class Signals:
    """The signals of this process as a stream that wait() reads. To be made in the main thread.

    Python runs a handler only when the main thread returns from its wait, and a signal that another thread
    receives does not make it return. The byte is written by the interpreter's own handler, in any thread.
    """

    def __init__(self, signal_numbers: Iterable[int]) -> None:
        self._read_end, self._write_end = os.pipe()
        os.set_blocking(self._read_end, False)
        os.set_blocking(self._write_end, False)
        # A full pipe needs no warning: it holds enough bytes to wake the reader.
        signal.set_wakeup_fd(self._write_end, warn_on_full_buffer=False)
        for number in signal_numbers:
            signal.signal(number, lambda *_: None)  # without a Python handler no byte is written

    def wake(self) -> None:
        """Make wait() return CORE_ENDED; from any thread."""
        with suppress(BlockingIOError):  # full: there are enough bytes to wake the reader
            os.write(self._write_end, bytes([CORE_ENDED]))

    def wait(self, timeout_s: float | None) -> tuple[int, ...]:
        """Return the numbers that arrived, each once, in order; empty after the timeout (None: none)."""
        readable, _, _ = select.select([self._read_end], [], [], timeout_s)
        if not readable:
            return ()
        return tuple(dict.fromkeys(os.read(self._read_end, READ_SIZE)))
