"""The fleet's policy in force: whether this gateway may dispatch and admit, and priorities of commands."""

from collections.abc import Mapping

from gullhold.decisions.command import Command
from gullhold.interface import PolicyGate

# Priorities of attempts on their engines, for profiles without a priority in the policy.
SHORT_PRIORITY = 3  # priority of short commands
LONG_PRIORITY = 1  # priority of long commands


class PolicyTerms:
    """The gate and the priorities of the policy; without a fleet there is no gate: everything is allowed."""

    def __init__(self) -> None:
        self._gate: PolicyGate | None = None
        self._priority_by_profile: Mapping[int, int] = {}

    def apply(self, gate: PolicyGate, priority_by_profile: Mapping[int, int]) -> None:
        """Replace the gate and the priorities by those of a new policy."""
        self._gate = gate
        self._priority_by_profile = priority_by_profile

    def may_dispatch(self) -> bool:
        """Whether attempts may be started now."""
        return not self._gate or self._gate.may_dispatch()

    def admits_new(self) -> bool:
        """Whether commands that arrive now are admitted."""
        return not (self._gate and self._gate.rejects_new())

    def priority(self, command: Command) -> int:
        """Return the priority of a command on its engine."""
        default = SHORT_PRIORITY if command.is_short else LONG_PRIORITY
        return self._priority_by_profile.get(command.profile_index, default)
