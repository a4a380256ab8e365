"""A bounded queue and a thread that writes the log, so that a full pipe behind it blocks no other thread."""

from queue import Full, Queue
from threading import Thread
from typing import TextIO

from gullhold.net.counters import Counters

MAX_QUEUED_LINES = 2000  # some seconds of the most that a failing gateway logs


class LogSink:
    """Accepts lines from any thread without blocking; drops and counts them while the queue is full."""

    def __init__(self, stream: TextIO, counters: Counters) -> None:
        self.stream = stream
        self.counters = counters
        self.lines: Queue[str | None] = Queue(MAX_QUEUED_LINES)
        self.thread = Thread(target=self._write, daemon=True, name="log")
        self.thread.start()

    def put(self, line: str | None) -> None:
        """Queue a line; None ends the writing thread."""
        try:
            self.lines.put_nowait(line)
        except Full:
            self.counters.add("log_lines_dropped")

    def finish(self, timeout_s: float) -> None:
        """Write the lines that are queued and end; return after the timeout at the latest."""
        self.put(None)
        self.thread.join(timeout_s)

    def _write(self) -> None:
        while (text := self.lines.get()) is not None:
            try:
                self.stream.write(text)
                self.stream.flush()
            except Exception:  # noqa: BLE001  the reader has gone, or memory is short: the gateway goes on
                self.counters.add("log_write_failures")
