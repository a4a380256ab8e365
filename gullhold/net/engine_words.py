"""The words of the protocol between a gateway and its engines, and which of them end an attempt."""

from gullhold.interface import Outcome

# What an engine is told.
FETCH = b"fetch"
MORE = b"more"
DONE = b"done"
ABORT = b"abort"
RENICE = b"renice"
ALIVE = b"alive"  # answered with the same tag
# What an engine says.
STATUS = b"status"
CHUNK = b"chunk"
ANSWER = b"200"
ERROR = b"500"
OVERLOADED = b"503"
EXPIRED = b"504"

# Words that end an attempt; "full" (503) and "over already" (504) prove that it never ran.
FINAL_WORDS = {
    ANSWER: Outcome.ANSWERED,
    OVERLOADED: Outcome.OVERLOADED,
    ERROR: Outcome.ERROR,
    EXPIRED: Outcome.NOT_STARTED,
}
