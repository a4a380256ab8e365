"""Recovery of a scheduled command's occurrence after its leader has changed or an attempt has ended badly.

Decisions only. Engines do not check fencing tokens. So the leader writes an intent to the store before it
sends an attempt, and the outcome after it; the next leader reads both and decides by the command's profile.
An idempotent command is retried; a keyed one only with the same idempotency key, and while every engine still
knows the key; a non-idempotent one is never retried after an intent without an outcome.
"""

from typing import NamedTuple

from gullhold.fleet.occurrence import Occurrence, OccurrenceState
from gullhold.interface import Idempotency

MIN_TIME_SHARE = 0.1  # of the client timeout; with less time left no attempt is started


class ScheduledProfile(NamedTuple):
    """The parts of a scheduled command's profile that recovery needs; times in us.

    is_deduplicated_everywhere: all engines drop a repeat, not only those of one zone or cell.
    """

    idempotency: Idempotency
    timeout_us: int
    dedup_window_us: int
    is_deduplicated_everywhere: bool


class ScheduledCommandRules(NamedTuple):
    """Settings of one scheduled command, from the operator file.

    window_us: how late an occurrence may begin. max_attempts: of one occurrence, by all members together.
    waits_for_previous: an occurrence that is due while the previous one still runs waits for it (within its
    window); otherwise it is skipped. max_clock_skew_us: largest difference of two hosts' Unix clocks.
    """

    name: str
    window_us: int
    max_attempts: int
    waits_for_previous: bool
    max_clock_skew_us: int


class RetryAttempt(NamedTuple):
    """Decision: another attempt may be made, with this time limit."""

    time_limit_us: int


class GiveUp(NamedTuple):
    """Decision: the occurrence has failed."""

    reason: str


def decide_recovery(
    rules: ScheduledCommandRules, profile: ScheduledProfile, occurrence: Occurrence, now: int
) -> RetryAttempt | GiveUp:
    """Decide about an open occurrence that no member is working on. now: Unix time in us."""
    is_late = now > occurrence.due_us + rules.window_us
    if occurrence.attempts >= rules.max_attempts:
        return GiveUp(f"{occurrence.attempts} tries")
    if occurrence.state != OccurrenceState.INTENT:  # it certainly had no effect: a retry is harmless
        return GiveUp("its window is over") if is_late else RetryAttempt(profile.timeout_us)
    if profile.idempotency == Idempotency.NON_IDEMPOTENT:
        return GiveUp("it may have run: its owner vanished or was told a failure; check its effect by hand")
    if is_late:
        return GiveUp("it may have run, and its window is over")
    if profile.idempotency == Idempotency.IDEMPOTENT:
        return RetryAttempt(profile.timeout_us)
    if not profile.is_deduplicated_everywhere:  # only the old leader knows which engines know the key
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
    """Until when engines certainly drop a repeat; counted from before the first attempt can have run."""
    return occurrence.started_us + profile.dedup_window_us - rules.max_clock_skew_us
