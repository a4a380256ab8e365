"""Where log lines go: a bounded queue and a thread, so that a full pipe behind the log stops nobody."""

from queue import Full, Queue
from threading import Thread

LINES = 2000  # lines that may wait: some seconds of the most that a troubled gateway logs


class LogSink:
    """Takes lines from any thread without blocking; what finds no room is dropped and counted."""

    def __init__(self, stream, counters):
        self.stream, self.counters, self.lines = stream, counters, Queue(LINES)
        self.thread = Thread(target=self._write, daemon=True, name="log")
        self.thread.start()

    def put(self, line):
        """Take a line."""
        try:
            self.lines.put_nowait(line)
        except Full:
            self.counters.add("log lines dropped")

    def finish(self, seconds):
        """Write what waits, for so long at most."""
        self.put(None)
        self.thread.join(seconds)

    def _write(self):
        while (text := self.lines.get()) is not None:
            try:
                self.stream.write(text)
                self.stream.flush()
            except Exception:  # nobody reads any more, or memory is short: the gateway serves on
                self.counters.add("log writes failed")
