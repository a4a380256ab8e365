"""Scheduled commands of a fleet of real processes whose leaders are killed, paused or shut down."""

import time

import pytest
from fleet_runs import check_run, due_once_in, scheduled_command

from gullhold.testing.fleet import FleetRig
from gullhold.testing.fleet_checker import FleetChecker, attempts_by_statement


@pytest.mark.parametrize(
    "point, side, sends",
    [("intent", "before", 1), ("intent", "after", 0), ("outcome", "before", 1), ("outcome", "after", 1)],
)
def test_a_non_idempotent_occurrence_whose_leader_is_killed_runs_at_most_once(point, side, sends):
    with FleetRig(members=2, scheduled=[scheduled_command("once", "once") | due_once_in()]) as rig:
        rig.start("n0", point=point, side=side, act="kill", nth=1)
        rig.members["n0"].process.wait(8)
        rig.start("n1")

        def settled_rows():
            rows = [
                row
                for row in FleetChecker(rig.journal_lines()).occurrences().values()
                if row["state"] != "skipped"
            ]
            return rows and rows[0]["state"] in ("answered", "failed") and rows

        (row,) = rig.wait_until(settled_rows)
        time.sleep(0.3)
        fetches = sum(len(rows) for rows in attempts_by_statement(rig.engines).values())
        assert fetches == sends, rig.timeline()
        assert row["state"] == (
            "answered" if (point, side) in (("intent", "before"), ("outcome", "after")) else "failed"
        )
        failures = [facts for _, _, event, facts in rig.events() if event == "occurrence failed"]
        assert bool(failures) == (row["state"] == "failed")
        check_run(rig)


def test_occurrences_continue_through_kills_and_pauses_as_their_profiles_allow():
    profiles = {"plain": "read", "marked": "mark", "single": "once"}
    with FleetRig(
        members=3, scheduled=[scheduled_command(name, profile, 60) for name, profile in profiles.items()]
    ) as rig:
        rig.start()
        for step in range(4):
            leader = rig.wait_for_leader(("schedule/plain", "schedule/marked", "schedule/single")[step % 3])
            time.sleep(0.4)
            if step % 2:
                rig.kill(leader)
                time.sleep(1.2)
                rig.start(leader)
            else:
                rig.pause(leader)
                time.sleep(1.5)
                rig.resume(leader)
        time.sleep(1.0)
        checker = check_run(rig, 30)
        rows = checker.occurrences()
        assert {command for command, _ in rows} == set(profiles)
        for engine in rig.engines:
            for _, key, profile, statement in engine.received:
                assert (key != "") or "marked" not in statement, (
                    f"{statement!r} of the profile {profile!r} was received without an idempotency key"
                )
        once = [(due, row) for (command, due), row in rows.items() if command == "single"]
        sends = sum(
            len(at) for statement, at in attempts_by_statement(rig.engines).items() if "single" in statement
        )
        assert sends <= sum(row["tries"] for _, row in once if row["state"] != "skipped")
        times_by_key = {}  # when engines received each idempotency key
        for engine in rig.engines:
            for at, key, _, statement in engine.received:
                if "marked" in statement:
                    times_by_key.setdefault(key, []).append(at)
        assert times_by_key
        assert all(max(at) - min(at) <= rig.dedup_s for at in times_by_key.values())


def test_at_sigterm_the_outcome_of_work_in_progress_is_written_before_the_role_is_released():
    with FleetRig(
        members=2, scheduled=[scheduled_command("long", "once", 1500, work="1500ms") | due_once_in()]
    ) as rig:
        rig.start("n0")
        rig.wait_until(lambda: sum(len(engine.received) for engine in rig.engines))
        rig.start("n1")  # the work takes longer than a lease; the role stays with n0 until it ends
        rig.stop("n0")
        rows = rig.wait_until(
            lambda: [
                row
                for row in FleetChecker(rig.journal_lines()).occurrences().values()
                if row["state"] == "answered"
            ]
        )
        assert rows[0]["by"] == "n0"
        assert rig.wait_for_leader("schedule/long", "n0") == "n1"
        time.sleep(0.3)
        assert sum(len(engine.received) for engine in rig.engines) == 1
        check_run(rig)
