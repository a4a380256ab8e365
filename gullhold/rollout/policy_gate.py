"""The gate that lets this gateway dispatch only while its lease holds and it knows the policy in force."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

EARLY_STOP_MARGIN_DIVISOR = 3  # a third of a lease's guaranteed time; a renewal was missed by then


class CutOffRule(StrEnum):
    """How long a member that loses the store while a change is open keeps dispatching (operator file)."""

    UNTIL_LEASE_END = "keep"  # as long as its lease certainly holds
    BEFORE_LEASE_END = "stand"  # until a margin before the lease's guaranteed end


class LeaseView(Protocol):
    """This member's lease, renewed and cleared by the fleet's thread. valid_until: us of the gate's clock."""

    id: int
    valid_until: int


class PolicyGate:
    """Implements gullhold.interface.PolicyGate; an attempt decided on before stop() is never sent after it.

    The core's thread checks it at each attempt; the fleet's thread changes it. clock: returns us of a
    monotonic clock; guaranteed_us: how long a lease certainly holds by that clock, from when its grant or
    renewal was sent; cut_off_rule: value of a CutOffRule.
    """

    def __init__(
        self, lease: LeaseView, clock: Callable[[], int], guaranteed_us: int, cut_off_rule: str
    ) -> None:
        self.lease = lease
        self.clock = clock
        self.guaranteed_us = guaranteed_us
        self.cut_off_rule = cut_off_rule
        self.enrolled_lease = 0  # lease under which this member enrolled (stored its first vote); 0: none
        self.open_change = 0  # number of the change that this member has voted ready on; 0: none
        self.is_stopped = False
        self.stop_count = 0  # part of the fencing token, so that a stop invalidates earlier attempts
        # Extended by each read of the policy in force: guards against a watch that has silently stopped.
        self.policy_known_until = 0
        # When the use of a snapshot ends, if the store was unreachable at the start.
        self.snapshot_valid_until = 0

    def may_dispatch(self) -> bool:
        """Whether an attempt may be sent now."""
        # The lease's end is read before its id, as another lease may begin in between: the end of a newer
        # lease must not be taken for that of the enrolled one.
        now = self.clock()
        valid_until = self.lease.valid_until
        if now < self.snapshot_valid_until:
            return True
        margin_us = 0
        if self.cut_off_rule == CutOffRule.BEFORE_LEASE_END and self.open_change:
            margin_us = self.guaranteed_us // EARLY_STOP_MARGIN_DIVISOR
        return (
            not self.is_stopped
            and now < valid_until - margin_us
            and self.lease.id == self.enrolled_lease != 0
            and now < self.policy_known_until - margin_us
        )

    def stop(self) -> None:
        """Close the gate; attempts decided on before are not sent after it reopens either."""
        self.is_stopped = True
        self.stop_count += 1

    def reopen(self) -> None:
        """Open the gate again, with no change open."""
        self.is_stopped = False
        self.open_change = 0

    def fencing_token(self) -> tuple[int, int]:
        """The token of attempts that are decided on now: (id of the enrolled lease, number of stops)."""
        return self.enrolled_lease, self.stop_count

    def token_valid(self, token: object) -> bool:
        """Whether an attempt that was decided on under this token may still be sent."""
        return self.may_dispatch() and token == self.fencing_token()

    def rejects_new(self) -> bool:
        """Whether new commands are rejected, as the policy is unknown. A stop is short and rejects none."""
        now = self.clock()
        if now < self.snapshot_valid_until:
            return False
        return not (self.enrolled_lease and now < self.lease.valid_until and now < self.policy_known_until)
