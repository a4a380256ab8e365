"""`gullhold try`: stand-in engines, a gateway and three tenants' clients, without and with a door."""

import time

from rich.console import Console
from rich.live import Live
from rich.table import Table

from gullhold.testing import crowd
from gullhold.testing.running import DOOR, Running

TENANTS = (("north", 1 / 3), ("south", 1 / 3), ("nightly", 1 / 3))  # nightly crowds
TARGET_S = 0.5  # s: the latency target that the table counts by
WORK_MS = 50.0  # of every command; eight slots do 160 of them a second
CROWD = (80, 10)  # commands that the crowding client keeps open, and its connections
REFRESH_S = 0.25


def clients(address, seed):
    """Four desks with a few commands open, a small job beside the crowding one, and that one."""
    made = [
        crowd.Client(address, tenant, name, open=2, work_ms=WORK_MS, seed=seed)
        for tenant, names in (("north", ("desk-1", "desk-2")), ("south", ("desk-3", "desk-4")))
        for name in names
    ]
    made.append(crowd.Client(address, "nightly", "small-job", open=4, work_ms=WORK_MS, seed=seed))
    made.append(
        crowd.Client(
            address, "nightly", "big-job", open=CROWD[0], connections=CROWD[1], work_ms=WORK_MS, seed=seed
        )
    )
    return made


def in_target(client):
    """Answers within the latency target."""
    return sum(latency <= TARGET_S for latency in client.latencies)


def table(title, made):
    """A row a client."""
    shown = Table(title=title)
    for name in (
        "tenant",
        "client",
        "asked",
        "answered in target",
        "p95 ms",
        "shed",
        "came back",
        "and answered",
    ):
        shown.add_column(name, justify="left" if name in ("tenant", "client") else "right")
    for client in made:
        ordered = sorted(client.latencies)
        p95 = f"{ordered[int(0.95 * (len(ordered) - 1))] * 1000:.0f}" if ordered else "-"
        shown.add_row(
            client.tenant,
            client.name,
            str(client.asked),
            str(in_target(client)),
            p95,
            str(client.shed),
            str(client.came_back),
            str(client.back_answered),
        )
    return shown


def play(title, operator, seconds, seed, console):
    """One run; its clients, with their counts."""
    with Running(tenants=TENANTS, operator=operator, target_s=TARGET_S, seed=seed) as running:
        made = [client.start() for client in clients(running.address, seed)]
        end = time.monotonic() + seconds
        with Live(console=console, refresh_per_second=1 / REFRESH_S, transient=True) as live:
            while (left := end - time.monotonic()) > 0:
                live.update(
                    "   ".join(
                        [f"{title}, {left:4.1f} s left:"]
                        + [f"{client.name} {client.answered}/{client.asked}" for client in made]
                    )
                )
                time.sleep(min(REFRESH_S, left))
        for client in made:
            client.stop()
        for client in made:
            client.join()
    console.print(table(title, made))
    return made


def run(seconds, doors, seed):
    """Play; exit status 1 where a client got no answer at all."""
    console, good = Console(), True
    for door in doors:
        title = "with the door" if door else "without a door"
        good &= all(client.answered for client in play(title, DOOR if door else "", seconds, seed, console))
    return 0 if good else 1
