"""Deliberate faults of the product, each to be found by the checker; a mutant that is not is a gap of either.

Each is a name, the rule that it breaks, and what is put in place of what: (where, attribute, replacement made
from the original).
"""

from contextlib import ExitStack, contextmanager
from unittest import mock

from gullhold.decisions.gateway import Gateway
from gullhold.interface import EngineState, Outcome
from gullhold.net import connection_ends, engine_words, thrift
from gullhold.net.attempts import Attempts
from gullhold.net.engine_pool import EnginePool
from gullhold.net.engine_replies import EngineReplies
from gullhold.net.event_loop import EventLoop
from gullhold.net.pending_requests import PendingRequests
from gullhold.net.write_buffer import WriteBuffer


def _heard_not_obeyed(engines):
    def call(self, now, entries, full):
        told = [
            row._replace(state=EngineState.READY) if row.state == EngineState.DRAINING else row
            for row in entries
        ]
        return engines(self, now, told, full)

    return call


def _not_awaited(stop):
    def call(self, attempt, outcome):
        connection, txn = attempt.connection, attempt.request.request.txn
        is_open = connection and connection.open.get(txn) is attempt
        if is_open and not connection.write_buffer.withdraw(attempt.message):
            self.core.pool.send_word(connection, engine_words.ABORT, txn)
            connection.given_up.add(txn)
            del connection.open[txn]
        self.core.defer(self.end, attempt, outcome)

    return call


def _twice(answer):
    def call(self, pending, message):
        answer(self, pending, message + message)

    return call


def _any_number(_may_resend):
    return lambda self, cmd: cmd.sends < self.agreement.max_attempts


def _window_longer(_may_resend):
    def call(self, cmd):
        kind = cmd.kind
        cmd.kind = kind._replace(dedup_window_us=2 * kind.dedup_window_us)
        try:
            return _may_resend(self, cmd)
        finally:
            cmd.kind = kind

    return call


def _unheard(client_ended):
    def call(self, client, end, text):
        self.counters.add("unheard")

    return call


def _lost(call_later):
    def call(self, due_at_us, made, *args):
        self.lost_count = getattr(self, "lost_count", 0) + 1
        if self.lost_count % 5 or made == self.health.sweep:
            call_later(self, due_at_us, made, *args)

    return call


def _first_page_only(add_page):
    def call(self, connection, attempt, rows):
        attempt.page_count = 1
        add_page(self, connection, attempt, rows)

    return call


def _not_forgotten(forget):
    def call(self, pending):
        self.by_number.pop(pending.number, None)

    return call


def _nothing_ran(outcome):
    return lambda is_written: Outcome.CONNECT_FAILED


def _not_looked_again(connection_up):
    return lambda self, connection: connection.write_buffer.attach(connection.connection)


def _not_taken_back(withdraw):
    def call(self, data):
        return any(held.data is data for held in self.pending)

    return call


def _mixed(answer):
    return lambda method, seq, body=b"", good=True: answer(method, max(1, seq - 1), body, good)


def _copy_kept(received_words):
    def call(self, connection, words):
        attempt = connection.open.get(words[0])
        if words[1] == engine_words.ANSWER and attempt and attempt.pages:
            self._add_page(connection, attempt, words[3])
        else:
            received_words(self, connection, words)

    return call


MUTANTS = {
    "a drain that is heard and not obeyed": ("drain", Gateway, "update_engines", _heard_not_obeyed),
    "an abort not awaited": ("two at once", Attempts, "stop", _not_awaited),
    "every answer twice": ("one answer", PendingRequests, "answer", _twice),
    "sends of any kind up to the cap": ("must not run twice", Gateway, "_may_resend", _any_number),
    "the dedup window twice as long": ("outside its window", Gateway, "_may_resend", _window_longer),
    "clients that leave are not heard": ("client gone", PendingRequests, "client_ended", _unheard),
    "every fifth timer lost": ("in time", EventLoop, "call_later", _lost),
    "the first page for the whole": ("intact", EngineReplies, "_add_page", _first_page_only),
    "what is over is not forgotten": ("census", PendingRequests, "forget", _not_forgotten),
    "a broken link proves that nothing ran": ("must not run twice", connection_ends, "outcome", _nothing_ran),
    "a late link is not looked at again": ("client gone", EnginePool, "connection_up", _not_looked_again),
    "what is taken back goes out": ("two at once", WriteBuffer, "withdraw", _not_taken_back),
    "answers to another's number": ("one answer", thrift, "answer", _mixed),
    "a second copy kept": ("intact", EngineReplies, "_received_words", _copy_kept),
}


@contextmanager
def applied(name):
    """The product with this fault."""
    _, where, attribute, make = MUTANTS[name]
    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(where, attribute, make(getattr(where, attribute))))
        yield
