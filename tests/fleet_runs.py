"""What tests of fleets of real processes share."""

import time

from gullhold.testing.fleet_checker import Check


def scheduled(name, profile, work_ms=20, every="300ms", **other):
    """An operator's words for a scheduled command, whose statement names it."""
    return {
        "name": f'"{name}"',
        "every": every,
        "profile": f'"{profile}"',
        "window": "5s",
        "statement": f'"select 1 from {name}_1.t /* work={work_ms} */"',
    } | other


def soon(seconds=4):
    """Words for a calendar that is due once, so many seconds from now."""
    return {
        "every": "0s",
        "window": "20min",
        "at": time.strftime('"%S %M %H * * *"', time.gmtime(time.time() + seconds)),
    }


def check_run(rig, least=1):
    """The check of all that was written: nothing broken, and at least so many effects."""
    check = Check(rig.lines())
    assert not check.broken, "\n".join(check.broken[:5]) + "\n" + rig.story()
    assert check.effects >= least, rig.story()
    return check
