"""A simulated client: sends commands over the client protocol and reports every answer to the checker."""

import struct
from collections.abc import Sequence
from typing import TYPE_CHECKING

from gullhold.net import thrift
from gullhold.simulation.endpoints import Endpoint
from gullhold.simulation.streams import StreamEnd

if TYPE_CHECKING:
    from gullhold.simulation.gateway import SimulatedGateway
    from gullhold.simulation.simulation import Simulation

MAX_MESSAGE_BYTES = 1 << 18
MAX_OPEN = 30  # commands that a client has open at the same time
MIN_LIMIT_MS = 400  # shortest client timeout
LIMIT_SPREAD_MS = 2400  # largest random addition to MIN_LIMIT_MS
MIN_WORK_MS = 10  # shortest work of a command
WORK_SPREAD_MS = 400  # largest random addition to MIN_WORK_MS; small ones are more frequent
TABLES = 5  # number of tables that the statements read
US_PER_MS = 1000


class SimulatedClient:
    """A client with one connection to a gateway, on which it sends commands at random intervals."""

    def __init__(
        self,
        simulation: "Simulation",
        number: int,
        gateway: "SimulatedGateway",
        verbs: Sequence[bytes],
        mean_gap_us: int,
    ) -> None:
        """verbs: of which one is drawn for each command; mean_gap_us: mean time between commands."""
        self.simulation = simulation
        self.number = number
        self.gateway = gateway
        self.verbs = verbs
        self.mean_gap_us = mean_gap_us
        self.decoder = thrift.Decoder(MAX_MESSAGE_BYTES)
        self.last_seq = 0
        self.open: dict[int, bytes] = {}  # transaction ids by sequence number
        self.endpoint: Endpoint | None = None  # set before the first event
        self.has_left = False

    def send_next(self) -> None:
        """Send a command, unless too many are open, and schedule the next one.

        Ends when the client has left, or at the simulation's clients_send_until_us.
        """
        simulation = self.simulation
        if self.has_left or simulation.clock.now > simulation.clients_send_until_us:
            return
        if len(self.open) < MAX_OPEN:
            self._send_command()
        gap_us = int(self.mean_gap_us * (0.2 + 1.6 * simulation.random.random()))
        simulation.clock.after(gap_us, self.send_next)

    def _send_command(self) -> None:
        random = self.simulation.random.random
        self.last_seq += 1
        verb = self.verbs[int(random() * len(self.verbs))]
        txn = b"%08x%08x" % (self.number, self.last_seq)
        limit_ms = MIN_LIMIT_MS + int(random() * LIMIT_SPREAD_MS)
        work_ms = MIN_WORK_MS + int(random() ** 3 * WORK_SPREAD_MS)
        body = b"select %d from sales_%d.t" % (work_ms, self.last_seq % TABLES)
        fields = {b"verb": verb, b"txn": txn, b"limit": b"%d" % limit_ms, b"cpu": b"60", b"memory": b"20"}
        if verb == b"mark":
            fields[b"unique"] = txn * 2
        self.open[self.last_seq] = txn
        self.simulation.checker.command_sent(self, txn, verb, limit_ms * US_PER_MS)
        self.endpoint.write(encode_execute(self.last_seq, fields, body))

    def data_received(self, _endpoint: Endpoint, data: bytes) -> None:
        """Decode bytes of the gateway and pass each answer to the checker."""
        self.decoder.buffer.put(data)
        for frame in self.decoder.frames():
            seq, body = decode_answer(frame)
            self.simulation.checker.answered(self, self.open.pop(seq, None), body)

    def peer_closed(self, _endpoint: Endpoint, _end_kind: StreamEnd) -> None:
        """Handle the end of the gateway's side: a new client takes this one's place, unless it has left."""
        self.leave(reconnect=not self.has_left)

    def leave(self, reconnect: bool = False) -> None:
        """Close the connection, also with commands open; reconnect: start a new client in its place."""
        if self.has_left:
            return
        self.has_left = True
        self.simulation.checker.client_left(self, list(self.open.values()))
        if not self.endpoint.is_finishing and not self.endpoint.outgoing.is_finished:
            self.endpoint.finish(StreamEnd.CLOSED)
        if reconnect:
            self.simulation.start_client(self.gateway.name, self.verbs, self.mean_gap_us)


def encode_execute(seq: int, fields: dict[bytes, bytes], body: bytes) -> bytes:
    """Return the message of an execute call for a command."""
    arguments = b"\x0d\0\1" + thrift.encode_string_map(fields) + b"\x0b\0\2" + thrift.encode_string(body)
    return thrift.encode_message(thrift.CALL, "execute", seq, arguments + b"\0")


def decode_answer(frame: memoryview) -> tuple[int, bytes | None]:
    """Return the sequence number and the rows of an answer; no rows (None) if it was rejected or failed."""
    reader = thrift.FrameReader(frame)
    kind = reader.read(4)[3]
    reader.read_string()
    seq = struct.unpack(">i", reader.read(4))[0]
    success = reader.read_struct().get((0, thrift.STRUCT))
    body = success[1, thrift.STRING] if kind == thrift.REPLY and success else None
    return seq, body
