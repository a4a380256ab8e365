"""The command `check`: asks a running gateway over its client port whether it serves."""

import socket
import sys

from gullhold.net import split_host_port, thrift
from gullhold.net.connection_ends import ProtocolError

SEQUENCE_ID = 1


def is_serving(address: tuple[str, int], timeout_s: float) -> bool | None:
    """Ask the gateway at an address whether it serves; None if nothing listens there.

    Raises OSError, or ProtocolError if something other than a gateway answers.
    """
    decoder = thrift.Decoder(thrift.MAX_CHECK_REPLY_BYTES)
    try:
        with socket.create_connection(address, timeout=timeout_s) as sock:
            sock.sendall(thrift.encode_check_call(SEQUENCE_ID))
            frame = next(decoder.frames(), None)
            while frame is None and decoder.buffer.receive(sock):
                frame = next(decoder.frames(), None)
            return frame is not None and thrift.is_good_answer(frame)
    except ConnectionRefusedError:
        return None


def check(address: str, timeout_s: float) -> int:
    """Print whether the gateway at HOST:PORT serves; return the exit status: 0 if it does, else 1."""
    try:
        serves = is_serving(split_host_port(address), timeout_s)
        if serves is None:
            raise ConnectionRefusedError("nothing listens there")
    except (OSError, ValueError, ProtocolError) as error:
        print(f"gullhold: {address}: {error}", file=sys.stderr)
        return 1
    print("serves" if serves else "does not serve")
    return 0 if serves else 1
