"""One connection of a client: its reader thread, its requests that wait, and its graceful end."""

import socket
import time
from collections import deque
from contextlib import suppress

from gullhold.net import connection_ends, set_no_delay, set_read_timeout, thrift
from gullhold.net.connection import Connection
from gullhold.net.connection_ends import ConnectionEnd, ProtocolError
from gullhold.net.request_reader import FIGURE, RequestError
from gullhold.net.write_buffer import WriteBuffer

OPEN_MOST = 32  # requests that a client has open on a connection, from the protocol
RESULT_MOST = 48_000  # bytes of a result, from the protocol
KEPT_MOST = 32_768  # bytes of calls kept in a pause: 32 of usual size
KEPT_PART = 0.4  # of the time that its client waits, for which a call is kept in pauses at most
CLOSED_S = 0.5  # s between reads of a connection that is owed answers, once nothing is taken
ENDING_MOST = 65_536  # bytes of a connection that are read at once at the end: 32 requests of usual size
KEPT_LOOK_S = 0.05  # s between reads in a pause once as much is kept: half of what a leaving may take
SAY_S = 2.0  # s in which a connection says something whole; the page wants an end within 3 s
IDLE_S = 5.0  # s without a request; usual clients close their own after 4 s
LOOK_US = 500_000  # us between looks at these two
REFUSED_S = (0.05, 0.4)  # s, least and most, until the next read after something was turned away at once
CROSS_S = 0.1  # s in which what was sent has come: twice the page's time for crossings
DISMISS_S = 0.01  # s between looks at one that is dismissed: the page's time for crossings is 50 ms


class ClientConnection:
    """One connection of a client. Its reader thread feeds the core; the core answers through its pipe."""

    def __init__(self, sock, core, reader, most, peer=("", "")):
        self.connection, self.core, self.reader = Connection(sock), core, reader
        self.decoder = thrift.Decoder(most)
        self.pipe = WriteBuffer(OPEN_MOST * (RESULT_MOST + most), core.counters, core.flusher)
        self.open, self.taken, self.settled, self.ending = {}, 0, 0, None
        self.taken_back = set()  # numbers of open requests whose interrupts wait for the core
        self.seq, self.waiting, self.over = 0, {}, False  # last number; those that the core has yet to see
        self.left = False  # it closed, or its connection broke: it waits for nothing any more
        self.came_at = self.quiet_at = time.monotonic()  # it came; something last came or was open
        self.pause, self.resume_at = 0.0, 0.0  # s: the last pause after a refusal; its end
        self.kept, self.kept_size = deque(), 0  # (call, when it came) of a pause; bytes read in it
        self.refused = []  # answers to what was read just now and is turned away at once
        self.cut, self.dismissed = False, False  # in the middle of a message; to end when nothing is open
        self.resting = False  # the core was asked to end it for idleness
        self.peer, self.patience_us = peer, LOOK_US  # its address, and a name for this connection alone
        set_no_delay(sock)
        set_read_timeout(sock, LOOK_US)
        self.pipe.attach(self.connection)

    def put(self, message):
        """Send it a whole frame; where that can't be, the connection ends. So it does for one that does not
        read, where many don't; harm: one that reads slowly while others don't read at all ends with them."""
        full = self.pipe.size > RESULT_MOST and self.core.room.crowded()
        if (full or self.pipe.put(message) < 0) and (self.pipe.dead or not self.pipe.finishing):
            self.core.counters.add("answers that could not go")
            self.end(ConnectionEnd.RESET if self.pipe.dead else ConnectionEnd.BACKED_UP, "")

    def end(self, ending, text):
        """End it from our side, now; the reader wakes and reports."""
        self.ending, self.over = self.ending or (ending, text), True
        self.pipe.finish(now=True)

    def dismiss(self):
        """End it for idleness, or at the end; what has come, read or not, is answered first, in no pause."""
        self.over = self.dismissed = True
        self.connection.shutdown(socket.SHUT_RD)

    def busy(self):
        """Whether something of it is still to be answered."""
        return self.taken != self.settled or len(self.kept) > 0

    def run(self):
        """Read until the connection ends, then close it."""
        try:
            self._serve()
        finally:
            self.connection.close()

    def _serve(self):
        try:
            ending, text = self._read(), ""
            if self.pipe.error:  # a write broke it, and the reader was only woken
                ending, text = connection_ends.caught(self.pipe.error)
        except Exception as error:  # a fault of ours ends this connection, not the program
            ending, text = connection_ends.caught(error)
        self.report_end(ending, text)
        self._linger()

    def report_end(self, ending, text):
        """From the reader: tell the core that the connection is read no more."""
        ending, text = self.ending or (ending, text)
        self.over = True
        if ending in connection_ends.CLIENT_STILL_WAITS:  # behind its own requests: each gets its answer
            self.refused += [thrift.shed(call.seq, {}) for call, _ in self.kept if call.method == "execute"]
            if self.refused:
                self.put(b"".join(self.refused))
            self.core.post(self.core.client_ended, self, ending, text)
        else:  # ahead of all: nothing must go out for it any more
            self.left = True
            self.core.post_urgent(self.core.client_ended, self, ending, text)

    def _linger(self):
        """Read on, for nobody, until the other side has closed too or has had the time to.

        Guards answers on their way against the reset that a close over unread bytes sends. What is read here
        came after our end was said, so a client sends it again elsewhere: it is never taken.
        """
        end, patient = time.monotonic() + SAY_S, False  # first: what is still to go out
        with suppress(OSError):
            set_read_timeout(self.connection.sock, int(DISMISS_S * 1e6))
            while time.monotonic() < end and not self.pipe.dead:
                if self.pipe.is_end_sent and not patient:
                    end, patient = min(end, time.monotonic() + CROSS_S), True
                try:
                    if (
                        not self.connection.sock.recv(ENDING_MOST)
                        and self.pipe.is_end_sent
                        and not self.dismissed
                    ):
                        break
                    time.sleep(DISMISS_S)  # one that goes on writing must not keep the others waiting
                except BlockingIOError:
                    pass
        self.pipe.finish(now=True)

    def _read(self):
        while True:
            more, at = self._receive(), self.core.clock()
            if self.pipe.finishing:
                return ConnectionEnd.IDLE
            if not more and not self.dismissed:
                return ConnectionEnd.CLOSED
            if not more:
                if self.core.closed:
                    self._end_soon()
                elif not self.busy():
                    self._rest()
                time.sleep(DISMISS_S)  # something came just then: more of it may come
            while self.kept and (self._pause_left() <= 0 or self._kept_left() <= 0):
                self._take(*self.kept.popleft())
            for call in self.decoder.calls():
                self.quiet_at = time.monotonic()
                self._come(call, at)
            if self.refused:  # one write for all of them
                frames, self.refused = self.refused, []
                self.put(b"".join(frames))
                if self.core.closed:
                    self._end_soon()
                elif time.monotonic() >= self.resume_at:  # else what is kept would wait longer and longer
                    self._pause_longer()
            elif self.pause and time.monotonic() >= self.resume_at:
                self.pause /= 2 if self.pause > REFUSED_S[0] else float("inf")
            # Guards against those who connect and say nothing, never come to an end, or take all back.
            now, cut, busy = time.monotonic(), len(self.decoder.buffer) > 0, self.busy()
            if cut != self.cut or busy:
                self.cut, self.quiet_at = cut, now
            told = self.pipe.queued > 0
            since = self.quiet_at if told or busy else self.came_at
            if now - since > (IDLE_S if told and not cut else SAY_S):
                if cut:
                    raise ProtocolError("half a message")
                if not busy:
                    self._rest()

    def _receive(self):
        """Wait for bytes, in a pause no longer than that lasts; False at the end of the stream.

        A pause only puts off what is asked: guards against a client's leaving, or its taking a command back,
        being read when the pause is over, while that command goes out. Where as much is kept as may be it is
        read slowly, so that a client that asks without end is held back by its own connection; that it has
        left is seen at once all the same.
        """
        left = self._pause_left()
        full = left > 0 and self._keeps_most()
        if left <= 0:
            self.kept_size = 0
        elif full and self.connection.left(min(left, KEPT_LOOK_S)):
            return False  # whatever it asked before: guards against sends for one that has left
        if self.kept:
            left = min(left, max(self._kept_left(), DISMISS_S))
        wait_us = (
            int(min(left * 1e6 + 1000, LOOK_US))
            if left > 0
            else (int(DISMISS_S * 1e6) if self.resting else LOOK_US)
        )
        if wait_us != self.patience_us:
            self.patience_us = wait_us
            set_read_timeout(self.connection.sock, wait_us)
        try:
            came = self.decoder.buffer.receive(self.connection.sock)
        except BlockingIOError:
            return True
        self.kept_size += came if left > 0 and not full else 0
        if came and self.core.closed:
            self._receive_rest()
        return came > 0

    def _pause_longer(self):
        """Guards all others against those who ask again at once: the pause grows while they do."""
        self.pause = min(max(2 * self.pause, REFUSED_S[0]), REFUSED_S[1])
        self._hold_off(self.pause)

    def _end_soon(self):
        """Nothing is taken any more, and all that had come is answered: say the end, so that what follows is
        asked elsewhere. One that is owed answers is read slowly, and ends with the last of them."""
        if self.busy():
            self._hold_off(CLOSED_S)
        else:
            self.pipe.finish()

    def _receive_rest(self):
        """At the end, all that has come, before it is answered: what comes later crosses the end."""
        sock, buffer = self.connection.sock, self.decoder.buffer
        while len(buffer) < ENDING_MOST and self.connection.readable() and buffer.receive(sock):
            pass

    def _pause_left(self):
        """s until a pause is over; none where the connection is to end."""
        return 0.0 if self.dismissed else self.resume_at - time.monotonic()

    def _kept_left(self):
        """s for which the oldest call that is kept may still wait: a part of the time that its client waits.
        Guards against pauses, one behind the other, that outlast it."""
        call, at = self.kept[0]
        fields = call.args.get((1, thrift.MAP))
        word = fields.get(b"limit", b"") if isinstance(fields, dict) else b""
        limit_s = float(word) / 1000 if FIGURE.match(word) else 0.0
        return KEPT_PART * limit_s - (self.core.clock() - at) / 1e6

    def _keeps_most(self):
        """Whether as much is kept, in a pause, as a usual client has open."""
        return len(self.kept) >= OPEN_MOST or self.kept_size > KEPT_MOST

    def _hold_off(self, seconds):
        self.resume_at = time.monotonic() + seconds

    def _rest(self):
        """Ask the core, which knows what is owed, to end this for idleness: behind all that was asked."""
        if not self.resting:
            self.resting = True
            self.core.post(self.core.rest, self)

    def _come(self, call, at):
        """A call was read: taken now, or after the pause; what takes another back is never put off."""
        if call.method == "interrupt":
            self._interrupt(call.args.get((1, thrift.I32)))
        elif self.kept or self._pause_left() > 0:
            if self._keeps_most() and call.method == "execute":
                self.core.counters.add("taken")
                self.core.counters.add("turned away in a pause")
                self.refused.append(thrift.shed(call.seq, {}))
            else:
                self.kept.append((call, at))
        else:
            self._take(call, at)

    def _interrupt(self, seq):
        for place, (call, _) in enumerate(self.kept):
            if call.seq == seq and call.method == "execute":
                del self.kept[place]
                self.core.counters.add("taken")
                self.core.counters.add("interrupted")
                return
        if self.waiting.pop(seq, None) is None:  # else the core passes it over when it comes to it
            self.taken_back.add(seq)  # no longer open, though the core has yet to settle it
            if seq in self.open:
                self.core.post_urgent(self.core.interrupt, self, seq)
            else:  # answered before, or never asked
                self.taken_back.discard(seq)

    def _take(self, call, at):
        core, args = self.core, call.args
        if call.method == "execute" and call.kind == thrift.CALL:
            self._execute(call.seq, args.get((1, thrift.MAP)), args.get((2, thrift.STRING)), at)
        elif call.method == "check" and call.kind == thrift.CALL:
            core.post(core.check, self, call.seq)
        elif call.kind == thrift.CALL:
            core.counters.add("calls unknown")
            self.put(thrift.exception(call.method, call.seq, thrift.UNKNOWN_METHOD, "unknown method"))

    def _execute(self, seq, fields, body, at):
        """What can't be used is answered here and never reaches the core."""
        core = self.core
        if seq <= self.seq:
            raise ProtocolError(f"request {seq} after {self.seq}")
        self.seq = seq
        core.counters.add("taken")
        if core.closed:  # at the end: nothing goes on from here, so this costs the core nothing
            self.refused.append(thrift.shed(seq, {}))
            return
        if self.taken - self.settled - len(self.taken_back) >= OPEN_MOST:
            core.counters.add("over 32 open on a connection")
            self.put(thrift.shed(seq, {}))
            return
        if fields is None or body is None:
            core.counters.add("unusable")
            self.put(thrift.exception("execute", seq, thrift.PROTOCOL_ERROR, "missing argument"))
            return
        door = core.door
        if door and door.shut and (told := self.reader.shut(fields, self.peer, door.shut, at)):
            core.counters.add("turned away at the door, unasked")
            self.refused.append(thrift.shed(seq, *told))
            return
        try:
            request = self.reader.request(fields, body, *self.peer)
        except RequestError as why:
            core.counters.add("unusable")
            self.put(thrift.fault(seq, str(why)))
            self._hold_off(
                core.agreement.connect_timeout_us / 1e6
            )  # guards against those who ask the same again at once
            return
        if not core.room.take(len(body)):
            core.counters.add("no memory for a statement")
            self.refused.append(thrift.shed(seq, {}))
            return
        self.taken += 1
        self.waiting[seq] = True
        core.post(core.execute, self, seq, request, at)
