"""A script: faults as typed data with time, place and size; drawn from a seed or written, printed and read.

Its text is one JSON object a line, for editors and for diffs; a line that starts with # is passed over.
"""

import json
from collections.abc import Callable, Mapping
from enum import StrEnum
from random import Random
from typing import NamedTuple


class Target(StrEnum):
    """What a kind of fault is about."""

    WIRE = "wire"
    ENGINE = "engine"
    COORDINATOR = "coordinator"  # the discovery service
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

    target: Target
    least: int
    most: int


KINDS: Mapping[FaultKind, FaultRange] = {
    FaultKind.DELAY: FaultRange(Target.WIRE, 1_000, 3_000_000),  # us more on each piece
    FaultKind.PIECE: FaultRange(Target.WIRE, 1, 64),  # bytes that arrive at once
    FaultKind.WINDOW: FaultRange(Target.WIRE, 16, 4_096),  # bytes under way before a writer is held back
    FaultKind.SILENCE: FaultRange(Target.WIRE, 50_000, 6_000_000),  # us for which nothing arrives
    FaultKind.RESET: FaultRange(Target.WIRE, 0, 0),
    FaultKind.SLOW_CONNECT: FaultRange(Target.ENGINE, 20_000, 900_000),  # us by which connections are later
    FaultKind.REFUSE: FaultRange(Target.ENGINE, 10_000, 3_000_000),  # us for which connections are refused
    FaultKind.SLOW: FaultRange(Target.ENGINE, 2, 20),  # times as long for all that runs
    FaultKind.RESTART: FaultRange(Target.ENGINE, 0, 0),  # restarts, and knows nothing
    FaultKind.MALFORMED_ANSWERS: FaultRange(Target.ENGINE, 1, 5),  # answers that make no sense
    FaultKind.DUPLICATE_ANSWERS: FaultRange(Target.ENGINE, 1, 5),  # answers that come a second time
    FaultKind.DRAIN: FaultRange(Target.ENGINE, 0, 0),
    FaultKind.REMOVE: FaultRange(Target.ENGINE, 0, 0),
    FaultKind.LATE_LIST: FaultRange(Target.COORDINATOR, 100_000, 5_000_000),  # us
    FaultKind.DISCOVERY_MOVED: FaultRange(Target.COORDINATOR, 0, 0),
    FaultKind.KILL: FaultRange(Target.GATEWAY, 0, 0),
    FaultKind.STOP: FaultRange(Target.GATEWAY, 0, 0),  # SIGTERM
    FaultKind.CLOCK_JUMP: FaultRange(Target.GATEWAY, -2_000_000, 2_000_000),  # us of the wall clock
    FaultKind.RETRY_BURST: FaultRange(Target.CLIENT, 1, 50),  # attempts at once
    FaultKind.CLIENT_LEAVES: FaultRange(Target.CLIENT, 0, 0),  # closes with commands open
}


class ScriptError(Exception):
    """A script that can't be played; the text is one line."""


class Fault(NamedTuple):
    """at_us: virtual time; place: which of the things that the kind is about; size: in the kind's unit."""

    at_us: int
    kind: FaultKind
    place: int
    size: int


def drawn(seed: int, count: int, span_us: int, places: Mapping[str, int]) -> list[Fault]:
    """So many faults within a span, in order of time; places: how many there are, by target."""
    draw = Random(seed)
    possible = sorted(kind for kind, limits in KINDS.items() if places.get(limits.target))
    found = []
    for _ in range(count):
        kind = draw.choice(possible)
        limits = KINDS[kind]
        at_us = draw.randrange(span_us)
        place = draw.randrange(places[limits.target])
        size = draw.randint(limits.least, limits.most)
        found.append(Fault(at_us, kind, place, size))
    return sorted(found)


def text_of(faults: list[Fault]) -> str:
    """One line a fault."""
    return "".join(json.dumps(fault._asdict()) + "\n" for fault in faults)


def faults_of(text: str) -> list[Fault]:
    """The faults of a text, in order of time. Raises ScriptError."""
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
    if fault.kind not in KINDS:
        raise ScriptError(f"line {number}: no fault is called {fault.kind!r}")
    kind = FaultKind(fault.kind)
    _, least, most = KINDS[kind]
    if not least <= fault.size <= most or fault.at_us < 0 or fault.place < 0:
        raise ScriptError(f"line {number}: {kind} is of {least} to {most}, at a time and place from 0 on")
    return fault._replace(kind=kind)


def pairs(faults: list[Fault]) -> set[tuple[FaultKind, FaultKind]]:
    """The pairs of kinds that a script has together."""
    kinds = sorted({fault.kind for fault in faults})
    return {(one, other) for i, one in enumerate(kinds) for other in kinds[i + 1 :]}


def shrunk(faults: list[Fault], fails: Callable[[list[Fault]], bool]) -> list[Fault]:
    """A smallest script that still fails: none of its faults can be left out.

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
