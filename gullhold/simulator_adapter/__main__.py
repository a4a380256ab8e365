"""Reads batches of events from standard input, and writes a reply to each to standard output."""

import struct
import sys
from typing import BinaryIO

from gullhold.simulator_adapter.host import Host
from gullhold.simulator_adapter.wire import BATCH_HEADER, LENGTH


def main() -> None:
    """Answer batches until the input ends; a malformed frame ends the process with a message and status 1."""
    batches = sys.stdin.buffer
    replies = sys.stdout.buffer
    host = Host()
    while length := batches.read(LENGTH.size):
        try:
            reply = host.reply(_read_body(batches, length))
        except (struct.error, ValueError) as error:
            sys.exit(f"gullhold.simulator_adapter: malformed frame: {error}")
        replies.write(reply)
        replies.flush()


def _read_body(batches: BinaryIO, length: bytes) -> bytes:
    """Read the rest of a frame after its length. Raises ValueError or struct.error if it is too short."""
    (size,) = LENGTH.unpack(length)
    body = batches.read(size - LENGTH.size) if size >= BATCH_HEADER.size else b""
    if len(body) < BATCH_HEADER.size - LENGTH.size or len(body) < size - LENGTH.size:
        raise ValueError(f"frame of {size} bytes cut short: {LENGTH.size + len(body)} bytes read")
    return body


if __name__ == "__main__":
    main()
