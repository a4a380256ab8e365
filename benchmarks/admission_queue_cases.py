"""Cases of the admission queue on a real gateway: shares, latency under crowding, retries, rejections."""

from statistics import median
from typing import NamedTuple

from benchmarks.admission_queue_load import (
    ClientCounts,
    Variant,
    latency_p95_s,
    make_clients,
    make_crowding_client,
    measure,
    run_gateway,
)
from gullhold.testing import load_client

SHARE_CROWDS = ((160, 8), (1600, 50))  # open requests and connections of the crowding client
LATENCY_CROWD = (160, 8)  # open requests and connections of the crowding client in the latency case
EVEN_CLIENTS = 3  # clients that are due the same share as the crowding client
POLITE_CLIENTS = 4  # clients that send at a low, even rate
RETRYING_CLIENTS = 20
RETRYING_RATE_PER_S = 16.0  # requests of each client: 320 per second in total, and the engines serve 160
SERVED_CLIENTS = 10
REJECTED_CROWD = (640, 20)  # open requests and connections of the client whose requests are rejected
UNLIMITED_ATTEMPTS = 10**9


class ShareErrors(NamedTuple):
    """Relative deviations of clients from an even share.

    largest: of all clients in all runs; largest_median: the largest of the runs' medians.
    """

    largest: float
    largest_median: float


class RetryShares(NamedTuple):
    """The share of retries that were answered; None if nothing was retried.

    after_wait: for clients that wait as long as the answer says; immediately: for clients that don't wait.
    """

    after_wait: float | None
    immediately: float | None


def measure_share_errors(seconds: float, variant: Variant) -> ShareErrors:
    """Measure how unevenly clients of one tenant are served when one has many more requests open."""
    largest = 0.0
    medians = []
    for open_requests, connections in SHARE_CROWDS:
        with run_gateway(variant) as running:
            # Clients that don't retry go on with the next request, so that all of them stay backlogged.
            clients = make_clients(
                running, "polite", EVEN_CLIENTS, open=16, retry_rule=load_client.RetryRule.NEVER
            )
            clients.append(make_crowding_client(running, open_requests, connections))
            counts = measure(running, clients, seconds).counts
        errors = _share_errors(counts)
        largest = max(largest, *errors)
        medians.append(median(errors))
        print(
            f"shares {variant.name}, crowding client with {open_requests} open: answered "
            f"{[count.answered for count in counts]}, deviations "
            f"{', '.join(f'{error:.3f}' for error in errors)}",
            flush=True,
        )
    return ShareErrors(largest, max(medians))


def _share_errors(counts: list[ClientCounts]) -> list[float]:
    """The relative deviation of each client from an even share of the answers."""
    total = sum(count.answered for count in counts)
    return [abs(count.answered * len(counts) / max(total, 1) - 1) for count in counts]


def measure_latency_ratio(seconds: float, variant: Variant) -> float | None:
    """The p95 latency of polite clients beside a crowding client, divided by that without one.

    None if a run gave no answers.
    """
    alone_s = _polite_p95_s(seconds, variant, is_crowded=False)
    crowded_s = _polite_p95_s(seconds, variant, is_crowded=True)
    print(
        f"polite {variant.name}: p95 {(alone_s or 0) * 1000:.0f} ms alone, {(crowded_s or 0) * 1000:.0f} ms "
        f"beside a client whose open requests number {LATENCY_CROWD[0]}",
        flush=True,
    )
    return crowded_s / alone_s if alone_s and crowded_s else None


def _polite_p95_s(seconds: float, variant: Variant, is_crowded: bool) -> float | None:
    with run_gateway(variant) as running:
        polite = make_clients(running, "polite", POLITE_CLIENTS, rate=8.0)
        crowding = [make_crowding_client(running, *LATENCY_CROWD)] if is_crowded else []
        measure(running, polite + crowding, seconds)
    return latency_p95_s(polite)


def measure_retries(seconds: float) -> RetryShares:
    """Measure the outcome of retries at twice the load that the engines can serve."""
    return RetryShares(
        _answered_retries(seconds, load_client.RetryRule.AFTER_WAIT, "told"),
        _answered_retries(seconds, load_client.RetryRule.IMMEDIATELY, "at once"),
    )


def _answered_retries(seconds: float, retry_rule: load_client.RetryRule, name: str) -> float | None:
    """The share of retries that were answered, or None if there were none.

    retry_rule: when the clients retry; name: the label of the rule in the output.
    """
    with run_gateway() as running:
        clients = make_clients(
            running, "client", RETRYING_CLIENTS, rate=RETRYING_RATE_PER_S, retry_rule=retry_rule
        )
        measure(running, clients, seconds, finish_open=True)
    answered = sum(client.counts.waited_answered + client.counts.early_answered for client in clients)
    retries = answered + sum(client.counts.waited_shed + client.counts.early_shed for client in clients)
    print(
        f"retries {name}: {answered} of {retries} answered; answers in total "
        f"{sum(client.counts.answered for client in clients)}, "
        f"with Retry-After {sum(client.counts.retry_after_received for client in clients)}",
        flush=True,
    )
    return answered / retries if retries else None


def measure_rejection_cost(seconds: float) -> float:
    """The CPU time of one rejection, divided by that of one served command."""
    with run_gateway() as running:
        clients = make_clients(running, "client", SERVED_CLIENTS, rate=10.0)
        result = measure(running, clients, seconds)
    served_s = result.cpu_s / sum(count.answered for count in result.counts)
    with run_gateway() as running:
        crowding = make_crowding_client(
            running,
            *REJECTED_CROWD,
            retry_rule=load_client.RetryRule.IMMEDIATELY,
            max_attempts=UNLIMITED_ATTEMPTS,
        )
        result = measure(running, [crowding], seconds)
    (count,) = result.counts
    rejected_s = (result.cpu_s - count.answered * served_s) / max(count.rejected, 1)
    print(
        f"served {served_s * 1e6:.0f} us, rejected {rejected_s * 1e6:.0f} us of CPU "
        f"({count.rejected} rejected beside {count.answered} served)",
        flush=True,
    )
    return rejected_s / served_s
