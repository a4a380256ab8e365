"""Handles replies of engines: answers and their pages, status notes, and confirmations of aborts."""

from typing import TYPE_CHECKING

from gullhold.interface import Outcome
from gullhold.net import engine_protocol
from gullhold.net.client_limits import MAX_RESULT_BYTES
from gullhold.net.connection_ends import ConnectionEnd, ProtocolError
from gullhold.net.engine_connection import Attempt, EngineConnection
from gullhold.net.engine_reply import (
    AnswerReply,
    ChunkReply,
    ConfirmationReply,
    FailureReply,
    ReplyParser,
    StatusReply,
    check_page,
)

if TYPE_CHECKING:
    from gullhold.net.core import Core

FINAL_REPLIES = (AnswerReply, FailureReply)


class EngineReplies:
    """Handles the replies of engines. On the core's thread only."""

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.counters = core.counters
        self.parser = ReplyParser(core.agreement.report_fields)

    def handle(self, connection: EngineConnection, arrays: list[list[bytes]], decoded_bytes: int) -> None:
        """Handle the arrays that have arrived from an engine; each is one reply.

        A malformed one ends the connection, and nothing of it is passed on. decoded_bytes: what the
        connection's decoder had decoded with the last of them.
        """
        connection.last_reply_at = self.core.now
        connection.probed_at = 0
        try:
            for array in arrays:
                if connection.is_ended:
                    return
                self._handle_array(connection, array)
        except ProtocolError as error:
            self.core.pool.drop(connection, ConnectionEnd.MALFORMED, str(error))
        finally:
            connection.handled_bytes = decoded_bytes

    def _handle_array(self, connection: EngineConnection, array: list[bytes]) -> None:
        reply = self.parser.parse(array)
        if isinstance(reply, ConfirmationReply):
            self.core.attempts.cancel_confirmed(connection, reply.tag)
            return
        attempt = connection.open_attempts.get(reply.transaction_id)
        if attempt is None:  # a late reply to an abandoned attempt, or a reply with an unknown id
            self.counters.add("unmatched_replies")
            if isinstance(reply, FINAL_REPLIES):
                connection.abandoned_ids.discard(reply.transaction_id)
            return
        attempt.last_reply_at = self.core.now
        match reply:
            case StatusReply():
                self._handle_status(attempt, reply)
            case AnswerReply():
                self._handle_answer(connection, attempt, reply)
            case ChunkReply():
                self._handle_chunk(connection, attempt, reply)
            case FailureReply():
                self._handle_failure(attempt, reply)

    def _handle_status(self, attempt: Attempt, reply: StatusReply) -> None:
        if reply.kind is None:
            return
        self.counters.add("status_notes")
        self.core.decisions.call(
            attempt.pending,
            self.core.gateway.attempt_status,
            attempt.pending.number,
            attempt.number,
            reply.kind,
            reply.value,
        )

    def _handle_answer(self, connection: EngineConnection, attempt: Attempt, reply: AnswerReply) -> None:
        """Handle the first page of a good answer."""
        if attempt.outcome_once_confirmed is not None and reply.page_count > 1:
            return  # sent just before the abort arrived, which discarded its further pages
        if attempt.pages:
            self._handle_copy(attempt, 0, reply.rows)
            return
        attempt.resources = reply.resources
        attempt.page_count = reply.page_count
        self._add_page(connection, attempt, reply.rows)

    def _handle_chunk(self, connection: EngineConnection, attempt: Attempt, reply: ChunkReply) -> None:
        """Handle a further page: the one that was requested, or a copy of an earlier one."""
        if reply.page < len(attempt.pages):
            self._handle_copy(attempt, reply.page, reply.rows)
        elif attempt.pages and reply.page == len(attempt.pages):
            self._add_page(connection, attempt, reply.rows)
        else:
            raise ProtocolError(
                f"page {reply.page} is not the next one: {len(attempt.pages)} pages have arrived"
            )

    def _handle_copy(self, attempt: Attempt, page: int, rows: bytes) -> None:
        """Ignore a second copy of a page. Raises ProtocolError if it differs: one of them is spoilt."""
        if rows != attempt.pages[page]:
            raise ProtocolError(f"page {page} has arrived again with other rows")
        self.counters.add("duplicate_pages")

    def _handle_failure(self, attempt: Attempt, reply: FailureReply) -> None:
        # An attempt that has sent a page did run: after it only pages or an error may follow.
        if attempt.pages and reply.outcome != Outcome.ERROR:
            raise ProtocolError(f"{reply.outcome.name} after {len(attempt.pages)} pages")
        attempt.resources = reply.resources
        self.core.attempts.end(attempt, reply.outcome)

    def _add_page(self, connection: EngineConnection, attempt: Attempt, rows: bytes) -> None:
        """Add a page and request the next one; after the last page send the result to the client."""
        transaction_id = attempt.pending.request.transaction_id
        check_page(rows)
        attempt.pages.append(rows)
        attempt.result_bytes += len(rows)
        self.core.attempts.page_bytes += len(rows)
        if attempt.result_bytes > MAX_RESULT_BYTES:
            raise ProtocolError(
                f"a result of {attempt.result_bytes} bytes is too large (limit {MAX_RESULT_BYTES})"
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
