"""Checks of one run of the soak test, on what clients sent and received and on what engines received."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from gullhold.testing.soak.clients_and_engines import RequestRecord, TimedFetch

# Times that the client protocol allows, and tolerances for observing them.
CROSSING_S = 0.05  # a request written this shortly before its connection's end may go unanswered
SOCKET_TOLERANCE_S = 0.05  # added to each time limit where it is observed on sockets
ATTEMPT_AFTER_LEAVING_S = 0.1  # an attempt may still start this long after its client left

RECORDING_DELAY_S = 0.2  # test doubles on a busy machine may record the time of an event this much too late


class Kind(StrEnum):
    """The kinds of violations."""

    UNANSWERED = "read and unanswered"
    LATE = "answered late"
    TWICE = "answered twice"
    AFTER_LEAVING = "attempt after the client left"
    DRAINING = "attempt on a draining engine after the grace period"
    RAN_TWICE = "non-idempotent command sent twice"
    LATE_END = "end later than the protocol allows"
    BAD_STATUS = "status not 0"
    FAULT = "the program logged a fault"


@dataclass(frozen=True)
class Violation:
    """A violation of the protocol or of the rules for shutdown. detail: what shows it."""

    kind: Kind
    detail: str


@dataclass(frozen=True)
class Suspension:
    """An interval, in monotonic s, in which the gateways were suspended by SIGSTOP."""

    began_at: float
    ended_at: float

    def overlap_s(self, began_at: float, ended_at: float) -> float:
        """Return how long the gateways were suspended within an interval."""
        return max(0.0, min(self.ended_at, ended_at) - max(self.began_at, began_at))


def check_requests(
    records: Iterable[RequestRecord], suspensions: Sequence[Suspension] = ()
) -> list[Violation]:
    """Return the violations in what clients sent and received."""
    found = []
    for record in records:
        name = f"{record.profile} {record.txn.decode()}"
        if len(record.answers) > 1:
            found.append(Violation(Kind.TWICE, name))
        if record.answers:
            delay_s = record.answers[0].at - record.written_at
            suspended_s = sum(each.overlap_s(record.written_at, record.answers[0].at) for each in suspensions)
            if delay_s > record.timeout_s + SOCKET_TOLERANCE_S + RECORDING_DELAY_S + suspended_s:
                found.append(Violation(Kind.LATE, f"{name}: {delay_s:.3f} s of {record.timeout_s} s"))
        elif _is_wrongly_unanswered(record):
            found.append(Violation(Kind.UNANSWERED, name))
    return found


def _is_wrongly_unanswered(record: RequestRecord) -> bool:
    """Return whether a request without an answer was written early enough to be answered."""
    if record.left_at is not None or record.connection_ended_at is None:
        return False
    return record.written_at < record.connection_ended_at - CROSSING_S - RECORDING_DELAY_S


def check_attempts(
    records: Iterable[RequestRecord],
    fetches: Iterable[TimedFetch],
    drained_at: Mapping[int, float],
    grace_s: float,
) -> list[Violation]:
    """Return the violations in what engines received.

    drained_at: when the gateways were sent an endpoint list in which an engine is draining, by the engine's
    number; grace_s: how long after that it may still receive attempts.
    """
    found = []
    by_txn = {record.txn: record for record in records}
    sent: set[bytes] = set()
    for fetch in sorted(fetches):
        record = by_txn.get(fetch.txn)
        listed_at = drained_at.get(fetch.engine)
        name = f"{fetch.txn.decode()} at engine {fetch.engine}"
        if listed_at is not None and fetch.at > listed_at + grace_s + SOCKET_TOLERANCE_S + RECORDING_DELAY_S:
            found.append(Violation(Kind.DRAINING, name))
        if record is None:
            continue
        if (
            record.left_at is not None
            and fetch.at > record.left_at + ATTEMPT_AFTER_LEAVING_S + RECORDING_DELAY_S
        ):
            found.append(Violation(Kind.AFTER_LEAVING, name))
        if record.profile == "once" and fetch.txn in sent:
            found.append(Violation(Kind.RAN_TWICE, name))
        sent.add(fetch.txn)
    return found
