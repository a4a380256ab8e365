"""The soak test on a few seeds, its checks, and gateways with a deliberate fault that it has to find."""

import json
import signal
import subprocess
import sys
from dataclasses import replace

import pytest

from gullhold.testing.running import ROOT
from gullhold.testing.soak.clients_and_engines import RequestRecord, TimedAnswer, TimedFetch
from gullhold.testing.soak.plan import SERVING_S, Crowd, Plan, SignalAt, Trouble, TroubleAt, draw_plan
from gullhold.testing.soak.run import run_plan
from gullhold.testing.soak.violations import Kind, Suspension, check_attempts, check_requests

SEEDS_IN_CI = range(1000, 1008)
QUIET_PLAN = Plan(
    seed=1,
    gateways=1,
    timeout_s=0.8,
    clients=6,
    pause_s=0.005,
    leave_chance=0.0,
    has_queue=False,
    crowd=Crowd.NONE,
    troubles=(),
    signals=(SignalAt(SERVING_S, signal.SIGTERM),),
)
# Two of three engines hang, so that commands wait while their clients leave.
BUSY_PLAN = replace(
    QUIET_PLAN,
    clients=8,
    leave_chance=0.03,
    troubles=(TroubleAt(0.2, Trouble.HANG, 0), TroubleAt(0.3, Trouble.HANG, 1)),
)


@pytest.mark.parametrize("seed", SEEDS_IN_CI)
def test_a_seed_of_the_soak_shows_no_violation(seed):
    outcome = run_plan(draw_plan(seed))
    assert outcome.requests > 20
    assert not outcome.violations, outcome.violations


@pytest.mark.parametrize(
    ("mutant", "kind", "plan"),
    [
        ("drop_answers", Kind.UNANSWERED, QUIET_PLAN),
        ("answer_late", Kind.LATE, QUIET_PLAN),
        ("answer_twice", Kind.TWICE, QUIET_PLAN),
        ("ignore_leaving", Kind.AFTER_LEAVING, BUSY_PLAN),
        ("end_late", Kind.LATE_END, QUIET_PLAN),
    ],
)
def test_soak_reports_a_violation_when_the_gateway_has_a_deliberate_fault(mutant, kind, plan):
    outcome = run_plan(plan, ("-m", "gullhold.testing.soak.mutant", mutant))
    assert kind in {violation.kind for violation in outcome.violations}


def test_plans_are_equal_for_one_seed_and_cover_all_crowds_timeouts_and_signal_series():
    plans = [draw_plan(seed) for seed in range(50)]
    assert plans == [draw_plan(seed) for seed in range(50)]
    assert {plan.crowd for plan in plans} == set(Crowd)
    assert any(len(plan.signals) > 3 for plan in plans)
    assert {plan.timeout_s for plan in plans} == {0.4, 0.8, 1.5, 3.0}


def record(profile="read", written_at=10.0, timeout_s=1.0, answers=(), **more):
    """Return the record of a request; answers: the times at which it was answered."""
    answers = [TimedAnswer(at, "shed") for at in answers]
    return RequestRecord(b"0" * 16, profile, written_at, timeout_s, answers, **more)


def kinds(violations):
    """Return the kinds of these violations."""
    return [violation.kind for violation in violations]


def test_requests_are_violations_when_answered_late_or_twice_or_not_at_all():
    assert not check_requests([record(answers=[10.9])])
    assert kinds(check_requests([record(answers=[11.3])])) == [Kind.LATE]
    assert not check_requests([record(answers=[11.3])], [Suspension(10.1, 10.4)])
    assert kinds(check_requests([record(answers=[10.1, 10.2])])) == [Kind.TWICE]
    assert kinds(check_requests([record(connection_ended_at=11.0)])) == [Kind.UNANSWERED]
    # Written so late that it may cross the end of its connection.
    assert not check_requests([record(connection_ended_at=10.01)])
    assert not check_requests([record(connection_ended_at=11.0, left_at=10.5)])


def test_attempts_are_violations_after_the_client_left_on_a_draining_engine_or_when_repeated():
    left, once = record(left_at=10.5), record("once", answers=[10.1])
    assert not check_attempts([left], [TimedFetch(10.4, left.txn, 0)], {}, 0.5)
    assert kinds(check_attempts([left], [TimedFetch(10.9, left.txn, 0)], {}, 0.5)) == [Kind.AFTER_LEAVING]
    fetches = [TimedFetch(10.0, once.txn, 0), TimedFetch(10.1, once.txn, 1)]
    assert kinds(check_attempts([once], fetches, {}, 0.5)) == [Kind.RAN_TWICE]
    assert not check_attempts([once], fetches[:1], {0: 9.6}, 0.5)
    assert kinds(check_attempts([once], fetches[:1], {0: 9.0}, 0.5)) == [Kind.DRAINING]


def test_benchmark_prints_a_last_line_of_json_and_its_status_follows_the_violations():
    command = [sys.executable, "-m", "benchmarks.soak", "--seeds", "1000:1001", "--seconds", "0"]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    last_line = json.loads(ended.stdout.splitlines()[-1])
    assert set(last_line) == {"seeds", "requests", "violations"}
    assert ended.returncode == (1 if last_line["violations"] else 0)
