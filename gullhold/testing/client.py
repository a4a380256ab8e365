"""A client on a blocking socket that sends and reads single messages, for tests that check each answer."""

import socket
import struct
from typing import NamedTuple

from gullhold.net import thrift
from gullhold.testing import WAIT_TIMEOUT_S

MAX_READ_BYTES = 100_000  # bytes of one read from the socket
LENGTH_SIZE = 4  # bytes of the length in front of a frame
DEFAULT_STATEMENT = b"select 1 from sales_3.t"


class Answer(NamedTuple):
    """The reply to a call.

    result: the rows of a successful answer; "unfit" for an answer that is marked as not good; "shed" or
    "fault" for the declared exceptions; "exception" for an application exception.
    """

    sequence_number: int
    result: bytes | str


class BlockingClient:
    """A client with one connection. The txns of its commands are unique in this process."""

    serial = 0

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=WAIT_TIMEOUT_S)
        self.buffer = b""
        self.seq = 0

    def send(self, method: str, body: bytes, kind: int = thrift.CALL, seq: int | None = None) -> int:
        """Send one message and return its sequence number.

        body: its encoded fields without the end of the struct; kind: its Thrift message type; seq: by
        default the next one.
        """
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
        body: bytes = DEFAULT_STATEMENT,
        **other: bytes,
    ) -> int:
        """Send a command; return its sequence number.

        verb: the profile; limit: the client timeout in ms; txn: the command's number, by default a new one;
        body: the statement; other: further fields.
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
        """Withdraw the open command with this sequence number."""
        self.send("interrupt", b"\x08\0\1" + struct.pack(">i", seq), kind=thrift.ONEWAY)

    def read_answer(self) -> Answer | None:
        """Wait for the next answer and return it; None at the end of the connection."""
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
        """Read one frame and return it without its length; None at the end of the connection."""
        while not self._has_frame():
            try:
                data = self.sock.recv(MAX_READ_BYTES)
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
    """Encode the arguments of an execute call; the caller appends the end of their struct."""
    return b"\x0d\0\1" + thrift.encode_string_map(fields) + b"\x0b\0\2" + thrift.encode_string(body)
