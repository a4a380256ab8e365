"""Deliberate faults of the product, each to be found by the checker; a mutant that is not is a gap of either.

Each is a name, the rule that it breaks, and what is put in place of what: (where, attribute, replacement made
from the original).
"""

from contextlib import ExitStack, contextmanager
from unittest import mock

from gullhold.decisions.gateway import Gateway
from gullhold.decisions.retry_policy import RetryPolicy
from gullhold.interface import EngineState, Outcome
from gullhold.net import connection_ends, core, pipe, thrift


def _heard_not_obeyed(engines):
    def call(self, now, entries, full):
        told = [
            row._replace(state=EngineState.READY) if row.state == EngineState.DRAINING else row
            for row in entries
        ]
        return engines(self, now, told, full)

    return call


def _not_awaited(_stop_send):
    def call(self, send, outcome):
        link, txn = send.link, send.command.request.txn
        if link and link.open.get(txn) is send and not link.pipe.withdraw(send.message):
            self._tell(link, b"abort", txn)
            link.given_up.add(txn)
            del link.open[txn]
        self.after.append((self._end_send, send, outcome))

    return call


def _twice(_answer):
    def call(self, cmd, message):
        _answer(self, cmd, message + message)

    return call


def _any_number(_may_retry):
    return lambda self, command, _now: command.attempts < self.agreement.max_attempts


def _window_longer(_may_retry):
    def call(self, command, now):
        profile = command.profile
        command.profile = profile._replace(dedup_window_us=2 * profile.dedup_window_us)
        try:
            return _may_retry(self, command, now)
        finally:
            command.profile = profile

    return call


def _unheard(client_ended):
    def call(self, client, ending, text):
        self.counters.add("unheard")

    return call


def _lost(_later):
    def call(self, at, made, *args):
        self.lost_count = getattr(self, "lost_count", 0) + 1
        if self.lost_count % 5 or made == self._sweep:
            _later(self, at, made, *args)

    return call


def _first_page_only(_page):
    def call(self, link, send, txn, body):
        send.total = 1
        _page(self, link, send, txn, body)

    return call


def _not_forgotten(_forget):
    def call(self, cmd):
        self.pending.pop(cmd.number, None)

    return call


def _nothing_ran(outcome):
    return lambda whole: Outcome.CONNECT_FAILED


def _not_looked_again(link_up):
    return lambda self, link: link.pipe.attach(link.connection)


def _not_taken_back(withdraw):
    def call(self, data):
        return any(held.data is data for held in self.pending)

    return call


def _mixed(answer):
    return lambda method, seq, body=b"", good=True: answer(method, max(1, seq - 1), body, good)


def _copy_kept(_word):
    def call(self, link, words):
        send = link.open.get(words[0])
        if words[1] == b"200" and send and send.pages:
            self._page(link, send, words[0], words[3])
        else:
            _word(self, link, words)

    return call


MUTANTS = {
    "a drain that is heard and not obeyed": ("drain", Gateway, "update_engines", _heard_not_obeyed),
    "an abort not awaited": ("two at once", core.Core, "_stop_send", _not_awaited),
    "every answer twice": ("one answer", core.Core, "_answer", _twice),
    "sends of any kind up to the cap": ("must not run twice", RetryPolicy, "may_retry", _any_number),
    "the dedup window twice as long": ("outside its window", RetryPolicy, "may_retry", _window_longer),
    "clients that leave are not heard": ("client gone", core.Core, "client_ended", _unheard),
    "every fifth timer lost": ("in time", core.Core, "_later", _lost),
    "the first page for the whole": ("intact", core.Core, "_page", _first_page_only),
    "what is over is not forgotten": ("census", core.Core, "_forget", _not_forgotten),
    "a broken link proves that nothing ran": ("must not run twice", connection_ends, "outcome", _nothing_ran),
    "a late link is not looked at again": ("client gone", core.Core, "link_up", _not_looked_again),
    "what is taken back goes out": ("two at once", pipe.Pipe, "withdraw", _not_taken_back),
    "answers to another's number": ("one answer", thrift, "answer", _mixed),
    "a second copy kept": ("intact", core.Core, "_word", _copy_kept),
}


@contextmanager
def applied(name):
    """The product with this fault."""
    _, where, attribute, make = MUTANTS[name]
    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(where, attribute, make(getattr(where, attribute))))
        yield
