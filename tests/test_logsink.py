"""The bounded queue of the log sink."""

from threading import Event

from serving import WAIT_TIMEOUT_S, until

from gullhold.net.counters import Counters
from gullhold.net.logsink import MAX_QUEUED_LINES, LogSink


def test_lines_are_dropped_and_counted_when_the_queue_is_full():
    class BlockedStream:
        def __init__(self):
            self.released, self.text = Event(), ""

        def write(self, text):
            self.released.wait(WAIT_TIMEOUT_S)
            self.text += text

        def flush(self):
            pass

    stream, counters = BlockedStream(), Counters()
    sink = LogSink(stream, counters)
    for i in range(MAX_QUEUED_LINES + 100):
        sink.put(f"{i}\n")
    assert counters.counts["log_lines_dropped"] in (99, 100)
    stream.released.set()
    until(sink.lines.empty)
    sink.finish(WAIT_TIMEOUT_S)
    assert stream.text.startswith("0\n1\n2\n")
    assert not sink.thread.is_alive()
