"""Helpers for tests with fleets of real processes: scheduled commands, and the check of a run."""

import time
from typing import Any

from gullhold.testing.fleet import FleetRig
from gullhold.testing.fleet_checker import FleetChecker


def scheduled_command(
    name: str, profile: str, work_ms: int = 20, every: str = "300ms", **other: str
) -> dict[str, Any]:
    """The fields of a scheduled command in the operator file; its statement names the command."""
    return {
        "name": f'"{name}"',
        "every": every,
        "profile": f'"{profile}"',
        "window": "5s",
        "statement": f'"select 1 from {name}_1.t /* work={work_ms} */"',
    } | other


def due_once_in(seconds: int = 4) -> dict[str, str]:
    """Fields that make a scheduled command due once a day, at a time that many seconds from now."""
    return {
        "every": "0s",
        "window": "20min",
        "at": time.strftime('"%S %M %H * * *"', time.gmtime(time.time() + seconds)),
    }


def check_run(rig: FleetRig, min_effects: int = 1) -> FleetChecker:
    """Check the store's journal of a run: no rule is broken, and at least min_effects writes took effect."""
    checker = FleetChecker(rig.journal_lines())
    assert not checker.violations, "\n".join(checker.violations[:5]) + "\n" + rig.timeline()
    assert checker.effects >= min_effects, (
        f"{checker.effects} writes took effect, at least {min_effects} expected\n{rig.timeline()}"
    )
    return checker
