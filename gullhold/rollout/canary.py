"""The canary of a change: which members try it, and whether it fails there."""

from collections.abc import Iterable, Mapping
from hashlib import blake2s
from typing import cast

from gullhold.rollout.policy_change import Canary, PolicyChange
from gullhold.rollout.vote import CommandFigures, Vote

MIN_COMMANDS = 20  # of the canary's members together; with fewer the share of failures is not significant


def choose_members(change: PolicyChange, members: Iterable[str]) -> tuple[str, ...]:
    """The members that try the change: at least one, and different ones for each change."""
    ranked = sorted(members, key=lambda member: _rank(change.version.number, member))
    count = max(1, round(cast("Canary", change.canary).member_share * len(ranked)))
    return tuple(ranked[:count])


def _rank(change: int, member: str) -> bytes:
    return blake2s(f"{change} {member}".encode()).digest()


def all_reported(change: PolicyChange, votes: Mapping[str, Vote]) -> bool:
    """Whether each member of the canary that still votes has reported figures."""
    return all(vote.figures for member, vote in votes.items() if member in change.canary_members)


def find_fault(change: PolicyChange, votes: Mapping[str, Vote], is_over: bool) -> str:
    """Why the canary fails, one line; "" if it does not.

    is_over: its time has passed, so that the time that answers took counts too.
    """
    if not any(member in change.canary_members for member in votes):
        return "none of its members is left"
    canary = cast("Canary", change.canary)
    tried = _total(change, votes, in_canary=True)
    others = _total(change, votes, in_canary=False)
    finished = tried.answered + tried.failed
    if finished >= MIN_COMMANDS and tried.failed > canary.max_failed_share * finished:
        return f"{tried.failed} of {finished} commands failed"
    if not is_over or not tried.answered or not others.answered:
        return ""
    tried_mean_us = tried.answer_time_us / tried.answered
    if tried_mean_us > canary.max_slowdown * others.answer_time_us / others.answered:
        return (
            f"answers took {tried.answer_time_us // tried.answered} us, "
            f"the others' {others.answer_time_us // others.answered}"
        )
    return ""


def _total(change: PolicyChange, votes: Mapping[str, Vote], in_canary: bool) -> CommandFigures:
    total = CommandFigures(0, 0, 0)
    for member, vote in votes.items():
        is_counted = vote.change == change.version.number and vote.figures
        if is_counted and (member in change.canary_members) == in_canary:
            total = total.plus(cast("CommandFigures", vote.figures))
    return total
