"""Which member should lead which role."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.fleet.role_assignment import RoleAssignment


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.lists(st.sets(st.sampled_from([f"n{i}" for i in range(9)]), min_size=1), min_size=1, max_size=8))
def test_roles_move_only_to_members_that_join_and_from_members_that_leave(changes):
    assignment, before, members = RoleAssignment([f"d{i}" for i in range(60)]), {}, set()
    for now in changes:
        moved = assignment.update_members(now)
        assert set(assignment.leaders.values()) <= now
        for duty, old in before.items():
            if assignment.leaders[duty] != old:
                assert old not in now or assignment.leaders[duty] not in members
                assert duty in moved
        alone = RoleAssignment(assignment.roles)
        alone.update_members(now)
        assert alone.leaders == assignment.leaders  # whatever came before, all members agree
        before, members = dict(assignment.leaders), set(now)


def test_roles_are_spread_evenly_and_have_no_leader_without_members():
    assignment = RoleAssignment(range(10_000))
    assignment.update_members([f"n{i}" for i in range(12)])
    counts = [list(assignment.leaders.values()).count(f"n{i}") for i in range(12)]
    assert max(counts) < 1.2 * 10_000 / 12
    assert len(assignment.update_members([])) == 10_000
    assert assignment.leaders == {}
