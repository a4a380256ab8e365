"""The replies of engines: decides whether an array of strings is one, and converts it to its type.

The engine protocol: `ID WORD FIELDS BODY`, four strings, in which FIELDS is a list `name=value,name=value` or
`-`. What lacks something that its word owes, or has something else in its place, is no reply: parse_reply()
raises ProtocolError, and nothing of it may be passed on.
"""

import re
from collections.abc import Sequence
from math import isfinite
from typing import NamedTuple

from gullhold.interface import Outcome, StatusKind
from gullhold.net import US_PER_MS, engine_protocol, resp
from gullhold.net.client_limits import MAX_RESULT_BYTES
from gullhold.net.connection_ends import ProtocolError

STRINGS = 4  # of a reply: transaction id, word, fields, body
MIN_CONFIRMATION_STRINGS = 2  # of a confirmation, which tells nothing but its tag and word
MAX_PAGE_BYTES = 6_000  # set by the protocol
TABS_PER_ROW = 2  # a row has three columns, by the protocol
PAGE_NUMBER_PATTERN = re.compile(rb"[0-9]{1,9}\Z")
NUMBER_PATTERN = re.compile(rb"-?[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,3})?\Z")
STATUS_KINDS_BY_NOTE = {  # by the value of the field `note`, as the protocol names it
    b"share": StatusKind.PROGRESS,
    b"short": StatusKind.SPILLING,
    b"held": StatusKind.WAITING,
}


class ResourceUse(NamedTuple):
    """Resources that an attempt used, and the engine's load report: values in the order of the settings."""

    work_us: int
    memory_mb: float
    load: tuple[float, ...]


NO_RESOURCES = ResourceUse(0, 0, ())


class ConfirmationReply(NamedTuple):
    """The engine has received an alive message; tag: that of the message."""

    tag: bytes


class StatusReply(NamedTuple):
    """An attempt is not over; kind: of its note, None if it has none that the gateway knows."""

    transaction_id: bytes
    kind: StatusKind | None
    value: float


class AnswerReply(NamedTuple):
    """The first page of a good answer. page_count: number of all its pages."""

    transaction_id: bytes
    page_count: int
    resources: ResourceUse
    rows: bytes


class ChunkReply(NamedTuple):
    """A further page of a good answer; page: its number, from 1 on."""

    transaction_id: bytes
    page: int
    rows: bytes


class FailureReply(NamedTuple):
    """An attempt is over without an answer."""

    transaction_id: bytes
    outcome: Outcome
    resources: ResourceUse


Reply = ConfirmationReply | StatusReply | AnswerReply | ChunkReply | FailureReply


class ReplyParser:
    """Parses the replies of engines. report_fields: names of the values of a load report, in their order."""

    def __init__(self, report_fields: Sequence[str]) -> None:
        self._report_fields = [name.encode() for name in report_fields]

    def parse(self, strings: Sequence[bytes]) -> Reply:
        """Convert the strings of an array to the reply that they are. Raises ProtocolError."""
        if len(strings) >= MIN_CONFIRMATION_STRINGS and strings[1] == engine_protocol.ALIVE:
            _require(len(strings) <= STRINGS, f"a confirmation has {len(strings)} strings")
            return ConfirmationReply(strings[0])
        if len(strings) != STRINGS:
            raise ProtocolError(f"a reply has {len(strings)} strings, not {STRINGS}")
        transaction_id, word, encoded_fields, body = strings
        fields = resp.decode_fields(encoded_fields)
        match word:
            case engine_protocol.ANSWER:
                page_count = _page_number(fields, b"pages")
                _require(1 <= page_count <= MAX_RESULT_BYTES, f"an answer of {page_count} pages")
                return AnswerReply(transaction_id, page_count, self._resources(fields), body)
            case engine_protocol.CHUNK:
                page = _page_number(fields, b"page")
                _require(page >= 1, "a chunk is page 0")
                return ChunkReply(transaction_id, page, body)
            case engine_protocol.STATUS:
                return _parse_status(transaction_id, fields)
        outcome = engine_protocol.FAILURES.get(word)
        if outcome is None:
            raise ProtocolError(f"reply {word[:40]!r} is unknown")
        return FailureReply(transaction_id, outcome, self._resources(fields))

    def _resources(self, fields: dict[bytes, bytes]) -> ResourceUse:
        """Return the resources that an attempt used and the engine's load report; absent values are zero."""
        work_ms = _number(fields, b"cost")
        memory_mb = _number(fields, b"need")
        _require(work_ms >= 0 and memory_mb >= 0, f"cost {work_ms} or memory {memory_mb} is negative")
        work_us = work_ms * US_PER_MS
        _require(isfinite(work_us), f"cost {work_ms} ms is too large")
        load: tuple[float, ...] = ()
        if b"load" in fields:
            loads = resp.decode_pairs(fields[b"load"].split(b";"), b":")
            load = tuple(_number(loads, name) for name in self._report_fields)
        return ResourceUse(int(work_us), memory_mb, load)


def check_page(rows: bytes) -> None:
    """Raise ProtocolError unless a page is within the size limit and consists of complete rows."""
    is_too_long = len(rows) > MAX_PAGE_BYTES
    has_other_columns = rows.count(b"\t") != TABS_PER_ROW * rows.count(b"\n")
    is_last_row_incomplete = bool(rows) and not rows.endswith(b"\n")
    if is_too_long or has_other_columns or is_last_row_incomplete:
        raise ProtocolError(
            f"invalid page: {len(rows)} bytes (limit {MAX_PAGE_BYTES}), rows without three columns:"
            f" {has_other_columns}, incomplete last row: {is_last_row_incomplete}"
        )


def _parse_status(transaction_id: bytes, fields: dict[bytes, bytes]) -> StatusReply:
    kind = STATUS_KINDS_BY_NOTE.get(fields.get(b"note", b""))
    if kind is None:
        return StatusReply(transaction_id, None, 0.0)
    _require(b"v" in fields, "a note without a value")
    return StatusReply(transaction_id, kind, _number(fields, b"v"))


def _page_number(fields: dict[bytes, bytes], name: bytes) -> int:
    """Return a number of pages, or of a page, which the reply owes. Raises ProtocolError."""
    text = fields.get(name, b"")
    if not PAGE_NUMBER_PATTERN.match(text):
        raise ProtocolError(f"field {name!r} is no page number: {text[:40]!r}")
    return int(text)


def _number(fields: dict[bytes, bytes], name: bytes) -> float:
    """Return the value of a numeric field, 0 if it is absent. Raises ProtocolError."""
    text = fields.get(name, b"0")
    if not NUMBER_PATTERN.match(text) or not isfinite(float(text)):
        raise ProtocolError(f"field {name!r} is no number: {text[:40]!r}")
    return float(text)


def _require(condition: bool, text: str) -> None:
    """Raise ProtocolError with this text unless the condition holds."""
    if not condition:
        raise ProtocolError(text)
