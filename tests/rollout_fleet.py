"""A fleet of real processes with policies on, its clients, and checks of what its gateways did."""

from itertools import count

from gullhold.rollout.store_schema import CHANGE_KEY
from gullhold.testing import load_client
from gullhold.testing.counting_engine import CountingEngine
from gullhold.testing.fleet import Rig
from gullhold.testing.rollout_checker import RolloutChecker, by_policy, measure_mixture

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
        load_client.LoadClient(
            fleet.members[name].address,
            "",
            name,
            rate=rate,
            work_ms=10.0,
            limit_ms=900,
            retry_rule=load_client.RetryRule.NEVER,
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
    return sum(one.counts.answered for one in clients)


def on(fleet, number=0, names=None):
    """Wait until all of these go by this policy."""
    names = set(names or fleet.names)

    def all_apply_it() -> bool:
        adopted = RolloutChecker(fleet.lines()).adopted_versions()
        return {name for name, version in adopted.items() if version == number} >= names

    fleet.until(all_apply_it)


def propose(client, fleet, text, **options):
    """Propose when the last change is closed; its record."""
    fleet.until(lambda: CHANGE_KEY not in client.read())
    return client.propose(text, "a", "b", **options)


def judged(fleet, grants, strict=False, overlap_ms=1200):
    """Nothing is mixed beyond what is stated, and nothing was decided that should not be."""
    check = RolloutChecker(fleet.lines())
    assert not check.decided_without_all, fleet.story()
    assert not check.decided_though_refused, fleet.story()
    wrong, overlap = measure_mixture(by_policy(fleet.engines, grants))
    assert not (strict and wrong), (wrong, overlap, fleet.story())
    assert overlap <= overlap_ms, (wrong, overlap, fleet.story())
    logs = [member.log.read_text("utf-8", "replace") for member in fleet.members.values()]
    assert not any(word in log for log in logs for word in ("Traceback", "_faults", "not answered in time"))
    return check


def service_good(fleet, name):
    """Whether a gateway says that it serves."""
    from gullhold.net import health_check  # noqa: PLC0415

    return health_check.is_serving(fleet.members[name].address, 1.0)
