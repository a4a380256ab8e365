"""The engine protocol: commands to engines, their replies, and the outcome that each final reply means."""

from gullhold.interface import Outcome

# Commands.
FETCH = b"fetch"
MORE = b"more"
DONE = b"done"
ABORT = b"abort"
RENICE = b"renice"
ALIVE = b"alive"  # health check; the engine replies ALIVE with the same tag
# Replies.
STATUS = b"status"
CHUNK = b"chunk"
ANSWER = b"200"
ERROR = b"500"
OVERLOADED = b"503"
EXPIRED = b"504"

# Replies that end an attempt; OVERLOADED and EXPIRED mean that it never ran.
FINAL_REPLIES = {
    ANSWER: Outcome.ANSWERED,
    OVERLOADED: Outcome.OVERLOADED,
    ERROR: Outcome.ERROR,
    EXPIRED: Outcome.NOT_STARTED,
}
