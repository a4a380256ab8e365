"""Which member should lead which role: rendezvous hashing, by a library.

Every member computes the assignment by itself, from the list of members; who leads a role is decided by the
key of the role in the store. If a member joins, roles move only to it; if one leaves, only its roles move.
"""

from collections.abc import Iterable

from clandestined import RendezvousHash


class RoleAssignment:
    """The member that should lead each role, updated as members join and leave.

    members: names of the members, sorted. leaders: name of the member, by role; empty without members.
    """

    def __init__(self, roles: Iterable[str]) -> None:
        self.roles = tuple(roles)
        self.members: tuple[str, ...] = ()
        self.leaders: dict[str, str] = {}

    def update_members(self, members: Iterable[str]) -> list[str]:
        """Assign the roles to these members; return the roles whose assigned leader has changed.

        The assigned leader of a role is either its old one or a member that joined, unless the old one left.
        So members that joined are compared only with the old leaders, and only the roles of members that left
        are compared with all members.
        """
        present = tuple(sorted(members))
        left = set(self.members) - set(present)
        joined = [name for name in present if name not in self.members]
        self.members = present
        if not present:
            unassigned = list(self.leaders)
            self.leaders = {}
            return unassigned
        all_members = RendezvousHash(list(present))
        moved = []
        for role in self.roles:
            old_leader = self.leaders.get(role)
            if old_leader is None or old_leader in left:
                leader = all_members.find_node(role)
            elif joined:
                leader = RendezvousHash([old_leader, *joined]).find_node(role)
            else:
                continue
            if leader != old_leader:
                self.leaders[role] = leader
                moved.append(role)
        return moved
