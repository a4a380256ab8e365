"""Encodes results of a gateway as records of a reply."""

from struct import Struct

from gullhold.interface import (
    US_PER_SECOND,
    CancelAttempt,
    Dispatch,
    Fail,
    LogLine,
    Result,
    SetGrantAndPriority,
    Shed,
    StartTimer,
)
from gullhold.simulator_adapter import wire
from gullhold.simulator_adapter.wire import ActionCode

MAX_TEXT_BYTES = 60_000  # longer texts are cut; the length field allows 65535


def text_record(code: ActionCode, instance: int, text: str) -> bytes:
    """Encode a text as a record: code DEBUG for a log line, BUG for an exception in the decision module."""
    raw = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    fields_size = wire.TEXT.size - wire.RECORD_HEADER.size + len(raw)
    return wire.TEXT.pack(code, fields_size, instance, len(raw)) + raw


def encode_result(instance: int, result: Result) -> bytes:
    """Encode a result as a record. Raises TypeError for a ReportDemand: the simulator has no budgets."""
    match result:
        case Dispatch(command, engine, deadline_us, _):
            deadline_s = deadline_us / US_PER_SECOND
            return _record(wire.TRY, ActionCode.TRY, instance, command, deadline_s, engine)
        case SetGrantAndPriority(command, grant_mb, priority):
            return _record(wire.PROVIDE, ActionCode.PROVIDE, instance, command, grant_mb, priority)
        case CancelAttempt(command, attempt):
            return _record(wire.RETRACT, ActionCode.RETRACT, instance, command, attempt)
        case Shed(command, retry_after_us):
            retry_after_s = retry_after_us / US_PER_SECOND
            return _record(wire.BUSY, ActionCode.BUSY, instance, command, retry_after_s)
        case Fail(command):
            return _record(wire.DROP_REQUEST, ActionCode.DROP_REQUEST, instance, command)
        case StartTimer(delay_us, token):
            return _record(wire.TIMER, ActionCode.TIMER, instance, delay_us / US_PER_SECOND, token)
        case LogLine(text):
            return text_record(ActionCode.DEBUG, instance, text)
    raise TypeError(f"no record for {result!r}")


def _record(layout: Struct, code: ActionCode, instance: int, *fields: float) -> bytes:
    """Encode a record whose layout has a fixed size."""
    return layout.pack(code, layout.size - wire.RECORD_HEADER.size, instance, *fields)
