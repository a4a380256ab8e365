"""The snapshot of a policy, which a gateway starts from while the store is unreachable."""

from rollout_fleet import make_fleet, policy_granting, start_clients, stop_clients, wait_until_in_force

from gullhold.rollout import snapshot
from gullhold.rollout.policy_client import ExitStatus, PolicyClient
from gullhold.rollout.policy_version import PolicyVersion

# Guards against a slow start: with 3 s the snapshot's time was over before the gateway served.
SNAPSHOT_LIFE_S = 8


def test_a_snapshot_is_complete_or_absent_and_is_used_without_a_store_for_a_limited_time(tmp_path):
    path = tmp_path / "last"
    record = PolicyVersion(3, 2, "a", "b", 0, policy_granting(20)).sealed()
    snapshot.write(path, record, 5)
    assert snapshot.read(path) == (record, 5)
    (tmp_path / "last.new").write_text("half of")  # a kill in the middle of the next one
    assert snapshot.read(path) == (record, 5)
    path.write_text(path.read_text()[:-9])
    assert snapshot.read(path) is None
    assert snapshot.read(tmp_path / "none") is None
    with make_fleet(1, policy=f'on: true, snapshot: "{path}", spare: {SNAPSHOT_LIFE_S}s') as fleet:
        fleet.start()
        wait_until_in_force(fleet)
        client = PolicyClient(fleet.register_address, "rig")
        assert (
            client.wait(client.propose(policy_granting(20), "a", "b").number, 5).status == ExitStatus.IN_FORCE
        )
        fleet.until(lambda: snapshot.read(path) and snapshot.read(path)[0].number == 1)
        fleet.kill("n0")
        fleet.kill_register()
        fleet.start("n0")
        clients = start_clients(fleet)
        fleet.until(lambda: clients[0].counts.answered > 5)
        assert {row.memory_mb for row in fleet.engines[0].attempts} == {20}
        # The time for which the snapshot may be used is over.
        fleet.until(lambda: clients[0].counts.shed > 5, seconds=2 * SNAPSHOT_LIFE_S)
        stop_clients(clients)
        fleet.start_register()
