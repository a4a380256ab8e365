"""A simulated engine: speaks the engine protocol byte for byte, and reports arriving attempts to the checker.

It runs attempts on its cores, remembers idempotency keys for its deduplication window, sends status notes,
and misbehaves as the fault injector directs.
"""

from typing import TYPE_CHECKING

from gullhold.net import resp
from gullhold.simulation.clock import Event
from gullhold.simulation.endpoints import Endpoint
from gullhold.simulation.result_rows import page_count, page_rows
from gullhold.simulation.streams import StreamEnd

if TYPE_CHECKING:
    from gullhold.simulation.simulation import Simulation

# Time between status notes of an attempt. It is shorter than the interval in the settings, because gateways
# take an engine whose notes are missing to be silent.
NOTE_INTERVAL_US = 120_000
MAX_MESSAGE_BYTES = 1 << 18
DUPLICATE_WORK_US = 1000  # duration of an attempt that is not run again, as its idempotency key is known
MAX_ATTEMPTS_PER_CORE = 4  # an engine that runs this many per core rejects further ones as overloaded
US_PER_MS = 1000
MALFORMED_MESSAGE = b"*2\r\n$not a length\r\n"


class RunningAttempt:
    """An attempt that runs on an engine, with the scheduled events of its end and of its next status note."""

    __slots__ = ("end_event", "note_event", "session", "txn")

    def __init__(self, session: "EngineSession", txn: bytes) -> None:
        self.session = session
        self.txn = txn
        self.end_event: Event | None = None
        self.note_event: Event | None = None


class EngineSession:
    """The engine's state of one connection from a gateway.

    endpoint: the engine's side of the connection; gateway_endpoint: the gateway's side, which knows when each
    byte was written.
    """

    def __init__(self, engine: "SimulatedEngine", endpoint: Endpoint, gateway_endpoint: Endpoint) -> None:
        self.engine = engine
        self.endpoint = endpoint
        self.gateway_endpoint = gateway_endpoint
        self.decoder = resp.Decoder(MAX_MESSAGE_BYTES)
        self.received_bytes = 0
        self.running: dict[bytes, RunningAttempt] = {}  # by transaction id
        self.answered: set[bytes] = set()  # transaction ids whose further pages may still be requested

    def data_received(self, _endpoint: Endpoint, data: bytes) -> None:
        """Parse bytes of the gateway and pass each message to the engine, with the time of its writing."""
        self.received_bytes += len(data)
        self.decoder.buffer.put(data)
        message_offset = self._parsed_bytes()
        for words in self.decoder.arrays():
            self.engine.handle_message(self, words, self.gateway_endpoint.written_at(message_offset))
            message_offset = self._parsed_bytes()

    def peer_closed(self, _endpoint: Endpoint, _end_kind: StreamEnd) -> None:
        """Handle the end of the gateway's side: abandon all running attempts, and end the engine's side."""
        for txn in list(self.running):
            self.engine.abandon(self, txn)
        if not self.endpoint.is_finishing:
            self.endpoint.finish()

    def send(self, *words: bytes) -> None:
        """Send a message, unless the connection has ended."""
        if not self.endpoint.is_finishing and not self.endpoint.outgoing.is_finished:
            self.endpoint.write(resp.encode(*words))

    def send_malformed(self) -> None:
        """Send bytes that violate the engine protocol, unless the connection has ended."""
        if not self.endpoint.is_finishing:
            self.endpoint.write(MALFORMED_MESSAGE)

    def _parsed_bytes(self) -> int:
        return self.received_bytes - len(self.decoder.buffer)


class SimulatedEngine:
    """An engine at an address.

    Faults set these attributes. slowdown: factor on the duration of attempts; connect_delay_us: added to the
    time of connecting; refuses_until: virtual time in us until which connections are refused;
    malformed_answers, duplicate_answers: how many of the next answers are malformed or sent twice.
    """

    def __init__(self, simulation: "Simulation", engine_id: str, address: str, cores: int) -> None:
        self.simulation = simulation
        self.id = engine_id
        self.address = address
        self.cores = cores
        self.slowdown = 1.0
        self.connect_delay_us = 0
        self.refuses_until = 0
        self.malformed_answers = 0
        self.duplicate_answers = 0
        self.sessions: list[EngineSession] = []
        self.idempotency_keys: dict[bytes, int] = {}  # virtual time in us at which each first arrived
        self.running_count = 0

    def accept(self, gateway_endpoint: Endpoint) -> Endpoint:
        """Accept a gateway's connection; returns the endpoint on the engine's side."""
        endpoint = Endpoint(self.simulation.clock, None)
        session = EngineSession(self, endpoint, gateway_endpoint)
        endpoint.reader = session
        self.sessions.append(session)
        return endpoint

    def crash(self) -> None:
        """Crash and restart: reset all connections, forget all state, and serve again at once."""
        for session in self.sessions:
            for txn in list(session.running):
                self.abandon(session, txn)
            session.endpoint.is_closed = True
            if not session.endpoint.outgoing.is_finished:
                session.endpoint.finish(StreamEnd.RESET)
        self.sessions = []
        self.idempotency_keys = {}

    def handle_message(self, session: EngineSession, words: list[bytes], written_at: int) -> None:
        """Handle a message of a gateway. written_at: virtual time in us at which the gateway wrote it."""
        verb, txn, *arguments = words
        match verb:
            case b"fetch":
                fields, body = arguments[:2]
                self._fetch(session, txn, resp.decode_fields(fields), body, written_at)
            case b"abort":
                self.abandon(session, txn)
            case b"alive":
                session.send(txn, b"alive", b"-", b"")
            case b"more" if txn in session.answered:
                page = arguments[0]
                session.send(txn, b"chunk", b"page=%s" % page, page_rows(txn, int(page)))
            case b"more":
                session.send(txn, b"500", b"-", b"")
            case b"done":
                session.answered.discard(txn)

    def abandon(self, session: EngineSession, txn: bytes) -> None:
        """End an attempt without an answer, if it runs: it was aborted, replaced, or its connection ended."""
        session.answered.discard(txn)
        attempt = session.running.pop(txn, None)
        if attempt:
            self.running_count -= 1
            self.simulation.clock.cancel(attempt.end_event)
            self.simulation.clock.cancel(attempt.note_event)
            self.simulation.checker.attempt_over(self, txn)

    def _fetch(
        self, session: EngineSession, txn: bytes, fields: dict[bytes, bytes], body: bytes, written_at: int
    ) -> None:
        key = fields.get(b"i", b"")
        is_rejected = self.running_count >= MAX_ATTEMPTS_PER_CORE * self.cores
        self.simulation.checker.attempt_arrived(session, txn, key, written_at, not is_rejected)
        if is_rejected:
            session.send(txn, b"503", b"-", b"")
            return
        is_duplicate = self._is_known_key(key)
        self.abandon(session, txn)  # a second attempt on this connection replaces the first
        if key and not is_duplicate:
            self.idempotency_keys[key] = self.simulation.clock.now
        work_us = DUPLICATE_WORK_US if is_duplicate else US_PER_MS * int(body.split()[1])
        self._start(session, txn, work_us)

    def _is_known_key(self, key: bytes) -> bool:
        """Whether this idempotency key first arrived within the last deduplication window."""
        window_us = self.simulation.dedup_window_us
        first_at = self.idempotency_keys.get(key, -window_us)
        return bool(key) and self.simulation.clock.now - first_at < window_us

    def _start(self, session: EngineSession, txn: bytes, work_us: int) -> None:
        attempt = RunningAttempt(session, txn)
        session.running[txn] = attempt
        self.running_count += 1
        core_contention = max(1.0, self.running_count / self.cores)
        duration_us = int(work_us * self.slowdown * core_contention)
        attempt.end_event = self.simulation.clock.after(duration_us, self._complete, attempt, work_us)
        attempt.note_event = self.simulation.clock.after(NOTE_INTERVAL_US, self._send_note, attempt)

    def _send_note(self, attempt: RunningAttempt) -> None:
        attempt.session.send(attempt.txn, b"status", b"note=share,v=0.5", b"")
        attempt.note_event = self.simulation.clock.after(NOTE_INTERVAL_US, self._send_note, attempt)

    def _complete(self, attempt: RunningAttempt, work_us: int) -> None:
        session, txn = attempt.session, attempt.txn
        self.simulation.clock.cancel(attempt.note_event)
        del session.running[txn]
        self.running_count -= 1
        self.simulation.checker.attempt_over(self, txn)
        session.answered.add(txn)
        if self.malformed_answers:
            self.malformed_answers -= 1
            session.send_malformed()
            return
        fields = b"pages=%d,cost=%d,need=20" % (page_count(txn), work_us // US_PER_MS)
        for _ in range(2 if self.duplicate_answers else 1):
            session.send(txn, b"200", fields, page_rows(txn, 0))
        self.duplicate_answers = max(0, self.duplicate_answers - 1)
