"""Whether an occurrence of a scheduled command is tried again after its leader or an attempt has failed.

Engines do not check fencing tokens, so a former leader's attempt may still run. Therefore the leader writes
an intent to the store before it sends an attempt, and the outcome after it; the next leader reads both and
decides by the command's profile. After an intent without an outcome, an idempotent command is sent again; a
keyed one only under the same idempotency key and while every engine still knows the key; a non-idempotent one
never. Performs no I/O.
"""

from typing import NamedTuple

from gullhold.fleet.occurrence import Occurrence, OccurrenceState
from gullhold.interface import Idempotency

MIN_TIME_SHARE = 0.1  # share of the client timeout; a keyed command with less time left is not sent again


class ScheduledProfile(NamedTuple):
    """The parts of a scheduled command's profile that recovery needs.

    timeout_us: client timeout of the command. dedup_window_us: how long an engine remembers an idempotency
    key and drops repeats. is_deduplicated_everywhere: all engines drop a repeat, not only those of one zone
    or cell.
    """

    idempotency: Idempotency
    timeout_us: int
    dedup_window_us: int
    is_deduplicated_everywhere: bool


class ScheduledCommandRules(NamedTuple):
    """Settings of one scheduled command, from the operator file.

    window_us: how long after its due time an occurrence may still be attempted. max_attempts: of one
    occurrence, by all members together. waits_for_previous: an occurrence that is due while the previous one
    runs waits for it, up to its window; otherwise it is skipped. max_clock_skew_us: largest difference
    between the Unix clocks of two hosts.
    """

    name: str
    window_us: int
    max_attempts: int
    waits_for_previous: bool
    max_clock_skew_us: int


class RetryAttempt(NamedTuple):
    """Decision: send another attempt, with this time limit."""

    time_limit_us: int


class GiveUp(NamedTuple):
    """Decision: settle the occurrence as failed. reason: for operators; it is stored."""

    reason: str


def decide_recovery(
    rules: ScheduledCommandRules, profile: ScheduledProfile, occurrence: Occurrence, now: int
) -> RetryAttempt | GiveUp:
    """Decide whether to retry an open occurrence of which this member has no open attempt. now: Unix us."""
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
    if not profile.is_deduplicated_everywhere:  # only the former leader knows which engines have the key
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
    """The time in Unix us, by this host's clock, until which engines certainly drop a repeat.

    Engines remember an idempotency key from when they first receive it, and no attempt is sent before the
    first intent is written: so the deduplication window has not ended before dedup_window_us have passed
    since started_us. That is a time of another host's clock, which may be ahead of this host's by up to the
    skew.
    """
    return occurrence.started_us + profile.dedup_window_us - rules.max_clock_skew_us
