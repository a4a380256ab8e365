"""The classes and the rule of a simulated world of rollouts: the product's, or a mutant's."""

from collections.abc import Callable
from dataclasses import dataclass

from gullhold.rollout.policy_gate import CutOffRule, PolicyGate
from gullhold.rollout.rollout_coordinator import RolloutCoordinator
from gullhold.rollout.rollout_member import RolloutMember


@dataclass(frozen=True, slots=True)
class RolloutVariant:
    """Classes of members, gates and coordinators, and the rule of members that are cut off."""

    make_member: Callable[..., RolloutMember] = RolloutMember
    make_gate: Callable[..., PolicyGate] = PolicyGate
    make_coordinator: Callable[..., RolloutCoordinator] = RolloutCoordinator
    cut_off_rule: CutOffRule = CutOffRule.UNTIL_LEASE_END
