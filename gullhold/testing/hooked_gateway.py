"""Starts `gullhold` with the test hooks that a rig asks for; nothing of them is in the product.

GULLHOLD_RIG holds JSON: rate: how fast this process's clocks run; point, side, act, nth: what to do to itself
("kill" or "stop") "before" or "after" the nth call of the store that is this: "effect" (a heartbeat),
"intent" or "outcome" of an occurrence, "claim", "keep", "divide" (shares of budgets), "report" (of what is
used), "give back" (the last report), "checked", "prepared", "decided", "dropped" (a change of policy),
"ready", "still", "under" (a vote on one).
"""

import json
import os
import signal
import sys
import threading
import time
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gullhold.fleet.store_calls import Put, Reply, Request
    from gullhold.fleet.store_client import StoreClient

SIGNALS = {"kill": signal.SIGKILL, "stop": signal.SIGSTOP}


def run_at(rate: float) -> None:
    """Let all clocks of this process run at this rate from now on."""
    for name in ("monotonic", "monotonic_ns", "time", "time_ns"):
        _run_clock_at(name, rate)


def _run_clock_at(name: str, rate: float) -> None:
    real = getattr(time, name)
    start = real()
    number = type(start)

    def clock() -> float:
        return number(start + (real() - start) * rate)

    setattr(time, name, clock)


def point_of(request: "Request") -> str:
    """What a request to the store is, in a script's words; empty: nothing that a script may name."""
    from gullhold.fleet import store_calls  # noqa: PLC0415  once the clocks run at the rig's rate

    if isinstance(request, store_calls.KeepLeaseAlive):
        return "keep"
    operations = getattr(request, "operations", ())
    puts = [operation for operation in operations if isinstance(operation, store_calls.Put)]
    if any(put.key.startswith("duties/") for put in puts):
        return "claim"
    if any(put.key == "budget/fence" for put in puts):
        return "divide"
    points = [point for point in map(_point_of_put, puts) if point]
    if points:
        return points[0]
    if any("/run/" in put.key for put in puts):
        states = [json.loads(put.value)["state"] for put in puts if "/run/" in put.key]
        return "intent" if states[0] == "intent" else "outcome"
    return "effect" if any(put.key.startswith("beats/") for put in puts) else ""


def _point_of_put(put: "Put") -> str:
    """What a write of budgets or policies is."""
    if put.key.startswith("policy/words/"):
        return json.loads(put.value)["word"]
    if put.key == "policy/now/change":
        return json.loads(put.value)["state"]
    if put.key.startswith("budget/asks/"):
        return "give back" if json.loads(put.value)["left"] else "report"
    return ""


def strike(act: str) -> None:
    """Do it to ourselves, now.

    By a signal to this thread, not to the process: guards against a thread that runs on, and writes what it
    was to be stopped before, while the kernel wakes another thread to take the signal.
    """
    signal.pthread_kill(threading.get_ident(), SIGNALS[act])


def hook(point: str, side: str, act: str, nth: int) -> None:
    """Do this to ourselves at that call."""
    from gullhold.fleet.store_client import StoreClient  # noqa: PLC0415  once the clocks run at the rig's rate

    real = StoreClient.call
    numbers = count(1)

    def call(self: "StoreClient", request: "Request") -> "Reply":
        is_here = point_of(request) == point and next(numbers) == nth
        if is_here and side == "before":
            strike(act)
        reply = real(self, request)
        if is_here and side == "after":
            strike(act)
        return reply

    StoreClient.call = call


def main() -> None:
    """As `python -m gullhold`, hooked."""
    hooks = json.loads(os.environ.get("GULLHOLD_RIG", "{}"))
    if "rate" in hooks:
        run_at(hooks.pop("rate"))
    if hooks:
        hook(**hooks)
    from gullhold.__main__ import main as product  # noqa: PLC0415  once the clocks run at the rig's rate

    status = product(sys.argv[1:])
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == "__main__":
    main()
