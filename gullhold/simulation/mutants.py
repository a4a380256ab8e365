"""Deliberate faults of the product, each to be found by the checker; one that is not is a gap of either."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
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
from gullhold.net.pending_requests import PendingRequest, PendingRequests
from gullhold.net.write_buffer import WriteBuffer

Method = Callable[..., Any]


class Mutant(NamedTuple):
    """One fault: the rule that it breaks, and what is put in place of which attribute of what."""

    rule: str
    owner: object  # a class or a module
    attribute: str
    replacement: Callable[[Method], Method]  # made from the original


def _heard_not_obeyed(engines: Method) -> Method:
    def call(self: Gateway, now: int, entries: list[EngineEntry], full: bool) -> list[Result]:
        obeyed = [
            row._replace(state=EngineState.READY) if row.state == EngineState.DRAINING else row
            for row in entries
        ]
        return engines(self, now, obeyed, full)

    return call


def _not_awaited(_stop: Method) -> Method:
    def call(self: Attempts, attempt: Attempt, outcome: Outcome) -> None:
        connection, txn = attempt.connection, attempt.pending.request.transaction_id
        is_open = connection and connection.open.get(txn) is attempt
        if is_open and not connection.write_buffer.withdraw(attempt.message):
            self.core.pool.send_control(connection, engine_protocol.ABORT, txn)
            connection.abandoned_ids.add(txn)
            del connection.open[txn]
        self.core.defer(self.end, attempt, outcome)

    return call


def _twice(answer: Method) -> Method:
    def call(self: PendingRequests, pending: PendingRequest, message: bytes) -> None:
        answer(self, pending, message + message)

    return call


def _any_number(_may_retry: Method) -> Method:
    return lambda self, command, _now: command.attempts < self.agreement.max_attempts


def _window_longer(may_retry: Method) -> Method:
    def call(self: RetryPolicy, command: Command, now: int) -> bool:
        profile = command.profile
        command.profile = profile._replace(dedup_window_us=2 * profile.dedup_window_us)
        try:
            return may_retry(self, command, now)
        finally:
            command.profile = profile

    return call


def _unheard(_client_ended: Method) -> Method:
    def call(self: PendingRequests, *_end: object) -> None:
        self.counters.add("unheard")

    return call


def _lost(call_later: Method) -> Method:
    def call(self: EventLoop, due_at_us: int, made: Method, *args: object) -> None:
        self.lost_count = getattr(self, "lost_count", 0) + 1
        if self.lost_count % 5 or made == self.health.sweep:
            call_later(self, due_at_us, made, *args)

    return call


def _first_page_only(add_page: Method) -> Method:
    def call(self: EngineReplies, connection: EngineConnection, attempt: Attempt, rows: bytes) -> None:
        attempt.page_count = 1
        add_page(self, connection, attempt, rows)

    return call


def _not_forgotten(_forget: Method) -> Method:
    def call(self: PendingRequests, pending: PendingRequest) -> None:
        self.by_number.pop(pending.number, None)

    return call


def _nothing_ran(_outcome: Method) -> Method:
    return lambda _is_written: Outcome.CONNECT_FAILED


def _not_looked_again(_connection_up: Method) -> Method:
    def call(_self: EnginePool, connection: EngineConnection) -> None:
        connection.write_buffer.attach(connection.connection)

    return call


def _not_taken_back(_withdraw: Method) -> Method:
    def call(self: WriteBuffer, data: bytes) -> bool:
        return any(message.data is data for message in self.pending)

    return call


def _mixed(answer: Method) -> Method:
    return lambda method, seq, body=b"", good=True: answer(method, max(1, seq - 1), body, good)


def _copy_kept(received_array: Method) -> Method:
    def call(self: EngineReplies, connection: EngineConnection, words: list[bytes]) -> None:
        attempt = connection.open.get(words[0])
        if words[1] == engine_protocol.ANSWER and attempt and attempt.pages:
            self._add_page(connection, attempt, words[3])
        else:
            received_array(self, connection, words)

    return call


MUTANTS: dict[str, Mutant] = {
    "a drain that is heard and not obeyed": Mutant("drain", Gateway, "update_engines", _heard_not_obeyed),
    "an abort not awaited": Mutant("two at once", Attempts, "stop", _not_awaited),
    "every answer twice": Mutant("one answer", PendingRequests, "answer", _twice),
    "sends of any kind up to the cap": Mutant("must not run twice", RetryPolicy, "may_retry", _any_number),
    "the dedup window twice as long": Mutant("outside its window", RetryPolicy, "may_retry", _window_longer),
    "clients that leave are not heard": Mutant("client gone", PendingRequests, "client_ended", _unheard),
    "every fifth timer lost": Mutant("in time", EventLoop, "call_later", _lost),
    "the first page for the whole": Mutant("intact", EngineReplies, "_add_page", _first_page_only),
    "what is over is not forgotten": Mutant("census", PendingRequests, "forget", _not_forgotten),
    "a broken link proves that nothing ran": Mutant(
        "must not run twice", connection_ends, "outcome", _nothing_ran
    ),
    "a late link is not looked at again": Mutant(
        "client gone", EnginePool, "connection_up", _not_looked_again
    ),
    "what is taken back goes out": Mutant("two at once", WriteBuffer, "withdraw", _not_taken_back),
    "answers to another's number": Mutant("one answer", thrift, "encode_answer", _mixed),
    "a second copy kept": Mutant("intact", EngineReplies, "_received_array", _copy_kept),
}


@contextmanager
def applied(name: str) -> Iterator[None]:
    """The product with this fault."""
    mutant = MUTANTS[name]
    original = getattr(mutant.owner, mutant.attribute)
    with mock.patch.object(mutant.owner, mutant.attribute, mutant.replacement(original)):
        yield
