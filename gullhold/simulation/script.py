"""Scripts of faults: typed records with time, place and size; drawn from a seed, written, parsed and shrunk.

The file format is one JSON object per line, for editors and diffs; lines that start with # are ignored.
"""

import json
from collections.abc import Callable, Mapping
from enum import StrEnum
from random import Random
from typing import NamedTuple


class FaultTarget(StrEnum):
    """What a kind of fault affects; the `place` of a fault is an index among these."""

    CONNECTION = "connection"  # the connections of all gateways to one engine
    ENGINE = "engine"
    DISCOVERY = "discovery"
    GATEWAY = "gateway"
    CLIENT = "client"


class FaultKind(StrEnum):
    """Kinds of fault; the values are their names in script files. FAULT_RANGES explains them."""

    DELAY = "delay"
    SMALL_SEGMENTS = "piece"
    WINDOW = "window"
    SILENCE = "silence"
    RESET = "reset"
    SLOW_CONNECT = "late"
    REFUSE = "refuse"
    SLOW = "slow"
    RESTART = "cold"
    MALFORMED_ANSWERS = "spoilt"
    DUPLICATE_ANSWERS = "twice"
    DRAIN = "drain"
    REMOVE = "gone"
    LATE_LIST = "late list"
    DISCOVERY_MOVED = "moved"
    KILL = "kill"
    STOP = "stop"
    CLOCK_JUMP = "clock"
    RETRY_BURST = "retries"
    CLIENT_LEAVES = "leave"


class FaultRange(NamedTuple):
    """What a kind of fault affects, and the smallest and the largest size; if both are 0, it has no size."""

    target: FaultTarget
    least: int
    most: int


FAULT_RANGES: Mapping[FaultKind, FaultRange] = {
    FaultKind.DELAY: FaultRange(FaultTarget.CONNECTION, 1_000, 3_000_000),  # us added to each segment
    FaultKind.SMALL_SEGMENTS: FaultRange(FaultTarget.CONNECTION, 1, 64),  # bytes of a segment
    FaultKind.WINDOW: FaultRange(FaultTarget.CONNECTION, 16, 4_096),  # bytes of the stream's window
    FaultKind.SILENCE: FaultRange(FaultTarget.CONNECTION, 50_000, 6_000_000),  # us without arrivals
    FaultKind.RESET: FaultRange(FaultTarget.CONNECTION, 0, 0),  # as by TCP RST
    FaultKind.SLOW_CONNECT: FaultRange(FaultTarget.ENGINE, 20_000, 900_000),  # us added to a connect
    FaultKind.REFUSE: FaultRange(FaultTarget.ENGINE, 10_000, 3_000_000),  # us of refused connections
    FaultKind.SLOW: FaultRange(FaultTarget.ENGINE, 2, 20),  # factor on the duration of attempts
    FaultKind.RESTART: FaultRange(FaultTarget.ENGINE, 0, 0),  # crash, and restart without state
    FaultKind.MALFORMED_ANSWERS: FaultRange(FaultTarget.ENGINE, 1, 5),  # answers that can't be parsed
    FaultKind.DUPLICATE_ANSWERS: FaultRange(FaultTarget.ENGINE, 1, 5),  # answers that are sent twice
    FaultKind.DRAIN: FaultRange(FaultTarget.ENGINE, 0, 0),  # draining in the endpoint list, later ready again
    FaultKind.REMOVE: FaultRange(FaultTarget.ENGINE, 0, 0),  # out of the endpoint list, then it crashes
    FaultKind.LATE_LIST: FaultRange(FaultTarget.DISCOVERY, 100_000, 5_000_000),  # us added to watch events
    FaultKind.DISCOVERY_MOVED: FaultRange(FaultTarget.DISCOVERY, 0, 0),  # the service changes its address
    FaultKind.KILL: FaultRange(FaultTarget.GATEWAY, 0, 0),  # SIGKILL; another process takes its place
    FaultKind.STOP: FaultRange(FaultTarget.GATEWAY, 0, 0),  # SIGTERM
    FaultKind.CLOCK_JUMP: FaultRange(FaultTarget.GATEWAY, -2_000_000, 2_000_000),  # us of the wall clock
    FaultKind.RETRY_BURST: FaultRange(FaultTarget.CLIENT, 1, 50),  # simultaneous retries
    FaultKind.CLIENT_LEAVES: FaultRange(FaultTarget.CLIENT, 0, 0),  # a client leaves with commands open
}


class ScriptError(Exception):
    """A script is invalid; the message is one line that names the line of the script."""


class Fault(NamedTuple):
    """A fault of a script.

    at_us: virtual time; place: index of the engine, gateway or client, modulo their number; size: in the unit
    that the kind has (FAULT_RANGES).
    """

    at_us: int
    kind: FaultKind
    place: int
    size: int


def draw_faults(seed: int, count: int, span_us: int, target_counts: Mapping[FaultTarget, int]) -> list[Fault]:
    """Draw faults at random times before span_us; they are sorted by time.

    target_counts: how many places each target has; kinds whose target has none are not drawn.
    """
    random = Random(seed)
    kinds = sorted(kind for kind, limits in FAULT_RANGES.items() if target_counts.get(limits.target))
    faults = []
    for _ in range(count):
        kind = random.choice(kinds)
        limits = FAULT_RANGES[kind]
        at_us = random.randrange(span_us)
        place = random.randrange(target_counts[limits.target])
        size = random.randint(limits.least, limits.most)
        faults.append(Fault(at_us, kind, place, size))
    return sorted(faults)


def format_script(faults: list[Fault]) -> str:
    """Return the text of a script: a line for each fault."""
    return "".join(json.dumps(fault._asdict()) + "\n" for fault in faults)


def parse_script(text: str) -> list[Fault]:
    """Parse the text of a script; the faults are sorted by time. Raises ScriptError."""
    faults = []
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip() and not line.startswith("#"):
            faults.append(_parse_fault(number, line))
    return sorted(faults)


def _parse_fault(number: int, line: str) -> Fault:
    try:
        fault = Fault(**json.loads(line))
    except (ValueError, TypeError):
        raise ScriptError(f"line {number}: not a JSON object with at_us, kind, place and size") from None
    if fault.kind not in FAULT_RANGES:
        raise ScriptError(f"line {number}: unknown kind of fault {fault.kind!r}")
    kind = FaultKind(fault.kind)
    _, least, most = FAULT_RANGES[kind]
    if not least <= fault.size <= most or fault.at_us < 0 or fault.place < 0:
        raise ScriptError(
            f"line {number}: size {fault.size}, at_us {fault.at_us}, place {fault.place}: "
            f"{kind} needs a size of {least} to {most}, and at_us and place of at least 0"
        )
    return fault._replace(kind=kind)


def kind_pairs(faults: list[Fault]) -> set[tuple[FaultKind, FaultKind]]:
    """Return all pairs of different kinds of fault in a script."""
    kinds = sorted({fault.kind for fault in faults})
    return {(one, other) for i, one in enumerate(kinds) for other in kinds[i + 1 :]}


def shrink(faults: list[Fault], fails: Callable[[list[Fault]], bool]) -> list[Fault]:
    """Reduce a script that fails to one that still fails and of which no single fault can be left out.

    fails(script): whether a script fails. Halves are removed first, then smaller parts down to single faults,
    until none can be removed.
    """
    size = max(1, len(faults) // 2)
    while True:
        start = 0
        was_reduced = False
        while start < len(faults):
            fewer = faults[:start] + faults[start + size :]
            if fails(fewer):
                faults = fewer
                was_reduced = True
            else:
                start += size
        if size == 1 and not was_reduced:
            return faults
        size = max(1, size // 2)
