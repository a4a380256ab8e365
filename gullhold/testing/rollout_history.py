"""The versions that came into force in a simulated world of rollouts, and the invariants on them."""

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

REFUSING_NAME = "b"  # the one member that refuses REFUSED_TEXT
REFUSED_TEXT = "bad"  # a policy that one member cannot run
MAX_OVERLAP_US = TERMS.ttl_s * US_PER_SECOND  # longest time that a replaced version may still be used


class CanaryRun(NamedTuple):
    """When a canary was last seen running, in us of world time, and its members' vote keys without prefix."""

    seen_at: int
    members: tuple[str, ...]


NO_CANARY = CanaryRun(0, ())


class RolloutHistory:
    """Versions that came into force, in order, and canaries. Times are in us of world time.

    version_in_force: number of the version in force; order: numbers in the order in which they came into
    force; in_force_since: when each of them came into force; is_open: whether a change was open when the
    store was last read; canaries: the last state of each canary, by the number of its version.
    """

    def __init__(self, overlap: Overlap, now: int) -> None:
        """Begin with version 0 in force. overlap: of all changes."""
        self.overlap = overlap
        self.version_in_force = 0
        self.in_force_since = {0: now}
        self.order = [0]
        self.is_open = False
        self.canaries: dict[int, CanaryRun] = {}

    def observe(self, keys: Mapping[str, Any], members: Iterable[SimulatedMember], now: int) -> None:
        """Update the history from the store's keys after an action; raises InvariantError."""
        current = current_version(keys)
        was_open = self.is_open
        self.is_open = CHANGE_KEY in keys
        if self.is_open:
            change = decode_change(keys[CHANGE_KEY].value)
            if change.state == ChangeState.CANARY:
                self.canaries[change.version.number] = CanaryRun(now, change.canary_members)
        if was_open and not self.is_open:
            _check_in_force_everywhere(current, members)
        if current.number != self.version_in_force:
            _check_not_refused(current, members)
            self.version_in_force = current.number
            self.in_force_since[current.number] = now
            self.order.append(current.number)

    def check_dispatch(self, member: SimulatedMember, now: int) -> None:
        """Raise InvariantError if a member must not dispatch under the version that its core uses."""
        if member.version_number not in self.order:
            if not self._is_canary(member, now):
                raise InvariantError(
                    f"{member.name} dispatches under version {member.version_number}, which was never decided"
                )
            return
        if member.version_number == self.order[-1]:
            return
        if self.overlap == Overlap.STRICT:
            raise InvariantError(
                f"{member.name} dispatches under version {member.version_number} "
                f"when {self.order[-1]} is in force"
            )
        successor = self.order[self.order.index(member.version_number) + 1]
        late_us = now - self.in_force_since[successor]
        if late_us > MAX_OVERLAP_US:
            raise InvariantError(
                f"{member.name} dispatches under version {member.version_number} "
                f"{late_us} us after it was replaced; limit: {MAX_OVERLAP_US} us"
            )

    def _is_canary(self, member: SimulatedMember, now: int) -> bool:
        """Whether a member is in a canary of its undecided version that may still run."""
        canary = self.canaries.get(member.version_number, NO_CANARY)
        is_in_canary = member.decisions.own_vote_key().removeprefix(VOTES_PREFIX) in canary.members
        return is_in_canary and now <= canary.seen_at + MAX_OVERLAP_US


def _check_in_force_everywhere(current: PolicyVersion, members: Iterable[SimulatedMember]) -> None:
    """Check that all members that may dispatch use the version in force: a change ends only after that."""
    late = [
        member.name
        for member in members
        if member.gate.may_dispatch() and member.version_number != current.number
    ]
    if late:
        raise InvariantError(
            f"{late} use another version than {current.number}, which is reported as in force everywhere"
        )


def _check_not_refused(current: PolicyVersion, members: Iterable[SimulatedMember]) -> None:
    if current.text != REFUSED_TEXT:
        return
    if any(member.name == REFUSING_NAME and member.gate.may_dispatch() for member in members):
        raise InvariantError(f"version {current.number} is in force though {REFUSING_NAME} refused it")
