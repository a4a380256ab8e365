"""Fleets of real processes that go by one policy; engines tell policies by the memory that they grant."""

from collections.abc import Iterable
from typing import Any

from benchmarks.fleet_load import make_counting_engine, start_client
from gullhold.testing import load_client
from gullhold.testing.fleet import FleetRig
from gullhold.testing.rollout_checker import RolloutChecker

FLEET_NAME = "rig"  # as the operator's file of a FleetRig has it
FIRST_GRANT_MB = 1  # of the first policy; each further one grants another amount
MAX_GRANT_MB = 49  # commands ask for more, so that the grant is what they get
RATE_PER_S = 25.0  # of a client's requests


def policy_text(grant_mb: int) -> str:
    """A policy that engines can tell by what it grants."""
    return f"policy: grants: read: {grant_mb}"


def make_fleet(members: int, **options: Any) -> FleetRig:
    """A fleet of so many gateways on one engine that counts; options: of FleetRig."""
    return FleetRig(
        members=members,
        engines=1,
        policy="on: true",
        make_engine=make_counting_engine,
        **options,
    )


def start_load(rig: FleetRig, names: Iterable[str], rate: float = RATE_PER_S) -> list[load_client.LoadClient]:
    """Start a client of each of these gateways; rate: requests a second of each."""
    return [
        start_client(rig, name, f"{name}{number}", number + 1, rate=rate, work_ms=10.0, limit_ms=900)
        for number, name in enumerate(names)
    ]


def wait_for_version(rig: FleetRig, number: int, names: Iterable[str]) -> None:
    """Wait until these members go by a version of the policy."""

    def all_go_by_it() -> bool:
        versions = RolloutChecker(rig.journal_lines()).adopted_versions()
        return all(versions.get(name) == number for name in names)

    rig.wait_until(all_go_by_it)
