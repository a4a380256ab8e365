"""Graceful shutdown under a flood of requests: `python -m benchmarks.shutdown [--quick]`.

SIGTERM comes while about 10,000 requests wait in the admission queue of a gateway, and clients on 320
connections go on sending until its end: on all processors, on one, and beside busy processes. Prints all
figures as JSON in the last line; exits with status 1 if a bound is missed.
"""

import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from benchmarks.harness import Figures, at_most, make_parser, report_and_exit
from gullhold.testing.load_client import RetryRule
from gullhold.testing.load_process import ClientGroup, LoadProcesses
from gullhold.testing.running import ADMISSION_OPERATOR_FILE, RunningDeployment, serving_status

# By the protocol, the process is killed 0.7 s after the longest client timeout, which counts as 3 s at most.
MAX_SHUTDOWN_S = 3.7
FLOOD_REQUESTS = 9_900  # least number of open requests when SIGTERM is sent
FLOOD_LIMIT_S = 15.0  # time in which that many requests have to be open
EXIT_LIMIT_S = 15.0  # time from SIGTERM after which the run fails
POLL_INTERVAL_S = 0.05
ONE_CORE = 0  # the processor to which a gateway on one core is confined
BUSY_PROCESSES = 6
TIMEOUT_S = 8.0  # client timeout of all requests
QUEUE_RULES = ADMISSION_OPERATOR_FILE + "door: {patience: 1000, waiting: 30000}"
CROWD = ClientGroup(
    processes=4,
    clients=8,
    options={
        "open": 320,
        "connections": 10,
        "limit_ms": int(TIMEOUT_S * 1000),
        "retry_rule": RetryRule.NEVER,
    },
)
VARIANTS = ("all cores", "one core", "beside busy processes")
BOUNDS = {
    "latest_s": at_most(MAX_SHUTDOWN_S),
    "read_unanswered": at_most(0),
    "bad_status": at_most(0),
    "faults": at_most(0),
}


class Result(NamedTuple):
    """The counts of one run.

    took_s: from SIGTERM to the end; read: requests that the gateway read; unanswered: how many of them got no
    answer; event_late_ms: the longest time that an event waited for the core thread; status: exit status;
    faults: internal faults and failed decisions.
    """

    took_s: float
    read: int
    unanswered: int
    event_late_ms: float
    status: int
    faults: int


@contextmanager
def busy_processes(count: int) -> Iterator[None]:
    """Keep processes running that use as much processor time as they get."""
    processes = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(count)]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


def run_once(is_one_core: bool) -> Result:
    """Flood a gateway, send SIGTERM, and count the requests that it read and the answers of its clients."""
    with RunningDeployment(operator=QUEUE_RULES, slots=0, timeout_s=TIMEOUT_S, max_open=30000) as running:
        assert serving_status(running.address)
        if is_one_core:
            running.pin_to_core(ONE_CORE)
        clients = LoadProcesses(running.address, CROWD)
        clients.start()
        wait_until_flooded(clients)
        began = time.monotonic()
        running.process.terminate()
        status = running.process.wait(EXIT_LIMIT_S)
        took_s = time.monotonic() - began
        counts = clients.stop()
        answered = counts.answered + counts.shed + counts.failed
        read = running.counter("requests_received") - running.counter("interrupted")
        return Result(
            took_s=round(took_s, 2),
            read=read,
            unanswered=read - answered,
            event_late_ms=running.counter("peak_event_delay_us") / 1000,
            status=status,
            faults=running.counter("internal_faults") + running.counter("decision_faults"),
        )


def wait_until_flooded(clients: LoadProcesses) -> None:
    """Wait until FLOOD_REQUESTS requests are open. Raises TimeoutError after FLOOD_LIMIT_S."""
    end = time.monotonic() + FLOOD_LIMIT_S
    open_requests = 0
    while open_requests < FLOOD_REQUESTS:
        if time.monotonic() > end:
            raise TimeoutError(
                f"{open_requests} requests are open after {FLOOD_LIMIT_S} s; the run needs {FLOOD_REQUESTS}"
            )
        time.sleep(POLL_INTERVAL_S)
        counts = clients.counts()
        open_requests = counts.attempts - counts.answered - counts.shed - counts.failed


def main() -> None:
    """Run the benchmark and print its figures."""
    arguments = make_parser("shutdown", __doc__ or "").parse_args()
    runs = 3 if arguments.quick else 20
    figures = Figures(runs_each=runs)
    results = []
    for variant in VARIANTS:
        busy = BUSY_PROCESSES if variant == "beside busy processes" else 0
        with busy_processes(busy):
            found = [run_once(is_one_core=variant == "one core") for _ in range(runs)]
        figures.add(**{variant: [result._asdict() for result in found]})
        results += found
    figures.add(
        latest_s=max(result.took_s for result in results),
        read_unanswered=sum(result.unanswered for result in results),
        latest_event_ms=max(result.event_late_ms for result in results),
        bad_status=sum(result.status != 0 for result in results),
        faults=sum(result.faults for result in results),
    )
    report_and_exit(figures.by_name, BOUNDS)


if __name__ == "__main__":
    main()
