"""A script: faults as typed data with time, place and size; drawn from a seed or written, printed and read.

Its text is one JSON object a line, for editors and for diffs; a line that starts with # is passed over.
"""

import json
from random import Random
from typing import NamedTuple

# Kinds, each with what it is about and the least and most of its size.
KINDS = {
    "delay": ("wire", 1_000, 3_000_000),  # us more on each piece
    "piece": ("wire", 1, 64),  # bytes that arrive at once
    "window": ("wire", 16, 4_096),  # bytes under way before a writer is held back
    "silence": ("wire", 50_000, 6_000_000),  # us for which nothing arrives
    "reset": ("wire", 0, 0),
    "late": ("engine", 20_000, 900_000),  # us by which connections come up later
    "refuse": ("engine", 10_000, 3_000_000),  # us for which connections are refused
    "slow": ("engine", 2, 20),  # times as long for all that runs
    "cold": ("engine", 0, 0),  # restarts, and knows nothing
    "spoilt": ("engine", 1, 5),  # answers that make no sense
    "twice": ("engine", 1, 5),  # answers that come a second time
    "drain": ("engine", 0, 0),
    "gone": ("engine", 0, 0),
    "late list": ("coordinator", 100_000, 5_000_000),
    "moved": ("coordinator", 0, 0),
    "kill": ("gateway", 0, 0),
    "stop": ("gateway", 0, 0),  # SIGTERM
    "clock": ("gateway", -2_000_000, 2_000_000),  # us by which the wall clock jumps
    "retries": ("client", 1, 50),  # tries at once
    "leave": ("client", 0, 0),  # closes with commands open
}


class Bad(Exception):
    """A script that can't be played; the text is one line."""


class Fault(NamedTuple):
    """at_us: virtual time; kind: of KINDS; place: which of the things that it is about; size: in its unit."""

    at_us: int
    kind: str
    place: int
    size: int


def drawn(seed, count, span_us, places):
    """So many faults within a span; places: how many there are, by what a kind is about."""
    chance = Random(seed)
    found = []
    for _ in range(count):
        kind = chance.choice(sorted(kind for kind, (about, _, _) in KINDS.items() if places.get(about)))
        about, least, most = KINDS[kind]
        found.append(
            Fault(
                chance.randrange(span_us), kind, chance.randrange(places[about]), chance.randint(least, most)
            )
        )
    return sorted(found)


def text_of(faults):
    """One line a fault."""
    return "".join(json.dumps(fault._asdict()) + "\n" for fault in faults)


def faults_of(text):
    """The faults of a text, in order of time. Raises Bad."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        try:
            fault = Fault(**json.loads(line))
        except (ValueError, TypeError):
            raise Bad(f"line {number}: not a fault") from None
        if fault.kind not in KINDS:
            raise Bad(f"line {number}: no fault is called {fault.kind!r}")
        _, least, most = KINDS[fault.kind]
        if not least <= fault.size <= most or fault.at_us < 0 or fault.place < 0:
            raise Bad(f"line {number}: {fault.kind} is of {least} to {most}, at a time and place from 0 on")
        found.append(fault)
    return sorted(found)


def pairs(faults):
    """The pairs of kinds that a script has together."""
    kinds = sorted({fault.kind for fault in faults})
    return {(one, other) for i, one in enumerate(kinds) for other in kinds[i + 1 :]}


def shrunk(faults, fails):
    """A smallest script that still fails: none of its faults can be left out. fails(faults): whether it does.

    Halves first, then one by one, until nothing more can go.
    """
    size = max(1, len(faults) // 2)
    while True:
        at, went = 0, False
        while at < len(faults):
            fewer = faults[:at] + faults[at + size :]
            if fails(fewer):
                faults, went = fewer, True
            else:
                at += size
        if size == 1 and not went:
            return faults
        size = max(1, size // 2)
