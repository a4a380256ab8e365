"""The protocol's limits for one client connection."""

MAX_OPEN_REQUESTS = 32  # requests that may be open on a connection at once
MAX_RESULT_BYTES = 48_000  # largest result of a command
