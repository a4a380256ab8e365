"""Starts `gullhold` with the test hooks that a rig asks for; nothing of them is in the product.

GULLHOLD_RIG holds JSON: rate: how fast this process's clocks run; point, side, act, nth: what to do to itself
("kill" or "stop") "before" or "after" the nth call of the register that is this: "effect" (a beat), "intent"
or "outcome" of an occurrence, "claim", "keep", "divide" (parts of budgets), "report" (of what is used),
"give back" (the last report), "checked", "prepared", "decided", "dropped" (a change of policy), "ready",
"still", "under" (a word about one).
"""

import json
import os
import signal
import sys
import threading
import time
from itertools import count

ACTS = {"kill": signal.SIGKILL, "stop": signal.SIGSTOP}


def run_at(rate):
    """All clocks of this process run at this rate from now on."""
    for name, unit in (("monotonic", 1), ("monotonic_ns", 1), ("time", 1), ("time_ns", 1)):
        real = getattr(time, name)
        began = real()
        setattr(
            time, name, lambda real=real, began=began, unit=unit: type(began)(began + (real() - began) * rate)
        )


def point_of(request):
    """What a request of the register is, in a script's words."""
    from gullhold.fleet import store_calls  # noqa: PLC0415  once the clocks run at the rig's rate

    if isinstance(request, store_calls.KeepLeaseAlive):
        return "keep"
    puts = [act for act in getattr(request, "operations", ()) if isinstance(act, store_calls.Put)]
    if any(act.key.startswith("duties/") for act in puts):
        return "claim"
    if any(act.key == "budget/fence" for act in puts):
        return "divide"
    for act in puts:
        if act.key.startswith("policy/words/"):
            return json.loads(act.value)["word"]
        if act.key == "policy/now/change":
            return json.loads(act.value)["state"]
        if act.key.startswith("budget/asks/"):
            return "give back" if json.loads(act.value)["left"] else "report"
    for act in puts:
        if "/run/" in act.key:
            return "intent" if json.loads(act.value)["state"] == "intent" else "outcome"
    return "effect" if any(act.key.startswith("beats/") for act in puts) else ""


def strike(act):
    """Do it to ourselves, now.

    By a signal to this thread, not to the process: guards against a thread that runs on, and writes what it
    was to be stopped before, while the kernel wakes another thread to take the signal.
    """
    signal.pthread_kill(threading.get_ident(), ACTS[act])


def hook(point, side, act, nth):
    """Do this to ourselves at that call."""
    from gullhold.fleet.store_client import StoreClient  # noqa: PLC0415

    real, serial = StoreClient.call, count(1)

    def call(self, request):
        here = point_of(request) == point and next(serial) == nth
        if here and side == "before":
            strike(act)
        reply = real(self, request)
        if here and side == "after":
            strike(act)
        return reply

    StoreClient.call = call


def main():
    """As `python -m gullhold`, hooked."""
    asked = json.loads(os.environ.get("GULLHOLD_RIG", "{}"))
    if "rate" in asked:
        run_at(asked.pop("rate"))
    if asked:
        hook(**asked)
    from gullhold.__main__ import main as product  # noqa: PLC0415

    status = product(sys.argv[1:])
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == "__main__":
    main()
