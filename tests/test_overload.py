"""The order and age of queued events, and which requests the overload control admits."""

import pytest

from gullhold.agreement import read_agreement
from gullhold.net.counters import Counters
from gullhold.net.event_loop import EventLoop
from gullhold.net.event_queue import EventQueue, PostedEvent
from gullhold.net.overload import MAX_AGE_DIVISOR, MAX_WAIT_DIVISOR, MIN_EVENTS_FOR_AGE_CHECK, OverloadControl
from gullhold.testing.deployment import settings

TIMEOUT_US = 4_000_000  # client timeout of all profiles of a small deployment
MAX_WAIT_US = TIMEOUT_US // MAX_WAIT_DIVISOR
MAX_AGE_US = TIMEOUT_US // MAX_AGE_DIVISOR


def event(name, posted_at_us=0):
    """Return an event with a name."""
    return PostedEvent(posted_at_us, print, (name,))


def take_names(queue):
    """Take all events of a queue; return their names."""
    taken = []
    while (each := queue.take()) is not None:
        taken.append(each.args[0])
    return taken


def test_events_keep_their_order_and_those_that_go_first_precede_all_others():
    queue = EventQueue()
    queue.put(event("a"))
    queue.put(event("reply 1"), goes_first=True)
    queue.put(event("b"))
    queue.put(event("reply 2"), goes_first=True)
    assert len(queue) == 4
    assert take_names(queue) == ["reply 1", "reply 2", "a", "b"]
    assert queue.take(wait_us=1000) is None


def test_the_age_is_that_of_the_oldest_event_of_both_priorities():
    queue = EventQueue()
    assert queue.oldest_age_us(1000) == 0
    queue.put(event("a", posted_at_us=300))
    queue.put(event("reply", posted_at_us=800), goes_first=True)
    assert queue.oldest_age_us(1000) == 700
    queue.take()
    assert queue.oldest_age_us(1000) == 700
    queue.take()
    assert queue.oldest_age_us(1000) == 0


class StoppedClockLoop(EventLoop):
    """An event loop with a clock that the test sets."""

    now_us = 1_000_000

    def clock(self):
        """Return now_us."""
        return self.now_us


@pytest.fixture
def loop_and_control():
    loop = StoppedClockLoop(Counters())
    control = OverloadControl(loop, read_agreement(settings()))
    control.begin()
    return loop, control


def test_a_request_is_admitted_until_the_oldest_event_exceeds_the_maximum_age(loop_and_control):
    loop, control = loop_and_control
    for _ in range(MIN_EVENTS_FOR_AGE_CHECK):
        loop.post(print)
    loop.now_us += MAX_AGE_US
    assert control.admits(TIMEOUT_US)
    assert not control.is_overloaded()
    loop.now_us += 1
    assert not control.admits(TIMEOUT_US)
    assert control.is_overloaded()


def test_a_request_with_a_shorter_client_timeout_is_rejected_at_a_smaller_age(loop_and_control):
    loop, control = loop_and_control
    for _ in range(MIN_EVENTS_FOR_AGE_CHECK):
        loop.post(print)
    loop.now_us += MAX_AGE_US // 2
    assert control.admits(TIMEOUT_US)
    assert not control.admits(TIMEOUT_US // 4)


def test_requests_are_admitted_when_only_a_few_events_are_old(loop_and_control):
    """After a pause of the process all events are old, but a few of them are soon processed."""
    loop, control = loop_and_control
    for _ in range(MIN_EVENTS_FOR_AGE_CHECK - 1):
        loop.post(print)
    loop.now_us += 100 * MAX_AGE_US
    assert control.admits(TIMEOUT_US)
    loop.post(print)
    assert not control.admits(TIMEOUT_US)


def test_requests_are_rejected_when_many_young_events_would_take_too_long(loop_and_control):
    """In a burst all events are posted before the first of them is old."""
    loop, control = loop_and_control
    for _ in range(200):
        control.record_interval(MAX_WAIT_US // 100)
    for _ in range(90):
        loop.post(print)
    assert control.admits(TIMEOUT_US)
    for _ in range(20):
        loop.post(print)
    assert not control.admits(TIMEOUT_US)


def test_one_long_interval_does_not_count_as_the_cost_of_an_event(loop_and_control):
    loop, control = loop_and_control
    control.record_interval(3_600_000_000)
    for _ in range(10):
        loop.post(print)
    assert control.admits(TIMEOUT_US)


def test_requests_are_admitted_before_the_core_serves():
    loop = StoppedClockLoop(Counters())
    control = OverloadControl(loop, read_agreement(settings()))
    loop.post(print)
    loop.now_us += 100 * MAX_WAIT_US
    assert control.admits(TIMEOUT_US)
    assert not control.is_overloaded()
