"""The commands `gullhold policy ...`, on a fleet of real processes."""

import json

from rollout_fleet import make_fleet, policy_granting, wait_until_in_force

from gullhold.fleet.store_calls import Proof, ReadPrefix
from gullhold.rollout.policy_client import ExitStatus, PolicyClient
from gullhold.rollout.policy_version import INITIAL_VERSION
from gullhold.rollout.store_schema import history_key


def test_the_policy_commands_propose_show_and_undo_policies(tmp_path, capsys):
    from gullhold.__main__ import main  # noqa: PLC0415

    path = tmp_path / "p.cue"
    path.write_text(policy_granting(20))
    with make_fleet(2) as fleet:
        fleet.start()
        wait_until_in_force(fleet)
        options = ["--register", fleet.store_address, "--name", "rig"]
        assert main(["policy", "check", str(path)]) == 0
        assert main(["policy", "diff", str(path), *options]) == 0
        assert "grants read: as agreed -> 20" in capsys.readouterr().out
        argv = [
            "policy",
            "propose",
            str(path),
            *options,
            "--why",
            "renewal",
            "--author",
            "desk",
            "--wait",
            "5",
        ]
        assert main(argv) == ExitStatus.IN_FORCE
        assert main(["policy", "status", *options, "--number", "1"]) == ExitStatus.IN_FORCE
        assert main(["policy", "status", *options, "--number", "7"]) == ExitStatus.UNKNOWN
        assert main(["policy", "undo", *options, "--wait", "5"]) == ExitStatus.IN_FORCE
        capsys.readouterr()
        assert main(["policy", "history", *options, "--json"]) == 0
        rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        assert [(row["number"], row["parent"], row["outcome"]) for row in rows] == [
            (1, 0, "decided"),
            (2, 1, "decided"),
        ]
        assert rows[0]["why"] == "renewal"
        assert main(["policy", "history", *options]) == 0
        assert main(["policy", "drop", *options]) == 2
        path.write_text("policy: {")
        assert main(["policy", "propose", str(path), *options]) == 2
        policies = PolicyClient(fleet.store_address, "rig")
        reply = policies.session.call(ReadPrefix("policy/now/"))
        assert reply.proof == Proof.DONE
        assert policies.current().text == INITIAL_VERSION.text
        assert history_key(2) in policies.read()
        fleet.kill_store()
        assert main(["policy", "status", *options]) == ExitStatus.UNKNOWN
        fleet.start_store()
