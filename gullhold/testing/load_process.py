"""Processes that run several load clients each, so that one interpreter lock does not limit their load."""

import multiprocessing
from collections.abc import Sequence
from dataclasses import dataclass, fields
from multiprocessing.connection import Connection
from typing import Any

from gullhold.testing import WAIT_TIMEOUT_S
from gullhold.testing.load_client import LoadClient
from gullhold.testing.load_counts import LoadCounts


@dataclass(frozen=True)
class ClientGroup:
    """Load clients: number of processes, clients in each process, and the LoadClient options of each."""

    processes: int
    clients: int
    options: dict[str, Any]


class LoadProcesses:
    """A group of clients of one gateway, from start() to stop()."""

    def __init__(self, address: tuple[str, int], group: ClientGroup) -> None:
        """Start the processes; their clients start with start()."""
        context = multiprocessing.get_context("spawn")
        self._pipes: list[Connection] = []
        self._processes = []
        for number in range(group.processes):
            pipe, child_pipe = context.Pipe()
            process = context.Process(
                target=_run_clients, args=(child_pipe, address, group, number), daemon=True
            )
            process.start()
            self._pipes.append(pipe)
            self._processes.append(process)

    def start(self) -> None:
        """Start all clients."""
        self._give_order("start")

    def counts(self) -> LoadCounts:
        """Return the counts of all clients so far."""
        return add_counts(self._give_order("counts"))

    def stop(self) -> LoadCounts:
        """Stop the clients, wait for open commands, end the processes; return the final counts."""
        total = add_counts(self._give_order("stop"))
        for process in self._processes:
            process.join(WAIT_TIMEOUT_S)
        return total

    def _give_order(self, order: str) -> list[LoadCounts]:
        for pipe in self._pipes:
            pipe.send(order)
        return [pipe.recv() for pipe in self._pipes]


def add_counts(parts: Sequence[LoadCounts]) -> LoadCounts:
    """Return the counts of several clients as one: sums, and the maximum of slowest_s."""
    total = LoadCounts()
    for part in parts:
        for field in fields(LoadCounts):
            old, added = getattr(total, field.name), getattr(part, field.name)
            setattr(total, field.name, max(old, added) if field.name == "slowest_s" else old + added)
    return total


def _run_clients(pipe: Connection, address: tuple[str, int], group: ClientGroup, number: int) -> None:
    """Run in a process of the group: carry out orders up to and including "stop"."""
    clients = [
        LoadClient(
            address, "", f"client-{number}-{index}", seed=number * group.clients + index, **group.options
        )
        for index in range(group.clients)
    ]
    order = None
    while order != "stop":
        order = pipe.recv()
        if order == "start":
            for client in clients:
                client.start()
        elif order == "stop":
            for client in clients:
                client.stop()
            for client in clients:
                client.join()
        pipe.send(add_counts([client.copy_counts() for client in clients]))
