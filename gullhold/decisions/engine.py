"""The state that a gateway keeps for one engine."""

from collections import deque
from enum import IntEnum

from gullhold.interface import EngineState


class SampleStage(IntEnum):
    """Which of the three samples of throughput is being taken on an engine."""

    NONE = 0  # no sample is being taken
    AT_LIMIT = 1  # at the current limit
    AT_UPPER = 2  # at the higher of two fractions of the limit
    AT_LOWER = 3  # at the lower of two fractions of the limit


class Engine:
    """One engine: its entry in the endpoint list, and observations from its attempts. Times are in us.

    slot: index in the table of engines, reused for another engine once this one is forgotten. sequence: order
    of discovery. Each group of fields in __init__() is named after the component that maintains it.
    """

    __slots__ = (
        "attempts",
        "cell",
        "completed_at",
        "completed_slow_work",
        "completed_work",
        "cores",
        "failure_rate",
        "failure_rate_at",
        "fitted_limit",
        "id",
        "kind",
        "utilization",
        "utilization_at",
        "next_fit_at",
        "overloaded_until",
        "sample_began_at",
        "sample_stage",
        "sample_work",
        "samples",
        "sequence",
        "slot",
        "stalled_attempts",
        "started_us",
        "state",
        "threads",
        "warmup_dispatches",
        "warmup_rounding_draw",
        "warmup_rounding_drawn_at",
        "zone",
    )

    def __init__(self, engine_id: int, slot: int, sequence: int) -> None:
        self.id = engine_id
        self.slot = slot
        self.sequence = sequence
        # Endpoint list.
        self.state = EngineState.REMOVED
        self.zone = 0
        self.kind = 0
        self.cell = 0
        self.started_us = 0
        self.cores = 1.0
        # Thread use: counts of this gateway's attempts and of their threads.
        self.threads = 0
        self.attempts = 0
        # Health: the rate and the sums decay exponentially from the times given with them.
        self.failure_rate = 0.0
        self.failure_rate_at = 0
        self.overloaded_until = 0  # time until which no attempt is started on the engine
        self.stalled_attempts = 0
        self.completed_at = 0
        self.completed_work = 0.0  # core-us
        self.completed_slow_work = 0.0  # core-us, with each attempt's work multiplied by its slowness
        # Concurrency limit.
        self.fitted_limit: float | None = None  # threads
        self.sample_stage = SampleStage.NONE
        self.sample_began_at = 0
        self.sample_work = 0.0  # core-us completed in the current sample
        self.samples: tuple[float, ...] = ()  # threads and throughput of each sample, the newest first
        self.next_fit_at = 0
        # Slow start.
        self.warmup_dispatches: deque[tuple[int, float]] = deque()  # (time, work) of attempts while warming
        self.warmup_rounding_draw = 0.0  # part, 0 to 1, of a command's work that has to fit into our share
        self.warmup_rounding_drawn_at = 0  # 0: the next command is judged by a new draw
        # Load report.
        self.utilization = 1.0  # as reported, 0 to 1
        self.utilization_at = 0

    def forget_observations(self) -> None:
        """Discard the observations of an engine whose process has restarted."""
        self.completed_work = 0.0
        self.completed_slow_work = 0.0
        self.failure_rate = 0.0
        self.overloaded_until = 0
        self.utilization = 1.0
        self.warmup_dispatches.clear()
