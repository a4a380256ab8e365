"""A command from its arrival to the outcome of its last attempt, and the states between."""

from collections.abc import Sequence
from enum import IntEnum
from typing import TYPE_CHECKING

from gullhold.interface import BudgetShare, Idempotency, Profile

if TYPE_CHECKING:
    from gullhold.decisions.engine import Engine


class CommandState(IntEnum):
    """State of a command between its arrival and the end of its last attempt."""

    QUEUED = 0  # waits to be dispatched
    BLOCKED = 1  # waits for an earlier command with the same ordered key
    DISPATCHED = 2  # an attempt is open
    STREAMING = 3  # the client has been sent the first part of the attempt's answer
    CANCELLING = 4  # its attempt was cancelled; it is dispatched again once that attempt has ended
    ORPHANED = 5  # an attempt is open, but no client waits for its answer
    ENDED = 6  # it has its final answer or its client has left, and no attempt is open


WAITING_STATES = (CommandState.QUEUED, CommandState.BLOCKED)
OPEN_ATTEMPT_STATES = (
    CommandState.DISPATCHED,
    CommandState.STREAMING,
    CommandState.CANCELLING,
    CommandState.ORPHANED,
)
TRANSITIONS = {
    CommandState.QUEUED: (CommandState.DISPATCHED, CommandState.ENDED),
    CommandState.BLOCKED: (CommandState.QUEUED, CommandState.ENDED),
    CommandState.DISPATCHED: (
        CommandState.QUEUED,
        CommandState.STREAMING,
        CommandState.CANCELLING,
        CommandState.ORPHANED,
        CommandState.ENDED,
    ),
    CommandState.STREAMING: (CommandState.ORPHANED, CommandState.ENDED),
    CommandState.CANCELLING: (CommandState.QUEUED, CommandState.ORPHANED, CommandState.ENDED),
    CommandState.ORPHANED: (CommandState.ENDED,),
    CommandState.ENDED: (),
}


class InvalidTransitionError(RuntimeError):
    """Raised for a change of a command's state that TRANSITIONS does not allow."""


class Command:
    """One command. Times are in microseconds; the state changes only through change_state().

    engine, sent_at: engine and start of the newest attempt. first_run_engine, first_run_at: the same of the
    first attempt that may have run; first_run_engine is None while none may have.
    """

    __slots__ = (
        "id",
        "profile_index",
        "profile",
        "tenant",
        "key",
        "need_mb",
        "dataset",
        "order",
        "work",
        "admitted_at",
        "objective_at",
        "is_short",
        "last_start_at",
        "worthwhile_until",
        "threads",
        "state",
        "queue_entry",
        "attempts",
        "engine",
        "sent_at",
        "first_run_engine",
        "first_run_at",
        "progress",
        "is_stalled",
        "attempt_claims",
        "admission_shares",
    )

    def __init__(
        self,
        id: int,
        profile_index: int,
        profile: Profile,
        tenant: int,
        key: int,  # ordered key, if the profile is ordered; 0: none
        need_mb: float,  # stated by the client; 0: unknown
        dataset: int,
        order: int,  # serial number in order of arrival
        work: float,  # estimate, core-us
        admitted_at: int,  # time of arrival; 0: it does not count towards the retry budget
        objective_at: int,  # end of its latency objective
        is_short: bool,  # its latency objective is among the shortest
        last_start_at: int,  # no attempt is started at this time or later
        worthwhile_until: int,  # an answer after it has no benefit
        threads: int,  # threads that an attempt uses on its engine
    ) -> None:
        """Create a command that has arrived and has no attempt yet."""
        self.id = id
        self.profile_index = profile_index
        self.profile = profile
        self.tenant = tenant
        self.key = key
        self.need_mb = need_mb
        self.dataset = dataset
        self.order = order
        self.work = work
        self.admitted_at = admitted_at
        self.objective_at = objective_at
        self.is_short = is_short
        self.last_start_at = last_start_at
        self.worthwhile_until = worthwhile_until
        self.threads = threads
        self.state: CommandState = CommandState.BLOCKED
        self.queue_entry: int = 0  # number of its newest entry in the queue; older ones are invalid
        self.attempts: int = 0
        self.engine: Engine | None = None
        self.sent_at: int = 0
        self.first_run_engine: Engine | None = None
        self.first_run_at: int = 0
        self.progress: float = 0.0  # share of work done, as reported for the open attempt; 0: not reported
        self.is_stalled: bool = False  # its open attempt is far slower than usual: see AttemptReview
        self.attempt_claims: Sequence[tuple[BudgetShare, int]] = ()  # released when its attempt ends
        self.admission_shares: Sequence[BudgetShare] = ()  # released when the command ends

    def change_state(self, state: CommandState) -> None:
        """Enter a state. Raises InvalidTransitionError if TRANSITIONS does not allow it."""
        if state not in TRANSITIONS[self.state]:
            raise InvalidTransitionError(
                f"command {self.id} can't change from {self.state.name} to {state.name}"
            )
        self.state = state

    def begin_attempt(self, engine: "Engine", now: int) -> None:
        """Record that a new attempt starts on the engine."""
        self.engine = engine
        self.sent_at = now
        self.progress = 0.0
        self.attempts += 1

    def mark_may_have_run(self) -> None:
        """Record that the newest attempt may have run."""
        if self.first_run_engine is None:
            self.first_run_engine = self.engine
            self.first_run_at = self.sent_at

    @property
    def may_have_run(self) -> bool:
        """Whether an engine may have run any attempt of the command."""
        return self.first_run_engine is not None

    @property
    def is_idempotent(self) -> bool:
        """Whether the command may run any number of times."""
        return self.profile.idempotency == Idempotency.IDEMPOTENT

    @property
    def is_keyed(self) -> bool:
        """Whether engines drop a retry of the command by its idempotency key."""
        return self.profile.idempotency == Idempotency.KEYED

    @property
    def deduplication_until(self) -> int:
        """Time (us) at which the deduplication window of its first run ends."""
        return self.first_run_at + self.profile.dedup_window_us
