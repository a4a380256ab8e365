"""Engines and clients that put load on a fleet's gateways, and counts over all of its gateways."""

import time
from collections.abc import Iterable, Sequence
from typing import Any

from gullhold.testing import gateway_log, load_client
from gullhold.testing.counting_engine import CountingEngine
from gullhold.testing.fleet import FleetRig

ENGINE_SLOTS = 400  # enough for an engine never to queue an attempt


def make_counting_engine(seed: int) -> CountingEngine:
    """An engine that records its attempts and starts each of them at once."""
    return CountingEngine(slots=ENGINE_SLOTS, seed=seed)


def start_client(rig: FleetRig, member: str, name: str, seed: int, **options: Any) -> load_client.LoadClient:
    """Start a client of one gateway; options: of the client, which by default does not retry."""
    options = {"retry_rule": load_client.RetryRule.NEVER} | options
    return load_client.LoadClient(rig.members[member].address, "", name, seed=seed, **options).start()


def stop_clients(clients: Iterable[load_client.LoadClient]) -> None:
    """Stop the clients and wait for the answers to their open requests."""
    clients = list(clients)
    for client in clients:
        client.stop()
    for client in clients:
        client.join()


def answered_share(clients: Sequence[load_client.LoadClient]) -> float:
    """The share of requests that were answered since the counts were last reset."""
    answered = sum(client.counts.answered for client in clients)
    return answered / max(1, sum(client.counts.sent for client in clients))


def measure_answered_share(clients: Sequence[load_client.LoadClient], seconds: float) -> float:
    """Reset the counts, wait for the given time, and return the share of requests answered in it."""
    for client in clients:
        client.reset_counts()
    time.sleep(seconds)
    return answered_share(clients)


def count_store_calls(rig: FleetRig) -> int:
    """The number of calls that the fleet's store has received, of all kinds."""
    return sum(rig.store_call_counts().values())


def count_fault_lines(rig: FleetRig) -> int:
    """The number of lines in the gateways' logs that report an internal fault."""
    return sum(len(gateway_log.fault_lines(member.log_text())) for member in rig.members.values())
