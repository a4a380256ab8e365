"""Memory that is granted to attempts."""

from typing import TYPE_CHECKING

from gullhold.decisions.command import Command
from gullhold.decisions.engine import Engine
from gullhold.decisions.estimators import Estimates
from gullhold.interface import Agreement

if TYPE_CHECKING:
    from collections.abc import Mapping


class MemoryGrants:
    """Grants the estimated need, up to a share of the engine's memory and up to the fleet's policy."""

    def __init__(self, agreement: Agreement, estimates: Estimates) -> None:
        self._memory_mb_by_kind = agreement.memory_mb_by_kind
        self._max_share = agreement.max_grant_share
        self._estimates = estimates
        self.max_mb_by_profile: Mapping[int, float] = {}  # for the profiles that the fleet's policy names

    def grant_mb(self, command: Command, engine: Engine) -> float:
        """Return the memory (MB) granted to an attempt of the command on the engine."""
        by_kind = self._memory_mb_by_kind
        memory_mb = by_kind[engine.kind] if engine.kind < len(by_kind) else 0.0
        return min(
            self._estimates.need_mb(command),
            self._max_share * memory_mb or float("inf"),
            self.max_mb_by_profile.get(command.profile_index, float("inf")),
        )
