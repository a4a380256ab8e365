"""Scheduled commands and the check of a run, for tests of fleets of real processes."""

import time
from typing import Any

from gullhold.testing.fleet import Rig
from gullhold.testing.fleet_checker import Check


def scheduled_command(
    name: str, profile: str, work_ms: int = 20, every: str = "300ms", **other: str
) -> dict[str, Any]:
    """The operator file's record of a scheduled command, whose statement names it."""
    return {
        "name": f'"{name}"',
        "every": every,
        "profile": f'"{profile}"',
        "window": "5s",
        "statement": f'"select 1 from {name}_1.t /* work={work_ms} */"',
    } | other


def due_once_in(seconds: int = 4) -> dict[str, str]:
    """Fields of such a record that make it due once, so many seconds from now."""
    return {
        "every": "0s",
        "window": "20min",
        "at": time.strftime('"%S %M %H * * *"', time.gmtime(time.time() + seconds)),
    }


def check_run(rig: Rig, min_effects: int = 1) -> Check:
    """Check all records of a run: no rule is broken, and there were at least so many effects."""
    check = Check(rig.lines())
    assert not check.broken, "\n".join(check.broken[:5]) + "\n" + rig.story()
    assert check.effects >= min_effects, rig.story()
    return check
