"""Deterministic simulation: virtual time, byte streams, scripts of faults, gateways and mutants."""

import os
import subprocess
import sys
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.__main__ import main
from gullhold.simulation import mutants, runner, script, show
from gullhold.simulation.clock import Clock, LivelockError
from gullhold.simulation.discovery import EnginePhase
from gullhold.simulation.script import Fault, FaultTarget, ScriptError
from gullhold.simulation.simulation import Simulation, SimulationSize
from gullhold.simulation.streams import DuplexStream, StreamConditions, StreamEnd
from gullhold.testing.running import ROOT

# A seed that finds the mutant, by mutant; those that take many seeds to find are left out
# (docs/notes/deterministic-simulation.md).
MUTANT_SEEDS = {
    "answers sent twice": 0,
    "draining ignored": 1,
    "every fifth timer lost": 1,
    "first page taken for the complete result": 0,
    "client disconnects ignored": 13,
    "withdrawn attempts sent": 4,
    "finished requests kept": 0,
    "broken connection taken for a failed connect": 1,
    "answers with another sequence number": 0,
    "duplicate answers appended": 6,
}


def test_events_run_by_time_and_then_in_order_of_scheduling():
    clock, seen = Clock(), []
    clock.at(20, seen.append, "c")
    clock.at(10, seen.append, "a")
    clock.at(10, seen.append, "b")
    cancelled = clock.after(15, seen.append, "never")
    clock.cancel(cancelled)
    clock.run(15)
    assert seen == ["a", "b"]
    assert clock.now == 15
    assert clock.next_due_at() == 20
    clock.at(3, seen.append, "late")  # its time is in the past: due now
    clock.run(100)
    assert seen == ["a", "b", "late", "c"]
    assert clock.now == 100
    assert not clock.step()


def test_the_order_of_events_at_one_instant_can_be_chosen():
    orders = set()
    for choice in range(6):
        clock, seen = Clock(choose=lambda count, choice=choice: choice % count), []
        for name in "abc":
            clock.at(5, seen.append, name)
        clock.run(9)
        orders.add("".join(seen))
    assert len(orders) == 6


def test_a_jump_of_the_wall_clock_does_not_move_scheduled_events():
    clock, seen = Clock(), []
    clock.after(100, lambda: seen.append(clock.now))
    before = clock.wall_us()
    clock.shift_wall_clock(-2_000_000)
    assert clock.wall_us() == before - 2_000_000
    clock.run(200)
    assert seen == [100]


def test_too_many_events_at_one_instant_raise_a_livelock_error():
    clock = Clock(max_events_at_one_instant=50)

    def schedule_again():
        clock.after(0, schedule_again)

    clock.after(0, schedule_again)
    with pytest.raises(LivelockError):
        clock.run(1)


class RecordingPeer:
    """A peer of a connection that records what arrives."""

    def __init__(self):
        self.data, self.end_kind, self.resumed = b"", None, 0

    def data_arrived(self, data):
        """Append the bytes to data."""
        self.data += data

    def end_arrived(self, end_kind):
        """Record how the other side ended."""
        self.end_kind = end_kind

    def resume_writing(self):
        """Count the call."""
        self.resumed += 1


def duplex_stream(seed=1, **conditions):
    clock, near, far = Clock(), RecordingPeer(), RecordingPeer()
    return (
        clock,
        near,
        far,
        DuplexStream(
            clock, Random(seed).random, near, far, StreamConditions(**conditions), StreamConditions()
        ),
    )


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.binary(max_size=40), max_size=12), st.integers(0, 5), st.integers(0, 900))
def test_bytes_arrive_complete_and_in_order_at_any_segment_size_and_jitter(parts, segment_bytes, jitter_us):
    clock, _, far, connection = duplex_stream(
        max_segment_bytes=segment_bytes, jitter_us=jitter_us, window_bytes=10_000
    )
    for part in parts:
        connection.near_to_far.write(part)
        clock.run(clock.now + 70)
    connection.near_to_far.finish()
    clock.run(10**7)
    assert far.data == b"".join(parts)
    assert far.end_kind == StreamEnd.CLOSED


def test_a_full_window_blocks_the_writer_until_bytes_have_arrived():
    clock, near, far, connection = duplex_stream(window_bytes=10, max_segment_bytes=4)
    assert connection.near_to_far.write(b"x" * 25) == 10
    assert connection.near_to_far.write(b"y") == 0
    clock.run(1000)
    assert far.data == b"x" * 10
    assert near.resumed == 1
    assert connection.near_to_far.write(b"z" * 3) == 3


def test_a_reset_drops_bytes_under_way_and_notifies_both_sides():
    clock, near, far, connection = duplex_stream(delay_us=500)
    connection.near_to_far.write(b"first")
    clock.run(600)
    connection.far_to_near.write(b"answer")
    connection.reset()
    clock.run(5000)
    assert (near.end_kind, far.end_kind) == (StreamEnd.RESET, StreamEnd.RESET)
    assert far.data == b"first"
    assert near.data == b""
    with pytest.raises(BrokenPipeError):
        connection.near_to_far.write(b"more")


def test_a_silent_connection_delivers_nothing_until_it_is_healed():
    clock, near, far, connection = duplex_stream()
    connection.silence()
    connection.near_to_far.write(b"is anybody there")
    connection.far_to_near.finish()
    clock.run(10**6)
    assert far.data == b""
    assert near.end_kind is None
    connection.heal()
    clock.run(2 * 10**6)
    assert far.data == b"is anybody there"
    assert near.end_kind == StreamEnd.CLOSED


TARGET_COUNTS = {
    FaultTarget.CONNECTION: 6,
    FaultTarget.ENGINE: 4,
    FaultTarget.GATEWAY: 3,
    FaultTarget.CLIENT: 2,
    FaultTarget.DISCOVERY: 1,
}


def test_a_seed_draws_one_script_that_survives_formatting_and_parsing():
    faults = script.draw_faults(7, 12, 10**7, TARGET_COUNTS)
    assert (
        faults
        == script.draw_faults(7, 12, 10**7, TARGET_COUNTS)
        != script.draw_faults(8, 12, 10**7, TARGET_COUNTS)
    )
    assert script.parse_script("# a comment\n\n" + script.format_script(faults)) == faults
    assert all(fault.place < TARGET_COUNTS[script.FAULT_RANGES[fault.kind].target] for fault in faults)
    drawn_kinds = {
        fault.kind for seed in range(60) for fault in script.draw_faults(seed, 12, 10**7, TARGET_COUNTS)
    }
    assert drawn_kinds == set(script.FAULT_RANGES)
    engine_faults = script.draw_faults(1, 20, 100, {FaultTarget.ENGINE: 2})
    assert all(script.FAULT_RANGES[fault.kind].target == FaultTarget.ENGINE for fault in engine_faults)


@pytest.mark.parametrize(
    "line, message",
    [
        ("{", "line 1: not a JSON object with at_us, kind, place and size"),
        ('{"at_us": 1, "kind": "storm", "place": 0, "size": 1}', "unknown kind of fault 'storm'"),
        ('{"at_us": 1, "kind": "slow", "place": 0, "size": 99}', "size 99, .*: slow needs a size of 2 to 20"),
        ("[1]", "line 1: not a JSON object with at_us, kind"),
        ('{"at_us": -1, "kind": "reset", "place": 0, "size": 0}', "at_us -1, .* at least 0"),
    ],
)
def test_an_invalid_script_gives_an_error_with_its_line_number(line, message):
    with pytest.raises(ScriptError, match=message):
        script.parse_script(line)


def test_a_failing_script_is_shrunk_to_the_faults_it_needs():
    faults = script.draw_faults(3, 40, 10**7, TARGET_COUNTS)
    needed = {faults[5], faults[31]}
    calls = []

    def fails(subset):
        calls.append(1)
        return needed <= set(subset)

    assert set(script.shrink(faults, fails)) == needed
    assert len(calls) < 160
    assert script.shrink([Fault(1, "reset", 0, 0)], lambda _: True) == []
    assert (
        len(script.kind_pairs([Fault(1, "reset", 0, 0), Fault(2, "kill", 0, 0), Fault(3, "kill", 1, 0)])) == 1
    )


# Simulated gateways


def test_simulated_seeds_break_no_rule():
    for seed in range(6):
        result = runner.run_simulation(seed)
        assert not result.violations, f"seed {seed}: {result.violations}"
        assert result.counts["answered"] > 200
        assert result.counts["fetched"] > 200


def test_a_seed_gives_the_same_trace_under_another_hash_seed():
    code = "from gullhold.simulation import runner; print(runner.run_simulation(3).trace)"
    traces = {
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
            env=os.environ | {"PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "77")
    }
    assert traces == {runner.run_simulation(3).trace + "\n"}


@pytest.mark.parametrize("name", sorted(MUTANT_SEEDS))
def test_the_checker_reports_the_rule_that_a_mutant_breaks(name):
    with mutants.applied(name):  # without a mutant, seeds 0 to 5 break no rule, as tested above
        assert mutants.MUTANTS[name].rule in {
            violation.rule for violation in runner.run_simulation(MUTANT_SEEDS[name]).violations
        }


def test_a_failing_script_is_shrunk_written_and_replayed(tmp_path, capsys):
    path = tmp_path / "small"
    with mutants.applied("draining ignored"):
        faults = runner.faults_of_seed(1, SimulationSize())
        shrunk = script.shrink(faults, show.fails_by("drain", 1))
        assert 0 < len(shrunk) < len(faults)
        assert "drain" in {fault.kind for fault in shrunk}
        path.write_text(script.format_script(shrunk))
        assert main(["rehearse", "--seeds", "1", "--replay", str(path)]) == 1
        assert f"again: gullhold rehearse --seeds 1 --replay {path}" in capsys.readouterr().out
    assert main(["rehearse", "--seeds", "1", "--replay", str(path)]) == 0


def test_watch_events_keep_their_order_at_any_delay():
    simulation = Simulation(1, SimulationSize(clients_per_gateway=0))
    simulation.discovery.extra_delay_us = 3_000_000
    simulation.discovery.change_phase(simulation.engines[0], EnginePhase.DRAINING)
    simulation.discovery.extra_delay_us = 0
    simulation.discovery.change_phase(simulation.engines[1], EnginePhase.DRAINING)
    simulation.clock.run(2_900_000)
    assert all(gateway.event_stream.last_index == 1 for gateway in simulation.gateways.values())
    simulation.clock.run(3_100_000)
    assert all(gateway.event_stream.last_index == 3 for gateway in simulation.gateways.values())


def test_unusable_arguments_give_a_one_line_error_and_exit_status_2(tmp_path, capsys):
    (tmp_path / "bad").write_text("not a fault\n")
    for arguments in (
        ["--replay", str(tmp_path / "bad")],
        ["--replay", str(tmp_path / "none")],
        ["--seeds", "x"],
        ["--seeds", "5:5"],
    ):
        assert main(["rehearse", *arguments]) == 2
        assert capsys.readouterr().err.count("\n") == 1
