"""Which member should own which duty: rendezvous hashing, by a library. Decisions only.

Every member works this out alone from the list of members; who really owns is the register's word. A member
that comes draws duties to itself alone, one that goes leaves only its own: nothing else moves.
"""

from clandestined import RendezvousHash


class Spread:
    """Duties by the member that should own them, kept as members come and go."""

    def __init__(self, duties):
        self.duties, self.members, self.owner = tuple(duties), (), {}

    def change(self, members):
        """These are the members now; the duties whose owner should be another than before.

        A duty's best of all is the best of its old best and who came: so who comes is compared with the old
        owners alone, and for who goes only the duties that were its own are looked at.
        """
        members, moved = tuple(sorted(members)), []
        gone, came = set(self.members) - set(members), [name for name in members if name not in self.members]
        self.members = members
        if not members:
            moved, self.owner = list(self.owner), {}
            return moved
        everyone = RendezvousHash(list(members))
        for duty in self.duties:
            old = self.owner.get(duty)
            if old is None or old in gone:
                new = everyone.find_node(duty)
            elif came:
                new = RendezvousHash([old, *came]).find_node(duty)
            else:
                continue
            if new != old:
                self.owner[duty] = new
                moved.append(duty)
        return moved
