"""What a request leaves behind once it is settled: neither its statement nor timers may outlive it."""

import gc
import threading
import time

import pytest
from serving import until

from gullhold.decisions.command import CommandState
from gullhold.decisions.expiries import MIN_PRUNE_SIZE, Expiries
from gullhold.decisions.pruned_heap import PrunedHeap
from gullhold.decisions.review_schedule import ReviewSchedule
from gullhold.net.counters import Counters
from gullhold.net.engine_connection import Attempt
from gullhold.net.event_loop import EventLoop
from gullhold.net.pending_requests import PendingRequest
from gullhold.net.timer_queue import MIN_CANCELLED_ROWS
from gullhold.testing.client import BlockingClient
from gullhold.testing.running import RunningDeployment
from gullhold.testing.scripted import ScriptedEngine, never_finish, reply_with, serve_pages
from gullhold.testing.settling_load import SettlingLoad, TakeBack

REQUESTS = 40
LIMIT_MS = 7900  # timers that are left are those of settled requests
SOON_S = 4.0  # far less than LIMIT_MS, far longer than the waits take


def kept_objects(core):
    """Return the requests and attempts of a core that anything still refers to."""
    gc.collect()
    kept = [each for each in gc.get_objects() if isinstance(each, PendingRequest | Attempt)]
    requests = [each if isinstance(each, PendingRequest) else each.pending for each in kept]
    return [request for request in requests if not request.client or request.client.core is core]


def soon(condition):
    """Wait until a condition holds; fail after SOON_S."""
    deadline = time.monotonic() + SOON_S
    while not condition():
        assert time.monotonic() < deadline, f"{condition} did not become true within {SOON_S} s"
        time.sleep(0.01)


def has_only_periodic_timers(core):
    """Whether a core's timers are its check of the engine connections and at most one of the decisions."""
    calls = sorted(row[2].call.__name__ for row in list(core.timers._heap) if row[2].call)
    return calls in (["sweep"], ["call", "sweep"])


def read_all_answers(_gateway, client, seqs):
    for _ in seqs:
        assert client.read_answer()


def take_back(_gateway, client, seqs):
    for seq in seqs:
        client.interrupt(seq)


def take_back_once_sent(gateway, client, seqs):
    until(lambda: gateway.count("attempts_sent"))
    take_back(gateway, client, seqs)


def leave_once_sent(gateway, client, _seqs):
    until(lambda: gateway.count("attempts_sent"))
    client.sock.close()


@pytest.mark.parametrize(
    ("step", "verb", "settle"),
    [
        (serve_pages(), "read", read_all_answers),
        (serve_pages(b"1\t2\t3\n", b"4\t5\t6\n"), "read", read_all_answers),
        (reply_with(b"500"), "once", read_all_answers),
        (reply_with(b"504"), "once", read_all_answers),
        (never_finish, "read", take_back),
        (never_finish, "once", take_back_once_sent),
        (never_finish, "mark", leave_once_sent),
    ],
    ids=["answered", "pages", "failed", "refused", "taken back", "taken back once sent", "client gone"],
)
def test_a_settled_request_leaves_no_statement_and_no_timer(start_gateway, step, verb, settle):
    """Guards against timers that keep each request until its client timeout, however early it was settled."""
    gateway, client = start_gateway(ScriptedEngine(step))
    BlockingClient(gateway.address).sock.close()
    for _ in range(3):
        if client.sock.fileno() < 0:
            client = BlockingClient(gateway.address)
        seqs = [client.send_command(verb, LIMIT_MS) for _ in range(REQUESTS // 2)]
        settle(gateway, client, seqs)
        until(lambda: not gateway.core.requests.by_number)
    soon(lambda: not kept_objects(gateway.core))
    soon(lambda: has_only_periodic_timers(gateway.core))


def test_requests_that_wait_for_an_engine_leave_nothing_when_they_are_taken_back(start_gateway):
    gateway, client = start_gateway()  # without engines, all wait
    for _ in range(4):
        seqs = [client.send_command(limit=LIMIT_MS) for _ in range(30)]
        until(lambda: len(gateway.core.requests.by_number) == 30)
        take_back(gateway, client, seqs)
        until(lambda: not gateway.core.requests.by_number)
    soon(lambda: not kept_objects(gateway.core))
    soon(lambda: has_only_periodic_timers(gateway.core))


def test_an_attempt_that_no_engine_confirms_leaves_no_statement(start_gateway):
    """Guards against confirmations that are never given and keep the request that was aborted."""
    engine = ScriptedEngine(never_finish)
    engine.alive_delay_s = 60.0
    gateway, client = start_gateway(engine)
    seq = client.send_command(limit=LIMIT_MS)
    until(lambda: engine.messages(b"fetch"))
    (pending,) = gateway.core.requests.by_number.values()
    attempt = pending.attempt
    gateway.core.post(gateway.core.attempts.abandon, attempt, 6)  # as the decisions cancel a slow attempt
    until(lambda: engine.messages(b"abort"))
    client.interrupt(seq)
    until(lambda: not gateway.core.requests.by_number)
    del pending, attempt
    soon(lambda: not kept_objects(gateway.core))


def test_cancelled_timers_take_no_memory_and_are_not_called():
    loop = EventLoop(Counters())
    calls = []
    timers = [loop.call_later(loop.now + 10**9 + number, calls.append, number) for number in range(10_000)]
    kept = timers[::1000]
    for timer in timers:
        if timer not in kept:
            loop.cancel_timer(timer)
            loop.cancel_timer(timer)  # again: no effect
    assert len(loop.timers) == len(kept)
    assert len(loop.timers._heap) <= 2 * len(kept) + MIN_CANCELLED_ROWS
    assert loop.next_timer_at_us() == loop.now + 10**9
    loop.now += 2 * 10**9
    loop.turn(None)
    assert calls == list(range(0, 10_000, 1000))
    assert len(loop.timers) == 0
    loop.cancel_timer(kept[0])  # was called
    assert len(loop.timers) == 0


class EndedCommand:
    """A command as the review schedule knows it."""

    attempts = 0

    def __init__(self, order):
        self.order = order
        self.last_start_at = 10**9
        self.state = CommandState.QUEUED


def test_reviews_of_ended_commands_do_not_add_up():
    """Guards against a heap that grows with the rate of commands times the longest client timeout."""
    reviews = ReviewSchedule()
    for order in range(20_000):
        command = EndedCommand(order)
        reviews.add_last_start(command)
        reviews.add(10**9 - 1, command)
        command.state = CommandState.ENDED
    assert len(reviews) < 600
    open_command = EndedCommand(20_000)
    reviews.add_last_start(open_command)
    assert reviews.next_timer(1, False) == 10**9
    assert reviews.pop_due(10**9) == (open_command, -1)


def test_a_pruned_heap_keeps_the_valid_rows_in_order():
    heap = PrunedHeap(lambda row: row[0] % 10 == 0)
    for number in range(5000, 0, -1):
        heap.push((number,))
        assert len(heap) <= 2 * 500 + 256
    rows = [heap.pop() for _ in range(len(heap))]
    assert rows == sorted(rows)
    assert [row for row in rows if row[0] % 10 == 0] == [(number,) for number in range(10, 5001, 10)]


def test_expired_keys_are_dropped_and_others_hold():
    expiries = Expiries()
    for now in range(100_000):
        expiries.set(now, now + 10, now)
        assert len(expiries) <= MIN_PRUNE_SIZE
    assert [key for key in range(100_000) if expiries.holds(key, 100_000)] == list(range(99_991, 100_000))


@pytest.mark.parametrize("take_back", list(TakeBack), ids=lambda each: each.value)
def test_memory_stays_below_the_limit_whatever_ends_requests_come_to(take_back):
    """Guards against a process that is killed as what is settled stays in memory (review case 6).

    At this rate 20 MB a second were kept; the client timeout is far longer than the test.
    """
    limit_mb = 64
    with RunningDeployment(engines=2, slots=64, timeout_s=25.0, memory_mb=limit_mb) as deployment:
        load = SettlingLoad(deployment.address, clients=4, take_back=take_back, timeout_ms=25_000)
        thread = threading.Thread(target=load.run, args=(4.0,))
        thread.start()
        peak_mb = 0.0
        while thread.is_alive():
            peak_mb = max(peak_mb, deployment.resident_mb())
            time.sleep(0.05)
        assert load.sent > 1000
        assert peak_mb < limit_mb
