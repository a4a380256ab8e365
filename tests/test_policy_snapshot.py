"""The snapshot of a policy, which a gateway uses if the store is unreachable when it starts."""

from rollout_fleet import make_fleet, policy_granting, start_clients, stop_clients, wait_until_in_force

from gullhold.rollout import snapshot
from gullhold.rollout.policy_client import ExitStatus, PolicyClient
from gullhold.rollout.policy_version import PolicyVersion

# Longer than a slow start of the gateway: a snapshot valid for 3 s had expired before the gateway served.
SNAPSHOT_LIFE_S = 8


def test_a_snapshot_is_complete_or_absent_and_is_used_without_a_store_for_a_limited_time(tmp_path):
    path = tmp_path / "last"
    version = PolicyVersion(3, 2, "a", "b", 0, policy_granting(20)).sealed()
    snapshot.write(path, version, 5)
    assert snapshot.read(path) == (version, 5)
    (tmp_path / "last.new").write_text("half of")  # the file that a kill during a write leaves
    assert snapshot.read(path) == (version, 5)
    path.write_text(path.read_text()[:-9])
    assert snapshot.read(path) is None
    assert snapshot.read(tmp_path / "none") is None
    with make_fleet(1, policy=f'on: true, snapshot: "{path}", spare: {SNAPSHOT_LIFE_S}s') as fleet:
        fleet.start()
        wait_until_in_force(fleet)
        policies = PolicyClient(fleet.store_address, "rig")
        assert (
            policies.wait(policies.propose(policy_granting(20), "a", "b").number, 5).status
            == ExitStatus.IN_FORCE
        )
        fleet.wait_until(lambda: snapshot.read(path) and snapshot.read(path)[0].number == 1)
        fleet.kill("n0")
        fleet.kill_store()
        fleet.start("n0")
        clients = start_clients(fleet)
        fleet.wait_until(lambda: clients[0].counts.answered > 5)
        assert {attempt.memory_mb for attempt in fleet.engines[0].attempts} == {20}
        # Once the snapshot may not be used any more, commands are shed.
        fleet.wait_until(lambda: clients[0].counts.shed > 5, seconds=2 * SNAPSHOT_LIFE_S)
        stop_clients(clients)
        fleet.start_store()
