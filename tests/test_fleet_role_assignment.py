"""The assignment of roles to members."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.fleet.role_assignment import RoleAssignment


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.lists(st.sets(st.sampled_from([f"n{i}" for i in range(9)]), min_size=1), min_size=1, max_size=8))
def test_roles_move_only_to_members_that_join_and_from_members_that_leave(changes):
    assignment, old_leaders, old_members = RoleAssignment([f"d{i}" for i in range(60)]), {}, set()
    for members in changes:
        moved = assignment.update_members(members)
        assert set(assignment.leaders.values()) <= members
        for role, old_leader in old_leaders.items():
            if assignment.leaders[role] != old_leader:
                assert old_leader not in members or assignment.leaders[role] not in old_members
                assert role in moved
        fresh = RoleAssignment(assignment.roles)
        fresh.update_members(members)
        assert fresh.leaders == assignment.leaders  # it does not depend on earlier members
        old_leaders, old_members = dict(assignment.leaders), set(members)


def test_roles_are_spread_evenly_and_have_no_leader_without_members():
    assignment = RoleAssignment(range(10_000))
    assignment.update_members([f"n{i}" for i in range(12)])
    counts = [list(assignment.leaders.values()).count(f"n{i}") for i in range(12)]
    assert max(counts) < 1.2 * 10_000 / 12
    assert len(assignment.update_members([])) == 10_000
    assert assignment.leaders == {}
