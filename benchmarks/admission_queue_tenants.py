"""Memory and CPU time of the request path as the number of unlisted tenants grows."""

import random
import socket
from collections.abc import Iterator
from statistics import median
from typing import NamedTuple

from gullhold.net import thrift
from gullhold.testing import WAIT_TIMEOUT_S, load_client
from gullhold.testing.running import ADMISSION_OPERATOR_FILE, RunningDeployment
from gullhold.testing.working_engine import statement

# In the operator file: unlisted tenants use the share of the tenant `others`.
OPEN_TENANTS = 'door: {tenants: "open", others: "others"}\n'
CONNECTIONS = 4
OPEN_PER_CONNECTION = 8
TWO_TENANTS_RUNS = 4  # the median counts
TWO_TENANTS_COMMANDS = 1000
TWO_TENANTS_OPEN = 32
BASE_TENANTS = 100  # number of tenants that send a command before the first measurement of memory
SOME_TENANTS = 4000
# The number of the first tenant of each step of measure_tenant_growth(): BASE_TENANTS tenants, SOME_TENANTS
# tenants, and two steps of as many tenants as it is asked for. They are so far apart that no tenant is in
# two steps.
FIRST_OF_BASE = 100
FIRST_OF_SOME = 10**9
FIRST_OF_MANY = 10**8
FIRST_OF_MANY_AGAIN = 2 * 10**8


class TenantGrowth(NamedTuple):
    """What many tenants cost.

    growth_mb: memory that the first of them add; further_growth_mb: memory that as many others add then;
    cpu_ratio: CPU time per command of many tenants, divided by that of two tenants.
    """

    growth_mb: float
    further_growth_mb: float
    cpu_ratio: float


class RequestStream:
    """A connection that keeps a bounded number of small requests open."""

    def __init__(self, address: tuple[str, int], max_open: int) -> None:
        self.sock = socket.create_connection(address, timeout=WAIT_TIMEOUT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.decoder = thrift.Decoder(load_client.MAX_FRAME_BYTES)
        self.max_open = max_open
        self.open = 0
        self.sequence = 0

    def send(self, names: Iterator[bytes], draw: random.Random) -> None:
        """Send requests of the next tenants until max_open are open; draw: generates the transaction ids."""
        burst = []
        while self.open < self.max_open:
            name = next(names, None)
            if name is None:
                break
            self.open += 1
            self.sequence += 1
            burst.append(small_read(self.sequence, draw, name))
        if burst:
            self.sock.sendall(b"".join(burst))

    def receive(self) -> int:
        """Wait for answers if requests are open, and return their number.

        Raises ConnectionError if the gateway closes the connection.
        """
        if not self.open:
            return 0
        if not self.decoder.buffer.receive(self.sock):
            raise ConnectionError("the gateway closed a connection with open requests")
        answered = sum(1 for _ in self.decoder.frames())
        self.open -= answered
        return answered

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def small_read(sequence: int, draw: random.Random, name: bytes) -> bytes:
    """A request frame for 1 ms of work; name: of both the tenant and the client."""
    fields = {
        b"verb": b"read",
        b"txn": b"%016x" % draw.getrandbits(64),
        b"limit": b"4000",
        b"cpu": b"1",
        b"memory": b"50",
        b"team": name,
        b"client": name,
    }
    return load_client.encode_execute_call(sequence, fields, statement(1))


def cpu_us_of_distinct_tenants(running: RunningDeployment, first: int, count: int) -> float:
    """The CPU time per command when each tenant sends one command, as fast as answers arrive.

    first: the number of the first tenant; count: how many tenants there are.
    """
    names = (b"t%d" % number for number in range(first, first + count))
    return _cpu_us(running, names, count, CONNECTIONS, OPEN_PER_CONNECTION, seed=first)


def cpu_us_of_two_tenants(running: RunningDeployment) -> float:
    """The CPU time per command when two tenants send all commands."""
    names = (b"u%d" % (number % 2) for number in range(1, TWO_TENANTS_COMMANDS + 1))
    return _cpu_us(running, names, TWO_TENANTS_COMMANDS, connections=1, max_open=TWO_TENANTS_OPEN, seed=5)


def _cpu_us(
    running: RunningDeployment, names: Iterator[bytes], count: int, connections: int, max_open: int, seed: int
) -> float:
    """The gateway's CPU time per command; names: the tenant of each of the `count` commands."""
    draw = random.Random(seed)
    cpu_before_s = running.cpu_s()
    streams = [RequestStream(running.address, max_open) for _ in range(connections)]
    answered = 0
    while answered < count:
        for stream in streams:
            stream.send(names, draw)
            answered += stream.receive()
    for stream in streams:
        stream.close()
    return (running.cpu_s() - cpu_before_s) / count * 1e6


def measure_tenant_growth(tenants: int) -> TenantGrowth:
    """Measure what new tenants cost: first the given number of them, then as many others.

    Each of them sends one command.
    """
    known = (("known", 0.5), ("others", 0.5))
    with RunningDeployment(
        operator=ADMISSION_OPERATOR_FILE + OPEN_TENANTS, tenants=known, slots=64, cores=32
    ) as running:
        cpu_us_of_distinct_tenants(running, 0, 2)  # the first commands bring up the connections
        few_us = median(cpu_us_of_two_tenants(running) for _ in range(TWO_TENANTS_RUNS))
        cpu_us_of_distinct_tenants(running, FIRST_OF_BASE, BASE_TENANTS)
        base_mb = running.resident_mb()
        some_us = cpu_us_of_distinct_tenants(running, FIRST_OF_SOME, SOME_TENANTS)
        many_us = cpu_us_of_distinct_tenants(running, FIRST_OF_MANY, tenants)
        grown_mb = running.resident_mb()
        cpu_us_of_distinct_tenants(running, FIRST_OF_MANY_AGAIN, tenants)
        again_mb = running.resident_mb()
    print(
        f"tenants: resident {base_mb:.1f} MB at {BASE_TENANTS}, {grown_mb:.1f} after {tenants} more, "
        f"{again_mb:.1f} after as many again; CPU {few_us:.0f} us a command at 2, {some_us:.0f} at "
        f"{SOME_TENANTS}, {many_us:.0f} at {tenants}",
        flush=True,
    )
    return TenantGrowth(grown_mb - base_mb, again_mb - grown_mb, max(some_us, many_us) / few_us)
