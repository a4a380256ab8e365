"""The coordinator: numbered changes of the list of engines, followed from the last one that we have."""

import json
import select
import socket
import time
from contextlib import closing
from threading import Event
from zlib import crc32

from loguru import logger

from gullhold.agreement import index_of
from gullhold.interface import EngineEntry, EngineState
from gullhold.net import connection_ends, host_port
from gullhold.net.buffer import Buffer
from gullhold.net.connection import Connection
from gullhold.net.connection_ends import ConnectionEnd, ProtocolError

STATES = {"ready": EngineState.READY, "draining": EngineState.DRAINING, "gone": EngineState.REMOVED}
FIRST_WORD_US = 100_000  # us in which news is told that there is: twice the page's time for crossings
TOGETHER_S = 0.01  # s for which changes are gathered while they follow each other so closely
FAULT_WAIT_S = 0.1  # s until the stream is followed anew after a fault of ours
SILENT_US = 2_000_000  # two of the seconds' numbers, which come once a second by the protocol


def came(sock, wait_us):
    """Whether something is there to be read, or the end, within so many us."""
    look = select.poll()
    look.register(sock, select.POLLIN)
    return bool(look.poll(wait_us / 1000))


class Names:
    """Engines by name to numbers: a hash, so that every gateway numbers them alike."""

    def __init__(self):
        self.numbers, self.taken = {}, set()

    def number(self, name):
        """The number of an engine."""
        if name not in self.numbers:
            number = crc32(name.encode())
            while number in self.taken:  # two names of one hash
                number = number + 1 & 0xFFFFFFFF
            self.numbers[name] = number
            self.taken.add(number)
        return self.numbers[name]

    def forget(self, name):
        """It is gone."""
        self.taken.discard(self.numbers.pop(name, None))


def members(event, agreement, names):
    """(entries for the module, addresses by engine, whether the list is whole) of one event."""
    try:
        change = event["endpoints"]
        entries, addresses = [], {}
        for member in change["members"]:
            ident = names.number(member["id"])
            entries.append(
                EngineEntry(
                    ident,
                    index_of(agreement.zone_names, str(member.get("locality", ""))),
                    float(member.get("size") or 1.0),
                    index_of(agreement.kind_names, str(member.get("flavor", ""))),
                    STATES[member["phase"]],
                    int(member.get("cell") or 0),
                    int(member.get("up_since_ms") or 0) * 1000,
                )
            )
            if member.get("host_port"):
                addresses[ident] = "{}:{}".format(*host_port(member["host_port"]))
            if member["phase"] == "gone":
                names.forget(member["id"])
        return entries, addresses, bool(change.get("complete"))
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        raise ProtocolError(f"an event of another form: {fault!r}") from None


class Follow:
    """The stream's lines from bytes: fed, it yields the events that are new, in order."""

    def __init__(self, last, most):
        self.last, self.buffer = last, Buffer(most)

    def events(self):
        """The new events; a gap or a bad line is ProtocolError, after which the stream is asked for anew."""
        while (end := self.buffer.find(b"\n")) >= 0:
            line = self.buffer.peek(end)
            self.buffer.drop(end + 1)
            if not line.strip():
                continue
            try:
                event = json.loads(line)
                index = event if isinstance(event, int) else event["index"]
                if not isinstance(index, int):
                    raise ValueError("an index that is no number")
            except (ValueError, KeyError, TypeError, RecursionError) as fault:
                raise ProtocolError(f"a bad line: {fault!r}") from None
            if index <= self.last:
                continue
            if isinstance(event, int) or index != self.last + 1:
                raise ProtocolError(f"event {index} after {self.last}: some are missing")
            yield event
            self.last = index


class Batch:
    """Changes of the list that are told in one call."""

    def __init__(self):
        self.entries, self.addresses, self.whole, self.last, self.events = [], {}, False, 0, 0
        self.named = set()

    def names_any(self, entries):
        """Whether one of these engines is in it: what was told first has to take hold first."""
        return any(entry.id in self.named for entry in entries)

    def add(self, entries, addresses, whole, index):
        """One more event."""
        self.entries += entries
        self.addresses.update(addresses)
        self.named.update(entry.id for entry in entries)
        self.whole, self.last, self.events = whole, index, self.events + 1


class Coordinator:
    """Follows the stream, for ever, and hands each event to the core."""

    def __init__(self, address, last, core, most, names):
        self.last, self.core, self.most, self.names = last, core, most, names
        self.address, self.connection, self.moved = address and host_port(address), None, Event()
        self.told_at = float("-inf")  # s of the monotonic clock: when the core was told last
        self.taking = False  # bytes came, and what they tell is not handed on yet
        self.lost = lambda: None  # called from this thread whenever the stream has ended: a look for a move
        self.may_call = lambda: True  # whether the service may be called now: a budget of the fleet's

    def move(self, address):
        """From any thread: follow the stream at this address, on from the last event."""
        self.address = host_port(address)
        self.moved.set()
        connection = self.connection  # one that comes up after this line sees the new address itself
        if connection is not None:
            connection.shutdown()

    def behind(self):
        """From any thread: whether something has come that the core was not told of yet."""
        try:
            connection = self.connection  # in this order: bytes there, or in hand
            return bool(connection and connection.readable()) or self.taking
        except (OSError, ValueError):  # it ends just now
            return False

    def run(self):
        """Connect, follow, and again whenever the stream ends, falls silent, makes no sense or moves."""
        wait = self.core.agreement.connect_timeout_us / 1e6
        while True:
            try:
                self._turn(wait)
            except Exception:  # guards against a list that is followed no more in a process that looks alive
                self.core.counters.add("faults of ours")
                logger.exception("following the list failed, and begins anew")
                time.sleep(FAULT_WAIT_S)

    def _turn(self, wait):
        """Follow the stream until it ends, and a pause; or wait until it may be followed."""
        began = time.monotonic()
        self.moved.clear()
        address = self.address  # read after the clearing: a move from here on sets it again
        if address is None:
            self.core.list_known.set()
            self.moved.wait()
            return
        if not self.may_call():
            self.moved.wait(wait)
            return
        try:
            ending, text = self._follow(address, wait), ""
        except TimeoutError:
            ending, text = ConnectionEnd.SILENT, ""
        except Exception as error:  # the old list holds; the stream is followed anew
            ending, text = connection_ends.caught(error, connecting=True)
        self.core.list_known.set()  # it can't be asked: the list that we have must do
        self.core.counters.add(f"coordinator: {ending.value}")
        logger.warning("coordinator: {} {}; following on from event {}", ending.value, text, self.last)
        self.lost()
        self.moved.wait(max(0.0, wait - (time.monotonic() - began)))

    def _follow(self, address, wait):
        with closing(Connection(socket.create_connection(address, timeout=wait or None))) as connection:
            self.connection, sock = connection, connection.sock
            try:
                sock.sendall(b"follow %d\n" % self.last)
                stream = Follow(self.last, self.most)
                if not came(sock, FIRST_WORD_US):  # what has news tells it at once: there is none
                    self.core.list_known.set()
                while address == self.address and self._receive(stream, sock):
                    self._hand_on(stream)
                    self.core.list_known.set()
                return ConnectionEnd.CLOSED if address == self.address else ConnectionEnd.RETIRED
            finally:
                self.taking, self.connection = False, None

    def _hand_on(self, stream):
        """Tell the core of the events that have come: those that came together in one call."""
        batch = Batch()
        try:
            for event in stream.events():
                entries, addresses, whole = members(event, self.core.agreement, self.names)
                if whole or batch.names_any(entries):
                    self._tell(batch)
                    batch = Batch()
                batch.add(entries, addresses, whole, event["index"])
                if whole:
                    self._tell(batch)
                    batch = Batch()
        finally:  # what came before a line that makes no sense holds
            self._tell(batch)

    def _tell(self, batch):
        if batch.events:
            self.core.list_changed(batch.entries, batch.addresses, batch.whole, batch.events)
            self.last, self.told_at = batch.last, time.monotonic()

    def _receive(self, stream, sock):
        """Some bytes of the stream; none at its end."""
        self.taking = False
        # Where thousands of changes are told within seconds, a wake-up for each costs more than they do.
        if time.monotonic() - self.told_at < TOGETHER_S:
            time.sleep(TOGETHER_S)
        if not came(sock, SILENT_US):
            raise TimeoutError
        self.taking = True  # before they are read: behind() sees them in the one place or the other
        return stream.buffer.receive(sock)
