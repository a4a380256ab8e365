"""Runs `gullhold` with hooks for tests: clocks at another rate, or a signal at a call of the store.

The hooks are given as JSON in the environment variable GULLHOLD_RIG, which the product does not read. Keys:
rate: rate of this process's clocks against the machine's.
point, nth: the nth store call of this kind. Kinds: "effect" (writes a heartbeat), "intent" and "outcome" (of
an occurrence), "claim" (of a role), "keep" (renews a lease), "divide" (allocates budgets), "report" (usage),
"give back" (a member's last usage report), "checked", "prepared", "decided", "dropped" (states of a policy
change), "ready", "still", "under" (votes on one).
side: "before" or "after" that call.
act: the signal that this process then sends to itself: "kill" (SIGKILL) or "stop" (SIGSTOP).
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


def scale_clocks(rate: float) -> None:
    """Let all clocks of this process run at this rate from now on."""
    for name in ("monotonic", "monotonic_ns", "time", "time_ns"):
        _scale_clock(name, rate)


def _scale_clock(name: str, rate: float) -> None:
    original = getattr(time, name)
    start = original()
    number = type(start)

    def clock() -> float:
        return number(start + (original() - start) * rate)

    setattr(time, name, clock)


def call_kind(request: "Request") -> str:
    """Return the kind of a store call, as GULLHOLD_RIG names it; empty: a call of another kind."""
    from gullhold.fleet import store_calls  # noqa: PLC0415  after the clocks are scaled

    if isinstance(request, store_calls.KeepLeaseAlive):
        return "keep"
    operations = getattr(request, "operations", ())
    puts = [operation for operation in operations if isinstance(operation, store_calls.Put)]
    if any(put.key.startswith("duties/") for put in puts):
        return "claim"
    if any(put.key == "budget/fence" for put in puts):
        return "divide"
    kinds = [kind for kind in map(_put_kind, puts) if kind]
    if kinds:
        return kinds[0]
    if any("/run/" in put.key for put in puts):
        states = [json.loads(put.value)["state"] for put in puts if "/run/" in put.key]
        return "intent" if states[0] == "intent" else "outcome"
    return "effect" if any(put.key.startswith("beats/") for put in puts) else ""


def _put_kind(put: "Put") -> str:
    """Return the kind of a write of budgets or policies; empty: a write of another kind."""
    if put.key.startswith("policy/words/"):
        return json.loads(put.value)["word"]
    if put.key == "policy/now/change":
        return json.loads(put.value)["state"]
    if put.key.startswith("budget/asks/"):
        return "give back" if json.loads(put.value)["left"] else "report"
    return ""


def signal_self(act: str) -> None:
    """Send the signal of this act to the calling thread.

    The kernel may deliver a signal to the whole process to another thread. Until that thread has been woken,
    the calling thread could go on, and make the call before which it was to stop.
    """
    signal.pthread_kill(threading.get_ident(), SIGNALS[act])


def hook(point: str, side: str, act: str, nth: int) -> None:
    """Make this process signal itself at a store call; the module's docstring explains the parameters."""
    from gullhold.fleet.store_client import StoreClient  # noqa: PLC0415  after the clocks are scaled

    original = StoreClient.call
    call_numbers = count(1)

    def call(self: "StoreClient", request: "Request") -> "Reply":
        is_hooked = call_kind(request) == point and next(call_numbers) == nth
        if is_hooked and side == "before":
            signal_self(act)
        reply = original(self, request)
        if is_hooked and side == "after":
            signal_self(act)
        return reply

    StoreClient.call = call


def main() -> None:
    """Run `gullhold` with the hooks, and exit with its status."""
    hooks = json.loads(os.environ.get("GULLHOLD_RIG", "{}"))
    if "rate" in hooks:
        scale_clocks(hooks.pop("rate"))
    if hooks:
        hook(**hooks)
    from gullhold.__main__ import main as gullhold_main  # noqa: PLC0415  after the clocks are scaled

    status = gullhold_main(sys.argv[1:])
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == "__main__":
    main()
