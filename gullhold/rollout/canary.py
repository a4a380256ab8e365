"""The canary of a change: chooses the members that try it, and decides whether it fails on them."""

from collections.abc import Iterable, Mapping
from hashlib import blake2s
from typing import cast

from gullhold.rollout.policy_change import Canary, PolicyChange
from gullhold.rollout.vote import CommandFigures, Vote

MIN_COMMANDS = 20  # finished by the canary members together; with fewer, failures prove little


def choose_members(change: PolicyChange, members: Iterable[str]) -> tuple[str, ...]:
    """Choose the members that try the change: at least one, and a different selection for each change."""
    ranked = sorted(members, key=lambda member: _rank(change.version.number, member))
    count = max(1, round(cast("Canary", change.canary).member_share * len(ranked)))
    return tuple(ranked[:count])


def _rank(number: int, member: str) -> bytes:
    return blake2s(f"{number} {member}".encode()).digest()


def all_reported(change: PolicyChange, votes: Mapping[str, Vote]) -> bool:
    """Whether each canary member that still has a vote has reported figures."""
    return all(vote.figures for member, vote in votes.items() if member in change.canary_members)


def find_fault(change: PolicyChange, votes: Mapping[str, Vote], is_over: bool) -> str:
    """Return one line on why the canary fails, "" if it does not.

    is_over: whether the canary's time has passed; only then are answer times compared too.
    """
    if not any(member in change.canary_members for member in votes):
        return "none of its members is left"
    canary = cast("Canary", change.canary)
    canary_total = _total(change, votes, in_canary=True)
    others_total = _total(change, votes, in_canary=False)
    finished = canary_total.answered + canary_total.failed
    if finished >= MIN_COMMANDS and canary_total.failed > canary.max_failed_share * finished:
        return f"{canary_total.failed} of {finished} commands failed"
    if not is_over or not canary_total.answered or not others_total.answered:
        return ""
    canary_mean_us = canary_total.answer_time_us / canary_total.answered
    if canary_mean_us > canary.max_slowdown * others_total.answer_time_us / others_total.answered:
        return (
            f"answers took {canary_total.answer_time_us // canary_total.answered} us, "
            f"the others' {others_total.answer_time_us // others_total.answered}"
        )
    return ""


def _total(change: PolicyChange, votes: Mapping[str, Vote], in_canary: bool) -> CommandFigures:
    total = CommandFigures(0, 0, 0)
    for member, vote in votes.items():
        is_counted = vote.change == change.version.number and vote.figures
        if is_counted and (member in change.canary_members) == in_canary:
            total = total.plus(cast("CommandFigures", vote.figures))
    return total
