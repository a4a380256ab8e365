"""Engines and clients that load a fleet's gateways, and what can be read of the whole fleet afterwards."""

import time
from collections.abc import Iterable, Sequence
from typing import Any

from gullhold.testing import gateway_log, load_client
from gullhold.testing.counting_engine import CountingEngine
from gullhold.testing.fleet import FleetRig

ENGINE_SLOTS = 400  # so many that an engine never queues


def make_counting_engine(seed: int) -> CountingEngine:
    """An engine that counts, and runs all that it is sent at once."""
    return CountingEngine(slots=ENGINE_SLOTS, seed=seed)


def start_client(rig: FleetRig, member: str, name: str, seed: int, **options: Any) -> load_client.LoadClient:
    """Start a client of one gateway that does not retry; options: of the client."""
    options = {"retry_rule": load_client.RetryRule.NEVER} | options
    return load_client.LoadClient(rig.members[member].address, "", name, seed=seed, **options).start()


def stop_clients(clients: Iterable[load_client.LoadClient]) -> None:
    """Stop the clients, and wait for their outstanding requests."""
    clients = list(clients)
    for client in clients:
        client.stop()
    for client in clients:
        client.join()


def answered_share(clients: Sequence[load_client.LoadClient]) -> float:
    """The share of the requests that were answered, of those since the counts were last set to zero."""
    answered = sum(client.counts.answered for client in clients)
    return answered / max(1, sum(client.counts.sent for client in clients))


def measure_answered_share(clients: Sequence[load_client.LoadClient], seconds: float) -> float:
    """The share of the requests that are answered from now on, over so long."""
    for client in clients:
        client.reset_counts()
    time.sleep(seconds)
    return answered_share(clients)


def count_store_calls(rig: FleetRig) -> int:
    """Calls that the fleet's store has had, of all kinds."""
    return sum(rig.store_call_counts().values())


def count_fault_lines(rig: FleetRig) -> int:
    """Lines in the gateways' logs that say that the program itself went wrong."""
    return sum(len(gateway_log.fault_lines(member.log_text())) for member in rig.members.values())
