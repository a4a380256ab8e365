"""One thread that completes the writes that the system did not take at once, for all connections.

It is started before any connection: a thread for each blocked write might not be started when it is needed.
"""

import os
import select
import time
from contextlib import suppress
from threading import Lock

from loguru import logger

from gullhold.net.write_buffer import WriteBuffer

MAX_READ_BYTES = 4096  # of one read of the wake-up pipe
FAULT_WAIT_S = 0.01  # after a failure, until the next turn


class Flusher:
    """Write buffers that wait until their sockets are writable. watch() may be called from any thread."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.waiting: dict[WriteBuffer, bool] = {}  # a set, in the order in which they came
        self.wake_read_end, self.wake_write_end = os.pipe()
        os.set_blocking(self.wake_read_end, False)
        os.set_blocking(self.wake_write_end, False)

    def watch(self, buffer: WriteBuffer) -> None:
        """From any thread: flush this buffer as soon as its socket is writable."""
        self._add(buffer)
        with suppress(BlockingIOError):  # full: there are enough bytes to wake the thread
            os.write(self.wake_write_end, b"w")

    def run(self) -> None:
        """Flush buffers for ever."""
        while True:
            try:
                self.turn()
            # Without this thread, connections would stay blocked.
            except Exception:  # noqa: BLE001  the outermost loop of the thread
                logger.exception("flusher failed, continuing")
                time.sleep(FAULT_WAIT_S)

    def turn(self) -> None:
        """Wait until some sockets are writable, and flush their buffers."""
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
                count = buffer.flush()  # where something remains, the buffer calls watch() again
                is_all_written = is_all_written and count > 0
        if not is_all_written:  # writable, yet nothing was taken: a shortage
            time.sleep(FAULT_WAIT_S)

    def _take_all(self) -> list[WriteBuffer]:
        """Remove and return all waiting buffers; those that still wait are added again by _add()."""
        with self.lock:
            taken = list(self.waiting)
            self.waiting = {}
        return taken

    def _add(self, buffer: WriteBuffer) -> None:
        with self.lock:
            self.waiting[buffer] = True
