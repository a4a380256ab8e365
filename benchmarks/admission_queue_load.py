"""Puts load on one gateway whose engines are test doubles, and counts the outcomes."""

import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.harness import quantile
from gullhold.testing import load_client
from gullhold.testing.running import ADMISSION_OPERATOR_FILE, RunningDeployment

TENANT = "one"  # the only tenant: all clients belong to it
WARM_UP_S = 1.5  # time in which the gateway learns its drain rate and opens the first connections

Client = load_client.LoadClient | load_client.LoadClientProcess


class Variant(NamedTuple):
    """A way to run the gateway.

    operator: the text of its operator file, or empty for none; root: the project folder to run it from.
    """

    name: str
    operator: str
    root: Path


class ClientCounts(NamedTuple):
    """How many of a client's requests were answered and how many were rejected."""

    answered: int
    rejected: int


class LoadResult(NamedTuple):
    """The gateway's CPU time over a measured period, and the counts of each client."""

    cpu_s: float
    counts: list[ClientCounts]


def run_gateway(variant: Variant | None = None) -> RunningDeployment:
    """A gateway with two engines of four slots each.

    variant: how to run it; None stands for the current version with the admission queue.
    """
    if variant is None:
        return RunningDeployment(operator=ADMISSION_OPERATOR_FILE, tenants=((TENANT, 1.0),))
    return RunningDeployment(operator=variant.operator, tenants=((TENANT, 1.0),), root=variant.root)


def make_clients(running: RunningDeployment, name: str, count: int, **options: Any) -> list[Client]:
    """Make clients named NAME-0, NAME-1 and so on; options: passed to each LoadClient."""
    return [
        load_client.LoadClient(running.address, TENANT, f"{name}-{number}", **options)
        for number in range(count)
    ]


def make_crowding_client(
    running: RunningDeployment, open_requests: int, connections: int, **options: Any
) -> load_client.LoadClientProcess:
    """Make a client with many open requests, in a process of its own; options: passed to the client."""
    options = {"retry_rule": load_client.RetryRule.NEVER} | options
    return load_client.LoadClientProcess(
        running.address, TENANT, "crowding", open=open_requests, connections=connections, **options
    )


def measure(
    running: RunningDeployment, clients: Sequence[Client], seconds: float, finish_open: bool = False
) -> LoadResult:
    """Run the clients, and count for the given time once WARM_UP_S is over.

    finish_open: wait for the requests that are open at the end. They appear in the clients' own counts, not
    in the result.
    """
    for client in clients:
        client.start()
    time.sleep(WARM_UP_S)
    for client in clients:
        client.reset_counts()
    cpu_before_s = running.cpu_s()
    time.sleep(seconds)
    used_s = running.cpu_s() - cpu_before_s
    for client in clients:
        if finish_open:
            client.stop()
        else:
            client.disconnect()
    counts = [ClientCounts(client.counts.answered, client.counts.shed) for client in clients]
    for client in clients:
        client.join()
    return LoadResult(used_s, counts)


def latency_p95_s(clients: Sequence[Client]) -> float | None:
    """The 95th percentile of the latencies of all clients' answers, or None without answers."""
    return quantile(latency for client in clients for latency in client.counts.latencies_s)
