"""The record that a counting engine keeps of each attempt; checkers read it."""

from dataclasses import dataclass


@dataclass(slots=True)
class AttemptRecord:
    """One attempt at an engine.

    started_at, ended_at: Unix s; ended_at is None while it is open or runs. threads: that it takes; txn: the
    number of its command; work_ms: of its statement; memory_mb: granted to it, 0 where nothing is.
    """

    started_at: float
    ended_at: float | None
    threads: int
    txn: bytes
    work_ms: float
    memory_mb: float
