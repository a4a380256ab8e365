"""Frames of the bench's wire: batches in, replies out. Decides nothing."""

import struct

from gullhold import interface as api
from gullhold.agreement import micros

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

STATES = {0: api.GONE, 2: api.READY, 3: api.DRAINING}
ENDINGS = {
    0: api.ANSWERED,
    13: api.ERROR,
    8: api.FULL,
    4: api.TIMED_OUT,
    14: api.NO_CONNECTION,
    10: api.RESET,
    1: api.CANCELLED,
    9: api.MOOT,
}
NOTES = {1: api.PROGRESS, 2: api.SPILLS, 3: api.WAITS}


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
    """A list of engines as (id, location, weight, kind, state, cell, started_us) tuples."""
    number, size = PAGE.unpack_from(fields)
    found, at = [], PAGE.size
    if len(fields) < at + size * ENTRY.size:
        raise ValueError("list shorter than its count")
    for _ in range(size):
        zone, weight, kind, state, cell, born, engine = ENTRY.unpack_from(fields, at)
        found.append((engine, zone, weight, kind, STATES.get(state, api.GONE), cell, micros(born)))
        at += ENTRY.size
    return number, found


def line(code, instance, text):
    """A text record: a log line or a fault."""
    raw = text.encode("utf-8", "replace")[:60000]
    return PUT_TEXT.pack(code, 6 + len(raw), instance, len(raw)) + raw


ENCODERS = {
    api.SEND: lambda who, cmd, engine, until: PUT_TRY.pack(8, 20, who, cmd, until / 1e6, engine),
    api.TERMS: lambda who, cmd, grant, lane: PUT_PROVIDE.pack(3, 13, who, cmd, grant, lane),
    api.CANCEL: lambda who, cmd, send: PUT_RETRACT.pack(12, 10, who, cmd, send),
    api.SHED: lambda who, cmd, wait: PUT_BUSY.pack(1, 16, who, cmd, wait / 1e6),
    api.FAIL: lambda who, cmd: PUT_DROP.pack(7, 8, who, cmd),
    api.TIMER: lambda who, delay, token: PUT_TIMER.pack(6, 20, who, delay / 1e6, token),
    api.LOG: lambda who, text: line(DEBUG, who, text),
}
