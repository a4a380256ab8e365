"""Fleets of real processes with a policy. The memory that an attempt is granted identifies its policy."""

from collections.abc import Iterable
from typing import Any

from benchmarks.fleet_load import make_counting_engine, start_client
from gullhold.testing import load_client
from gullhold.testing.fleet import FleetRig
from gullhold.testing.rollout_checker import RolloutChecker

FLEET_NAME = "rig"  # the name in the operator file of a FleetRig
FIRST_GRANT_MB = 1  # grant of the first policy; each further policy grants another amount
MAX_GRANT_MB = 49  # commands need more than this, so that the grant is the memory that they get
RATE_PER_S = 25.0  # requests of each client


def policy_text(grant_mb: int) -> str:
    """A policy recognisable by the memory that it grants."""
    return f"policy: grants: read: {grant_mb}"


def make_fleet(members: int, **options: Any) -> FleetRig:
    """A fleet of gateways with one engine that records attempts; options: other options of FleetRig."""
    return FleetRig(
        members=members,
        engines=1,
        policy="on: true",
        make_engine=make_counting_engine,
        **options,
    )


def start_load(rig: FleetRig, names: Iterable[str], rate: float = RATE_PER_S) -> list[load_client.LoadClient]:
    """Start one client for each of the gateways; rate: requests per second of each client."""
    return [
        start_client(rig, name, f"{name}{number}", number + 1, rate=rate, work_ms=10.0, limit_ms=900)
        for number, name in enumerate(names)
    ]


def wait_for_version(rig: FleetRig, number: int, names: Iterable[str]) -> None:
    """Wait until the members have adopted a version of the policy."""

    def all_have_adopted_it() -> bool:
        versions = RolloutChecker(rig.journal_lines()).adopted_versions()
        return all(versions.get(name) == number for name in names)

    rig.wait_until(all_have_adopted_it)
