"""A fleet of real processes with policies on, its clients, and checks of what its gateways did."""

from itertools import count

from gullhold.rollout.store_schema import CHANGE_KEY
from gullhold.testing import crowd
from gullhold.testing.counting import CountingEngine
from gullhold.testing.fleet import Rig
from gullhold.testing.policycheck import Changes, by_policy, mixed

SERIAL = count(1)


def rig(members=3, **other):
    """A fleet with counting engines and policies on."""
    return Rig(
        members=members,
        engines=1,
        **{"policy": "on: true", "make": lambda seed: CountingEngine(slots=64, seed=seed)} | other,
    )


def granting(mb):
    """A policy that engines can tell: so many MB for each read."""
    return f"policy: grants: read: {mb}"


def load(fleet, *names, rate=40.0):
    """A client of each gateway."""
    return [
        crowd.Client(
            fleet.members[name].address,
            "",
            name,
            rate=rate,
            work_ms=10.0,
            limit_ms=900,
            manner=crowd.NOT_AT_ALL,
            seed=next(SERIAL),
        ).start()
        for name in names or fleet.names
    ]


def end(clients):
    """They ask no more, and hear what they are owed: each ask exactly one answer."""
    for one in clients:
        one.stop()
    for one in clients:
        one.join()
    return sum(one.answered for one in clients)


def on(fleet, number=0, names=None):
    """Wait until all of these go by this policy."""
    names = set(names or fleet.names)
    fleet.until(
        lambda: {name for name, under in Changes(fleet.lines()).under().items() if under == number} >= names
    )


def propose(client, fleet, text, **options):
    """Propose when the last change is closed; its record."""
    fleet.until(lambda: CHANGE_KEY not in client.read())
    return client.propose(text, "a", "b", **options)


def judged(fleet, grants, strict=False, overlap_ms=1200):
    """Nothing is mixed beyond what is stated, and nothing was decided that should not be."""
    check = Changes(fleet.lines())
    assert not check.without_all, fleet.story()
    assert not check.turned_down, fleet.story()
    wrong, overlap = mixed(by_policy(fleet.engines, grants))
    assert not (strict and wrong), (wrong, overlap, fleet.story())
    assert overlap <= overlap_ms, (wrong, overlap, fleet.story())
    logs = [member.log.read_text("utf-8", "replace") for member in fleet.members.values()]
    assert not any(word in log for log in logs for word in ("Traceback", "_faults", "not answered in time"))
    return check


def service_good(fleet, name):
    """Whether a gateway says that it serves."""
    from gullhold.net import health_check  # noqa: PLC0415

    return health_check.is_serving(fleet.members[name].address, 1.0)
