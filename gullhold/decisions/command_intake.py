"""Creates a Command from what a client submitted: bounds its estimates and sets its times."""

from gullhold.decisions.command import Command
from gullhold.decisions.estimators import Estimates
from gullhold.decisions.retry_policy import DEADLINE_MARGIN_US
from gullhold.interface import Agreement

# Longest latency objective of a short command, in multiples of the shortest one that a profile states.
SHORT_OBJECTIVE_FACTOR = 2.5


class CommandIntake:
    """Creates commands and numbers them in their order of arrival."""

    def __init__(self, agreement: Agreement, estimates: Estimates) -> None:
        self._profiles = agreement.profiles
        self._has_tenants = bool(agreement.tenants)
        self._estimates = estimates
        shortest_objective_us = min([profile.objective_us for profile in agreement.profiles], default=0)
        self._max_short_us = SHORT_OBJECTIVE_FACTOR * shortest_objective_us
        self.submitted_count = 0  # number of commands created so far

    def new_command(
        self,
        now: int,
        command_id: int,
        profile_index: int,
        tenant: int,
        tenant_count: int,
        key: int,
        timeout_at: int,
        stated_work: float,
        need_mb: float,
        dataset: int,
    ) -> Command:
        """Create a command. tenant_count: the number of tenants; timeout_at: end of the client timeout (us).

        A command with an unknown tenant's index counts as the first tenant's. If the agreement names no
        tenants, each profile takes the place of a tenant.
        """
        profile = self._profiles[profile_index]
        if not self._has_tenants:
            tenant = profile_index
        self.submitted_count += 1
        work = self._estimates.command_work(profile_index, stated_work)
        allowed_us = profile.objective_us + profile.objective_stretch * work / profile.threads
        objective_at = int(now + allowed_us)
        last_start_at = timeout_at - DEADLINE_MARGIN_US
        return Command(
            id=command_id,
            profile_index=profile_index,
            profile=profile,
            tenant=tenant if tenant < tenant_count else 0,
            key=key,
            need_mb=need_mb if 0 < need_mb < float("inf") else 0.0,
            dataset=dataset,
            order=self.submitted_count,
            work=work,
            admitted_at=now,
            objective_at=objective_at,
            is_short=allowed_us <= self._max_short_us,
            last_start_at=last_start_at,
            worthwhile_until=last_start_at if profile.late_benefit_share else objective_at,
            threads=profile.threads,
        )
