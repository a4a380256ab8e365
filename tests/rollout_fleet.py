"""A fleet of real processes with policies on, its clients, and checks of what its gateways did."""

from collections.abc import Iterable
from itertools import count
from typing import Any

from gullhold.net import health_check
from gullhold.rollout.policy_client import PolicyClient
from gullhold.rollout.policy_version import PolicyVersion
from gullhold.rollout.store_schema import CHANGE_KEY
from gullhold.testing import load_client
from gullhold.testing.counting_engine import CountingEngine
from gullhold.testing.fleet import FleetRig
from gullhold.testing.rollout_checker import RolloutChecker, by_policy, measure_mixture

CLIENT_SEEDS = count(1)  # each client draws its own ids


def rig(members: int = 3, **other: Any) -> FleetRig:
    """A fleet with one counting engine, on which policies are enabled."""
    return FleetRig(
        members=members,
        engines=1,
        **{"policy": "on: true", "make_engine": lambda seed: CountingEngine(slots=64, seed=seed)} | other,
    )


def granting(megabytes: int) -> str:
    """A policy that engines can recognize: it grants so many MB to each read."""
    return f"policy: grants: read: {megabytes}"


def load(fleet: FleetRig, *names: str, rate: float = 40.0) -> list[load_client.LoadClient]:
    """Start a client of each of these gateways, by default of all; rate: requests a second of each."""
    return [
        load_client.LoadClient(
            fleet.members[name].address,
            "",
            name,
            rate=rate,
            work_ms=10.0,
            limit_ms=900,
            retry_rule=load_client.RetryRule.NEVER,
            seed=next(CLIENT_SEEDS),
        ).start()
        for name in names or fleet.names
    ]


def end(clients: list[load_client.LoadClient]) -> int:
    """Stop the clients and wait for their outstanding requests; returns how many requests were answered."""
    for client in clients:
        client.stop()
    for client in clients:
        client.join()
    return sum(client.counts.answered for client in clients)


def on(fleet: FleetRig, number: int = 0, names: Iterable[str] | None = None) -> None:
    """Wait until a policy is in force at these gateways, by default at all."""
    expected = set(names or fleet.names)

    def is_in_force() -> bool:
        in_force = RolloutChecker(fleet.journal_lines()).adopted_versions()
        return {name for name, found in in_force.items() if found == number} >= expected

    fleet.wait_until(is_in_force)


def propose(client: PolicyClient, fleet: FleetRig, text: str, **options: Any) -> PolicyVersion:
    """Propose a policy as soon as no other change is open; returns its version."""
    fleet.wait_until(lambda: CHANGE_KEY not in client.read())
    return client.propose(text, "a", "b", **options)


def judged(
    fleet: FleetRig, grants: list[int], strict: bool = False, overlap_ms: int = 1200
) -> RolloutChecker:
    """Check a run: policies overlap no longer than stated, and no change was decided without all votes.

    grants: the MB that tell each policy apart. strict: no two policies may be in force at one time.
    """
    check = RolloutChecker(fleet.journal_lines())
    assert not check.decided_without_all, fleet.timeline()
    assert not check.decided_though_refused, fleet.timeline()
    wrong, overlap = measure_mixture(by_policy(fleet.engines, grants))
    assert not (strict and wrong), (wrong, overlap, fleet.timeline())
    assert overlap <= overlap_ms, (wrong, overlap, fleet.timeline())
    logs = [member.log.read_text("utf-8", "replace") for member in fleet.members.values()]
    assert not any(word in log for log in logs for word in ("Traceback", "_faults", "not answered in time"))
    return check


def is_serving(fleet: FleetRig, name: str) -> bool:
    """Whether a gateway answers its health check with good."""
    return health_check.is_serving(fleet.members[name].address, 1.0)
