"""The command `demo`: runs test engines, a gateway and clients of three tenants on loopback.

It runs them without and with an admission queue, and prints a table of each client's results.
"""

import time
from collections.abc import Iterable

from rich.console import Console
from rich.live import Live
from rich.table import Table

from gullhold.testing.load_client import LoadClient
from gullhold.testing.running import ADMISSION_OPERATOR_FILE, RunningDeployment

CROWDED_TENANT = "nightly"
TENANTS = (("north", 1 / 3), ("south", 1 / 3), (CROWDED_TENANT, 1 / 3))
DESKS = (("north", "desk-1"), ("north", "desk-2"), ("south", "desk-3"), ("south", "desk-4"))
TARGET_S = 0.5  # latency objective; the table counts the answers within it
WORK_MS = 50.0  # work of each command; eight slots serve 160 commands a second
DESK_OPEN_COMMANDS = 2
SMALL_JOB_OPEN_COMMANDS = 4
BIG_JOB_OPEN_COMMANDS = 80
BIG_JOB_CONNECTIONS = 10
REFRESH_INTERVAL_S = 0.25
COLUMNS = ("tenant", "client", "asked", "answered in target", "p95 ms", "shed", "came back", "and answered")
TEXT_COLUMNS = ("tenant", "client")


def make_clients(address: tuple[str, int], seed: int) -> list[LoadClient]:
    """Create the clients: four desks with few open commands, and a small and a big job in one tenant."""
    desks = [
        LoadClient(address, tenant, name, open=DESK_OPEN_COMMANDS, work_ms=WORK_MS, seed=seed)
        for tenant, name in DESKS
    ]
    small_job = LoadClient(
        address, CROWDED_TENANT, "small-job", open=SMALL_JOB_OPEN_COMMANDS, work_ms=WORK_MS, seed=seed
    )
    big_job = LoadClient(
        address,
        CROWDED_TENANT,
        "big-job",
        open=BIG_JOB_OPEN_COMMANDS,
        connections=BIG_JOB_CONNECTIONS,
        work_ms=WORK_MS,
        seed=seed,
    )
    return [*desks, small_job, big_job]


def count_in_target(client: LoadClient) -> int:
    """Count the answers within the latency objective."""
    return sum(latency <= TARGET_S for latency in client.counts.latencies_s)


def format_p95_ms(client: LoadClient) -> str:
    """Return the 95th percentile of the latencies in ms, or "-" without latencies."""
    latencies = sorted(client.counts.latencies_s)
    if not latencies:
        return "-"
    index = int(0.95 * (len(latencies) - 1))
    return f"{latencies[index] * 1000:.0f}"


def result_table(title: str, clients: Iterable[LoadClient]) -> Table:
    """Return a table with a row for each client."""
    table = Table(title=title)
    for name in COLUMNS:
        table.add_column(name, justify="left" if name in TEXT_COLUMNS else "right")
    for client in clients:
        table.add_row(
            client.tenant,
            client.name,
            str(client.counts.sent),
            str(count_in_target(client)),
            format_p95_ms(client),
            str(client.counts.shed),
            str(client.counts.waited_retries),
            str(client.counts.waited_answered),
        )
    return table


def run_once(title: str, operator: str, duration_s: float, seed: int, console: Console) -> list[LoadClient]:
    """Run gateway and clients under the text of an operator file; return the clients with their counts."""
    with RunningDeployment(tenants=TENANTS, operator=operator, target_s=TARGET_S, seed=seed) as running:
        clients = [client.start() for client in make_clients(running.address, seed)]
        show_progress(title, clients, duration_s, console)
        for client in clients:
            client.stop()
        for client in clients:
            client.join()
    console.print(result_table(title, clients))
    return clients


def show_progress(title: str, clients: list[LoadClient], duration_s: float, console: Console) -> None:
    """Show the clients' counts on the console until duration_s has passed."""
    end_s = time.monotonic() + duration_s
    with Live(console=console, refresh_per_second=1 / REFRESH_INTERVAL_S, transient=True) as live:
        while (left_s := end_s - time.monotonic()) > 0:
            counts = [f"{client.name} {client.counts.answered}/{client.counts.sent}" for client in clients]
            live.update("   ".join([f"{title}, {left_s:4.1f} s left:", *counts]))
            time.sleep(min(REFRESH_INTERVAL_S, left_s))


def run(duration_s: float, admission_choices: Iterable[bool], seed: int) -> int:
    """Run once for each choice, with an admission queue or without; return the exit status.

    The status is 1 if a client got no answer at all, else 0.
    """
    console = Console()
    status = 0
    for has_admission in admission_choices:
        title = "with the admission queue" if has_admission else "without the admission queue"
        operator = ADMISSION_OPERATOR_FILE if has_admission else ""
        clients = run_once(title, operator, duration_s, seed, console)
        if not all(client.counts.answered for client in clients):
            status = 1
    return status
