"""Scripts of faults: typed records with time, place and size; drawn from a seed, written, parsed and shrunk.

Its text is one JSON object a line, for editors and for diffs; a line that starts with # is passed over.
"""

import json
from collections.abc import Callable, Mapping
from enum import StrEnum
from random import Random
from typing import NamedTuple


class FaultTarget(StrEnum):
    """What a kind of fault is about."""

    CONNECTION = "connection"  # all connections to one engine
    ENGINE = "engine"
    DISCOVERY = "discovery"
    GATEWAY = "gateway"
    CLIENT = "client"


class FaultKind(StrEnum):
    """Kinds of fault, by the names that scripts on disk have for them."""

    DELAY = "delay"
    PIECE = "piece"
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
    """What a kind of fault is about, and the least and most of its size."""

    target: FaultTarget
    least: int
    most: int


FAULT_RANGES: Mapping[FaultKind, FaultRange] = {
    FaultKind.DELAY: FaultRange(FaultTarget.CONNECTION, 1_000, 3_000_000),  # us added to each segment
    FaultKind.PIECE: FaultRange(FaultTarget.CONNECTION, 1, 64),  # bytes that arrive at once
    FaultKind.WINDOW: FaultRange(FaultTarget.CONNECTION, 16, 4_096),  # bytes under way that block a writer
    FaultKind.SILENCE: FaultRange(FaultTarget.CONNECTION, 50_000, 6_000_000),  # us for which nothing arrives
    FaultKind.RESET: FaultRange(FaultTarget.CONNECTION, 0, 0),
    FaultKind.SLOW_CONNECT: FaultRange(
        FaultTarget.ENGINE, 20_000, 900_000
    ),  # us that connecting takes longer
    FaultKind.REFUSE: FaultRange(FaultTarget.ENGINE, 10_000, 3_000_000),  # us of refused connections
    FaultKind.SLOW: FaultRange(FaultTarget.ENGINE, 2, 20),  # factor on the duration of attempts
    FaultKind.RESTART: FaultRange(FaultTarget.ENGINE, 0, 0),  # restarts without its state
    FaultKind.MALFORMED_ANSWERS: FaultRange(FaultTarget.ENGINE, 1, 5),  # answers that can't be parsed
    FaultKind.DUPLICATE_ANSWERS: FaultRange(FaultTarget.ENGINE, 1, 5),  # answers that are sent twice
    FaultKind.DRAIN: FaultRange(FaultTarget.ENGINE, 0, 0),
    FaultKind.REMOVE: FaultRange(FaultTarget.ENGINE, 0, 0),
    FaultKind.LATE_LIST: FaultRange(FaultTarget.DISCOVERY, 100_000, 5_000_000),  # us
    FaultKind.DISCOVERY_MOVED: FaultRange(FaultTarget.DISCOVERY, 0, 0),
    FaultKind.KILL: FaultRange(FaultTarget.GATEWAY, 0, 0),
    FaultKind.STOP: FaultRange(FaultTarget.GATEWAY, 0, 0),  # SIGTERM
    FaultKind.CLOCK_JUMP: FaultRange(FaultTarget.GATEWAY, -2_000_000, 2_000_000),  # us of the wall clock
    FaultKind.RETRY_BURST: FaultRange(FaultTarget.CLIENT, 1, 50),  # attempts at once
    FaultKind.CLIENT_LEAVES: FaultRange(FaultTarget.CLIENT, 0, 0),  # closes with commands open
}


class ScriptError(Exception):
    """A script that can't be played; the text is one line."""


class Fault(NamedTuple):
    """at_us: virtual time; place: which of the things that the kind is about; size: in the kind's unit."""

    at_us: int
    kind: FaultKind
    place: int
    size: int


def draw_faults(seed: int, count: int, span_us: int, target_counts: Mapping[FaultTarget, int]) -> list[Fault]:
    """Draw faults within a span, in order of time; target_counts: how many possible places a target has."""
    draw = Random(seed)
    possible = sorted(kind for kind, limits in FAULT_RANGES.items() if target_counts.get(limits.target))
    found = []
    for _ in range(count):
        kind = draw.choice(possible)
        limits = FAULT_RANGES[kind]
        at_us = draw.randrange(span_us)
        place = draw.randrange(target_counts[limits.target])
        size = draw.randint(limits.least, limits.most)
        found.append(Fault(at_us, kind, place, size))
    return sorted(found)


def format_script(faults: list[Fault]) -> str:
    """The text of a script: a line for each fault."""
    return "".join(json.dumps(fault._asdict()) + "\n" for fault in faults)


def parse_script(text: str) -> list[Fault]:
    """Parse the text of a script; faults in order of time. Raises ScriptError."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip() and not line.startswith("#"):
            found.append(_parse_fault(number, line))
    return sorted(found)


def _parse_fault(number: int, line: str) -> Fault:
    try:
        fault = Fault(**json.loads(line))
    except (ValueError, TypeError):
        raise ScriptError(f"line {number}: not a fault") from None
    if fault.kind not in FAULT_RANGES:
        raise ScriptError(f"line {number}: no fault is called {fault.kind!r}")
    kind = FaultKind(fault.kind)
    _, least, most = FAULT_RANGES[kind]
    if not least <= fault.size <= most or fault.at_us < 0 or fault.place < 0:
        raise ScriptError(f"line {number}: {kind} is of {least} to {most}, at a time and place from 0 on")
    return fault._replace(kind=kind)


def kind_pairs(faults: list[Fault]) -> set[tuple[FaultKind, FaultKind]]:
    """All pairs of different kinds of fault in a script."""
    kinds = sorted({fault.kind for fault in faults})
    return {(one, other) for i, one in enumerate(kinds) for other in kinds[i + 1 :]}


def shrink(faults: list[Fault], fails: Callable[[list[Fault]], bool]) -> list[Fault]:
    """Reduce a script to one that still fails and of which no fault can be left out.

    Halves first, then one by one, until nothing more can be removed.
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
