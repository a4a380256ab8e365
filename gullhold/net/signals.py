"""Signals as bytes in a pipe, read by one thread: no wait of any other thread has to end for them."""

import os
import select
import signal
from contextlib import suppress

ENDED = 0  # not a signal: what wake() says
READ_MOST = 4096  # bytes of one read, a signal each


class Signals:
    """The signals of this process as a stream; wait() reads it. Made in the main thread.

    Guards against a wait that signals do not interrupt: Python runs a handler only when the main thread comes
    back from what it waits in, and a signal taken by another thread, or a wait that is led elsewhere, does
    not bring it back. The byte is written by the interpreter's own handler, in whichever thread that runs.
    """

    def __init__(self, numbers):
        self.out, self.into = os.pipe()
        os.set_blocking(self.out, False)
        os.set_blocking(self.into, False)
        signal.set_wakeup_fd(self.into, warn_on_full_buffer=False)  # full: there is enough to wake for
        for number in numbers:
            signal.signal(number, lambda *_: None)  # without a handler of ours no byte is written

    def wake(self):
        """From any thread: have wait() return."""
        with suppress(BlockingIOError):  # full: there is enough to wake for
            os.write(self.into, bytes([ENDED]))

    def wait(self, seconds):
        """The numbers that came, each once, in order; empty after so many seconds (None: no such end)."""
        if not select.select([self.out], [], [], seconds)[0]:
            return ()
        return tuple(dict.fromkeys(os.read(self.out, READ_MOST)))
