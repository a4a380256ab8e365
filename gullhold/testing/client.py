"""A client's connection that asks and reads one thing at a time; for tests, which look at each answer."""

import socket
import struct

from gullhold.net import thrift
from gullhold.testing import PATIENCE_S


class Caller:
    """A client's connection."""

    serial = 0

    def __init__(self, address):
        self.sock = socket.create_connection(address, timeout=PATIENCE_S)
        self.buffer, self.seq = b"", 0

    def send(self, method, body, kind=thrift.CALL, seq=None):
        """One frame; its sequence number."""
        self.seq += 1
        seq = seq or self.seq
        message = thrift.encode_message(kind, method, seq, body + b"\0")
        self.sock.sendall(message)
        return seq

    def ask(self, verb="read", limit=3000, seq=None, txn=None, body=b"select 1 from sales_3.t", **other):
        """Ask for a command; its sequence number."""
        Caller.serial += 1
        txn = txn or b"%016x" % Caller.serial
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
        args = b"\x0d\0\1" + thrift.encode_string_map(fields) + b"\x0b\0\2" + thrift.encode_string(body)
        return self.send("execute", args, seq=seq)

    def interrupt(self, seq):
        """Stop waiting."""
        self.send("interrupt", b"\x08\0\1" + struct.pack(">i", seq), kind=thrift.ONEWAY)

    def answer(self):
        """(sequence number, what) of the next answer; None at the end of the connection."""
        while len(self.buffer) < 4 or len(self.buffer) < 4 + struct.unpack(">i", self.buffer[:4])[0]:
            try:
                data = self.sock.recv(100_000)
            except ConnectionError:
                data = b""
            if not data:
                return None
            self.buffer += data
        size = struct.unpack(">i", self.buffer[:4])[0]
        scan = thrift.FrameReader(self.buffer[4 : 4 + size])
        self.buffer = self.buffer[4 + size :]
        kind = scan.read(4)[3]
        scan.read_string()
        seq, result = scan.read_number(thrift.I32S), scan.read_struct()
        if kind == thrift.EXCEPTION:
            return seq, "exception"
        if (0, thrift.STRUCT) in result:
            found = result[0, thrift.STRUCT]
            return seq, found[1, thrift.STRING] if found[3, thrift.BOOL] else "unfit"
        return seq, "shed" if (1, thrift.STRUCT) in result else "fault"
