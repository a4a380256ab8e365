"""The queue of the core's events, and the estimate of how long a new one waits for the core."""

import pytest

from gullhold.agreement import read_agreement
from gullhold.net.counters import Counters
from gullhold.net.event_loop import EventLoop
from gullhold.net.event_queue import EventQueue, PostedEvent
from gullhold.net.overload import MAX_AGE_DIVISOR, MAX_WAIT_DIVISOR, MIN_EVENTS_FOR_AGE_CHECK, OverloadControl
from gullhold.testing.deployment import settings

TIMEOUT_US = 4_000_000  # of all profiles of a small deployment
MAX_WAIT_US = TIMEOUT_US // MAX_WAIT_DIVISOR
MAX_AGE_US = TIMEOUT_US // MAX_AGE_DIVISOR


def event(name, posted_at_us=0):
    """An event that a test can tell from others."""
    return PostedEvent(posted_at_us, print, (name,))


def names(queue):
    """Take all events; their names."""
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
    assert names(queue) == ["reply 1", "reply 2", "a", "b"]
    assert queue.take(wait_us=1000) is None


def test_the_age_is_that_of_the_oldest_event_of_both_lanes():
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
    """A loop whose time a test sets."""

    now_us = 1_000_000

    def clock(self):
        """Return the time that the test has set."""
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
    """Guards against requests that are shed though the core is done with what waits in a moment."""
    loop, control = loop_and_control
    for _ in range(MIN_EVENTS_FOR_AGE_CHECK - 1):
        loop.post(print)
    loop.now_us += 100 * MAX_AGE_US
    assert control.admits(TIMEOUT_US)
    loop.post(print)
    assert not control.admits(TIMEOUT_US)


def test_requests_are_rejected_when_many_young_events_would_take_too_long(loop_and_control):
    """Guards against a burst: all of it is posted before the first event has grown old."""
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
