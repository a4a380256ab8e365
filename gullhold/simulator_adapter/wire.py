"""Codes of records and layouts of fields in the simulator's protocol, sable-e031 (big-endian, no padding).

Events (simulator to adapter) and actions (adapter to simulator) have separate codes. The names are the
protocol's.
"""

from enum import IntEnum, IntFlag
from struct import Struct

from gullhold.interface import EngineState, Outcome, StatusKind

BATCH_HEADER = Struct(">IdI")  # bytes of the frame, time (s), number of the batch
REPLY_HEADER = Struct(">III")  # bytes of the frame, number of records, number of the batch
LENGTH = Struct(">I")  # bytes of the frame, the first field of a header
RECORD_HEADER = Struct(">BI")  # code, bytes of the fields
INSTANCE = Struct(">I")  # the first field of every event but PAGE


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
    """Codes of actions that the adapter sends."""

    BUSY = 1
    PROVIDE = 3
    BUG = 4
    TIMER = 6
    DROP_REQUEST = 7
    TRY = 8
    DEBUG = 10
    RETRACT = 12


class Scope(IntEnum):
    """What an announcement of engines contains."""

    DELTA = 0  # changed entries
    FULL = 1
    CACHED = 2  # all entries, as the instance last received them
    FAILED = 3  # nothing: a call to the discovery service failed


class ArrivalOption(IntFlag):
    """Options of an arriving command."""

    HAS_COST_HINT = 1
    IS_REPEAT = 2


# Fields of events. `request` is a command, `class` its profile; `until` and `start` are points in time (s).
NEW_INSTANCE = Struct(">IQI")  # instance, seed, bytes of the settings that follow
ANNOUNCE = Struct(">IIIB")  # instance, list, revision, scope
# Fields of ARRIVAL: instance, request, class, tenant, ordering key, until, work (s), MB, data set, options.
ARRIVAL = Struct(">IIHIQddffB")
ESTABLISHED = Struct(">IIHId")  # instance, request, attempt, engine, latency (s)
# Fields of ANSWER: instance, request, attempt, latency (s), used, engine, outcome, whether the request is
# over, number of report figures that follow.
ANSWER = Struct(">IIHdIIBBB")
CLIENT_GONE = Struct(">II")  # instance, request
TIMEOUT_FIRED = Struct(">IQ")  # instance, token
UPDATE_OF = Struct(">IIHIBf")  # instance, request, attempt, engine, kind, value
PAGE = Struct(">II")  # list, number of entries that follow
PAGE_ENTRY = Struct(">HfBBHdI")  # zone, weight, kind, state, cell, start, engine
REPORT_FIGURE_SIZE = 4  # bytes of one figure of a report, a 32-bit float

# Records of actions. The comments list the fields that follow code, bytes of the fields, and instance.
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
