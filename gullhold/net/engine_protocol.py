"""The engine protocol: commands to engines, their replies, and the outcome that each final reply means."""

from gullhold.interface import Outcome

# Commands.
FETCH = b"fetch"  # starts an attempt
MORE = b"more"  # requests the next page of a result
DONE = b"done"  # no further page of the result is needed
ABORT = b"abort"  # cancels an attempt
RENICE = b"renice"  # changes the priority of an open attempt
ALIVE = b"alive"  # health check; the engine replies ALIVE with the same tag
# Replies; the protocol names the final ones by numbers, as HTTP does.
STATUS = b"status"  # a status note on an open attempt
CHUNK = b"chunk"  # a page after the first
ANSWER = b"200"  # the first page, with the number of all pages
ERROR = b"500"
OVERLOADED = b"503"  # rejected without running it
EXPIRED = b"504"  # its time was over before it ran

# Replies that end an attempt without an answer; OVERLOADED and EXPIRED mean that it never ran.
FAILURES = {
    OVERLOADED: Outcome.OVERLOADED,
    ERROR: Outcome.ERROR,
    EXPIRED: Outcome.NOT_STARTED,
}
