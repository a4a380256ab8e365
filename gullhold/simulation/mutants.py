"""Mutants: deliberate faults in the product, which test whether the checker and the scripts find faults.

Each breaks a rule, which the checker should report. A mutant replaces an attribute that it names by a string,
so an attribute that is renamed in the product has to be renamed here too.
"""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any, NamedTuple
from unittest import mock

from gullhold.decisions.command import Command
from gullhold.decisions.gateway import Gateway
from gullhold.decisions.retry_policy import RetryPolicy
from gullhold.interface import EngineEntry, EngineState, Outcome, Result
from gullhold.net import connection_ends, engine_protocol, thrift
from gullhold.net.attempts import Attempts
from gullhold.net.engine_connection import Attempt, EngineConnection
from gullhold.net.engine_pool import EnginePool
from gullhold.net.engine_replies import EngineReplies
from gullhold.net.event_loop import EventLoop
from gullhold.net.pending_requests import Client, PendingRequest, PendingRequests
from gullhold.net.timer_queue import Timer
from gullhold.net.write_buffer import WriteBuffer
from gullhold.simulation.checker import Rule

LOST_TIMER_INTERVAL = 5  # one of so many timers is lost

Method = Callable[..., Any]


class Mutant(NamedTuple):
    """A deliberate fault: the rule that it breaks, and the attribute of the product that it replaces.

    is_checked_at_write: whether attempts are still checked right before they are written, which would keep
    most wrong ones from being sent.
    """

    rule: Rule
    owner: object  # a class or a module
    attribute: str
    replacement: Callable[[Any], Any]  # builds the faulty attribute from the original one
    is_checked_at_write: bool = True


def _ignore_draining(update_engines: Method) -> Method:
    def mutated(self: Gateway, now: int, entries: list[EngineEntry], full: bool) -> list[Result]:
        entries_as_ready = [
            entry._replace(state=EngineState.READY) if entry.state == EngineState.DRAINING else entry
            for entry in entries
        ]
        return update_engines(self, now, entries_as_ready, full)

    return mutated


def _skip_cancel_confirmation(_abandon: Method) -> Method:
    def mutated(self: Attempts, attempt: Attempt, outcome: Outcome) -> None:
        connection, txn = attempt.connection, attempt.pending.request.transaction_id
        is_attempt_open = connection and connection.open_attempts.get(txn) is attempt
        if is_attempt_open and not connection.write_buffer.withdraw(attempt.message):
            self.core.pool.send_control(connection, engine_protocol.ABORT, txn)
            connection.abandoned_ids.add(txn)
            del connection.open_attempts[txn]
        self.core.defer(self.end, attempt, outcome)

    return mutated


def _send_answer_twice(answer: Method) -> Method:
    def mutated(self: PendingRequests, pending: PendingRequest, message: bytes) -> None:
        answer(self, pending, message + message)

    return mutated


def _retry_up_to_max_attempts(_may_retry: Method) -> Method:
    return lambda self, command, _now: command.attempts < self.agreement.max_attempts


def _double_dedup_window(_deduplication_until: property) -> property:
    return property(lambda command: command.first_run_at + 2 * command.profile.dedup_window_us)


def _ignore_client_end(_client_ended: Method) -> Method:
    def mutated(self: PendingRequests, client: Client, *_end: object) -> None:
        client.has_left = False
        self.counters.add("unheard")

    return mutated


def _lose_every_fifth_timer(call_later: Method) -> Method:
    def mutated(self: EventLoop, due_at_us: int, callback: Method, *args: object) -> Timer:
        self.scheduled_count = getattr(self, "scheduled_count", 0) + 1
        timer = call_later(self, due_at_us, callback, *args)
        if not (self.scheduled_count % LOST_TIMER_INTERVAL or callback == self.health.sweep):
            self.cancel_timer(timer)
        return timer

    return mutated


def _stop_after_first_page(add_page: Method) -> Method:
    def mutated(self: EngineReplies, connection: EngineConnection, attempt: Attempt, rows: bytes) -> None:
        attempt.page_count = 1
        add_page(self, connection, attempt, rows)

    return mutated


def _keep_transaction_id(_forget: Method) -> Method:
    def mutated(self: PendingRequests, pending: PendingRequest) -> None:
        self.by_number.pop(pending.number, None)

    return mutated


def _report_connect_failed(_outcome: Method) -> Method:
    return lambda _is_written: Outcome.CONNECT_FAILED


def _always_allow(_may_be_sent: Method) -> Method:
    return lambda _self, _connection, _attempt: True


def _keep_withdrawn_attempts(_withdraw: Method) -> Method:
    def mutated(self: WriteBuffer, data: bytes) -> bool:
        return any(message.data is data for message in self.pending)

    return mutated


def _use_previous_sequence_number(answer: Method) -> Method:
    return lambda method, seq, body=b"", good=True: answer(method, max(1, seq - 1), body, good)


def _append_duplicate_answer(handle_array: Method) -> Method:
    def mutated(self: EngineReplies, connection: EngineConnection, words: list[bytes]) -> None:
        attempt = connection.open_attempts.get(words[0])
        if words[1] == engine_protocol.ANSWER and attempt and attempt.pages:
            self._add_page(connection, attempt, words[3])
        else:
            handle_array(self, connection, words)

    return mutated


MUTANTS: dict[str, Mutant] = {
    "draining ignored": Mutant(
        Rule.DRAIN, Gateway, "update_engines", _ignore_draining, is_checked_at_write=False
    ),
    "cancel not confirmed": Mutant(Rule.OPEN_ONCE, Attempts, "abandon", _skip_cancel_confirmation),
    "answers sent twice": Mutant(Rule.ONE_ANSWER, PendingRequests, "answer", _send_answer_twice),
    "retries regardless of idempotency": Mutant(
        Rule.RUNS_ONCE, RetryPolicy, "may_retry", _retry_up_to_max_attempts
    ),
    "deduplication window doubled": Mutant(
        Rule.DEDUPLICATION_WINDOW, Command, "deduplication_until", _double_dedup_window
    ),
    "client disconnects ignored": Mutant(
        Rule.CLIENT_LEFT, PendingRequests, "client_ended", _ignore_client_end
    ),
    "every fifth timer lost": Mutant(Rule.IN_TIME, EventLoop, "call_later", _lose_every_fifth_timer),
    "first page taken for the complete result": Mutant(
        Rule.INTACT, EngineReplies, "_add_page", _stop_after_first_page
    ),
    "finished requests kept": Mutant(Rule.NO_LEFTOVERS, PendingRequests, "forget", _keep_transaction_id),
    "broken connection taken for a failed connect": Mutant(
        Rule.RUNS_ONCE, connection_ends, "attempt_outcome", _report_connect_failed
    ),
    "attempts not rechecked at the write": Mutant(Rule.CLIENT_LEFT, EnginePool, "may_be_sent", _always_allow),
    "withdrawn attempts sent": Mutant(Rule.OPEN_ONCE, WriteBuffer, "withdraw", _keep_withdrawn_attempts),
    "answers with another sequence number": Mutant(
        Rule.ONE_ANSWER, thrift, "encode_answer", _use_previous_sequence_number
    ),
    "duplicate answers appended": Mutant(
        Rule.INTACT, EngineReplies, "_handle_array", _append_duplicate_answer
    ),
}


@contextmanager
def applied(name: str) -> Iterator[None]:
    """Apply a mutant of MUTANTS inside a `with` block."""
    mutant = MUTANTS[name]
    original = getattr(mutant.owner, mutant.attribute)
    with ExitStack() as patches:
        patches.enter_context(mock.patch.object(mutant.owner, mutant.attribute, mutant.replacement(original)))
        if not mutant.is_checked_at_write:
            patches.enter_context(
                mock.patch.object(EnginePool, "may_be_sent", _always_allow(EnginePool.may_be_sent))
            )
        yield
