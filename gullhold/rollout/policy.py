"""Parses the text of a policy, checks it against a deployment and converts it for other modules."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from importlib.resources import files
from typing import NamedTuple

from gullhold.decisions.decision_terms import DecisionTerms
from gullhold.interface import Agreement, Idempotency, Profile
from gullhold.operator.errors import OperatorFileError
from gullhold.operator.evaluation import concretize, evaluate_file
from gullhold.operator.parser import parse
from gullhold.operator.unification import unify
from gullhold.rollout.policy_version import PolicyError

SCHEMA_FILE = "policy.cue"
MAX_POLICY_CHARACTERS = 100_000  # a policy is one value in the store, which limits the size of a value


class Policy(NamedTuple):
    """The settings of a policy, by name; what it does not set is as in the agreement and the operator file.

    The field names are the keys of the policy's text. shares: shares of capacity by tenant; priorities,
    grants and sends: priority, largest memory grant (MB) and maximum attempts of a command, by profile;
    budgets: totals by name of the budget; clients: weights in the admission queue by client; schedules:
    whether a scheduled command runs, by its name.
    """

    shares: dict[str, float]
    priorities: dict[str, int]
    grants: dict[str, int]
    sends: dict[str, int]
    budgets: dict[str, int]
    clients: dict[str, float]
    schedules: dict[str, bool]


class BudgetLimits(NamedTuple):
    """One budget of the operator file: its total, and the reserve for members without a lease."""

    total: int
    reserve: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """What a policy is checked against: the agreement, and the features that the operator file sets up."""

    agreement: Agreement
    budgets: Mapping[str, BudgetLimits]
    scheduled_commands: Collection[str] = ()
    has_admission_queue: bool = False


class Difference(NamedTuple):
    """One setting that differs between two policies. before, after: None if it is not set."""

    field: str
    name: str
    before: float | None
    after: float | None


def parse_policy(source: str, file: str = "policy") -> Policy:
    """Parse a policy's text. file: named in errors. Raises PolicyError with one line that names the place."""
    if len(source) > MAX_POLICY_CHARACTERS:
        raise PolicyError(f"{file}: over {MAX_POLICY_CHARACTERS} characters")
    schema_source = files("gullhold.rollout").joinpath(SCHEMA_FILE).read_text("utf-8")
    try:
        nodes = parse(source, file)
        schema = evaluate_file(parse(schema_source, SCHEMA_FILE), is_closed=True)
        settings = concretize(unify(schema, evaluate_file(nodes), ()))
    except OperatorFileError as error:
        raise PolicyError(str(error)) from None
    return Policy(**settings["policy"])


def find_fault(policy: Policy, deployment: Deployment) -> str:
    """Return one line on why a policy can't be used in this deployment, "" if it can."""
    return (
        _fault_in_names(policy, deployment.agreement)
        or _fault_in_attempts(policy, deployment.agreement)
        or _fault_in_features(policy, deployment)
        or _fault_in_budgets(policy, deployment.budgets)
    )


def _fault_in_names(policy: Policy, agreement: Agreement) -> str:
    tenants = {tenant.name for tenant in agreement.tenants}
    for name in policy.shares:
        if name not in tenants:
            return f"shares: {name!r} is no tenant of the agreement"
    profiles = {profile.name for profile in agreement.profiles}
    by_profile = {"priorities": policy.priorities, "grants": policy.grants, "sends": policy.sends}
    for field, settings in by_profile.items():
        for name in settings:
            if name not in profiles:
                return f"{field}: {name!r} is no profile of the agreement"
    return ""


def _fault_in_attempts(policy: Policy, agreement: Agreement) -> str:
    profiles: dict[str, Profile] = {profile.name: profile for profile in agreement.profiles}
    for name, max_attempts in policy.sends.items():
        if max_attempts > 1 and profiles[name].idempotency == Idempotency.NON_IDEMPOTENT:
            return f"sends: {name!r} must never run twice"
        if 0 < agreement.max_attempts < max_attempts:
            return f"sends: {name!r}: the agreement allows {agreement.max_attempts}"
    return ""


def _fault_in_features(policy: Policy, deployment: Deployment) -> str:
    for name in policy.schedules:
        if name not in deployment.scheduled_commands:
            return f"schedules: {name!r} is no scheduled command"
    if policy.clients and not deployment.has_admission_queue:
        return "clients: there is no door"
    if policy.priorities and not deployment.agreement.honors_priority:
        return "priorities: engines of this agreement heed none"
    if policy.grants and not deployment.agreement.honors_grants:
        return "grants: engines of this agreement heed none"
    return ""


def _fault_in_budgets(policy: Policy, budgets: Mapping[str, BudgetLimits]) -> str:
    for name, total in policy.budgets.items():
        if name not in budgets:
            return f"budgets: {name!r} is no budget of the fleet"
        if total < budgets[name].reserve:
            return f"budgets: {name!r}: {budgets[name].reserve} are kept back for those who are alone"
    return ""


def budget_totals(policy: Policy, budgets: Mapping[str, BudgetLimits]) -> dict[str, int]:
    """The total of each budget of the operator file under a policy, by the budget's name."""
    return {name: policy.budgets.get(name, limits.total) for name, limits in budgets.items()}


def tenant_shares(policy: Policy, agreement: Agreement) -> list[float]:
    """The tenants' shares under a policy, in the order of the agreement's tenants."""
    return [policy.shares.get(tenant.name, tenant.share) for tenant in agreement.tenants]


def decision_terms(policy: Policy, agreement: Agreement) -> DecisionTerms:
    """The policy in the form that the decision module uses; the smallest share above 0 has weight 1."""
    shares = tenant_shares(policy, agreement)
    smallest_share = min((share for share in shares if share > 0), default=1.0)
    weights = [share / smallest_share for share in shares]
    profile_names = [profile.name for profile in agreement.profiles]
    return DecisionTerms(
        weights or [1.0] * len(profile_names),
        _by_index(policy.priorities, profile_names),
        _by_index(policy.grants, profile_names),
        _by_index(policy.sends, profile_names),
    )


def _by_index(settings: Mapping[str, int], names: list[str]) -> dict[int, int]:
    return {names.index(name): value for name, value in settings.items()}


def differences(old: Policy, new: Policy) -> list[Difference]:
    """The settings that differ, in the order of Policy's fields and then of the names."""
    different = []
    for field in Policy._fields:
        before: dict[str, float] = getattr(old, field)
        after: dict[str, float] = getattr(new, field)
        for name in sorted({*before, *after}):
            if before.get(name) != after.get(name):
                different.append(Difference(field, name, before.get(name), after.get(name)))
    return different
