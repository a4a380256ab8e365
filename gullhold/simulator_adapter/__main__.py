"""Reads batches from standard input and writes one reply for each to standard output."""

import struct
import sys
from typing import BinaryIO

from gullhold.simulator_adapter.host import Host
from gullhold.simulator_adapter.wire import BATCH_HEADER, LENGTH


def main() -> None:
    """Serve until the input ends; a malformed frame ends the process with a plain message."""
    batches = sys.stdin.buffer
    replies = sys.stdout.buffer
    host = Host()
    while length := batches.read(LENGTH.size):
        try:
            reply = host.reply(_read_body(batches, length))
        except (struct.error, ValueError) as fault:
            sys.exit(f"gullhold.simulator_adapter: malformed frame: {fault}")
        replies.write(reply)
        replies.flush()


def _read_body(batches: BinaryIO, length: bytes) -> bytes:
    """Read the rest of a frame. Raises ValueError or struct.error if it is too short."""
    (size,) = LENGTH.unpack(length)
    body = batches.read(size - LENGTH.size) if size >= BATCH_HEADER.size else b""
    if len(body) < BATCH_HEADER.size - LENGTH.size or len(body) < size - LENGTH.size:
        raise ValueError("frame cut short")
    return body


if __name__ == "__main__":
    main()
