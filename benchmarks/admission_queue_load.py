"""Load on one gateway with test doubles for engines, and what came of it."""

import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.harness import quantile
from gullhold.testing import load_client
from gullhold.testing.running import ADMISSION_OPERATOR_FILE, RunningDeployment

TENANT = "one"  # of all clients, with the whole share
WARM_UP_S = 1.5  # before a measurement: the drain rate is known, the first connections are up

Client = load_client.LoadClient | load_client.LoadClientProcess


class Variant(NamedTuple):
    """A way to run the gateway. operator: text of its operator file, or empty; root: the program's folder."""

    name: str
    operator: str
    root: Path


class ClientCounts(NamedTuple):
    """What became of a client's requests."""

    answered: int
    rejected: int


class LoadResult(NamedTuple):
    """A measured period: the gateway's CPU time, and the counts of each client."""

    cpu_s: float
    counts: list[ClientCounts]


def run_gateway(variant: Variant | None = None) -> RunningDeployment:
    """A gateway with two engines of four slots; None: the present one with the admission queue."""
    if variant is None:
        return RunningDeployment(operator=ADMISSION_OPERATOR_FILE, tenants=((TENANT, 1.0),))
    return RunningDeployment(operator=variant.operator, tenants=((TENANT, 1.0),), root=variant.root)


def make_clients(running: RunningDeployment, name: str, count: int, **options: Any) -> list[Client]:
    """Clients NAME-0 and on; options: of each client."""
    return [
        load_client.LoadClient(running.address, TENANT, f"{name}-{number}", **options)
        for number in range(count)
    ]


def make_crowding_client(
    running: RunningDeployment, open_requests: int, connections: int, **options: Any
) -> load_client.LoadClientProcess:
    """A client with many open requests, in a process of its own; options: of the client."""
    options = {"retry_rule": load_client.RetryRule.NEVER} | options
    return load_client.LoadClientProcess(
        running.address, TENANT, "crowding", open=open_requests, connections=connections, **options
    )


def measure(
    running: RunningDeployment, clients: Sequence[Client], seconds: float, finish_open: bool = False
) -> LoadResult:
    """Run these clients and count for so long after WARM_UP_S.

    finish_open: requests that are open at the end are waited for; they count in what the clients show
    afterwards.
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
    """The 95th percentile over the answers of all clients; None without answers."""
    return quantile(latency for client in clients for latency in client.counts.latencies_s)
