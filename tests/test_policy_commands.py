"""The policy commands of the command line, on a fleet of real processes."""

import json

from rollout_fleet import granting, on, rig

from gullhold.fleet.store_calls import Proof, ReadPrefix
from gullhold.rollout.policy_client import ExitStatus, PolicyClient
from gullhold.rollout.policy_version import INITIAL_VERSION
from gullhold.rollout.store_schema import history_key


def test_staff_propose_inspect_and_undo_policies_on_the_command_line(tmp_path, capsys):
    from gullhold.__main__ import main  # noqa: PLC0415

    path = tmp_path / "p.cue"
    path.write_text(granting(20))
    with rig(2) as fleet:
        fleet.start()
        on(fleet)
        at = ["--register", fleet.store_address, "--name", "rig"]
        assert main(["policy", "check", str(path)]) == 0
        assert main(["policy", "diff", str(path), *at]) == 0
        assert "grants read: as agreed -> 20" in capsys.readouterr().out
        words = ["policy", "propose", str(path), *at, "--why", "renewal", "--author", "desk", "--wait", "5"]
        assert main(words) == ExitStatus.IN_FORCE
        assert main(["policy", "status", *at, "--number", "1"]) == ExitStatus.IN_FORCE
        assert main(["policy", "status", *at, "--number", "7"]) == ExitStatus.UNKNOWN
        assert main(["policy", "undo", *at, "--wait", "5"]) == ExitStatus.IN_FORCE
        capsys.readouterr()
        assert main(["policy", "history", *at, "--json"]) == 0
        rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        assert [(row["number"], row["parent"], row["outcome"]) for row in rows] == [
            (1, 0, "decided"),
            (2, 1, "decided"),
        ]
        assert rows[0]["why"] == "renewal"
        assert main(["policy", "history", *at]) == 0
        assert main(["policy", "drop", *at]) == 2
        path.write_text("policy: {")
        assert main(["policy", "propose", str(path), *at]) == 2
        client = PolicyClient(fleet.store_address, "rig")
        reply = client.session.call(ReadPrefix("policy/now/"))
        assert reply.proof == Proof.DONE
        assert client.current().text == INITIAL_VERSION.text
        assert history_key(2) in client.read()
        fleet.kill_store()
        assert main(["policy", "status", *at]) == ExitStatus.UNKNOWN
        fleet.start_store()
