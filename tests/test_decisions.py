"""The decision module without the bench: the rules under random calls, the fit, and failures once found."""

from math import exp

import pytest
from driver import MS, START, WORK, Driver, make_agreement, profile
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from gullhold.decisions.gateway import Gateway, fit_bound
from gullhold.interface import (
    BudgetKind,
    CancelAttempt,
    DeduplicationScope,
    Dispatch,
    EngineState,
    Fail,
    Idempotency,
    Outcome,
    ReportDemand,
    Shed,
    StatusKind,
    Tenant,
)

READY4 = [(ident, ident % 2, ident % 2, EngineState.READY, ident % 3, 0) for ident in range(4)]
STEP = st.tuples(st.integers(0, 12), st.integers(0, 9999))
AGREEMENTS = [
    make_agreement(
        profile(),
        profile(idempotency=Idempotency.NON_IDEMPOTENT, threads=3),
        profile(idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.ZONE, target_us=2000 * MS),
        tenants=(Tenant(0.7), Tenant(0.3)),
    ),
    make_agreement(
        profile(idempotency=Idempotency.KEYED, ordered=True),
        profile(ordered=True, late_benefit=0.0),
        profile(idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.CELL),
        retry_budget_base=2.0,
        retry_budget_share=0.2,
        retry_budget_window_us=2000 * MS,
        gateways=3,
    ),
    make_agreement(
        profile(zones=frozenset((1,))),
        profile(engine_kinds=frozenset((0,)), idempotency=Idempotency.NON_IDEMPOTENT),
        profile(
            idempotency=Idempotency.KEYED, ordered=True, zones=frozenset((0,)), engine_kinds=frozenset((0,))
        ),
        gateways=2,
        cross_zone_costs=True,
        honors_grants=False,
        honors_priority=False,
        max_attempts=6,
    ),
    make_agreement(
        profile(late_benefit=0.0),
        profile(threads=3, benefit=6.0, target_us=1500 * MS),
        max_attempts=6,
        supports_cancel=False,
        honors_grants=False,
        max_retry_after_us=500 * MS,
        report_fields=("util",),
        gateways=3,
        tenants=(Tenant(0.87, 90.0), Tenant(0.13, 12.0)),
    ),
    make_agreement(
        profile(waits_for_loads=True),
        profile(threads=3, benefit=2.5),
        profile(threads=2, benefit=6.0, idempotency=Idempotency.NON_IDEMPOTENT, loads_dataset=True),
        honors_priority=False,
        cross_zone_costs=True,
        report_fields=("queue", "util"),
        gateways=5,
    ),
]
ODD = (0, -5, float("nan"), float("inf"), 1e300, 64.0)  # estimates as they may come


def play(agreement, steps):
    """One random run; returns all that the module asked for."""
    world = Driver(agreement)
    for kind, number in steps:
        out = world.out()
        if kind <= 4:
            world.command(
                number % len(agreement.profiles),
                tenant=number % 3,
                key=number % 4,
                timeout_us=(200 + number % 3800) * MS,
                need=ODD[number % 6],
                told=ODD[number // 7 % 6] if number % 5 == 0 else None,
            )
        elif kind <= 7 and out:
            world.end(
                out[number % len(out)],
                number % 8,
                cost=100 * MS,
                report=(ODD[number % 6], number % 9 / 8)[: number % 3],
            )
        elif kind == 8:
            born = world.now if number % 3 == 0 else 0
            world.engines(
                (number % 5, number % 2, number // 7 % 2, number // 10 % 3, number // 30 % 3, born),
                full=number % 11 == 0,
            )
        elif kind == 9 and out:
            world.leave(out[number % len(out)])
        elif kind == 10:
            owed = [ident for ident, cmd in world.commands.items() if not cmd["over"]]
            if owed:
                world.give_up(owed[number % len(owed)])
        else:
            world.wait(number % 700 * MS)
    world.wait(5000 * MS)
    for ident in world.out():
        world.end(ident, Outcome.RESET)
    assert not world.gateway.commands and not world.gateway.lines
    world.now += 20_000 * MS  # what timed out where nothing can be cancelled is over by now, and forgotten
    world.engines()
    assert not world.gateway.lingering and not world.gateway.total
    assert not any(world.gateway.threads) and not any(world.gateway.running)
    return world.log


@pytest.mark.parametrize("agreement", AGREEMENTS)
@settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)
@given(steps=st.lists(STEP, min_size=20, max_size=70))
def test_rules_hold_at_every_step(agreement, steps):
    first = [(8, 0), (8, 21), (8, 12), (8, 33)]
    assert play(agreement, first + steps) == play(agreement, first + steps)  # and same calls, same decisions


@pytest.mark.parametrize(("b", "gamma"), [(0.5, 0.05), (0.1, 0.2), (1.5, 0.02)])
def test_fit_finds_the_peak_of_a_known_curve(b, gamma):
    def rate(p):
        return p * 9.0 / (4 + b * 4 * (exp(-gamma * 4) - exp(-gamma * p)) * (p - 1))

    grid = [4 + i / 100 for i in range(5600)]
    peak = next((p for p, q in zip(grid, grid[1:], strict=False) if rate(q) < rate(p)), None)
    found = fit_bound(4, rate(4), 20, rate(20), 60, rate(60))
    assert (found is None and peak is None) or abs(found - peak) < 2


@pytest.mark.parametrize("rates", [(1.0, 2.0, 3.0), (0.0, 1.0, 1.0), (1.0, 0.0, 0.0), (5.0, 30.0, 4.0)])
def test_fit_without_a_valid_peak_is_none(rates):
    assert fit_bound(10, rates[0], 20, rates[1], 30, rates[2]) is None
    assert fit_bound(10, 1.0, 10, 1.0, 30, 1.0) is None


def test_equal_throughputs_peak_at_the_smallest_sample():
    assert fit_bound(10, 4.0, 20, 4.0, 40, 4.0) is None or fit_bound(10, 4.0, 20, 4.0, 40, 4.0) < 20


def test_held_commands_stay_under_the_cap_and_one_may_always_go():
    world = Driver(make_agreement(profile(threads=3), gateways=4))
    world.engines((1, 0, 1, EngineState.READY, 0, 0))  # two cores: a cap of one thread for this gateway
    for _ in range(5):
        world.command()
    assert len(world.out()) == 1
    world.end(world.out()[0], Outcome.ANSWERED)
    assert len(world.out()) == 1


def test_tenants_are_released_by_weight_under_pressure():
    world = Driver(
        make_agreement(
            profile(target_us=60_000 * MS, timeout_us=90_000 * MS),
            tenants=(Tenant(0.75), Tenant(0.25)),
        )
    )
    world.engines((1, 0, 1, EngineState.READY, 0, 0))
    for i in range(400):
        world.command(tenant=i % 2)
    sent = [0, 0]
    for _ in range(150):
        ident = world.out()[0]
        sent[(ident - 1) % 2] += 1
        world.now += 100 * MS
        world.end(ident, Outcome.ANSWERED)
    assert 0.6 < sent[0] / sum(sent) < 0.85


def test_in_a_large_fleet_commands_go_back_to_engines_used_lately_while_those_are_idle():
    """Each command went to another engine: a connection for each, and as many descriptors."""
    world, used = Driver(make_agreement()), set()
    world.engines(*[(ident, 0, 0, EngineState.READY, 0, 0) for ident in range(600)])
    for _ in range(200):
        ident = world.command()
        used.add(world.commands[ident]["out"][0])
        world.now += 50 * MS
        world.end(ident, Outcome.ANSWERED)
    assert len(used) <= 5 * 6  # of five data sets, four each, and few more
    busy = [world.command() for _ in range(60)]  # all at once: no engine is given two while others are idle
    engines = [world.commands[ident]["out"][0] for ident in busy]
    assert len(set(engines)) >= 55


def test_a_large_fleet_that_is_cold_is_not_walked_for_each_command(monkeypatch):
    looked, fits = [], Gateway._fits
    monkeypatch.setattr(Gateway, "_fits", lambda self, cmd, be: looked.append(be) or fits(self, cmd, be))
    world = Driver(make_agreement())
    world.engines(*[(ident, 0, 0, EngineState.READY, 0, START - 1) for ident in range(2000)])
    world.command(work=2_000_000)  # too much for any of them while it is cold
    assert not world.out() and 0 < len(looked) < 1000


def test_nothing_is_held_past_its_time_with_no_engine_at_all():
    world = Driver(make_agreement(profile(late_benefit=0.0), profile(idempotency=Idempotency.NON_IDEMPOTENT)))
    never, late = world.command(0), world.command(1)
    world.wait(4100 * MS)
    assert world.commands[never]["final"] == world.commands[late]["final"] == Shed


def test_strange_input_is_passed_over():
    world = Driver(make_agreement(tenants=(Tenant(1.0),), cores_by_kind=(), memory_mb_by_kind=()))
    world.engines(*READY4)
    assert world.gateway.attempt_ended(world.now, 77, 0, Outcome.ANSWERED, True, 5, 0, 0, ()) == []
    assert world.gateway.client_left(world.now, 77) == []
    unknown = world.gateway.submit(world.now, 900, 5, 0, 0, world.now + MS, 0, 0.0, 0, False)
    assert unknown == [Fail(900)]
    world.command(0, tenant=9, work=0)
    assert len(world.out()) == 1


def test_a_failing_engine_is_left_but_for_trials():
    world = Driver(make_agreement())
    world.engines(*READY4)
    sent = [0, 0]
    for i in range(300):
        ident = world.command()
        engine = world.commands[ident]["out"][0]
        sent[i // 150] += engine == 0
        world.now += 20 * MS
        world.end(ident, Outcome.ERROR if engine == 0 else Outcome.ANSWERED)
        while world.commands[ident]["out"]:
            world.end(ident, Outcome.ANSWERED)
    assert sent[1] <= 10


def test_a_bad_plan_is_started_afresh_elsewhere():
    world = Driver(make_agreement(profile(timeout_us=20_000 * MS)))
    world.engines(*READY4)
    for _ in range(20):
        ident = world.command()
        world.now += 100 * MS
        world.end(ident, Outcome.ANSWERED)
    ident = world.command()
    world.wait(400 * MS)
    assert CancelAttempt(ident, 0) in world.log
    world.end(ident, Outcome.CANCELLED)
    assert len(world.commands[ident]["sends"]) == 2


def test_a_restart_makes_an_engine_cold_again():
    world = Driver(make_agreement(gateways=1))
    world.engines((1, 0, 0, EngineState.READY, 0, 0))
    world.engines((1, 0, 0, EngineState.READY, 0, START))
    for _ in range(200):
        if not world.out():
            world.command()
        world.end(world.out()[0], Outcome.ANSWERED) if world.out() else world.wait(20 * MS)
    assert world.cold[1]


def test_a_send_that_notes_call_nearly_done_is_left_alone():
    world = Driver(make_agreement(profile(timeout_us=20_000 * MS)))
    world.engines(*READY4)
    ident = world.command()
    world.gateway.attempt_status(world.now, ident, 0, StatusKind.PROGRESS, 0.9)
    world.wait(900 * MS)
    assert not any(isinstance(result, CancelAttempt) for result in world.log)


def test_a_note_of_waiting_for_a_load_keeps_its_data_set_off():
    world = Driver(make_agreement(profile(waits_for_loads=True), cores_by_kind=(40.0, 40.0)))
    world.engines(*READY4)
    first = world.command()
    engine = world.commands[first]["out"][0]
    world.gateway.attempt_status(world.now, first, 0, StatusKind.WAITING, 2.0)
    same = [ident for ident in (world.command() for _ in range(40)) if ident % 5 == first % 5]
    assert all(world.commands[ident]["out"][0] != engine for ident in same)


def test_a_slowdown_of_all_engines_leaves_half_the_first_share():
    world = Driver(make_agreement(gateways=2))
    world.engines(*READY4)
    for i in range(400):
        ident = world.command()
        world.now += (100 if i < 50 else 900) * MS
        while world.commands[ident]["out"]:
            world.end(ident, Outcome.ANSWERED)
    assert world.gateway._share() >= 0.25


def test_an_avoided_engine_is_no_outlier_for_good():
    world = Driver(make_agreement())
    world.engines(*READY4)
    world.gateway.prior, world.gateway.seen_at[2] = WORK, START
    world.gateway.seen[2], world.gateway.seen_slow[2] = 10 * WORK, 90 * WORK
    assert world.gateway._slow(2) > 5
    world.gateway.now += 90_000 * MS
    assert world.gateway._slow(2) < 1.5


def test_a_heavy_command_may_go_to_a_new_engine_before_it_is_warm():
    world = Driver(make_agreement(profile(timeout_us=60_000 * MS, target_us=60_000 * MS), gateways=3))
    world.engines((1, 0, 0, EngineState.READY, 0, START))
    ident = world.command(work=2500 * MS)
    assert not world.out()
    world.wait(9900 * MS)
    assert world.commands[ident]["out"]


FLEET = [(ident, 0, 0, EngineState.READY, ident % 5, 0) for ident in range(40)]
CROWD = (Tenant(1.0, 1000.0),)


def test_one_of_hundreds_of_gateways_holds_its_part_of_the_fleet():
    world = Driver(make_agreement(profile(threads=3, late_benefit=0.0), gateways=300, tenants=CROWD))
    world.engines(*FLEET)
    for _ in range(60):
        world.command()
    assert 1 <= len(world.out()) <= 10  # not one at each of forty engines


def test_a_busy_gateway_gets_a_larger_share_and_loses_it_again():
    world = Driver(make_agreement(gateways=300, tenants=CROWD))
    world.engines(*FLEET)
    first = world.gateway._share()
    for _ in range(1000):
        world.end(world.command(), Outcome.ANSWERED)
        world.now += 10 * MS
    assert world.gateway._share() > 10 * first
    world.gateway.now += 120_000 * MS
    assert world.gateway._share() < first


def asks(world, times, wait_us):
    """It is asked so often, all that goes out is answered; how many sends it has made in all."""
    for _ in range(times):
        world.command(work=400 * MS)
        for ident in world.out():
            world.end(ident, Outcome.ANSWERED)
        world.wait(wait_us)
    return sum(isinstance(result, Dispatch) for result in world.log)


@pytest.mark.parametrize("managers", [3, 300])
def test_all_gateways_together_stay_inside_the_cold_budget(managers):
    agreement = make_agreement(profile(target_us=60_000 * MS, timeout_us=90_000 * MS), gateways=managers)
    stands = (
        agreement.overload_multiple
        * agreement.warmup_initial_share
        * agreement.cores_by_kind[0]
        * agreement.overload_window_us
    )
    sent = 0
    for seed in range(managers):
        world = Driver(agreement, seed)
        world.engines((1, 0, 0, EngineState.READY, 0, START))
        sent += 400 * MS * asks(world, 10, 190 * MS)
    assert 0.2 * stands < sent < stands


@pytest.mark.parametrize("managers", [3, 30, 200])
def test_gateways_that_start_over_and_over_stay_inside_the_cold_budget(managers):
    """Each start had forgotten what the one before had sent: four in a window sent three times the budget."""
    agreement = make_agreement(profile(target_us=60_000 * MS, timeout_us=90_000 * MS), gateways=managers)
    sent = 0
    for seed in range(managers):
        for start in range(4):
            world = Driver(agreement, 4 * seed + start)
            world.gateway.began = world.now = START + (1 + 500 * start) * MS  # the engine is there before
            world.engines((1, 0, 0, EngineState.READY, 0, START))
            sent += asks(world, 3, 160 * MS)
    stands = (
        agreement.overload_multiple
        * agreement.warmup_initial_share
        * agreement.cores_by_kind[0]
        * agreement.overload_window_us
        / (400 * MS)
    )
    assert sent <= stands + 2 * stands**0.5 + 2
    world.wait(agreement.overload_window_us)
    world.command(work=400 * MS)
    world.wait(3 * agreement.overload_window_us)
    assert managers > 3 or world.out()  # the part is ours again


def test_the_cost_of_a_command_hardly_grows_with_the_fleet():
    looks = []
    for size in (10, 200):
        world = Driver(make_agreement(gateways=300, tenants=CROWD))
        world.engines(*[(ident, 0, 0, EngineState.READY, 0, 0) for ident in range(size)])
        fits, count = world.gateway._fits, [0]
        world.gateway._fits = lambda cmd, be, fits=fits, count=count: (count.append(0), fits(cmd, be))[1]
        for _ in range(100):
            world.end(world.command(), Outcome.ANSWERED)
            world.now += 50 * MS
        looks.append(len(count))
    assert looks[1] < 1.2 * looks[0]


def test_gateways_agree_on_the_homes_of_a_data_set():
    used = set()
    for seed in range(20):
        world = Driver(make_agreement(gateways=300, tenants=CROWD), seed)
        world.engines(*FLEET)
        for _ in range(5):
            ident = world.command()
            if ident % 5 == 0:
                used.add(world.commands[ident]["out"][0])
            world.end(ident, Outcome.ANSWERED)
    assert len(used) <= 16  # of twenty sends by twenty gateways over forty engines


def test_loads_keep_off_the_engines_that_read_their_data_set():
    agreement = make_agreement(
        profile(waits_for_loads=True), profile(loads_dataset=True, target_us=9000 * MS)
    )
    world = Driver(agreement)
    world.engines(*FLEET)
    spots = ({}, {})
    for i in range(400):
        ident = world.command(i % 2)
        spots[i % 2].setdefault(ident % 5, set()).add(world.commands[ident]["out"][0])
        world.end(ident, Outcome.ANSWERED)
    assert all(not spots[0][dataset] & spots[1][dataset] for dataset in spots[0])


def test_notes_tell_a_bad_plan_long_before_its_age_does():
    world = Driver(make_agreement(profile(timeout_us=20_000 * MS, target_us=9000 * MS)))
    world.engines(*READY4)
    ident = world.command(work=1000 * MS)
    world.wait(500 * MS)
    world.gateway.attempt_status(world.now, ident, 0, StatusKind.PROGRESS, 0.02)
    world.wait(600 * MS)
    assert CancelAttempt(ident, 0) in world.log


def test_one_failed_connection_keeps_off_until_it_fades():
    world = Driver(make_agreement())
    world.engines(*READY4)
    ident = world.command()
    engine = world.commands[ident]["out"][0]
    world.end(ident, Outcome.CONNECT_FAILED)
    after = [world.command() for _ in range(6)]
    assert all(world.commands[one]["out"][0] != engine for one in [ident, *after])
    world.gateway.now += 30_000 * MS
    assert world.gateway.failed[engine] * world.gateway._fresh(world.gateway.failed_at[engine]) < 0.05


def test_giving_up_a_send_that_may_have_run_promises_nothing_for_a_non_replayable_command():
    """A front that must leave ends what is out: shed only where trying again does no harm."""
    for effect, verb in (
        (Idempotency.NON_IDEMPOTENT, Fail),
        (Idempotency.IDEMPOTENT, Shed),
        (Idempotency.KEYED, Shed),
    ):
        world = Driver(make_agreement(profile(idempotency=effect)))
        world.engines(*READY4[:1])
        ident = world.command()
        assert world.out() == [ident]
        world.give_up(ident)
        final = next(result for result in world.log if isinstance(result, Shed | Fail))
        assert (type(final), final.command) == (verb, ident)
        assert not world.gateway.commands and not world.gateway.total


def test_a_non_replayable_send_that_was_turned_away_unseen_goes_again():
    """It was shed at once, though it provably never ran: the state of the ended send stood in the way."""
    world = Driver(make_agreement(profile(idempotency=Idempotency.NON_IDEMPOTENT)))
    world.engines(*READY4)
    ident = world.command()
    world.end(ident, Outcome.OVERLOADED)
    assert world.out() == [ident] and not any(isinstance(result, Shed) for result in world.log)
    world.end(ident, Outcome.ERROR)
    assert Fail(ident) in world.log


def test_what_bad_clients_ask_widens_no_budget_and_no_share_of_the_fleet():
    world = Driver(
        make_agreement(
            profile(), retry_budget_base=3.0, retry_budget_share=0.5, retry_budget_window_us=5000 * MS
        )
    )
    world.engines(*READY4)
    for i in range(60):  # taken back at once, or of no use to any engine
        ident = world.command()
        if i % 2:
            world.leave(ident)
        while world.commands[ident]["out"]:
            world.end(ident, Outcome.CANCELLED if i % 2 else Outcome.ERROR)
    assert len(world.extras) == 3 and world.gateway.traffic < 40
    world.wait(40_000 * MS)
    for _ in range(8):
        world.end(world.command(), Outcome.ANSWERED)
    for _ in range(9):
        ident = world.command()
        world.end(ident, Outcome.OVERLOADED) if world.commands[ident]["out"] else None
        world.gateway.full_until = [0] * 4
    assert len(world.extras) == 3 + 7  # three, and half of those answered


def test_an_error_on_a_second_engine_ends_the_command():
    world = Driver(make_agreement(max_attempts=99))
    world.engines(*READY4)
    for _ in range(10):
        ident, used = world.command(), []
        while world.commands[ident]["out"]:
            used.append(world.commands[ident]["out"][0])
            world.end(ident, Outcome.ERROR)
        assert world.commands[ident]["final"] == Shed
        assert len(set(used)) == 2 and used[-1] not in used[:-1]
        world.wait(60_000 * MS)  # its marks fade


def test_one_reset_keeps_no_engine_out_but_several_do():
    world = Driver(make_agreement(profile(timeout_us=20_000 * MS)))
    world.engines(*READY4)

    def use(outcome, most):
        """Commands until one is at the first engine, which ends it so; whether one was."""
        for _ in range(most):
            ident = world.command()
            first = world.commands[ident]["out"][0] == 0
            world.end(ident, outcome if first else Outcome.ANSWERED)
            for out in world.out():
                world.end(out, Outcome.ANSWERED)
            if first:
                return True
        return False

    assert use(Outcome.RESET, 100) and use(Outcome.ANSWERED, 100)
    world.gateway.failed[0] = 0.0
    while use(Outcome.RESET, 100):
        world.now += MS
    assert 0.15 < world.gateway.failed[0] < 0.5 and not use(Outcome.ANSWERED, 100)


def test_engines_that_are_gone_leave_nothing_behind():
    world = Driver(
        make_agreement(profile(idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.ZONE))
    )
    world.now += 20_000 * MS  # no engine is cold any more
    for ident in range(0, 900, 3):
        world.engines(*[(ident + i, 0, 0, EngineState.READY, 0, 0) for i in range(3)], full=True)
        one, other = world.command(), world.command()
        world.end(one, Outcome.ANSWERED)
        world.end(other, Outcome.RESET)  # what may have run holds its engine's location
        while world.commands[other]["out"]:
            world.end(other, Outcome.ANSWERED)
    assert len(world.gateway.ids) <= 12 and len(world.gateway.index) <= 6
    assert len(world.gateway.state) == len(world.gateway.ids)


def test_what_clients_take_back_says_nothing_of_pace():
    world = Driver(make_agreement())
    world.engines(*READY4)
    for _ in range(30):
        ident = world.command()
        world.now += 150 * MS
        world.end(ident, Outcome.ANSWERED)
    pace = world.gateway.pace[0]
    for _ in range(100):
        ident = world.command()
        world.leave(ident)
        world.end(ident, Outcome.CANCELLED)
    assert world.gateway.pace[0] == pace and world.gateway.slow < 2


def test_our_share_stays_near_our_part_of_the_traffic_however_long_commands_wait():
    """It once grew fourfold while a few waited: all engines were filled past their knee, and jammed."""
    agreement = make_agreement(
        profile(target_us=9000 * MS, timeout_us=20_000 * MS), gateways=3, tenants=(Tenant(1.0, 30.0),)
    )
    world = Driver(agreement)
    world.engines(*READY4)
    most = 0.0
    for _ in range(100):
        for _ in range(4):
            world.command()
        world.now += 20 * MS
        for ident in world.out()[:3]:
            world.end(ident, Outcome.ANSWERED, cost=1000 * MS)
        most = max(most, world.gateway.part)
    assert world.gateway.held and 1.0 < most <= 1.5


def test_tenants_that_hold_nothing_cost_nothing():
    agreement = make_agreement(tenants=tuple(Tenant(1e-5) for _ in range(100_000)))
    driver = Driver(agreement)
    driver.engines((1, 0, 0, EngineState.READY, 0, 0), full=True)
    for tenant in (7, 70_000, 99_999):
        for _ in range(30):
            driver.command(tenant=tenant)
    gateway = driver.gateway
    assert set(gateway.held) == {7, 70_000, 99_999}
    while driver.out():
        driver.end(driver.out()[0], Outcome.ANSWERED)
    assert not gateway.held and set(gateway.latency) | set(gateway.released) | set(gateway.quota) <= {
        7,
        70_000,
        99_999,
    }
    for tenant in range(2000):  # each sends one, once: what is counted of them fades
        driver.command(tenant=tenant)
        driver.end(driver.out()[0], Outcome.ANSWERED)
    assert len(gateway.released) < 100


def test_a_send_cut_off_sooner_than_the_usual_run_tells_nothing_of_its_engine():
    """Clients that gave up early had made jammed engines look fast to every gateway."""
    world = Driver(make_agreement(profile(), max_attempts=1))
    world.engines((0, 0, 0, EngineState.READY, 0, 0), full=True)
    for _ in range(20):
        ident = world.command()
        world.wait(300 * MS)
        world.end(ident, Outcome.ANSWERED)
    gateway = world.gateway
    before = gateway._slow(0), gateway.slow, gateway.pace[0]
    for _ in range(10):
        ident = world.command(timeout_us=160 * MS)
        world.wait(20 * MS)
        world.end(ident, Outcome.TIMED_OUT)
    assert gateway.pace[0] == before[2] and gateway.slow == before[1]
    ident = world.command(timeout_us=3000 * MS)
    world.wait(900 * MS)
    world.end(ident, Outcome.TIMED_OUT)  # a jam is not hidden
    assert gateway.pace[0] > before[2] and gateway._slow(0) > 1


def test_what_cannot_end_in_time_at_the_best_pace_is_turned_away_and_not_sent():
    world = Driver(make_agreement(profile()))
    world.engines((0, 0, 0, EngineState.READY, 0, 0), full=True)
    world.command(timeout_us=WORK // 2)
    assert not world.out() and not world.gateway.commands
    ident = world.command(timeout_us=WORK + 100 * MS)
    assert world.out() == [ident]


# Parts of the fleet's budgets


class Part:
    """A part that a test moves: what it may have, and what is begun under it."""

    def __init__(self, most):
        self.most, self.out, self.turned_away = most, 0, 0

    def limit(self):
        return self.most

    def allows(self, amount):
        return self.out + amount <= self.most

    def acquire(self, amount):
        self.out += amount

    def release(self, amount, confirmed=True):
        self.out -= amount if confirmed else 0

    def record_rejection(self, amount):
        self.turned_away += amount


def parted(agreement=None, **parts):
    """A driver whose module has these parts, each of all engines and tenants: {name: Part}."""
    world = Driver(agreement or make_agreement())
    world.engines((1, 0, 0, EngineState.READY, 0, 0))
    found = {BudgetKind[name.upper()]: part for name, part in parts.items()}

    def allot():
        results = world.gateway.apply_budgets(world.now, lambda budget, of: found.get(budget))
        world.obey([row for row in results if not isinstance(row, ReportDemand)])
        reports = [row for row in results if isinstance(row, ReportDemand)]
        return {
            (demand.budget, demand.subject): demand.amount for report in reports for demand in report.demands
        }

    allot()
    return world, allot


def test_threads_of_the_fleet_hold_back_what_the_even_part_would_send_and_go_on_when_they_grow():
    part = Part(2)
    world, allot = parted(make_agreement(gateways=50), threads=part)
    for _ in range(6):
        world.command()
    assert len(world.out()) == 2 == part.out
    assert allot()[BudgetKind.THREADS, 1] == 4
    part.most = 5
    allot()
    assert len(world.out()) == 5
    part.most = 1  # it cancels nothing, and begins nothing
    world.end(world.out()[0], Outcome.ANSWERED)
    assert len(world.out()) == 4 == part.out
    world.end(world.out()[0], Outcome.RESET)  # it may run on: whoever keeps the part says when it is over
    assert part.out == 4


def test_a_part_under_one_command_sends_none_of_it():
    world, allot = parted(make_agreement(profile(threads=3)), threads=Part(2))
    world.command()
    assert not world.out() and allot()[BudgetKind.THREADS, 1] == 3


def test_further_sends_and_commands_taken_of_a_tenant_are_the_fleets():
    further, taken, opened = Part(1), Part(9), Part(2)
    agreement = make_agreement(
        retry_budget_base=0.0,
        retry_budget_share=0.0,
        retry_budget_window_us=1000 * MS,
        tenants=(Tenant(1.0, name="a"),),
    )
    world = Driver(agreement)
    found = {BudgetKind.RETRIES: further, BudgetKind.ADMISSIONS: taken, BudgetKind.OPEN_COMMANDS: opened}
    world.agreement = agreement._replace(
        retry_budget_base=None
    )  # the stand-in front keeps the module's own budget no more
    world.engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    world.gateway.apply_budgets(world.now, lambda budget, of: found.get(budget))
    first, second, third = (world.command() for _ in range(3))
    assert world.commands[third]["final"] == Shed and opened.turned_away == taken.turned_away == 1
    for one in (first, second):
        world.end(one, Outcome.RESET)
    world.wait(10 * MS)
    assert len(world.out()) == 1 and further.out == 1
    lacks = world.gateway.apply_budgets(world.now, lambda budget, of: found.get(budget))[-1].demands
    assert (BudgetKind.RETRIES, 0, 1) in lacks
    world.leave(second)
    world.end(world.out()[0], Outcome.ANSWERED)
    assert opened.out == 0 and taken.out == 0


def test_memory_and_cold_work_are_asked_for_and_a_share_sets_the_bound():
    memory, cold, share = Part(100), Part(100_000), Part(500_000)
    world, allot = parted(make_agreement(gateways=50), memory=memory, warmup=cold, traffic_share=share)
    world.engines((1, 0, 0, EngineState.READY, 0, world.now))
    first = [world.command() for _ in range(3)]
    granted = memory.out
    assert 0 < granted <= 100 and 0 < cold.out <= 100_000 and world.gateway._share() == 0.5
    lacks = allot()
    assert (
        lacks[BudgetKind.MEMORY, 1] >= 64
        and lacks[BudgetKind.WARMUP, 1] > 0
        and lacks[BudgetKind.TRAFFIC_SHARE, 0] >= 3
    )
    assert len(world.out()) < len(first)


def reporting(**other):
    """A gateway of four on one engine of four cores that tells its load with answers."""
    world = Driver(
        make_agreement(
            profile(target_us=60_000 * MS, timeout_us=90_000 * MS),
            gateways=4,
            report_fields=("inflight", "util"),
            **other,
        )
    )
    world.engines((1, 0, 0, EngineState.READY, 0, 0))
    return world


def answered(world, times, util, latency=WORK):
    """So many commands, one by one, each answered with this load told."""
    for _ in range(times):
        ident = world.command()
        world.now += latency
        world.end(ident, Outcome.ANSWERED, report=(3.0, util))


def out_of(world, asked=12):
    """How many of so many commands at once are out."""
    for _ in range(asked):
        world.command()
    return len(world.out())


def test_slow_answers_are_no_pressure_where_engines_tell_of_idle_cores():
    found = []
    for util in (0.1, 0.95):  # the same paces: two fast ones, then three times as slow
        world = reporting()
        answered(world, 5, util)
        answered(world, 30, util, latency=3 * WORK)
        found.append(out_of(world))
    assert found[0] >= 2 * found[1] > 0


def test_an_engine_that_turns_us_away_or_says_nothing_counts_as_full():
    world = reporting()
    answered(world, 40, 0.1)
    assert world.gateway.busy < 0.2
    for outcome in [Outcome.OVERLOADED, Outcome.TIMED_OUT] * 15:
        ident = world.command()
        if ident in world.out():
            world.end(ident, outcome)
        world.wait(3000 * MS)
        for other in world.out():
            world.end(other, Outcome.ANSWERED)
    assert world.gateway.busy > 0.7


@pytest.mark.parametrize("told", [float("nan"), -0.5, float("inf"), float("-inf"), 1e30])
def test_a_made_up_load_is_bounded(told):
    world = reporting()
    answered(world, 20, 0.2)
    answered(world, 5, told)
    assert 0.0 <= world.gateway.busy <= 1.0 and 0.0 <= world.gateway.load[0] <= 1.0
    ident = world.command()
    world.end(ident, Outcome.ANSWERED, report=(1.0,))  # a report cut short
    assert out_of(world) > 0


@pytest.mark.parametrize("full", [1, 2])
def test_of_engines_with_as_much_of_ours_the_one_that_tells_less_load_is_taken(full):
    world = Driver(
        make_agreement(profile(target_us=60_000 * MS, timeout_us=90_000 * MS), report_fields=("util",))
    )
    world.engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    for ident in [world.command(), world.command()]:  # one on each: both tell
        world.end(ident, Outcome.ANSWERED, report=(0.9 if world.commands[ident]["out"][0] == full else 0.1,))
    for _ in range(12):
        ident = world.command()
        assert world.commands[ident]["out"][0] != full
        world.end(ident, Outcome.ANSWERED, report=(0.1,))


def test_an_engine_with_a_send_that_never_ends_gets_nothing_new_where_sends_cannot_be_cancelled():
    agreement = make_agreement(profile(target_us=3000 * MS, timeout_us=6000 * MS), supports_cancel=False)
    world = Driver(agreement)  # which also checks: no cancel, never two sends out at once
    world.engines(
        (1, 0, 0, EngineState.READY, 0, 0),
        (2, 0, 0, EngineState.READY, 0, 0),
        (3, 0, 0, EngineState.READY, 0, 0),
    )
    answered(world, 20, 0.5)
    hung = world.command()
    engine = world.commands[hung]["out"][0]
    world.wait(4 * WORK)
    for _ in range(15):  # far more than the others' cap
        world.command()
    assert [world.commands[ident]["out"][0] for ident in world.out()].count(engine) == 1
    assert len(world.out()) > 8  # and the others take theirs
    for ident in world.out():
        if ident != hung:
            world.end(ident, Outcome.ANSWERED)
    world.end(hung, Outcome.ANSWERED)  # its end is known: it may have some again
    for _ in range(15):
        world.command()
    assert engine in [world.commands[ident]["out"][0] for ident in world.out()]


def test_where_most_engines_have_a_send_that_never_ends_none_is_left_out():
    world = Driver(make_agreement(profile(target_us=3000 * MS, timeout_us=6000 * MS), supports_cancel=False))
    world.engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    answered(world, 20, 0.5)
    for _ in range(2):
        world.command()
    world.wait(4 * WORK)
    for _ in range(6):
        world.command()
    assert len(world.out()) > 4


@pytest.mark.parametrize("supports_cancel", [False, True])
def test_a_time_out_tells_of_its_engine_where_the_work_goes_on_there(supports_cancel):
    world = Driver(
        make_agreement(
            profile(target_us=60_000 * MS, timeout_us=90_000 * MS), supports_cancel=supports_cancel
        )
    )
    world.engines(*((ident, 0, 0, EngineState.READY, 0, 0) for ident in (1, 2, 3)))
    for _ in range(4):
        for _ in range(6):
            world.command()
        world.now += WORK
        while world.out():
            ident = world.out()[0]
            world.end(ident, Outcome.TIMED_OUT if world.commands[ident]["out"][0] == 1 else Outcome.ANSWERED)
    for _ in range(30):  # more than the others' caps
        world.command()
    went = [world.commands[ident]["out"][0] for ident in world.out()]
    assert len(went) > 4 and (1 in went) == supports_cancel  # where it can be cut off, it has its part


def test_load_told_by_an_engine_that_crawls_is_no_room():
    world = Driver(
        make_agreement(profile(target_us=60_000 * MS, timeout_us=90_000 * MS), report_fields=("util",))
    )
    world.engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    for _ in range(10):  # one on each: the first crawls, and tells of idle cores
        pair = [world.command(), world.command()]
        for crawls in (False, True):
            world.now += 5 * WORK if crawls else WORK
            for ident in pair:
                if world.commands[ident]["out"] and (world.commands[ident]["out"][0] == 1) == crawls:
                    world.end(ident, Outcome.ANSWERED, report=(0.05 if crawls else 0.6,))
        for ident in world.out():
            world.end(ident, Outcome.ANSWERED, report=(0.6,))
    ident = world.command()
    assert world.commands[ident]["out"][0] == 2


def test_under_pressure_engines_of_all_locations_are_drawn():
    went = []
    for latency in (WORK, 4 * WORK):
        world = Driver(
            make_agreement(profile(target_us=60_000 * MS, timeout_us=90_000 * MS), cross_zone_costs=True)
        )
        world.engines(*((ident, ident % 2, 0, EngineState.READY, 0, 0) for ident in range(2, 8)))
        answered(world, 5, 0.5)
        answered(world, 20, 0.5, latency)
        for _ in range(6):
            world.command()
        went.append({world.fleet[world.commands[ident]["out"][0]]["place"] for ident in world.out()})
    assert went == [{0}, {0, 1}]


@pytest.mark.parametrize("told", ODD)
def test_an_estimate_that_is_none_loses_no_command(told):
    world = Driver(make_agreement(profile(), profile(threads=3)))
    world.engines((1, 0, 0, EngineState.READY, 0, 0))
    for need in ODD:
        ident = world.command(told=told, need=need)
        if world.commands[ident]["out"]:
            world.end(ident, Outcome.ANSWERED)
    world.wait(8000 * MS)
    assert world.gateway.bias[0] > 0 and all(cmd["over"] or cmd["final"] for cmd in world.commands.values())


def jammed(supports_cancel=False, threads=2):
    """(world, how many went out in 40 s): two engines of four cores on which nothing ends in time."""
    world = Driver(
        make_agreement(
            profile(threads=threads, target_us=3000 * MS, timeout_us=4000 * MS),
            supports_cancel=supports_cancel,
            max_attempts=1,
        )
    )
    world.engines(*((ident, 0, 0, EngineState.READY, 0, 0) for ident in (1, 2)))
    for _ in range(400):
        world.command()
        world.wait(100 * MS)
    return world, sum(len(cmd["sends"]) for cmd in world.commands.values())


def test_what_timed_out_holds_its_threads_while_it_may_run_on_where_sends_cannot_be_cancelled():
    (_, fed), (_, stopped) = jammed(), jammed(supports_cancel=True)
    assert 0 < fed < 0.5 * stopped  # two ages run on behind each: a third of the sends


def test_what_may_run_on_is_over_once_its_engine_began_anew():
    world, _ = jammed()
    assert world.gateway.total >= 4 and world.gateway.lingering
    for ident in world.out():
        world.end(ident, Outcome.RESET)
    born = world.now - 20_000 * MS  # seen anew and warm
    world.engines((1, 0, 0, EngineState.READY, 0, born), (2, 0, 0, EngineState.READY, 0, born))
    out = sum(world.commands[ident]["kind"].threads for ident in world.out())
    assert world.gateway.total == out and not world.gateway.lingering


def test_time_outs_leave_long_commands_less_of_the_bound_until_answers_give_it_back():
    agreement = make_agreement(
        profile(),
        profile(threads=3, target_us=20_000 * MS, timeout_us=4000 * MS),
        supports_cancel=False,
        cores_by_kind=(40.0,),
    )
    world = Driver(agreement)
    world.engines((1, 0, 0, EngineState.READY, 0, 0))

    def part():
        """Threads that so many long commands get, against those that as many short ones get."""
        found = []
        for number, threads in ((1, 3), (0, 1)):
            asked = [world.command(number) for _ in range(120)]
            found.append(threads * sum(world.commands[ident]["out"] is not None for ident in asked))
            for ident in asked:
                if not world.commands[ident]["over"]:
                    world.leave(ident)
            for ident in world.out():
                world.end(ident, Outcome.CANCELLED)
        return found[0] / found[1]

    answered(world, 20, 1.0)
    before = part()
    for _ in range(3):
        lost = world.command()
        world.now = world.commands[lost]["timeout_at"] - 30 * MS
        world.end(lost, Outcome.TIMED_OUT)
    world.now += 30_000 * MS
    world.engines()
    after = part()
    answered(world, 400, 1.0)
    assert after < 0.6 * before and part() > 0.9 * before


def test_a_gateway_that_stood_still_looks_at_the_time_before_it_sends():
    world = Driver(make_agreement(profile(late_benefit=0.0), supports_cancel=False))
    world.engines((1, 0, 1, EngineState.READY, 0, 0))  # two cores
    asked = [world.command() for _ in range(12)]
    went = set(world.out())
    assert 0 < len(went) < 12
    world.now += 2000 * MS  # no turn: no timer fires, and the answers wait for it too
    for ident in went:
        world.end(ident, Outcome.ANSWERED)
    world.wait(100 * MS)
    held = [world.commands[ident] for ident in asked if ident not in went]
    assert all(not cmd["sends"] and cmd["final"] == Shed for cmd in held)  # none could earn anything


def test_half_a_fleet_back_cold_at_once_is_given_its_part_by_gateways_that_know_only_their_last_list():
    agreement = make_agreement(profile(timeout_us=4000 * MS), gateways=10, cores_by_kind=(8.0,))
    fleet = [Driver(agreement, seed) for seed in range(10)]
    work = {}
    for world in fleet:  # all that each knows is a list of a moment ago; half of its engines began anew
        world.engines(
            *(
                (ident, 0, 0, EngineState.READY, 0, 0 if ident < 4 else START - 1000 * MS)
                for ident in range(8)
            )
        )
    for _ in range(40):
        for world in fleet:
            for _ in range(3):
                ident = world.command()
                out = world.commands[ident]["out"]
                if out and out[0] >= 4:
                    work[out[0]] = work.get(out[0], 0) + WORK
            world.wait(50 * MS)
            for ident in world.out():
                world.end(ident, Outcome.ANSWERED)
    stands = (
        agreement.overload_multiple
        * (agreement.warmup_initial_share + 0.7 * 0.1)
        * 8
        * agreement.overload_window_us
    )
    assert all(given < stands for given in work.values())  # the sum of all gateways, over one window
