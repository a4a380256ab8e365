"""Decodes the records of a batch into typed events.

Times are in seconds, as on the wire; Host converts them to microseconds. Each decoder raises struct.error if
the fields are too short.
"""

import struct
from collections.abc import Callable, Iterator
from typing import NamedTuple

from gullhold.agreement import microseconds
from gullhold.interface import EngineEntry, EngineState, Outcome, StatusKind
from gullhold.simulator_adapter import wire
from gullhold.simulator_adapter.wire import ArrivalOption, EventCode


class NewInstance(NamedTuple):
    """An instance starts; settings: text of the deployment's settings."""

    instance: int
    seed: int
    settings: str


class EndpointsAnnounced(NamedTuple):
    """Discovery announces the engines of a numbered list to an instance."""

    instance: int
    list_number: int
    revision: int
    scope: int  # a wire.Scope, or an unknown code


class CommandArrived(NamedTuple):
    """A command arrives at an instance."""

    instance: int
    command: int
    profile: int
    tenant: int
    ordering_key: int
    timeout_at_s: float
    work_s: float
    need_mb: float
    dataset: float
    options: ArrivalOption


class AnswerBegan(NamedTuple):
    """The answer of an attempt has begun."""

    instance: int
    command: int
    attempt: int
    engine: int
    latency_s: float


class AttemptEnded(NamedTuple):
    """An attempt ended.

    work_us, need_mb: work and memory that it used, 0: not stated; is_closed: the command has its final
    answer, or its client has left; report: the engine's load report.
    """

    instance: int
    command: int
    attempt: int
    latency_s: float
    work_us: int
    need_mb: int
    outcome: Outcome
    is_closed: bool
    report: tuple[float, ...]


class ClientLeft(NamedTuple):
    """The client of a command left."""

    instance: int
    command: int


class TimerFired(NamedTuple):
    """A timer of an instance fired."""

    instance: int
    token: int


class Retired(NamedTuple):
    """An instance has been killed."""

    instance: int


class StatusNoted(NamedTuple):
    """A status note on an open attempt arrived."""

    instance: int
    command: int
    attempt: int
    kind: StatusKind
    value: float


Event = (
    NewInstance
    | EndpointsAnnounced
    | CommandArrived
    | AnswerBegan
    | AttemptEnded
    | ClientLeft
    | TimerFired
    | Retired
    | StatusNoted
)


def split_records(body: bytes) -> Iterator[tuple[int, bytes]]:
    """Iterate over the (code, fields) pairs of a batch. Raises ValueError if the last one is cut off.

    body: the batch without its length field.
    """
    at = wire.BATCH_HEADER.size - wire.LENGTH.size
    while at < len(body):
        code, size = wire.RECORD_HEADER.unpack_from(body, at)
        at += wire.RECORD_HEADER.size
        if at + size > len(body):
            raise ValueError(
                f"record of code {code} with {size} bytes of fields at byte {at} extends past the end of its "
                f"frame of {len(body)} bytes"
            )
        yield code, body[at : at + size]
        at += size


def decode_page(fields: bytes) -> tuple[int, list[EngineEntry]]:
    """Decode the number of a list of engines, and its entries. Raises ValueError if entries are missing."""
    number, count = wire.PAGE.unpack_from(fields)
    if len(fields) < wire.PAGE.size + count * wire.PAGE_ENTRY.size:
        raise ValueError(
            f"list {number} of engines states {count} entries of {wire.PAGE_ENTRY.size} bytes, but has only "
            f"{len(fields) - wire.PAGE.size} bytes for them"
        )
    entries = []
    for index in range(count):
        at = wire.PAGE.size + index * wire.PAGE_ENTRY.size
        zone, weight, kind, code, cell, started_s, engine = wire.PAGE_ENTRY.unpack_from(fields, at)
        state = wire.STATE_BY_CODE.get(code, EngineState.REMOVED)
        entries.append(EngineEntry(engine, zone, weight, kind, state, cell, microseconds(started_s)))
    return number, entries


def decode(code: int, fields: bytes) -> Event | None:
    """Decode the event of a record; None: the adapter ignores it."""
    decoder = DECODERS.get(code)
    if decoder is None or len(fields) < wire.INSTANCE.size:
        return None
    return decoder(fields)


def _decode_new_instance(fields: bytes) -> NewInstance:
    instance, seed, size = wire.NEW_INSTANCE.unpack_from(fields)
    start = wire.NEW_INSTANCE.size
    text = bytes(fields[start : start + size]).decode("utf-8", "replace")
    return NewInstance(instance, seed, text)


def _decode_announce(fields: bytes) -> EndpointsAnnounced:
    return EndpointsAnnounced(*wire.ANNOUNCE.unpack_from(fields))


def _decode_arrival(fields: bytes) -> CommandArrived:
    *plain, options = wire.ARRIVAL.unpack_from(fields)
    # The layout fixes the number of fields, which the type of a list can't express.
    return CommandArrived(*plain, ArrivalOption(options))  # type: ignore[call-arg]


def _decode_established(fields: bytes) -> AnswerBegan:
    return AnswerBegan(*wire.ESTABLISHED.unpack_from(fields))


def _decode_answer(fields: bytes) -> AttemptEnded | None:
    unpacked = wire.ANSWER.unpack_from(fields)
    instance, command, attempt, latency_s, used, _, outcome_code, is_closed, figure_count = unpacked
    if outcome_code not in wire.OUTCOME_BY_CODE:
        return None
    start = wire.ANSWER.size
    figure_count = min(figure_count, (len(fields) - start) // wire.REPORT_FIGURE_SIZE)
    return AttemptEnded(
        instance,
        command,
        attempt,
        latency_s,
        (used >> wire.USED_MEMORY_BITS) * wire.USED_WORK_UNIT_US,
        (used & wire.USED_MEMORY_MASK) * wire.USED_MEMORY_UNIT_MB,
        wire.OUTCOME_BY_CODE[outcome_code],
        bool(is_closed),
        struct.unpack_from(f">{figure_count}f", fields, start),
    )


def _decode_client_gone(fields: bytes) -> ClientLeft:
    return ClientLeft(*wire.CLIENT_GONE.unpack_from(fields))


def _decode_timeout_fired(fields: bytes) -> TimerFired:
    return TimerFired(*wire.TIMEOUT_FIRED.unpack_from(fields))


def _decode_retire(fields: bytes) -> Retired:
    return Retired(*wire.INSTANCE.unpack_from(fields))


def _decode_update_of(fields: bytes) -> StatusNoted | None:
    instance, command, attempt, _, kind, value = wire.UPDATE_OF.unpack_from(fields)
    if kind not in wire.STATUS_KIND_BY_CODE:
        return None
    return StatusNoted(instance, command, attempt, wire.STATUS_KIND_BY_CODE[kind], value)


DECODERS: dict[int, Callable[[bytes], Event | None]] = {
    EventCode.NEW_INSTANCE: _decode_new_instance,
    EventCode.ANNOUNCE: _decode_announce,
    EventCode.ARRIVAL: _decode_arrival,
    EventCode.ESTABLISHED: _decode_established,
    EventCode.ANSWER: _decode_answer,
    EventCode.CLIENT_GONE: _decode_client_gone,
    EventCode.TIMEOUT_FIRED: _decode_timeout_fired,
    EventCode.RETIRE: _decode_retire,
    EventCode.UPDATE_OF: _decode_update_of,
}
