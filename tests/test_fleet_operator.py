"""The operator's side of a fleet: the file and the commands."""

import json
import signal

import pytest
from fleet_runs import scheduled_command

from gullhold.fleet.role_assignment import RoleAssignment
from gullhold.operator import records
from gullhold.testing.fleet import Rig
from gullhold.testing.fleet_checker import Check


def test_a_record_that_cannot_be_used_is_one_line_with_its_place():
    for text, why in (
        ("fleet: on: true", "needs fleet.register"),
        ("fleet: {lease: 1500ms}", "whole seconds"),
        ("fleet: {lease: 1s, drift: margin: 900ms}", "less than half"),
        (
            'fleet: schedule: [{name: "a", profile: "p", statement: "s"}, {name: "a", '
            'profile: "p", statement: "s"}]',
            "two commands of one name",
        ),
    ):
        with pytest.raises(records.OperatorFileError, match=why):
            records.read(text, "x.cue")
    read = records.read('fleet: schedule: [{name: "a", at: "0 6 * * *", profile: "p", statement: "s"}]', "x")
    assert not read.fleet.on
    assert read.fleet.schedule[0].window == 60_000_000
    assert read.fleet.lease == 5_000_000


@pytest.mark.parametrize(
    "item, why",
    [
        ({"profile": '"nothing"'}, "is no profile"),
        ({"every": "0s", "at": '"61 * * * *"'}, "no calendar expression"),
        ({"at": '"* * * * *"'}, "not both"),
        ({"every": "0s", "at": '"* * * * *"', "zone": '"Mars"'}, "no such time"),
    ],
)
def test_a_schedule_that_does_not_fit_the_agreement_refuses_to_start(item, why):
    with Rig(members=1, scheduled=[scheduled_command("a", "read") | item]) as rig:
        rig.start("n0", wait=False)
        assert rig.members["n0"].process.wait(8) == 2
        assert why in rig.members["n0"].log.read_text()


def test_staff_see_members_roles_and_occurrences(capsys):
    from gullhold.__main__ import main  # noqa: PLC0415

    with Rig(members=2, beats=3, scheduled=[scheduled_command("a", "read")]) as rig:
        rig.start()
        settled = RoleAssignment(["schedule/a", "beat/0", "beat/1", "beat/2"])
        settled.update_members(["n0", "n1"])  # nothing moves any more between one look and the next
        rig.until(lambda: {duty: who for duty, (who, _) in rig.owners().items()} == settled.leaders)
        rig.until(lambda: Check(rig.lines()).occurrences())
        found = {}
        for what in ("members", "duties", "roles", "history"):
            words = ["fleet", what, "--register", rig.register_address, "--name", "rig"]
            assert main([*words, "--json"]) == 0
            found[what] = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
            assert main(words) == 0
            assert what in capsys.readouterr().out
        assert found["roles"] == found["duties"]
        assert {row["member"] for row in found["members"]} == {"n0", "n1"}
        assert sum(row["duties"] for row in found["members"]) == len(found["duties"]) == 4
        assert found["history"][0]["command"] == "a"
        rig.store_process.process.send_signal(signal.SIGTERM)
        assert rig.store_process.process.wait(8) == 0
        assert main(["fleet", "members", "--register", rig.register_address]) == 1
