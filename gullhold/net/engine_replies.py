"""Handles replies of engines: answers and their pages, status notes, and confirmations of aborts."""

from math import isfinite
from typing import TYPE_CHECKING

from gullhold.interface import Outcome, StatusKind
from gullhold.net import US_PER_MS, engine_protocol, resp
from gullhold.net.client_limits import MAX_RESULT_BYTES
from gullhold.net.connection_ends import ConnectionEnd, ProtocolError
from gullhold.net.engine_connection import Attempt, EngineConnection, ResourceUse

if TYPE_CHECKING:
    from gullhold.net.core import Core

STATUS_KINDS_BY_NOTE = {  # by the value of the field `note`, as the protocol names it
    b"share": StatusKind.PROGRESS,
    b"short": StatusKind.SPILLING,
    b"held": StatusKind.WAITING,
}
PAGE_REPLIES = (engine_protocol.ANSWER, engine_protocol.CHUNK)
MAX_PAGE_BYTES = 6_000  # set by the protocol
TABS_PER_ROW = 2  # a row has three columns, by the protocol
MIN_STRINGS = 2  # fewest strings of a reply: transaction id and kind of reply
MAX_STRINGS = 4  # strings of a reply that are read: transaction id, kind of reply, fields, body


class EngineReplies:
    """Handles the replies of engines. On the core's thread only."""

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.counters = core.counters
        self.report_fields = [name.encode() for name in core.agreement.report_fields]

    def handle(self, connection: EngineConnection, arrays: list[list[bytes]], decoded_bytes: int) -> None:
        """Handle the arrays that have arrived from an engine; each is one reply.

        decoded_bytes: what the connection's decoder had decoded with the last of them.
        """
        connection.last_reply_at = self.core.now
        connection.probed_at = 0
        try:
            for array in arrays:
                if connection.is_ended:
                    return
                self._handle_array(connection, array)
        except (ProtocolError, ValueError) as error:
            self.core.pool.drop(connection, ConnectionEnd.MALFORMED, str(error))
        finally:
            connection.handled_bytes = decoded_bytes

    def _handle_array(self, connection: EngineConnection, array: list[bytes]) -> None:
        if len(array) < MIN_STRINGS:
            raise ProtocolError(f"a reply has {len(array)} strings, but needs at least {MIN_STRINGS}")
        transaction_id, reply, encoded_fields, body = (*array, b"", b"")[:MAX_STRINGS]
        if reply == engine_protocol.ALIVE:
            self.core.attempts.cancel_confirmed(connection, transaction_id)
            return
        attempt = connection.open_attempts.get(transaction_id)
        if attempt is None:  # a late reply to an abandoned attempt, or a reply with an unknown id
            self.counters.add("unmatched_replies")
            if reply in engine_protocol.FINAL_REPLIES:
                connection.abandoned_ids.discard(transaction_id)
            return
        fields = resp.decode_fields(encoded_fields)
        attempt.last_reply_at = self.core.now
        if reply == engine_protocol.STATUS:
            self._handle_status(attempt, fields)
        elif reply in PAGE_REPLIES:
            self._handle_page(connection, attempt, reply, fields, body)
        elif reply == engine_protocol.ERROR or (reply in engine_protocol.FINAL_REPLIES and not attempt.pages):
            # An attempt that has sent a page did run: after it only pages or an error may follow.
            attempt.resources = self._resources(fields)
            self.core.attempts.end(attempt, engine_protocol.FINAL_REPLIES[reply])
        else:
            raise ProtocolError(
                f"reply {reply!r} is unknown, or not allowed after {len(attempt.pages)} pages"
            )

    def _handle_page(
        self,
        connection: EngineConnection,
        attempt: Attempt,
        reply: bytes,
        fields: dict[bytes, bytes],
        rows: bytes,
    ) -> None:
        """Handle a page: the first is part of the answer, each further one a chunk."""
        is_answer = reply == engine_protocol.ANSWER
        if is_answer and self._was_cancelled_between_pages(attempt, fields):
            return
        if self._is_duplicate_page(attempt, fields):
            self.counters.add("duplicate_pages")  # received before: ignored
        elif is_answer:
            attempt.resources = self._resources(fields)
            attempt.page_count = max(1, int(fields.get(b"pages", 1)))
            self._add_page(connection, attempt, rows)
        elif self._is_next_page(attempt, fields):
            self._add_page(connection, attempt, rows)
        else:
            raise ProtocolError(
                f"reply {reply!r} is not the next page: {len(attempt.pages)} pages have arrived"
            )

    def _handle_status(self, attempt: Attempt, fields: dict[bytes, bytes]) -> None:
        kind = STATUS_KINDS_BY_NOTE.get(fields.get(b"note", b""))
        if kind is None:
            return
        self.counters.add("status_notes")
        self.core.decisions.call(
            attempt.pending,
            self.core.gateway.attempt_status,
            attempt.pending.number,
            attempt.number,
            kind,
            float(fields.get(b"v", 0)),
        )

    def _add_page(self, connection: EngineConnection, attempt: Attempt, rows: bytes) -> None:
        """Add a page and request the next one; after the last page send the result to the client."""
        transaction_id = attempt.pending.request.transaction_id
        check_page(rows)
        attempt.pages.append(rows)
        attempt.result_bytes += len(rows)
        self.core.attempts.page_bytes += len(rows)
        # MAX_RESULT_BYTES also limits the number of pages: each is taken to have at least one byte.
        if attempt.result_bytes > MAX_RESULT_BYTES or attempt.page_count > MAX_RESULT_BYTES:
            raise ProtocolError(
                f"a result of {attempt.result_bytes} bytes or {attempt.page_count} pages is too large"
                f" (limit of both {MAX_RESULT_BYTES})"
            )
        if self.core.attempts.are_pages_over_limit():
            self.counters.add("results_over_memory")
            self.core.attempts.abandon(attempt, Outcome.ERROR)
            return
        if len(attempt.pages) < attempt.page_count:
            self.core.pool.send_control(
                connection, engine_protocol.MORE, transaction_id, b"%d" % len(attempt.pages)
            )
            return
        if attempt.page_count > 1:
            self.core.pool.send_control(connection, engine_protocol.DONE, transaction_id)
        if attempt.pending.client:
            self.core.requests.answer_result(attempt.pending, b"".join(attempt.pages))
        self.core.attempts.end(attempt, Outcome.ANSWERED)

    @staticmethod
    def _was_cancelled_between_pages(attempt: Attempt, fields: dict[bytes, bytes]) -> bool:
        """Whether this answer was sent just before the abort arrived, which discarded its further pages."""
        return attempt.outcome_once_confirmed is not None and int(fields.get(b"pages", 1)) > 1

    @staticmethod
    def _is_duplicate_page(attempt: Attempt, fields: dict[bytes, bytes]) -> bool:
        return bool(attempt.pages) and int(fields.get(b"page", 0)) < len(attempt.pages)

    @staticmethod
    def _is_next_page(attempt: Attempt, fields: dict[bytes, bytes]) -> bool:
        return bool(attempt.pages) and int(fields.get(b"page", -1)) == len(attempt.pages)

    def _resources(self, fields: dict[bytes, bytes]) -> ResourceUse:
        """Return the resources that an attempt used and the engine's load report; absent values are zero."""
        work_us = float(fields.get(b"cost", 0)) * US_PER_MS
        memory_mb = float(fields.get(b"need", 0))
        load: list[float] = []
        if b"load" in fields:
            loads = dict(pair.partition(b":")[::2] for pair in fields[b"load"].split(b";"))
            load = [float(loads.get(name, 0)) for name in self.report_fields]
        if not all(map(isfinite, (work_us, memory_mb, *load))):
            raise ProtocolError(f"not all values are finite: cost {work_us}, memory {memory_mb}, load {load}")
        return ResourceUse(int(work_us), memory_mb, tuple(load))


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
