"""A client connection that sends and reads one message at a time, for tests that look at each answer."""

import socket
import struct
from typing import NamedTuple

from gullhold.net import thrift
from gullhold.testing import WAIT_TIMEOUT_S

READ_BYTES = 100_000
LENGTH_SIZE = 4  # bytes of the length of a frame
DEFAULT_BODY = b"select 1 from sales_3.t"


class Answer(NamedTuple):
    """A reply to a call.

    result: the body of a good answer; "unfit" for an answer marked as not good; else "shed", "fault" or
    "exception".
    """

    sequence_number: int
    result: bytes | str


class BlockingClient:
    """A client's connection. Command numbers are unique among all callers of the process."""

    serial = 0

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=WAIT_TIMEOUT_S)
        self.buffer = b""
        self.seq = 0

    def send(self, method: str, body: bytes, kind: int = thrift.CALL, seq: int | None = None) -> int:
        """Send one message; body: its fields without the end of the struct. Return its sequence number."""
        self.seq += 1
        seq = seq or self.seq
        self.sock.sendall(thrift.encode_message(kind, method, seq, body + thrift.END_OF_STRUCT))
        return seq

    def send_command(
        self,
        verb: str = "read",
        limit: int = 3000,
        seq: int | None = None,
        txn: bytes | None = None,
        body: bytes = DEFAULT_BODY,
        **other: bytes,
    ) -> int:
        """Send a command; return its sequence number.

        verb: its profile; limit: its timeout in ms; txn: its number, by default a new one; other: further
        fields.
        """
        BlockingClient.serial += 1
        txn = txn or b"%016x" % BlockingClient.serial
        fields = {
            b"verb": verb.encode(),
            b"txn": txn,
            b"limit": b"%d" % limit,
            b"cpu": b"20",
            b"memory": b"50",
        }
        if verb == "mark":
            fields[b"unique"] = txn * 2
        fields |= {key.encode(): value for key, value in other.items()}
        return self.send("execute", execute_arguments(fields, body), seq=seq)

    def interrupt(self, seq: int) -> None:
        """Withdraw the command with this sequence number."""
        self.send("interrupt", b"\x08\0\1" + struct.pack(">i", seq), kind=thrift.ONEWAY)

    def read_answer(self) -> Answer | None:
        """Return the next answer; None at the end of the connection."""
        frame = self._read_frame()
        if frame is None:
            return None
        reader = thrift.FrameReader(frame)
        kind = reader.read(4)[3]
        reader.read_string()
        seq = reader.read_number(thrift.I32_FORMAT)
        result = reader.read_struct()
        if kind == thrift.EXCEPTION:
            return Answer(seq, "exception")
        if (thrift.RESULT_SUCCESS, thrift.STRUCT) in result:
            found = result[thrift.RESULT_SUCCESS, thrift.STRUCT]
            is_good = found[thrift.ANSWER_GOOD, thrift.BOOL]
            return Answer(seq, found[thrift.ANSWER_BODY, thrift.STRING] if is_good else "unfit")
        return Answer(seq, "shed" if (thrift.RESULT_SHED, thrift.STRUCT) in result else "fault")

    def _read_frame(self) -> bytes | None:
        """Read one frame without its length; None at the end of the connection."""
        while not self._has_frame():
            try:
                data = self.sock.recv(READ_BYTES)
            except ConnectionError:
                data = b""
            if not data:
                return None
            self.buffer += data
        end = LENGTH_SIZE + self._frame_size()
        frame = self.buffer[LENGTH_SIZE:end]
        self.buffer = self.buffer[end:]
        return frame

    def _has_frame(self) -> bool:
        return len(self.buffer) >= LENGTH_SIZE and len(self.buffer) >= LENGTH_SIZE + self._frame_size()

    def _frame_size(self) -> int:
        return struct.unpack(">i", self.buffer[:LENGTH_SIZE])[0]


def execute_arguments(fields: dict[bytes, bytes], body: bytes) -> bytes:
    """Encode the arguments of an execute call, without the end of their struct."""
    return b"\x0d\0\1" + thrift.encode_string_map(fields) + b"\x0b\0\2" + thrift.encode_string(body)
