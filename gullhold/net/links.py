"""Engine links: one connection to an engine, its thread, and the exchanges that are open on it."""

import errno
import socket
import time
from threading import Thread

from gullhold.net import connection_ends, host_port, resp, set_no_delay, set_read_timeout
from gullhold.net.connection import Connection
from gullhold.net.connection_ends import Ending, Malformed
from gullhold.net.pipe import Pipe

RETRY_S = 0.02  # s between tries to connect where this machine is short of something
# Also tried again: a route that is gone for a moment. ip(7), connect(2).
RETRIED = connection_ends.SHORT_HERE | {errno.ENETUNREACH}


class Engine:
    """An engine by its identity, where it listens, and our links to it."""

    def __init__(self, ident, address):
        self.id, self.address, self.links, self.state = ident, address, [], 0
        self.closed = 0  # links that it closed in good order, less those that broke


class Exchange:
    """One send on its link, from its fetch to its last page."""

    def __init__(self, command, number, at):
        self.command, self.number, self.sent_at, self.heard_at = command, number, at, at
        self.link, self.message, self.offset = None, b"", 0
        self.until, self.stamp = 0, ()  # not begun after it, us; what it was decided under
        self.pages, self.total, self.size = [], 0, 0
        self.leaving = None  # the outcome that it will have, once an abort has come to its engine
        self.told = (0, 0, ())  # work in us, memory in MB, load report


class Link:
    """One connection. Its thread connects, reads and closes; all but the connection is the core's alone."""

    def __init__(self, engine, core, most, pipe_most, now):
        self.engine, self.core = engine, core
        self.decoder, self.pipe = resp.Decoder(most), Pipe(pipe_most, core.counters, core.flusher)
        self.open, self.given_up, self.confirms, self.ended, self.retired = {}, set(), {}, False, False
        self.heard_at, self.used_at, self.asked_at, self.ending = now, now, 0, None
        self.connection = None  # once it is up
        self.address = host_port(engine.address)

    def start(self):
        """Connect and read, in a thread of its own."""
        Thread(target=self._run, daemon=True, name="link").start()

    def takes(self, txn, streams):
        """Whether a send of this id may go out here: a late answer to an earlier one must not meet it."""
        if self.ended or self.retired or self.asked_at or self.pipe.dead:  # asked: it fell silent
            return False
        return len(self.open) < streams and txn not in self.given_up

    def shut(self, ending):
        """End it from our side; the reader wakes and reports."""
        self.retired, self.ending = True, self.ending or ending
        if self.connection is not None:
            self.connection.shutdown()

    def _run(self):
        ending, text, core = Ending.FAULT, "", self.core
        connection = None
        try:
            try:
                connection = Connection(self._connected())
            except OSError as error:
                ending, text = connection_ends.caught(error, connecting=True)
                return
            self.connection = connection
            if self.ending:
                ending = self.ending
                return
            core.post_urgent(
                core.link_up, self
            )  # which looks at what waits here once more, and lets it go out
            ending = self._read(connection.sock)
            if self.pipe.error:  # a write broke it, and the reader was only woken
                ending, text = connection_ends.caught(self.pipe.error)
        except Exception as error:  # a fault of ours ends this link, not the program
            ending, text = connection_ends.caught(error)
        finally:
            self.pipe.finish(now=True)
            if connection is not None:
                connection.close()
            core.holding.discard(self)
            core.post(core.link_ended, self, self.ending or ending, text)

    def _connected(self):
        """A socket that is connected; OSError where there is none in time. What this machine refuses for a
        moment is tried again: guards against blaming an engine for it."""
        wait_s = self.core.agreement.connect_timeout_us / 1e6
        end = time.monotonic() + (wait_s or self.core.sweep_us / 1e6)
        while True:
            try:
                return self._connect(wait_s and max(end - time.monotonic(), RETRY_S))
            except OSError as error:
                if error.errno not in RETRIED or self.ending or time.monotonic() + RETRY_S >= end:
                    raise
            self.core.counters.add("connects tried again")
            time.sleep(RETRY_S)

    def _connect(self, wait_s):
        """One try, for so many seconds at most (0: no limit)."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(wait_s or None)
            set_no_delay(sock)
            sock.connect(self.address)
            sock.settimeout(None)
        except BaseException:
            sock.close()
            raise
        return sock

    def _read(self, sock):
        cut = False
        while True:
            try:
                if not self.decoder.buffer.receive(sock):
                    return Ending.CLOSED
            except BlockingIOError:
                raise Malformed("an answer that stopped short") from None
            arrays = []
            try:
                arrays.extend(self.decoder.arrays())
            finally:  # what was whole before bytes that make no sense holds
                if arrays:
                    self.core.post(self.core.heard, self, arrays)
            if self.decoder.cut != cut:  # in the middle of an answer the next bytes come soon, or never
                cut = self.decoder.cut
                set_read_timeout(sock, self.core.agreement.connect_timeout_us if cut else 0)
