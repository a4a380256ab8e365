"""What a policy of the fleet says of the gateway itself: whether it may work, and priorities."""

from collections.abc import Mapping

from gullhold.decisions.command import Command
from gullhold.interface import PolicyGate

SHORT_PRIORITY = 3  # of short commands, where the policy sets none
LONG_PRIORITY = 1


class PolicyTerms:
    """The gate and the priorities; without a fleet the gate is open."""

    def __init__(self) -> None:
        self._gate: PolicyGate | None = None
        self._priorities: Mapping[int, int] = {}  # by profile

    def apply(self, gate: PolicyGate, priorities: Mapping[int, int]) -> None:
        """Terms of a new policy."""
        self._gate = gate
        self._priorities = priorities

    def may_dispatch(self) -> bool:
        """Whether an attempt may be dispatched now."""
        return not self._gate or self._gate.may_dispatch()

    def admits_new(self) -> bool:
        """Whether commands that arrive now are admitted."""
        return not (self._gate and self._gate.rejects_new())

    def priority(self, command: Command) -> int:
        """The priority of a command on its engine."""
        usual = SHORT_PRIORITY if command.is_short else LONG_PRIORITY
        return self._priorities.get(command.profile_index, usual)
