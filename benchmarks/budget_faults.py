"""A fleet's budgets under demand that moves between gateways, and under random faults."""

import random
import time
from typing import Any

from benchmarks.budget_fleet import MEMBERS, make_fleet, start_client, threads_budget, windowed_budget
from benchmarks.fleet_load import count_fault_lines, stop_clients
from gullhold.testing import load_client
from gullhold.testing.budget_checker import AllocationHistory, peak_in_window, peak_threads, retries
from gullhold.testing.counting_engine import CountingEngine
from gullhold.testing.fleet import FleetRig

# Totals of the budgets, by kind: "further" limits retries, "taken" admissions.
TOTALS = {"threads": 24, "further": 20, "taken": 400}
RETRY_WINDOW_S = 2.0  # the window of the budget of retries ("further")
DEMANDS = (40, 12)  # open commands of the two clients that start in each turn
CONTINUING_CLIENTS = 2  # clients that go on into the next turn
FAULT_DURATION_S = 0.8
RECOVERY_S = 0.5  # time between the end of a turn's faults and the next turn
CUT_DIRECTIONS = (("there", "back"), ("back",))  # between gateway and store, alternately by turn


class FaultRun:
    """Moves demand between gateways while random faults happen."""

    def __init__(self, rig: FleetRig, draw: random.Random) -> None:
        self.rig = rig
        self.draw = draw
        self.clients: list[load_client.LoadClient] = []
        self.client_count = 0

    def run_turn(self, turn: int) -> None:
        """Start clients at two gateways, cause faults and end them.

        One gateway is paused, one cut off from the store, and a third one or the store has the turn's fault.
        """
        rig = self.rig
        for name, open_commands in zip(self.draw.sample(rig.names, 2), DEMANDS, strict=True):
            self._start_client(name, open_commands)
        paused, cut, killed = self.draw.sample(rig.names, 3)
        rig.pause(paused)
        rig.cut(cut, directions=CUT_DIRECTIONS[turn % 2])
        self._inject_fault(turn, killed)
        time.sleep(FAULT_DURATION_S)
        stop_clients(self.clients[:-CONTINUING_CLIENTS])
        self.clients = self.clients[-CONTINUING_CLIENTS:]
        rig.resume(paused)
        rig.heal(cut)
        if turn % 3 == 0:
            rig.start(killed, wait=False)
        time.sleep(RECOVERY_S)

    def _start_client(self, name: str, open_commands: int) -> None:
        self.client_count += 1
        client = start_client(
            self.rig, name, self.client_count, open=open_commands, work_ms=60.0, limit_ms=500
        )
        self.clients.append(client)

    def _inject_fault(self, turn: int, member: str) -> None:
        """Kill a gateway, make calls of the store fail, or restart the store, by turns."""
        match turn % 3:
            case 0:
                self.rig.kill(member)
            case 1:
                self.rig.inject_store_faults(lose=8, stale=3, behind=4)
            case _:
                self.rig.kill_store()
                self.rig.start_store()


def collect_figures(rig: FleetRig) -> dict[str, Any]:
    """The figures of a run, from the engines' records, the store's journal and the gateways' logs."""
    peaks = [peak_threads(engine.attempts).amount for engine in rig.engines]
    retried = retries(rig.engines)
    most_retries = peak_in_window(retried, RETRY_WINDOW_S).amount
    history = AllocationHistory(rig.journal_lines())
    over_total = sum(peak > TOTALS["threads"] for peak in peaks)
    over_total += most_retries > TOTALS["further"]
    over_total += sum(most > TOTALS[budget.partition("/")[0]] for budget, most in history.max_sums.items())
    return {
        "over_whole": over_total,
        "moves": history.increases,
        "rules_broken": count_fault_lines(rig),
        "further_sends": len(retried),
        "most_at_once": peaks,
        "most_further": most_retries,
        "fetches": sum(len(engine.attempts) for engine in rig.engines),
    }


def _make_failing_engine(seed: int) -> CountingEngine:
    return CountingEngine(slots=64, seed=seed, failure_rate=0.1, runs_after_disconnect=True)


def run_faults(turns: int, seed: int) -> dict[str, Any]:
    """Run a fleet with held and windowed budgets for the given number of turns; returns figures by name."""
    budgets = [
        threads_budget(TOTALS["threads"]),
        windowed_budget("further", TOTALS["further"], "2s"),
        windowed_budget("taken", TOTALS["taken"], "1s"),
    ]
    with make_fleet(MEMBERS, budgets, engines=2, seed=seed, make=_make_failing_engine) as rig:
        rig.start()
        run = FaultRun(rig, random.Random(seed))
        for turn in range(turns):
            run.run_turn(turn)
        stop_clients(run.clients)
        rig.stop(*[name for name in rig.names if rig.members[name].process.poll() is None])
        return collect_figures(rig)
