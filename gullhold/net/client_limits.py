"""What the protocol allows on one connection of a client."""

MAX_OPEN_REQUESTS = 32  # requests that a client has open on a connection, from the protocol
MAX_RESULT_BYTES = 48_000  # bytes of a result, from the protocol
