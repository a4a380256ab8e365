"""Frames of the bench's wire: batches in, replies out. Decides nothing."""

import struct

from gullhold.agreement import microseconds
from gullhold.interface import (
    CancelAttempt,
    Dispatch,
    EngineEntry,
    EngineState,
    Fail,
    LogLine,
    Outcome,
    SetTerms,
    Shed,
    StartTimer,
    StatusKind,
)

HEADER = struct.Struct(">IdI")
REPLY = struct.Struct(">III")
RECORD = struct.Struct(">BI")
ENTRY = struct.Struct(">HfBBHdI")
U16 = struct.Struct(">H")
U32 = struct.Struct(">I")
PAGE = struct.Struct(">II")
NEW_INSTANCE = struct.Struct(">IQI")
ANNOUNCE = struct.Struct(">IIIB")
ARRIVAL = struct.Struct(">IIHIQddffB")
ESTABLISHED = struct.Struct(">IIHId")
ANSWER = struct.Struct(">IIHdIIBBB")
CLIENT_GONE = struct.Struct(">II")
TIMEOUT_FIRED = struct.Struct(">IQ")
UPDATE_OF = struct.Struct(">IIHIBf")

PUT_BUSY = struct.Struct(">BIIId")
PUT_PROVIDE = struct.Struct(">BIIIfB")
PUT_TIMER = struct.Struct(">BIIdQ")
PUT_DROP = struct.Struct(">BIII")
PUT_TRY = struct.Struct(">BIIIdI")
PUT_TEXT = struct.Struct(">BIIH")
PUT_RETRACT = struct.Struct(">BIIIH")
DEBUG, BUG = 10, 4

STATES = {0: EngineState.REMOVED, 2: EngineState.READY, 3: EngineState.DRAINING}
ENDINGS = {
    0: Outcome.ANSWERED,
    13: Outcome.ERROR,
    8: Outcome.OVERLOADED,
    4: Outcome.TIMED_OUT,
    14: Outcome.CONNECT_FAILED,
    10: Outcome.RESET,
    1: Outcome.CANCELLED,
    9: Outcome.NOT_STARTED,
}
NOTES = {1: StatusKind.PROGRESS, 2: StatusKind.SPILLING, 3: StatusKind.WAITING}


def records(body):
    """The (code, fields) pairs of a batch."""
    at, end = HEADER.size - 4, len(body)
    while at < end:
        code, size = RECORD.unpack_from(body, at)
        at += RECORD.size
        if at + size > end:
            raise ValueError(f"record of code {code} runs past its frame")
        yield code, body[at : at + size]
        at += size


def entries(fields):
    """The number of an endpoint list, and its entries."""
    number, size = PAGE.unpack_from(fields)
    found, at = [], PAGE.size
    if len(fields) < at + size * ENTRY.size:
        raise ValueError("list shorter than its count")
    for _ in range(size):
        zone, weight, kind, code, cell, started, engine = ENTRY.unpack_from(fields, at)
        state = STATES.get(code, EngineState.REMOVED)
        found.append(EngineEntry(engine, zone, weight, kind, state, cell, microseconds(started)))
        at += ENTRY.size
    return number, found


def line(code, instance, text):
    """A text record: a log line or a fault."""
    raw = text.encode("utf-8", "replace")[:60000]
    return PUT_TEXT.pack(code, 6 + len(raw), instance, len(raw)) + raw


def encode_result(instance, result):
    """The record that tells the bench of one result; ReportDemand has none: budgets are off here."""
    match result:
        case Dispatch(command, engine, deadline_us):
            return PUT_TRY.pack(8, 20, instance, command, deadline_us / 1e6, engine)
        case SetTerms(command, grant_mb, priority):
            return PUT_PROVIDE.pack(3, 13, instance, command, grant_mb, priority)
        case CancelAttempt(command, attempt):
            return PUT_RETRACT.pack(12, 10, instance, command, attempt)
        case Shed(command, retry_after_us):
            return PUT_BUSY.pack(1, 16, instance, command, retry_after_us / 1e6)
        case Fail(command):
            return PUT_DROP.pack(7, 8, instance, command)
        case StartTimer(delay_us, token):
            return PUT_TIMER.pack(6, 20, instance, delay_us / 1e6, token)
        case LogLine(text):
            return line(DEBUG, instance, text)
    raise TypeError(f"no record for {result!r}")
