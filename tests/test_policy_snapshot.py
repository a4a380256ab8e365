"""The snapshot of a policy, which a gateway starts from while the store is unreachable."""

from rollout_fleet import end, granting, load, on, rig

from gullhold.rollout import snapshot
from gullhold.rollout.policy_client import ExitStatus, PolicyClient
from gullhold.rollout.policy_version import PolicyVersion

# Guards against a slow start: with 3 s the snapshot's time was over before the gateway served.
SNAPSHOT_LIFE_S = 8


def test_a_snapshot_is_complete_or_absent_and_is_used_without_a_store_for_a_limited_time(tmp_path):
    path = tmp_path / "last"
    record = PolicyVersion(3, 2, "a", "b", 0, granting(20)).sealed()
    snapshot.write(path, record, 5)
    assert snapshot.read(path) == (record, 5)
    (tmp_path / "last.new").write_text("half of")  # a kill in the middle of the next one
    assert snapshot.read(path) == (record, 5)
    path.write_text(path.read_text()[:-9])
    assert snapshot.read(path) is None
    assert snapshot.read(tmp_path / "none") is None
    with rig(1, policy=f'on: true, snapshot: "{path}", spare: {SNAPSHOT_LIFE_S}s') as fleet:
        fleet.start()
        on(fleet)
        client = PolicyClient(fleet.store_address, "rig")
        assert client.wait(client.propose(granting(20), "a", "b").number, 5).status == ExitStatus.IN_FORCE
        fleet.wait_until(lambda: snapshot.read(path) and snapshot.read(path)[0].number == 1)
        fleet.kill("n0")
        fleet.kill_store()
        fleet.start("n0")
        clients = load(fleet)
        fleet.wait_until(lambda: clients[0].counts.answered > 5)
        assert {row.memory_mb for row in fleet.engines[0].attempts} == {20}
        # The time for which the snapshot may be used is over.
        fleet.wait_until(lambda: clients[0].counts.shed > 5, seconds=2 * SNAPSHOT_LIFE_S)
        end(clients)
        fleet.start_store()
