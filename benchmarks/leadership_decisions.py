"""What the decisions of members alone keep and cost, for benchmarks.leadership."""

from functools import partial
from typing import NamedTuple

from benchmarks.decision_exploration import ExplorationPlan, ExplorationSize
from gullhold.fleet.lease import LeaseTerms
from gullhold.fleet.membership import Membership
from gullhold.fleet.membership_types import CallStore, MembershipRules
from gullhold.fleet.role_assignment import RoleAssignment
from gullhold.fleet.store_calls import (
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    Proof,
    ReadLeaseKeys,
    ReadPrefix,
    Reply,
    Request,
)
from gullhold.testing import (
    membership_explorer,
    membership_mutants,
    scheduled_command_explorer,
    scheduled_command_mutants,
)
from gullhold.testing.walking import Finding

ROLES = [f"d{number}" for number in range(10_000)]
WALK_STEPS = 160
SEARCH_DEPTH = 8
LEASE_ID = 7
FIRST_REVISION = 10
SETTLED_AFTER_US = 30_000_000
SIMULATED_S = 120
MUTANT_MODULES = {"members": membership_mutants, "scheduled commands": scheduled_command_mutants}


def moves_over_least(members: int = 12) -> float:
    """Roles that move when one of so many members leaves, over its own."""
    names = [f"n{number}" for number in range(members)]
    leaver = names[3]
    assignment = RoleAssignment(ROLES)
    assignment.update_members(names)
    least = sum(leader == leaver for leader in assignment.leaders.values())
    moved = assignment.update_members([name for name in names if name != leaver])
    return round(len(moved) / least, 3)


class MemberCalls(NamedTuple):
    """Calls of one member: a second once it has settled, and to claim its roles."""

    settled_per_s: float
    claiming: int


def count_calls(members: int, lease_s: int = 5) -> MemberCalls:
    """The calls of one member among so many that make no changes."""
    rules = MembershipRules(LeaseTerms(lease_s, 0.01, 100_000), 0, 200, 100_000, 5_000_000, 1_000_000)
    member = Membership("n0", "x", rules, ROLES, lambda: 0.5, 0)
    others = tuple(
        KeyValue(f"members/n{number}", '{"nonce": "y", "ready": true}', 2) for number in range(1, members)
    )
    now = 0
    claiming = 0
    settled = 0
    revision = FIRST_REVISION
    member.tick(now)
    while now < SIMULATED_S * 1_000_000:
        for action in member.take_actions():
            if not isinstance(action, CallStore):
                continue
            revision += 1
            if now >= SETTLED_AFTER_US:
                settled += 1
            else:
                claiming += 1
            reply = _reply(action.call.request, revision, others, member, lease_s)
            member.call_replied(now, action.call, reply)
        if not member.actions:
            now = max(now + 1000, member.due(now))
            member.tick(now)
    assigned = sum(leader == "n0" for leader in member.claims.assignment.leaders.values())
    if len(member.claims.tokens) != assigned:
        raise SystemExit(f"{len(member.claims.tokens)} of {assigned} roles were claimed")
    settled_s = SIMULATED_S - SETTLED_AFTER_US / 1_000_000
    return MemberCalls(round(settled / settled_s, 3), claiming)


def _reply(
    request: Request, revision: int, others: tuple[KeyValue, ...], member: Membership, lease_s: int
) -> Reply:
    """What a store in which nobody else changes anything replies."""
    match request:
        case GrantLease():
            return Reply(Proof.DONE, revision, lease=LEASE_ID, ttl_s=lease_s)
        case KeepLeaseAlive():
            return Reply(Proof.DONE, revision, ttl_s=lease_s)
        case ReadPrefix():
            return Reply(Proof.DONE, revision, items=others)
        case ReadLeaseKeys():
            keys = tuple(f"duties/{role}" for role in member.claims.tokens)
            return Reply(Proof.DONE, revision, keys=keys)
        case _:
            return Reply(Proof.DONE, revision)


def walk(seed: int) -> set[int]:
    """A walk of members and one of a scheduled command; marks of the states that members met."""
    marks = membership_explorer.walk(seed, WALK_STEPS)
    scheduled_command_explorer.walk(seed)
    return marks


def find_mutant(kind: str, number: int, max_walks: int) -> Finding | None:
    """The walk that finds a mutant, if any does; kind, number: its key and place in MUTANT_MODULES."""
    mutant = MUTANT_MODULES[kind].MUTANTS[number]
    if kind == "members":
        return membership_mutants.find_detecting_walk(mutant, max_walks, WALK_STEPS)
    return scheduled_command_mutants.find_detecting_walk(mutant, max_walks)


def exploration_plan(size: ExplorationSize) -> ExplorationPlan:
    """Walks, mutants and a search of members and scheduled commands."""
    return ExplorationPlan(
        walk=walk,
        find_mutant={
            mutant.__name__: partial(find_mutant, kind, number, size.max_mutant_walks)
            for kind, module in MUTANT_MODULES.items()
            for number, mutant in enumerate(module.MUTANTS)
        },
        searches=[partial(membership_explorer.explore, SEARCH_DEPTH, size.max_states)],
    )
