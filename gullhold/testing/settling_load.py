"""Clients at full speed whose requests are settled soon: answered, shed, taken back, or left behind.

Each sends as many requests as a connection may carry, has them settled, and begins again. What a gateway
keeps of settled requests shows in its memory.
"""

import select
import socket
import time
from contextlib import suppress
from enum import Enum
from threading import Lock, Thread

from gullhold.net import thrift
from gullhold.net.client_limits import MAX_OPEN_REQUESTS
from gullhold.testing import WAIT_TIMEOUT_S
from gullhold.testing.client import execute_arguments
from gullhold.testing.working_engine import statement

MAX_READ_BYTES = 1 << 18
MAX_FRAME_BYTES = 100_000  # bytes of an answer
SENT_AFTER_S = 0.03  # s after which most requests of a batch were sent on
ROUND_PAUSE_S = 0.005  # s between two rounds of a client
WORK_MS = 5.0  # work of a request


class TakeBack(Enum):
    """When a client takes its requests back."""

    NEVER = "answered"
    AT_ONCE = "taken back at once"
    ONCE_SENT = "taken back once sent"
    BY_LEAVING = "client gone"


class SettlingLoad:
    """A number of clients, each with one connection at a time. sent: requests so far; answered: answers."""

    def __init__(
        self,
        address: tuple[str, int],
        clients: int,
        take_back: TakeBack,
        timeout_ms: int,
        statement_bytes: int = 15_000,
    ) -> None:
        """timeout_ms: client timeout of all requests; statement_bytes: length of each statement."""
        self.address = address
        self.take_back = take_back
        self.timeout_ms = timeout_ms
        self.clients = clients
        self.sent = 0
        self.answered = 0
        self._body = statement(WORK_MS).ljust(statement_bytes)
        self._lock = Lock()

    def run(self, seconds: float) -> None:
        """Play for this time; returns once all clients have ended."""
        ends_at = time.monotonic() + seconds
        threads = [
            Thread(target=self._run_client, args=(number, ends_at), daemon=True)
            for number in range(self.clients)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _run_client(self, number: int, ends_at: float) -> None:
        serial = number << 40
        while time.monotonic() < ends_at:
            with suppress(OSError), socket.create_connection(self.address, timeout=WAIT_TIMEOUT_S) as sock:
                serial = self._serve_connection(sock, serial, ends_at)

    def _serve_connection(self, sock: socket.socket, serial: int, ends_at: float) -> int:
        """Play rounds on one connection; return the last serial number of a request."""
        decoder = thrift.Decoder(MAX_FRAME_BYTES)
        last_seq = 0
        while time.monotonic() < ends_at:
            sock.sendall(self._requests(last_seq, serial))
            serial += MAX_OPEN_REQUESTS
            with self._lock:
                self.sent += MAX_OPEN_REQUESTS
            if self.take_back == TakeBack.BY_LEAVING:
                time.sleep(SENT_AFTER_S)
                return serial
            last_seq += MAX_OPEN_REQUESTS
            if self.take_back == TakeBack.NEVER:
                self._read_answers(sock, decoder, MAX_OPEN_REQUESTS)
                continue
            time.sleep(SENT_AFTER_S if self.take_back == TakeBack.ONCE_SENT else 0)
            sock.sendall(_interrupts(last_seq))
            last_seq += MAX_OPEN_REQUESTS
            _discard_answers(sock)
            time.sleep(ROUND_PAUSE_S)
        return serial

    def _requests(self, last_seq: int, serial: int) -> bytes:
        return b"".join(
            thrift.encode_message(
                thrift.CALL,
                "execute",
                last_seq + number,
                execute_arguments(self._fields(serial + number), self._body) + thrift.END_OF_STRUCT,
            )
            for number in range(1, MAX_OPEN_REQUESTS + 1)
        )

    def _fields(self, serial: int) -> dict[bytes, bytes]:
        return {
            b"verb": b"read",
            b"txn": b"%016x" % serial,
            b"limit": b"%d" % self.timeout_ms,
            b"cpu": b"%d" % WORK_MS,
            b"memory": b"50",
        }

    def _read_answers(self, sock: socket.socket, decoder: thrift.Decoder, count: int) -> None:
        """Wait for so many answers."""
        missing = count
        while missing:
            if not decoder.buffer.receive(sock):
                raise ConnectionResetError
            missing -= sum(1 for _ in decoder.frames())
        with self._lock:
            self.answered += count


def _discard_answers(sock: socket.socket) -> None:
    """Read what has arrived. Raises ConnectionResetError at the end of the connection."""
    while select.select([sock], [], [], 0)[0]:
        if not sock.recv(MAX_READ_BYTES):
            raise ConnectionResetError


def _interrupts(last_seq: int) -> bytes:
    """Encode an interrupt for each of the MAX_OPEN_REQUESTS requests up to a sequence number."""
    first = last_seq - MAX_OPEN_REQUESTS + 1
    return b"".join(
        thrift.encode_message(
            thrift.ONEWAY,
            "interrupt",
            seq + MAX_OPEN_REQUESTS,
            thrift.FIELD_HEADER.pack(thrift.I32, 1) + thrift.I32_FORMAT.pack(seq) + thrift.END_OF_STRUCT,
        )
        for seq in range(first, last_seq + 1)
    )
