"""A policy as a numbered, immutable record, and what it may say. Decisions only."""

import json
from hashlib import blake2s
from importlib.resources import files
from typing import NamedTuple

from gullhold.interface import Idempotency
from gullhold.operator.errors import OperatorFileError
from gullhold.operator.evaluation import concretize, evaluate_file
from gullhold.operator.parser import parse
from gullhold.operator.unification import unify

SCHEMA = "policy.cue"
TEXT_MOST = 100_000  # characters of one policy: a value of the register


class Unfit(Exception):
    """A record that can't be used; the text is one plain line."""


class Record(NamedTuple):
    """One policy. parent: the number of what it was made from; at_us: Unix; digest: of all the rest."""

    number: int
    parent: int
    author: str
    why: str
    at_us: int
    text: str
    digest: str = ""

    def sealed(self):
        """With its digest."""
        return self._replace(digest=self._digest())

    def _digest(self):
        return blake2s(json.dumps(self[:-1]).encode(), digest_size=16).hexdigest()

    def pack(self):
        """As the register holds it."""
        return json.dumps(self._asdict())


# What holds where nothing was decided yet.
FIRST = Record(0, 0, "", "what gateways were started with", 0, "policy: {}").sealed()


def unpack(packed):
    """The Record that was packed; Unfit where it is not whole, or not what was sealed."""
    try:
        told = json.loads(packed) if isinstance(packed, str) else packed
        record = Record(**told)
        whole = record.digest == record._digest()
    except (ValueError, TypeError):
        raise Unfit("a record that can't be read") from None
    if not whole:
        raise Unfit(f"the digest of {record.number} does not fit")
    return record


class Policy(NamedTuple):
    """What a policy says, by name; empty: as the agreement has it."""

    shares: dict
    priorities: dict
    grants: dict
    sends: dict
    budgets: dict
    clients: dict
    schedules: dict


def read(source, file="policy"):
    """The Policy that this text says; Unfit: one line with its place."""
    if len(source) > TEXT_MOST:
        raise Unfit(f"{file}: over {TEXT_MOST} characters")
    schema = files("gullhold.rollout").joinpath(SCHEMA).read_text("utf-8")
    try:
        nodes = parse(source, file)
        told = concretize(
            unify(evaluate_file(parse(schema, SCHEMA), is_closed=True), evaluate_file(nodes), ())
        )
    except OperatorFileError as fault:
        raise Unfit(str(fault)) from None
    return Policy(**told["policy"])


def check(policy, agreement, budgets, schedules=(), door=False):
    """What is wrong with a policy for this agreement and these budgets, one line; "": nothing.

    budgets: {name or word: (whole as the operator's file has it, kept back)}; schedules: names of scheduled
    commands; door: whether there is one.
    """
    tenants, profiles = (
        {item.name for item in agreement.tenants},
        {item.name: item for item in agreement.profiles},
    )
    for name in policy.shares:
        if name not in tenants:
            return f"shares: {name!r} is no tenant of the agreement"
    for kind in ("priorities", "grants", "sends"):
        for name in getattr(policy, kind):
            if name not in profiles:
                return f"{kind}: {name!r} is no profile of the agreement"
    for name, most in policy.sends.items():
        if most > 1 and profiles[name].idempotency == Idempotency.NON_IDEMPOTENT:
            return f"sends: {name!r} must never run twice"
        if 0 < agreement.max_attempts < most:
            return f"sends: {name!r}: the agreement allows {agreement.max_attempts}"
    for name in policy.schedules:
        if name not in schedules:
            return f"schedules: {name!r} is no scheduled command"
    if policy.clients and not door:
        return "clients: there is no door"
    if policy.priorities and not agreement.honors_priority:
        return "priorities: engines of this agreement heed none"
    if policy.grants and not agreement.honors_grants:
        return "grants: engines of this agreement heed none"
    for name, whole in policy.budgets.items():
        if name not in budgets:
            return f"budgets: {name!r} is no budget of the fleet"
        if whole < budgets[name][1]:
            return f"budgets: {name!r}: {budgets[name][1]} are kept back for those who are alone"
    return ""


def wholes(policy, budgets):
    """{name or word: whole} under a policy."""
    return {name: policy.budgets.get(name, whole) for name, (whole, _) in budgets.items()}


def shares_of(policy, agreement):
    """Shares of the agreement's tenants, by index."""
    return [policy.shares.get(item.name, item.share) for item in agreement.tenants]


def for_module(policy, agreement):
    """(weights by tenant, {profile: priority}, {profile: MB}, {profile: sends}) for the decision module."""
    profiles = [item.name for item in agreement.profiles]
    shares = shares_of(policy, agreement)
    least = min((share for share in shares if share > 0), default=1.0)
    by_index = [
        {profiles.index(name): value for name, value in told.items()}
        for told in (policy.priorities, policy.grants, policy.sends)
    ]
    return ([share / least for share in shares] or [1.0] * len(profiles), *by_index)


def difference(old, new):
    """What differs between two policies, a line each: (field, name, before, after)."""
    found = []
    for field in Policy._fields:
        before, after = getattr(old, field), getattr(new, field)
        found += [
            (field, name, before.get(name), after.get(name))
            for name in sorted({*before, *after})
            if before.get(name) != after.get(name)
        ]
    return found
