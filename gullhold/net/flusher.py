"""One thread that goes on with the writes that the system did not take at once, for all connections.

Guards against a thread that can't be started in the middle of a write: its connection was never written to
again.
"""

import os
import select
import time
from contextlib import suppress
from threading import Lock

from loguru import logger

from gullhold.net.write_buffer import WriteBuffer

MAX_READ_BYTES = 4096  # bytes of one read of the wake-up pipe
FAULT_WAIT_S = 0.01  # s after a wait that the system refused, until the next


class Flusher:
    """Write buffers that wait for room in their connections; run() is the thread's, watch() anyone's."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.waiting: dict[WriteBuffer, bool] = {}  # a set, in the order in which they came
        self.wake_read_end, self.wake_write_end = os.pipe()
        os.set_blocking(self.wake_read_end, False)
        os.set_blocking(self.wake_write_end, False)

    def watch(self, buffer: WriteBuffer) -> None:
        """From any thread: write on there as soon as there is room."""
        self._add(buffer)
        with suppress(BlockingIOError):  # full: there is enough to wake for
            os.write(self.wake_write_end, b"w")

    def run(self) -> None:
        """For ever."""
        while True:
            try:
                self.turn()
            # Guards against a flusher that dies and leaves connections silent.
            except Exception:  # noqa: BLE001  the outermost loop of the thread
                logger.exception("the flusher failed, and goes on")
                time.sleep(FAULT_WAIT_S)

    def turn(self) -> None:
        """Wait until somewhere there is room, and write on there."""
        poll = select.poll()
        poll.register(self.wake_read_end, select.POLLIN)
        by_descriptor: dict[int, list[WriteBuffer]] = {}
        for buffer in self._take_all():
            descriptor = buffer.descriptor()
            if descriptor >= 0:
                self._add(buffer)
                by_descriptor.setdefault(descriptor, []).append(buffer)
                poll.register(descriptor, select.POLLOUT)
        ready = [descriptor for descriptor, _ in poll.poll()]
        if self.wake_read_end in ready:
            with suppress(BlockingIOError):
                os.read(self.wake_read_end, MAX_READ_BYTES)
        is_all_written = True
        for descriptor in ready:
            for buffer in by_descriptor.get(descriptor, ()):
                count = buffer.flush()  # put off once more, it comes in anew
                is_all_written = is_all_written and count > 0
        if not is_all_written:  # there is room, yet nothing was taken: the system is short of something
            time.sleep(FAULT_WAIT_S)

    def _take_all(self) -> list[WriteBuffer]:
        """All that wait, out of the list: what still has to comes back, by _wait_for()."""
        with self.lock:
            taken = list(self.waiting)
            self.waiting = {}
        return taken

    def _add(self, buffer: WriteBuffer) -> None:
        with self.lock:
            self.waiting[buffer] = True
