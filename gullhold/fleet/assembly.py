"""Creates the settings and the scheduled commands of a fleet's member from the operator file."""

from typing import TYPE_CHECKING

from gullhold.fleet.calendar import Calendar, InvalidCalendarError
from gullhold.fleet.clocks import US_PER_SECOND
from gullhold.fleet.lease import LeaseTerms
from gullhold.fleet.membership_types import MembershipRules
from gullhold.fleet.recovery import ScheduledCommandRules, ScheduledProfile
from gullhold.fleet.scheduled_command import ScheduledCommand
from gullhold.fleet.store_schema import SCHEDULED_COMMAND_ROLE_PREFIX
from gullhold.interface import Agreement, DeduplicationScope, Profile

if TYPE_CHECKING:
    from gullhold.operator.records import FleetRecord, ScheduledCommandRecord

WAIT_FOR_PREVIOUS = "wait"  # value of a scheduled command's `overlap` in the operator file


class UnusableFleetError(Exception):
    """`fleet` of the operator file does not fit the agreement; the text is one line for the operator."""


def membership_rules(record: "FleetRecord") -> MembershipRules:
    """The settings of a member's lease, roles and calls to the store, from the operator file."""
    roles = record.duties
    return MembershipRules(
        lease_terms=LeaseTerms(record.lease // US_PER_SECOND, record.drift.rate, record.drift.margin),
        settle_us=roles.settle,
        moves_per_second=roles.moves,
        min_backoff_us=roles.pauses.least,
        max_backoff_us=roles.pauses.most,
        leave_timeout_us=roles.leaving,
    )


def scheduled_commands(
    record: "FleetRecord", agreement: Agreement, member: str
) -> dict[str, ScheduledCommand]:
    """The scheduled commands, by the name of their role. member: name of this member.

    Raises UnusableFleetError.
    """
    max_clock_skew_us = record.drift.skew
    return {
        SCHEDULED_COMMAND_ROLE_PREFIX + item.name: _scheduled_command(
            item, agreement, member, max_clock_skew_us
        )
        for item in record.schedule
    }


def _scheduled_command(
    item: "ScheduledCommandRecord", agreement: Agreement, member: str, max_clock_skew_us: int
) -> ScheduledCommand:
    path = f"fleet.schedule {item.name!r}"
    profile = _profile(item, agreement, path)
    try:
        calendar = Calendar(item.at, item.zone, item.every)
    except InvalidCalendarError as error:
        raise UnusableFleetError(f"{path}: {error}") from None
    rules = ScheduledCommandRules(
        name=item.name,
        window_us=item.window,
        max_attempts=item.tries,
        waits_for_previous=item.overlap == WAIT_FOR_PREVIOUS,
        max_clock_skew_us=max_clock_skew_us,
    )
    scheduled_profile = ScheduledProfile(
        idempotency=profile.idempotency,
        timeout_us=profile.timeout_us,
        dedup_window_us=profile.dedup_window_us,
        is_deduplicated_everywhere=profile.dedup_scope == DeduplicationScope.ALL_ENGINES,
    )
    return ScheduledCommand(rules, scheduled_profile, calendar, member)


def _profile(item: "ScheduledCommandRecord", agreement: Agreement, path: str) -> Profile:
    """The profile that a scheduled command names. path: names the command in errors."""
    profiles = {profile.name: profile for profile in reversed(agreement.profiles)}  # the first of each name
    if item.profile not in profiles:
        raise UnusableFleetError(f"{path}: {item.profile!r} is no profile of the agreement")
    tenant_names = [tenant.name for tenant in agreement.tenants]
    if tenant_names and item.tenant not in tenant_names:
        raise UnusableFleetError(f"{path}: {item.tenant!r} is no tenant of the agreement")
    return profiles[item.profile]
