"""Writes the log from a thread with a bounded queue, so that a full output pipe blocks no other thread."""

from queue import Full, Queue
from threading import Thread
from typing import TextIO

from gullhold.net.counters import Counters

MAX_QUEUED_LINES = 2000  # the most that a failing gateway logs in a few seconds


class LogSink:
    """Accepts lines from any thread without blocking; while the queue is full it drops and counts them."""

    def __init__(self, stream: TextIO, counters: Counters) -> None:
        self.stream = stream
        self.counters = counters
        self.lines: Queue[str | None] = Queue(MAX_QUEUED_LINES)
        self.thread = Thread(target=self._write, daemon=True, name="log")
        self.thread.start()

    def put(self, line: str | None) -> None:
        """Queue a line; None ends the thread that writes."""
        try:
            self.lines.put_nowait(line)
        except Full:
            self.counters.add("log_lines_dropped")

    def finish(self, timeout_s: float) -> None:
        """Have the queued lines written and the thread ended; return after the timeout at the latest."""
        self.put(None)
        self.thread.join(timeout_s)

    def _write(self) -> None:
        while (text := self.lines.get()) is not None:
            try:
                self.stream.write(text)
                self.stream.flush()
            except Exception:  # noqa: BLE001  no reader, or too little memory: go on without these lines
                self.counters.add("log_write_failures")
