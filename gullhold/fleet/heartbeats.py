"""Heartbeats: roles whose leader only writes a key periodically, which shows that leadership works."""

from collections.abc import Callable

from gullhold.fleet.lane import Lane
from gullhold.fleet.membership import Membership
from gullhold.fleet.store_calls import Put, Reply
from gullhold.fleet.store_schema import HEARTBEATS_PREFIX, encode_heartbeat


class Heartbeats:
    """The heartbeat roles that this member leads; times in us of a monotonic clock."""

    def __init__(
        self,
        membership: Membership,
        lane: Callable[[], Lane],
        period_us: int,
        on_written: Callable[[str, int, Reply], None],
    ) -> None:
        """lane(): returns the lane for writes. on_written(role, token, reply): called after each write."""
        self._membership = membership
        self._lane = lane
        self._period_us = period_us
        self._on_written = on_written
        self._next_at: dict[str, int] = {}  # when the next heartbeat is due, by role
        self._being_written: set[str] = set()  # roles with a write under way

    def won(self, role: str, now: int) -> None:
        """Start the heartbeats of a role that this member now leads; the first is due now."""
        self._next_at[role] = now

    def lost(self, role: str) -> None:
        """Stop the heartbeats of a role that this member does not lead any more."""
        self._next_at.pop(role, None)

    def due(self) -> int | None:
        """When to step() next; None if this member leads no heartbeat role."""
        return min(self._next_at.values(), default=None)

    def step(self, now: int) -> None:
        """Write the heartbeats that are due, except those whose previous write has no reply yet."""
        for role, at in self._next_at.items():
            if at > now:
                continue
            if role not in self._being_written:
                self._write(role, now)
            self._next_at[role] = now + self._period_us

    def _write(self, role: str, now: int) -> None:
        token = self._membership.fencing_token(role, now)
        if not token:
            return
        self._being_written.add(role)
        value = encode_heartbeat(role, token, self._membership.identity.name)
        request = self._membership.fenced_transaction(role, token, (Put(HEARTBEATS_PREFIX + role, value),))
        self._lane().submit(request, self._written, role, token)

    def _written(self, role: str, token: int, reply: Reply) -> None:
        self._being_written.discard(role)
        self._on_written(role, token, reply)
