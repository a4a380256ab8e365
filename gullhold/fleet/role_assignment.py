"""Which member should lead which role: rendezvous hashing, by a library. Decisions only.

Every member computes the assignment alone, from the list of members; who really leads a role is what the
store says. A member that joins draws roles to itself only, one that leaves gives up only its own: no other
role moves.
"""

from collections.abc import Iterable

from clandestined import RendezvousHash


class RoleAssignment:
    """Roles by the member that should lead them, kept up to date as members come and go."""

    def __init__(self, roles: Iterable[str]) -> None:
        self.roles = tuple(roles)
        self.members: tuple[str, ...] = ()
        self.leaders: dict[str, str] = {}  # by role

    def update_members(self, members: Iterable[str]) -> list[str]:
        """Assign the roles to these members; the roles whose leader should be another than before.

        A role's best member is the best of its old leader and those that joined. So a member that joins is
        compared with the old leaders alone, and for one that left only its own roles are assigned anew.
        """
        present = tuple(sorted(members))
        left = set(self.members) - set(present)
        joined = [name for name in present if name not in self.members]
        self.members = present
        if not present:
            unassigned = list(self.leaders)
            self.leaders = {}
            return unassigned
        everyone = RendezvousHash(list(present))
        moved = []
        for role in self.roles:
            old_leader = self.leaders.get(role)
            if old_leader is None or old_leader in left:
                leader = everyone.find_node(role)
            elif joined:
                leader = RendezvousHash([old_leader, *joined]).find_node(role)
            else:
                continue
            if leader != old_leader:
                self.leaders[role] = leader
                moved.append(role)
        return moved
