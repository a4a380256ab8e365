"""What came into force in a world of rollouts, as seen in its store, and the rules that it has to keep."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from gullhold.fleet.clocks import US_PER_SECOND
from gullhold.rollout.policy_change import ChangeState, Overlap
from gullhold.rollout.policy_version import PolicyVersion
from gullhold.rollout.proposal import current_version
from gullhold.rollout.store_schema import CHANGE_KEY, VOTES_PREFIX, decode_change
from gullhold.testing.role_pair_world import TERMS
from gullhold.testing.simulated_rollout_member import SimulatedMember
from gullhold.testing.walking import InvariantError

REFUSING_NAME = "b"  # the member that refuses REFUSED_TEXT
REFUSED_TEXT = "bad"  # a policy that one member refuses
MAX_OVERLAP_US = TERMS.ttl_s * US_PER_SECOND  # for which members may dispatch under different versions


class CanaryRun(NamedTuple):
    """A canary as last seen: time in us, and keys of its members without their prefix."""

    seen_at: int
    members: tuple[str, ...]


NO_CANARY = CanaryRun(0, ())


class RolloutHistory:
    """Versions that came into force, in order, and canaries. Times are in us of the world.

    decided: number of the version in force; order: numbers in the order in which they came into force;
    decided_at: when each one did; is_open: whether a change was open when the store was last looked at.
    """

    def __init__(self, overlap: Overlap, now: int) -> None:
        """Version 0 is in force. overlap: of all changes."""
        self.overlap = overlap
        self.decided = 0
        self.decided_at = {0: now}
        self.order = [0]
        self.is_open = False
        self.canaries: dict[int, CanaryRun] = {}

    def observe(self, keys: Mapping[str, Any], members: Iterable[SimulatedMember], now: int) -> None:
        """Take in the store's keys after an action. Raises InvariantError."""
        current = current_version(keys)
        was_open = self.is_open
        self.is_open = CHANGE_KEY in keys
        if self.is_open:
            change = decode_change(keys[CHANGE_KEY].value)
            if change.state == ChangeState.CANARY:
                self.canaries[change.version.number] = CanaryRun(now, change.canary_members)
        if was_open and not self.is_open:
            _check_in_force_everywhere(current, members)
        if current.number != self.decided:
            _check_not_refused(current, members)
            self.decided = current.number
            self.decided_at[current.number] = now
            self.order.append(current.number)

    def check_dispatch(self, member: SimulatedMember, now: int) -> None:
        """Raise InvariantError where a member may not dispatch under the version that its core has."""
        if member.number not in self.order:
            if not self._is_canary(member, now):
                raise InvariantError(f"{member.name} sends under {member.number}, which was never decided")
            return
        if member.number == self.order[-1]:
            return
        if self.overlap == Overlap.STRICT:
            raise InvariantError(
                f"{member.name} sends under {member.number} when {self.order[-1]} is in force"
            )
        successor = self.order[self.order.index(member.number) + 1]
        late_us = now - self.decided_at[successor]
        if late_us > MAX_OVERLAP_US:
            raise InvariantError(f"{member.name} sends under {member.number} {late_us} us after it was over")

    def _is_canary(self, member: SimulatedMember, now: int) -> bool:
        """Whether it may dispatch under a version that is not decided, in a canary that may still run."""
        canary = self.canaries.get(member.number, NO_CANARY)
        is_member = member.decisions.own_vote_key().removeprefix(VOTES_PREFIX) in canary.members
        return is_member and now <= canary.seen_at + MAX_OVERLAP_US


def _check_in_force_everywhere(current: PolicyVersion, members: Iterable[SimulatedMember]) -> None:
    """The end of a change tells operators that its version is in force everywhere."""
    late = [
        member.name for member in members if member.gate.may_dispatch() and member.number != current.number
    ]
    if late:
        raise InvariantError(
            f"{late} go by another than {current.number}, which is said to be in force everywhere"
        )


def _check_not_refused(current: PolicyVersion, members: Iterable[SimulatedMember]) -> None:
    if current.text != REFUSED_TEXT:
        return
    if any(member.name == REFUSING_NAME and member.gate.may_dispatch() for member in members):
        raise InvariantError(f"{current.number} is in force though {REFUSING_NAME} turned it down")
