"""The fleet as operators see it: its part of the operator file, and the `gullhold fleet` commands."""

import json
import signal

import pytest
from fleet_runs import scheduled_command

from gullhold.fleet.role_assignment import RoleAssignment
from gullhold.operator import records
from gullhold.testing.fleet import FleetRig
from gullhold.testing.fleet_checker import FleetChecker


def test_invalid_fleet_settings_in_the_operator_file_are_rejected_with_the_reason():
    for text, reason in (
        ("fleet: on: true", "needs fleet.register"),
        ("fleet: {lease: 1500ms}", "whole seconds"),
        ("fleet: {lease: 1s, drift: margin: 900ms}", "less than half"),
        (
            'fleet: schedule: [{name: "a", profile: "p", statement: "s"}, {name: "a", '
            'profile: "p", statement: "s"}]',
            "two commands of one name",
        ),
    ):
        with pytest.raises(records.OperatorFileError, match=reason):
            records.read(text, "x.cue")
    record = records.read(
        'fleet: schedule: [{name: "a", at: "0 6 * * *", profile: "p", statement: "s"}]', "x"
    )
    assert not record.fleet.on
    assert record.fleet.schedule[0].window == 60_000_000
    assert record.fleet.lease == 5_000_000


@pytest.mark.parametrize(
    "fields, reason",
    [
        ({"profile": '"nothing"'}, "is no profile"),
        ({"every": "0s", "at": '"61 * * * *"'}, "no calendar expression"),
        ({"at": '"* * * * *"'}, "not both"),
        ({"every": "0s", "at": '"* * * * *"', "zone": '"Mars"'}, "no such time"),
    ],
)
def test_the_gateway_exits_with_the_reason_when_a_scheduled_command_is_invalid(fields, reason):
    with FleetRig(members=1, scheduled=[scheduled_command("a", "read") | fields]) as rig:
        rig.start("n0", wait=False)
        assert rig.members["n0"].process.wait(8) == 2
        assert reason in rig.members["n0"].log.read_text()


def test_the_fleet_commands_print_members_roles_and_occurrences(capsys):
    from gullhold.__main__ import main  # noqa: PLC0415

    with FleetRig(members=2, heartbeat_roles=3, scheduled=[scheduled_command("a", "read")]) as rig:
        rig.start()
        final = RoleAssignment(["schedule/a", "beat/0", "beat/1", "beat/2"])
        final.update_members(["n0", "n1"])  # from then on no role moves between two commands
        rig.wait_until(lambda: {role: leader for role, (leader, _) in rig.leaders().items()} == final.leaders)
        rig.wait_until(lambda: FleetChecker(rig.journal_lines()).occurrences())
        rows = {}
        for subject in ("members", "duties", "roles", "history"):
            arguments = ["fleet", subject, "--register", rig.store_address, "--name", "rig"]
            assert main([*arguments, "--json"]) == 0
            rows[subject] = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
            assert main(arguments) == 0
            assert subject in capsys.readouterr().out
        assert rows["roles"] == rows["duties"]
        assert {row["member"] for row in rows["members"]} == {"n0", "n1"}
        assert sum(row["duties"] for row in rows["members"]) == len(rows["duties"]) == 4
        assert rows["history"][0]["command"] == "a"
        rig.store_process.process.send_signal(signal.SIGTERM)
        assert rig.store_process.process.wait(8) == 0
        assert main(["fleet", "members", "--register", rig.store_address]) == 1
