"""A gateway under overload: `python -m benchmarks.overload [--quick]`.

Clients on 320 connections keep 1 to 64 requests open on each. A control, a server that only answers, is run
under the same load: an answer of the gateway is late if it exceeds the client timeout by more than the
control's longest latency. Prints all figures as JSON in the last line; exits with status 1 if a bound is
missed.
"""

import subprocess
import sys
import time
from typing import NamedTuple

from benchmarks.harness import Figures, at_least, at_most, make_parser, report_and_exit
from gullhold.testing.load_client import RetryRule
from gullhold.testing.load_counts import LoadCounts
from gullhold.testing.load_process import ClientGroup, LoadProcesses
from gullhold.testing.running import (
    ADMISSION_OPERATOR_FILE,
    ROOT,
    RunningDeployment,
    free_address,
    serving_status,
)

TIMEOUT_S = 1.0  # client timeout of all requests
PROCESSES = 4
CLIENTS = 8  # clients in each process
CONNECTIONS = 10  # connections of each client
QUEUE_RULES = ADMISSION_OPERATOR_FILE + "door: {patience: 1000, waiting: 30000}"
ONE_CORE = 0  # the processor to which a gateway on one core is confined
CONTROL_START_S = 1.0  # time until the control serves
MAX_EVENT_AGE_MS = TIMEOUT_S * 1000 / 10

BOUNDS = {
    "late": at_most(0),
    "read_unanswered": at_most(0),
    "oldest_event_ms": at_most(MAX_EVENT_AGE_MS),
    "goodput_ratio": at_least(1.0),
    "faults": at_most(0),
}


class Case(NamedTuple):
    """The load and the set-up of one run.

    open_per_connection: open requests on each connection; has_queue: whether the admission queue is on;
    is_one_core: whether the gateway is confined to one processor.
    """

    open_per_connection: int
    has_queue: bool = False
    is_one_core: bool = False

    @property
    def name(self) -> str:
        """The name of the case's figures in the output."""
        parts = [
            str(self.open_per_connection),
            "queue" if self.has_queue else "",
            "core" if self.is_one_core else "",
        ]
        return "-".join(part for part in parts if part)


class Result(NamedTuple):
    """The counts of one run.

    good: results within the client timeout; late: answers that exceed it by more than the control's latency;
    read_unanswered: requests that the gateway read and did not answer; oldest_event_ms: the longest time that
    an event waited for the core thread; faults: internal faults and failed decisions; offered: attempts sent.
    """

    good: int
    late: int
    read_unanswered: int
    oldest_event_ms: float
    faults: int
    offered: int


FULL = tuple(
    Case(open_per_connection, has_queue, is_one_core)
    for has_queue in (False, True)
    for is_one_core in (False, True)
    for open_per_connection in (1, 2, 4, 8, 16, 32, 64)
)
QUICK = (
    Case(2),
    Case(8),
    Case(32),
    Case(32, has_queue=True),
    Case(2, is_one_core=True),
    Case(32, is_one_core=True),
)


def make_crowd(open_per_connection: int) -> ClientGroup:
    """The client processes of a run."""
    options = {
        "open": CONNECTIONS * open_per_connection,
        "connections": CONNECTIONS,
        "limit_ms": int(TIMEOUT_S * 1000),
        "retry_rule": RetryRule.NEVER,
    }
    return ClientGroup(PROCESSES, CLIENTS, options)


def run_load(address: tuple[str, int], open_per_connection: int, seconds: float) -> LoadCounts:
    """Put load on an address for the given time; returns the counts once no request is open any more."""
    crowd = LoadProcesses(address, make_crowd(open_per_connection))
    crowd.start()
    time.sleep(seconds)
    return crowd.stop()


def measure_control(open_per_connection: int, seconds: float) -> float:
    """The longest latency, in s, of a server that does nothing but answer."""
    address = free_address()
    process = subprocess.Popen([sys.executable, "-m", "benchmarks.answering_server", address], cwd=ROOT)
    try:
        time.sleep(CONTROL_START_S)
        host, _, port = address.rpartition(":")
        return run_load((host, int(port)), open_per_connection, seconds).slowest_s
    finally:
        process.kill()
        process.wait()


def run_case(case: Case, seconds: float, control_s: float) -> Result:
    """Run a gateway under the load of a case. control_s: the control's longest latency under that load."""
    operator = QUEUE_RULES if case.has_queue else ""
    with RunningDeployment(operator=operator, slots=16, timeout_s=TIMEOUT_S, max_open=1000) as running:
        assert serving_status(running.address)
        if case.is_one_core:
            running.pin_to_core(ONE_CORE)
        counts = run_load(running.address, case.open_per_connection, seconds)
        running.process.terminate()
        running.process.wait()
        answers = counts.answered + counts.shed + counts.failed
        return Result(
            good=sum(latency_s <= TIMEOUT_S for latency_s in counts.latencies_s),
            late=counts.late_beyond(control_s),
            read_unanswered=running.counter("requests_received") - answers,
            oldest_event_ms=running.counter("peak_event_delay_us") / 1000,
            faults=running.counter("internal_faults") + running.counter("decision_faults"),
            offered=counts.attempts,
        )


def run_cases(cases: tuple[Case, ...], seconds: float, figures: Figures) -> None:
    """Run all cases; adds the figures of each, and the worst or the sum over all."""
    control_s = {case.open_per_connection: 0.0 for case in cases}
    for open_per_connection in control_s:
        control_s[open_per_connection] = measure_control(open_per_connection, seconds)
    figures.add(
        control_s={open_per_connection: round(value, 2) for open_per_connection, value in control_s.items()}
    )
    results = {case: run_case(case, seconds, control_s[case.open_per_connection]) for case in cases}
    for case, result in results.items():
        figures.add(**{case.name: result._asdict()})
    # Each goodput is divided by that of the same processors at 2 open requests on each connection.
    reference = {
        case.is_one_core: result.good for case, result in results.items() if case.open_per_connection == 2
    }
    figures.add(
        late=sum(result.late for result in results.values()),
        read_unanswered=sum(result.read_unanswered for result in results.values()),
        oldest_event_ms=max(result.oldest_event_ms for result in results.values()),
        faults=sum(result.faults for result in results.values()),
        goodput_ratio=round(
            min(
                result.good / max(1, reference[case.is_one_core])
                for case, result in results.items()
                if case.open_per_connection in (8, 32)
            ),
            2,
        ),
    )


def main() -> None:
    """Run the benchmark and print its figures."""
    arguments = make_parser("overload", __doc__ or "").parse_args()
    figures = Figures()
    run_cases(QUICK if arguments.quick else FULL, 3.0 if arguments.quick else 6.0, figures)
    figures.add_duration()
    report_and_exit(figures.by_name, BOUNDS)


if __name__ == "__main__":
    main()
