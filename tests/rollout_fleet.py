"""A fleet of real processes with policies enabled, its clients, and checks of its gateways' behaviour."""

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
from gullhold.testing.rollout_checker import RolloutChecker, attempts_with_policy, measure_overlap

CLIENT_SEEDS = count(1)  # one for each client, so that their request ids differ


def make_fleet(members: int = 3, **other: Any) -> FleetRig:
    """Return a fleet with one counting engine and policies enabled. other: arguments of FleetRig."""
    return FleetRig(
        members=members,
        engines=1,
        **{"policy": "on: true", "make_engine": lambda seed: CountingEngine(slots=64, seed=seed)} | other,
    )


def policy_granting(megabytes: int) -> str:
    """Return the text of a policy that grants so many MB to each read, which the engine records."""
    return f"policy: grants: read: {megabytes}"


def start_clients(fleet: FleetRig, *names: str, rate: float = 40.0) -> list[load_client.LoadClient]:
    """Start a client for each of these gateways, by default for all; rate: requests per second of each."""
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


def stop_clients(clients: list[load_client.LoadClient]) -> int:
    """Stop the clients and wait for their pending requests; return how many requests were answered."""
    for client in clients:
        client.stop()
    for client in clients:
        client.join()
    return sum(client.counts.answered for client in clients)


def wait_until_in_force(fleet: FleetRig, number: int = 0, names: Iterable[str] | None = None) -> None:
    """Wait until these gateways, by default all, have adopted the version of this number."""
    expected = set(names or fleet.names)

    def is_in_force() -> bool:
        in_force = RolloutChecker(fleet.journal_lines()).adopted_versions()
        return {name for name, found in in_force.items() if found == number} >= expected

    fleet.wait_until(is_in_force)


def propose_when_possible(client: PolicyClient, fleet: FleetRig, text: str, **options: Any) -> PolicyVersion:
    """Propose a policy as soon as no other change is open; return its version."""
    fleet.wait_until(lambda: CHANGE_KEY not in client.read())
    return client.propose(text, "a", "b", **options)


def check_run(
    fleet: FleetRig, grants: list[int], strict: bool = False, overlap_ms: int = 1200
) -> RolloutChecker:
    """Check a run: versions overlapped no longer than overlap_ms, and every decision had all votes.

    grants: MB that each decided policy grants, in the order in which they came into force. strict: no attempt
    may start under an old version after one has started under a newer one.
    """
    checker = RolloutChecker(fleet.journal_lines())
    assert not checker.decided_without_all, (
        f"{checker.decided_without_all} decisions without all votes\n{fleet.timeline()}"
    )
    assert not checker.decided_though_refused, (
        f"{checker.decided_though_refused} decisions on a refused version\n{fleet.timeline()}"
    )
    mixed_count, measured_ms = measure_overlap(attempts_with_policy(fleet.engines, grants))
    assert not (strict and mixed_count), (
        f"{mixed_count} attempts under an old version after one under a newer one; the versions overlapped "
        f"for {measured_ms} ms\n{fleet.timeline()}"
    )
    assert measured_ms <= overlap_ms, (
        f"versions overlapped for {measured_ms} ms, longer than {overlap_ms} ms, with {mixed_count} attempts "
        f"under an old version after one under a newer one\n{fleet.timeline()}"
    )
    # "_faults" is the end of the names of the counters internal_faults and decision_faults.
    logs = [member.log.read_text("utf-8", "replace") for member in fleet.members.values()]
    assert not any(word in log for log in logs for word in ("Traceback", "_faults", "not answered in time"))
    return checker


def is_serving(fleet: FleetRig, name: str) -> bool:
    """Whether a gateway's health check reports that it serves."""
    return health_check.is_serving(fleet.members[name].address, 1.0)
