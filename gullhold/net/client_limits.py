"""What the protocol allows on one connection of a client."""

OPEN_MOST = 32  # requests that a client has open on a connection, from the protocol
RESULT_MOST = 48_000  # bytes of a result, from the protocol
