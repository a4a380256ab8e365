"""One thread that completes blocked writes for all connections.

It is started before any connection is opened: a thread started for each blocked write might fail to start
when it is needed.
"""

import os
import select
import time
from contextlib import suppress
from threading import Lock

from loguru import logger

from gullhold.net.write_buffer import WriteBuffer

MAX_READ_BYTES = 4096  # limit of one read of the wake-up pipe
FAILURE_DELAY_S = 0.01  # pause after an exception, or after a flush that wrote nothing


class Flusher:
    """Polls the sockets of blocked write buffers, and flushes each when it is writable.

    On its own thread only, except for watch().
    """

    def __init__(self) -> None:
        self.lock = Lock()
        self.waiting: dict[WriteBuffer, bool] = {}  # blocked write buffers: an ordered set
        self.wake_read_end, self.wake_write_end = os.pipe()
        os.set_blocking(self.wake_read_end, False)
        os.set_blocking(self.wake_write_end, False)

    def watch(self, buffer: WriteBuffer) -> None:
        """Flush this buffer once, as soon as its socket is writable. From any thread."""
        self._add(buffer)
        with suppress(BlockingIOError):  # the pipe is full, so the thread will wake
            os.write(self.wake_write_end, b"w")

    def run(self) -> None:
        """Flush buffers until the process ends."""
        while True:
            try:
                self.flush_writable()
            # Without this thread, blocked connections would stay blocked.
            except Exception:  # noqa: BLE001  the outermost loop of the thread
                logger.exception("flusher failed, continuing")
                time.sleep(FAILURE_DELAY_S)

    def flush_writable(self) -> None:
        """Wait until some sockets are writable or a buffer was added, and flush the writable ones."""
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
        did_each_write = True
        for descriptor in ready:
            for buffer in by_descriptor.get(descriptor, ()):
                count = buffer.flush()  # if bytes remain, the buffer calls watch() again
                did_each_write = did_each_write and count > 0
        if not did_each_write:  # writable, but nothing was accepted: the system lacks memory
            time.sleep(FAILURE_DELAY_S)

    def _take_all(self) -> list[WriteBuffer]:
        """Remove and return all waiting buffers; the caller re-adds those that still wait."""
        with self.lock:
            taken = list(self.waiting)
            self.waiting = {}
        return taken

    def _add(self, buffer: WriteBuffer) -> None:
        with self.lock:
            self.waiting[buffer] = True
