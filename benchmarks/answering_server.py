"""The control of the overload benchmark: a server that sheds every request at once.

`python -m benchmarks.answering_server HOST:PORT` reads each connection in a thread of its own, as the gateway
does. The latency of its answers is the part that the machine, the interpreter and the clients cause.
"""

import socket
import sys
from contextlib import suppress
from threading import Thread

from gullhold.net import set_no_delay, split_host_port, thrift
from gullhold.net.connection_ends import ProtocolError

MAX_FRAME_BYTES = 100_000
BACKLOG = 1024


def serve_client(sock: socket.socket) -> None:
    """Shed each request of one connection until the connection ends."""
    decoder = thrift.Decoder(MAX_FRAME_BYTES)
    with sock, suppress(OSError, ProtocolError):
        while decoder.buffer.receive(sock):
            headers = [thrift.read_call_header(thrift.FrameReader(frame)) for frame in decoder.frames()]
            sock.sendall(b"".join(thrift.encode_shed(header.sequence_id, {}) for header in headers))


def main(address: str) -> None:
    """Accept connections on HOST:PORT until the process is killed."""
    with socket.create_server(split_host_port(address), backlog=BACKLOG) as listener:
        while True:
            sock, _ = listener.accept()
            set_no_delay(sock)
            Thread(target=serve_client, args=(sock,), daemon=True).start()


if __name__ == "__main__":
    main(sys.argv[1])
