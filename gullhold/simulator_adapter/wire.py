"""Codes of records and layouts of their fields on the simulator's wire (sable-e031; big-endian, no padding).

Events (simulator to adapter) and actions (adapter to simulator) have separate codes.
"""

from enum import IntEnum, IntFlag
from struct import Struct

from gullhold.interface import EngineState, Outcome, StatusKind

BATCH_HEADER = Struct(">IdI")  # bytes of the frame, time (s), number of the batch
REPLY_HEADER = Struct(">III")  # bytes of the frame, number of records, number of the batch
LENGTH = Struct(">I")  # the first field of a header
RECORD_HEADER = Struct(">BI")  # code, bytes of the fields
INSTANCE = Struct(">I")  # the first field of each event but a list of engines


class EventCode(IntEnum):
    """Codes of events that the adapter handles; others are ignored."""

    NEW_INSTANCE = 1
    ANNOUNCE = 2
    ARRIVAL = 3
    ESTABLISHED = 4
    ANSWER = 5
    CLIENT_GONE = 6
    TIMEOUT_FIRED = 7
    RETIRE = 10
    UPDATE_OF = 11
    PAGE = 12


class ActionCode(IntEnum):
    """Codes of actions that the adapter uses."""

    BUSY = 1
    PROVIDE = 3
    BUG = 4
    TIMER = 6
    DROP_REQUEST = 7
    TRY = 8
    DEBUG = 10
    RETRACT = 12


class Scope(IntEnum):
    """Contents of an announcement of engines."""

    DELTA = 0  # changed entries
    FULL = 1
    CACHED = 2  # all entries, as the instance saw them last
    FAILED = 3  # nothing: a call to the discovery service failed


class ArrivalOption(IntFlag):
    """Options of an arriving request."""

    HAS_COST_HINT = 1
    IS_REPEAT = 2


# Fields of events.
NEW_INSTANCE = Struct(">IQI")  # instance, seed, bytes of the settings that follow
ANNOUNCE = Struct(">IIIB")  # instance, list, revision, scope
ARRIVAL = Struct(">IIHIQddffB")  # instance, request, class, tenant, key, until, work, MB, tables, options
ESTABLISHED = Struct(">IIHId")  # instance, request, attempt, engine, time since the send
ANSWER = Struct(">IIHdIIBBB")  # instance, request, attempt, time, used, engine, ending, over, report figures
CLIENT_GONE = Struct(">II")  # instance, request
TIMEOUT_FIRED = Struct(">IQ")  # instance, token
UPDATE_OF = Struct(">IIHIBf")  # instance, request, attempt, engine, kind, value
PAGE = Struct(">II")  # list, number of entries that follow
PAGE_ENTRY = Struct(">HfBBHdI")  # zone, weight, kind, state, cell, start (s), engine
REPORT_FIGURE_SIZE = 4  # bytes of an f32

# Records of actions: code, bytes of the fields, instance, and:
BUSY = Struct(">BIIId")  # request, retry after (s)
PROVIDE = Struct(">BIIIfB")  # request, MB, priority
TEXT = Struct(">BIIH")  # bytes of the text that follows
TIMER = Struct(">BIIdQ")  # delay (s), token
DROP_REQUEST = Struct(">BIII")  # request
TRY = Struct(">BIIIdI")  # request, until (s), engine
RETRACT = Struct(">BIIIH")  # request, attempt

# The `used` field of ANSWER: ms of work in the high bits, units of 4 MB of memory in the low bits.
USED_MEMORY_BITS = 12
USED_MEMORY_MASK = (1 << USED_MEMORY_BITS) - 1
USED_MEMORY_UNIT_MB = 4
USED_WORK_UNIT_US = 1000

STATE_BY_CODE = {0: EngineState.REMOVED, 2: EngineState.READY, 3: EngineState.DRAINING}
OUTCOME_BY_CODE = {
    0: Outcome.ANSWERED,
    13: Outcome.ERROR,
    8: Outcome.OVERLOADED,
    4: Outcome.TIMED_OUT,
    14: Outcome.CONNECT_FAILED,
    10: Outcome.RESET,
    1: Outcome.CANCELLED,
    9: Outcome.NOT_STARTED,
}
STATUS_KIND_BY_CODE = {1: StatusKind.PROGRESS, 2: StatusKind.SPILLING, 3: StatusKind.WAITING}
