"""Rough clients for longer than any client timeout: `python -m benchmarks.rough_clients [--quick]`.

For each kind of rough clients, at three limits of memory and two of descriptors: the highest resident memory,
and the answers of a usual client. Prints all figures as JSON in the last line; exits with status 1 if a limit
of memory is exceeded or an answer is missing or late.
"""

import time
from threading import Thread

from benchmarks.harness import Figures, at_most, make_parser, report_and_exit
from gullhold.testing.rough_clients import TIMEOUT_MS, Rough, RoughLoad
from gullhold.testing.running import RunningDeployment

LIMITS = ((64, 256), (96, 1024), (192, 1024))  # memory in MB, descriptors
SECONDS = 12.0
QUICK_SECONDS = 2.0
BOUNDS = {"over_memory": at_most(0), "late": at_most(0), "unanswered": at_most(0)}


def play(rough: Rough, memory_mb: int, sockets: int, seconds: float) -> dict[str, float]:
    """Play one kind of rough clients; return its figures."""
    with RunningDeployment(memory_mb=memory_mb, sockets=sockets, slots=16, timeout_s=4.0) as deployment:
        load = RoughLoad(deployment.address, rough, connections=sockets // 3)
        thread = Thread(target=load.run, args=(seconds,))
        thread.start()
        peak_mb = 0.0
        while thread.is_alive():
            peak_mb = max(peak_mb, deployment.resident_mb())
            time.sleep(0.05)
    return {
        "peak_mb": round(peak_mb, 1),
        "answers": len(load.latencies_s),
        "latest_s": round(max(load.latencies_s, default=0.0), 3),
        "late": sum(latency_s > TIMEOUT_MS / 1000 for latency_s in load.latencies_s),
        "unanswered": load.unanswered,
    }


def main() -> None:
    """Run the benchmark as the command line says."""
    parser = make_parser("rough_clients", __doc__ or "", f"{QUICK_SECONDS} s a kind, one limit")
    arguments = parser.parse_args()
    seconds = QUICK_SECONDS if arguments.quick else SECONDS
    figures = Figures()
    totals = {"over_memory": 0.0, "late": 0.0, "unanswered": 0.0}
    for memory_mb, sockets in LIMITS[:1] if arguments.quick else LIMITS:
        for rough in Rough:
            result = play(rough, memory_mb, sockets, seconds)
            figures.add(**{f"{rough.value}, {memory_mb} MB, {sockets}": result})
            totals["over_memory"] += result["peak_mb"] > memory_mb
            totals["late"] += result["late"]
            totals["unanswered"] += result["unanswered"]
    figures.add(**totals)
    report_and_exit(figures, BOUNDS)


if __name__ == "__main__":
    main()
