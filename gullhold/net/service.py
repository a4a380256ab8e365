"""Puts the parts together: the configuration, the threads, the signals."""

import gc
import json
import os
import signal
import sys
import threading
import time
from threading import Event, Thread

from loguru import logger

from gullhold import agreement, policy
from gullhold.net.coordinator import Coordinator, Names, members
from gullhold.net.core import Core
from gullhold.net.counters import Counters
from gullhold.net.endings import Malformed
from gullhold.net.front import Door

STACK = 256 * 1024   # bytes of address space a thread; only what is touched counts as memory
SWITCH_S = 0.001     # the longest that one thread keeps another waiting: under any network time that matters
OWN_SOCKETS = 16     # descriptors beside clients and links: standard ones, listener, coordinator, spare
FLUSH_S = 0.3        # at the end, for answers still in pipes: under what remains before the kill


class Unusable(Exception):
    """A configuration that can't be used; the text is one plain line."""


def load(path):
    """The configuration, checked for what serving needs."""
    if not path:
        raise Unusable("GW_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
        deal = agreement.read(told["settings"])
        names = Names()
        known = told.get("known") or {}
        changes = [members(event, deal, names) for event in known.get("updates", ())]
        limits = told.get("limits") or {}
        return {"deal": deal, "names": names, "changes": changes, "last": int(known.get("index", 0)),
                "seed": int(str(told.get("seed", "0")), 16),
                "coordinator": told.get("coordinator"),
                "listen": os.environ.get("GW_LISTEN") or told["listen"],
                "name": told.get("name", ""),
                "memory": int(limits.get("memory_mb", 192)) << 20,
                "sockets": int(limits.get("sockets", 1024))}
    except (OSError, ValueError, KeyError, TypeError, AttributeError, Malformed) as fault:
        raise Unusable(f"configuration {path}: {fault!r}") from None


def serve(path, report_s=0):
    """Serve until SIGTERM, with the counters logged so often (0: only at the end); the exit status."""
    logger.remove()
    logger.add(sys.stderr, level=os.environ.get("GULLHOLD_LOG", "INFO"),
               format="{time:HH:mm:ss.SSS} {level} {message}")
    try:
        told = load(path)
        counters, deal = Counters(), told["deal"]
        threading.stack_size(STACK)
        sys.setswitchinterval(SWITCH_S)
        most = told["memory"] // told["sockets"]   # an even part of the memory for each connection's messages
        clients = told["sockets"] // 3
        core = Core(policy.Gateway(told["seed"], deal), deal, counters, most,
                    told["sockets"] - clients - OWN_SOCKETS)
        try:
            door = Door(told["listen"], core, deal, most, told["sockets"])
        except (OSError, ValueError) as fault:
            raise Unusable(f"can't listen on {told['listen']}: {fault}") from None
    except Unusable as fault:
        print(f"gullhold: {fault}", file=sys.stderr)
        return 2
    done, began = Event(), time.monotonic()

    def run_core():
        core.run(told["changes"])
        done.set()

    def report(*_):
        logger.info("counters: {}", "; ".join([f"up {time.monotonic() - began:.1f} s",
                    f"CPU {time.process_time():.2f} s", *resident(), *counters.lines()]))

    signal.signal(signal.SIGTERM, lambda *_: core.post(core.leave))
    signal.signal(signal.SIGINT, lambda *_: core.post(core.leave))
    signal.signal(signal.SIGUSR1, lambda *_: Thread(target=report, daemon=True).start())
    gc.collect()
    gc.freeze()   # what lives to the end need not be looked through again
    Thread(target=run_core, name="core", daemon=True).start()
    if told["coordinator"]:
        follow = Coordinator(told["coordinator"], told["last"], core, most, told["names"])
        Thread(target=follow.run, daemon=True, name="coordinator").start()
    Thread(target=door.run, daemon=True, name="door").start()
    logger.info("serving {} on {}", told["name"], told["listen"])
    while not done.wait(report_s or None):
        report()
    time.sleep(FLUSH_S)
    report()
    return 0


def resident():
    """Memory, threads and descriptors of this process, as the system tells them."""
    try:
        with open("/proc/self/status", encoding="ascii") as file:
            rows = dict(line.split(":", 1) for line in file)
        held = len(os.listdir("/proc/self/fd"))
    except OSError:
        return []
    return [f"{name}: {rows[key].strip()}" for name, key in
            (("resident most", "VmHWM"), ("resident", "VmRSS"), ("threads", "Threads")) if key in rows] + [
            f"descriptors: {held}"]
