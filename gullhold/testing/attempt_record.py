"""The record that a counting engine makes of each attempt, for the checkers of budgets and policies."""

from dataclasses import dataclass


@dataclass(slots=True)
class AttemptRecord:
    """One attempt at an engine.

    started_at, ended_at: Unix s; ended_at is None until the attempt has ended. threads: threads that it
    occupies; txn: number of its command; work_ms: work in its statement; memory_mb: memory granted to it, 0
    for none.
    """

    started_at: float
    ended_at: float | None
    threads: int
    txn: bytes
    work_ms: float
    memory_mb: float
