"""One thread that goes on with the writes that the system did not take whole, for all connections.

Guards against a thread that can't be started in the middle of a write: its connection was never written to
again.
"""

import os
import select
import time
from contextlib import suppress
from threading import Lock

from loguru import logger

READ_MOST = 4096  # bytes of one read of the wake-up pipe
FAULT_WAIT_S = 0.01  # s after a wait that the system refused, until the next


class Flusher:
    """Pipes that wait for room in their connections; run() is the thread's, watch() anyone's."""

    def __init__(self):
        self.lock, self.waiting = Lock(), {}  # pipes, in the order in which they came
        self.out, self.into = os.pipe()
        os.set_blocking(self.out, False)
        os.set_blocking(self.into, False)

    def watch(self, pipe):
        """From any thread: write on there as soon as there is room."""
        with self.lock:
            self.waiting[pipe] = True
        with suppress(BlockingIOError):  # full: there is enough to wake for
            os.write(self.into, b"w")

    def run(self):
        """For ever."""
        while True:
            try:
                self.turn()
            except Exception:  # guards against a flusher that dies and leaves connections silent
                logger.exception("the flusher failed, and goes on")
                time.sleep(FAULT_WAIT_S)

    def turn(self):
        """Wait until somewhere there is room, and write on there."""
        look, by_number = select.poll(), {}
        look.register(self.out, select.POLLIN)
        for pipe in self._take():
            if (number := pipe.descriptor()) >= 0:
                self._keep(pipe)
                by_number.setdefault(number, []).append(pipe)
                look.register(number, select.POLLOUT)
        ready, written = [number for number, _ in look.poll()], True
        if self.out in ready:
            with suppress(BlockingIOError):
                os.read(self.out, READ_MOST)
        for number in ready:
            for pipe in by_number.get(number, ()):
                written = pipe.flush() > 0 and written  # put off once more, it comes in anew
        if not written:  # there is room, and yet nothing was taken: the system is short of something
            time.sleep(FAULT_WAIT_S)

    def _take(self):
        """All that wait, out of the list: what still has to comes back, by _keep() or by watch()."""
        with self.lock:
            taken, self.waiting = list(self.waiting), {}
        return taken

    def _keep(self, pipe):
        with self.lock:
            self.waiting[pipe] = True
