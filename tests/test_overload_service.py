"""A gateway process under far more load than it can take, judged by what its clients sent and received."""

import time

import pytest
from serving import until

from gullhold.testing.load_client import RetryRule
from gullhold.testing.load_process import ClientGroup, LoadProcesses
from gullhold.testing.running import ADMISSION_OPERATOR_FILE, RunningDeployment, serving_status

KILL_AT_S = 3.7  # time from SIGTERM to the kill, with client timeouts of 3 s and more
PATIENT_QUEUE = ADMISSION_OPERATOR_FILE + "door: {patience: 1000, waiting: 30000}"


def crowd(open_each, limit_ms, processes=2, clients=8):
    """Return a group of clients, each with 10 connections and open_each open requests on each of them."""
    options = {
        "open": 10 * open_each,
        "connections": 10,
        "limit_ms": limit_ms,
        "retry_rule": RetryRule.NEVER,
    }
    return ClientGroup(processes, clients, options)


def answer_count(counts):
    """Return the number of requests with an answer of any kind."""
    return counts.answered + counts.shed + counts.failed


def run_crowd(open_each, operator):
    """Run clients with a client timeout of 1 s for 3 s; check the gateway's exit and return their counts."""
    with RunningDeployment(operator=operator, slots=16, timeout_s=1.0, max_open=1000) as running:
        clients = LoadProcesses(running.address, crowd(open_each, limit_ms=1000))
        clients.start()
        time.sleep(3)
        counts = clients.stop()
        running.process.terminate()
        assert running.process.wait(10) == 0
        assert running.counter("requests_received") == answer_count(counts)
        assert running.counter("peak_event_delay_us") < 1_000_000
    assert not counts.unanswered
    assert not counts.duplicate_answers
    return counts


@pytest.mark.parametrize("operator", ["", PATIENT_QUEUE], ids=["no queue", "queue"])
def test_a_crowd_gets_its_answers_and_costs_no_more_than_half_of_what_is_answered_well(operator):
    """With 16 times as many open requests, more than half as many as before must be answered in time.

    Guards against an event queue that grows with the load until no answer arrives in time.
    """
    usual = run_crowd(2, operator)
    crowded = run_crowd(32, operator)
    assert usual.answered > 100
    assert sum(latency_s <= 1.0 for latency_s in crowded.latencies_s) > usual.answered / 2


@pytest.mark.parametrize("cores", ["all cores", "one core"])
def test_all_requests_that_were_read_are_answered_when_sigterm_comes_during_a_flood(cores):
    """Guards against requests that are read but not answered before the connection closes."""
    with RunningDeployment(operator=PATIENT_QUEUE, slots=0, timeout_s=8.0, max_open=30000) as running:
        assert serving_status(running.address)
        if cores == "one core":
            running.pin_to_core(0)
        clients = LoadProcesses(running.address, crowd(32, limit_ms=8000, processes=4))
        clients.start()

        def is_flooded():
            counts = clients.counts()
            return counts.attempts - answer_count(counts) >= 9_900

        until(is_flooded)
        began = time.monotonic()
        running.process.terminate()
        status = running.process.wait(10)
        took_s = time.monotonic() - began
        counts = clients.stop()
        assert status == 0
        assert took_s < KILL_AT_S
        assert running.counter("requests_received") - running.counter("interrupted") == answer_count(counts)
        assert not counts.duplicate_answers
