"""What may follow an attempt of a scheduled command that nobody works on any more. Decisions only.

Engines know no fencing tokens. So the leader writes an intent to the store before it sends an attempt, and
the outcome after it; the next leader reads both and goes by the profile of the command. An idempotent command
runs again; a keyed one runs again only with the same idempotency key, and while every engine still knows the
key; a non-idempotent one never runs again where an intent stands without an outcome.
"""

from typing import NamedTuple

from gullhold.fleet.occurrence import Occurrence, OccurrenceState
from gullhold.interface import Idempotency

MIN_TIME_SHARE = 0.1  # of the client timeout: with less time left an attempt is not begun


class ScheduledProfile(NamedTuple):
    """What the agreement says of a scheduled command's profile; times in us.

    is_deduplicated_everywhere: all engines drop a repeat, not only those of one zone or cell.
    """

    idempotency: Idempotency
    timeout_us: int
    dedup_window_us: int
    is_deduplicated_everywhere: bool


class ScheduledCommandRules(NamedTuple):
    """What the operator says of one scheduled command.

    window_us: how late an occurrence may begin. max_attempts: the most attempts of one occurrence that the
    fleet makes. waits_for_previous: an occurrence that is due while the one before still runs waits for it
    (within its window); otherwise it is skipped. max_clock_skew_us: the most that two hosts' Unix clocks
    differ.
    """

    name: str
    window_us: int
    max_attempts: int
    waits_for_previous: bool
    max_clock_skew_us: int


class RetryAttempt(NamedTuple):
    """Decision: a further attempt may be made, which may take so long."""

    time_limit_us: int


class GiveUp(NamedTuple):
    """Decision: the occurrence has failed."""

    reason: str


def decide_recovery(
    rules: ScheduledCommandRules, profile: ScheduledProfile, occurrence: Occurrence, now: int
) -> RetryAttempt | GiveUp:
    """What becomes of an open occurrence that nobody works on; now: Unix time in us."""
    is_late = now > occurrence.due_us + rules.window_us
    if occurrence.attempts >= rules.max_attempts:
        return GiveUp(f"{occurrence.attempts} tries")
    if occurrence.state != OccurrenceState.INTENT:  # it provably had no effect: a retry is harmless
        return GiveUp("its window is over") if is_late else RetryAttempt(profile.timeout_us)
    if profile.idempotency == Idempotency.NON_IDEMPOTENT:
        return GiveUp("it may have run: its owner vanished or was told a failure; check its effect by hand")
    if is_late:
        return GiveUp("it may have run, and its window is over")
    if profile.idempotency == Idempotency.IDEMPOTENT:
        return RetryAttempt(profile.timeout_us)
    if not profile.is_deduplicated_everywhere:  # only the old leader knew which engines know the key
        return GiveUp("it may have run, and not all engines would drop a repeat")
    return _recover_keyed(rules, profile, occurrence, now)


def _recover_keyed(
    rules: ScheduledCommandRules, profile: ScheduledProfile, occurrence: Occurrence, now: int
) -> RetryAttempt | GiveUp:
    time_limit_us = min(profile.timeout_us, deduplicated_until(rules, profile, occurrence) - now)
    if time_limit_us < MIN_TIME_SHARE * profile.timeout_us:
        return GiveUp("it may have run, and engines may have forgotten its mark")
    return RetryAttempt(time_limit_us)


def deduplicated_until(
    rules: ScheduledCommandRules, profile: ScheduledProfile, occurrence: Occurrence
) -> int:
    """Until when engines surely drop a repeat, counted from before the first attempt can have run."""
    return occurrence.started_us + profile.dedup_window_us - rules.max_clock_skew_us
