"""Reads batches from standard input and writes one reply for each to standard output."""

import struct
import sys

from gullhold.simulator_adapter.frames import HEADER, U32
from gullhold.simulator_adapter.host import Host


def main():
    """Serve until input ends; a frame that can't be parsed ends the process with a plain message."""
    take, give = sys.stdin.buffer, sys.stdout.buffer
    host = Host()
    while head := take.read(U32.size):
        try:
            size = U32.unpack(head)[0]
            body = take.read(size - U32.size) if size >= HEADER.size else b""
            if len(body) < HEADER.size - U32.size or len(body) < size - U32.size:
                raise ValueError("frame cut short")
            answer = host.reply(body)
        except (struct.error, ValueError) as fault:
            sys.exit(f"gullhold.simulator_adapter: malformed frame: {fault}")
        give.write(answer)
        give.flush()


if __name__ == "__main__":
    main()
