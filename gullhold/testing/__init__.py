"""Stand-ins for what the gateway talks to, on loopback: engines, clients, coordinator, a deployment's file.

They are written from the platform's published protocol, share no state with the gateway, and serve tests,
benchmarks and `gullhold demo`. Every further protocol gets its stand-ins here.
"""

import socket

LOOPBACK = "127.0.0.1"  # the only place where a stand-in listens or connects
PATIENCE_S = 8.0  # s until a wait of a stand-in fails: far more than any answer takes


def listening():
    """(socket, address) of a stand-in that listens."""
    sock = socket.create_server((LOOPBACK, 0), backlog=512)
    return sock, f"{LOOPBACK}:{sock.getsockname()[1]}"
