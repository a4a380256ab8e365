"""What was wrong in one run of the soak, by what clients wrote and got and what engines were sent."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from gullhold.testing.soak.clients_and_engines import RequestRecord, TimedFetch

CROSSING_S = 0.05  # in which a request may cross the end of its connection, from the protocol
RULE_SLACK_S = 0.05  # by which each time limit is longer on sockets, from the protocol
LEFT_S = 0.1  # after a client has left in which an attempt may still begin, from the protocol
MACHINE_S = 0.2  # by which this machine may be late in writing down when something happened


class Kind(StrEnum):
    """The kinds of violations."""

    UNANSWERED = "read and unanswered"
    LATE = "answered late"
    TWICE = "answered twice"
    AFTER_LEAVING = "attempt after the client left"
    DRAINING = "attempt on a draining engine after the grace"
    RAN_TWICE = "non-idempotent command sent twice"
    LATE_END = "end later than the page allows"
    BAD_STATUS = "status not 0"
    FAULT = "the program logged a fault"


@dataclass(frozen=True)
class Violation:
    """One violation, with what shows it."""

    kind: Kind
    detail: str


@dataclass(frozen=True)
class Suspension:
    """The process was suspended from one time to another."""

    began_at: float
    ended_at: float

    def overlap_s(self, began_at: float, ended_at: float) -> float:
        """Return for how long of an interval the process was suspended."""
        return max(0.0, min(self.ended_at, ended_at) - max(self.began_at, began_at))


def check_requests(records: Iterable[RequestRecord], stops: Sequence[Suspension] = ()) -> list[Violation]:
    """Judge what clients wrote and got."""
    found = []
    for record in records:
        name = f"{record.profile} {record.txn.decode()}"
        if len(record.answers) > 1:
            found.append(Violation(Kind.TWICE, name))
        if record.answers:
            delay_s = record.answers[0].at - record.written_at
            stopped_s = sum(stop.overlap_s(record.written_at, record.answers[0].at) for stop in stops)
            if delay_s > record.timeout_s + RULE_SLACK_S + MACHINE_S + stopped_s:
                found.append(Violation(Kind.LATE, f"{name}: {delay_s:.3f} s of {record.timeout_s} s"))
        elif _is_lost(record):
            found.append(Violation(Kind.UNANSWERED, name))
    return found


def _is_lost(record: RequestRecord) -> bool:
    """Whether a request without an answer was written well before its connection ended."""
    if record.left_at is not None or record.ends_at is None:
        return False
    return record.written_at < record.ends_at - CROSSING_S - MACHINE_S


def check_attempts(
    records: Iterable[RequestRecord],
    fetches: Iterable[TimedFetch],
    drained_at: Mapping[int, float],
    grace_s: float,
) -> list[Violation]:
    """Judge what engines were sent. drained_at: when the drain of an engine was told, by its number."""
    found = []
    by_txn = {record.txn: record for record in records}
    sent: set[bytes] = set()
    for fetch in sorted(fetches):
        record = by_txn.get(fetch.txn)
        told_at = drained_at.get(fetch.engine)
        name = f"{fetch.txn.decode()} at engine {fetch.engine}"
        if told_at is not None and fetch.at > told_at + grace_s + RULE_SLACK_S + MACHINE_S:
            found.append(Violation(Kind.DRAINING, name))
        if record is None:
            continue
        if record.left_at is not None and fetch.at > record.left_at + LEFT_S + MACHINE_S:
            found.append(Violation(Kind.AFTER_LEAVING, name))
        if record.profile == "once" and fetch.txn in sent:
            found.append(Violation(Kind.RAN_TWICE, name))
        sent.add(fetch.txn)
    return found
