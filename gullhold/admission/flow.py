"""A flow: the queued commands of one heavy client, or of all clients that share a queue."""

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from gullhold.admission.fair_queue import Child, FairQueue
from gullhold.admission.queued_command import QueuedCommand
from gullhold.admission.retry_after import FlowRetries

if TYPE_CHECKING:
    from collections.abc import Iterator

NEVER_PARKED = 0  # parking_serial of a flow that was never parked; serial numbers begin at 1


class SharedFlowKey(NamedTuple):
    """Key of a shared flow; the epoch is incremented when the salt of the hashes is replaced."""

    epoch: int
    bucket: int


class ProfileQueue:
    """The queued commands of one profile in a flow.

    first: commands that go before the others: timely retries, and those that were blocked by an ordering key.
    """

    __slots__ = ("first", "others", "work_us")

    def __init__(self) -> None:
        self.first: deque[QueuedCommand] = deque()
        self.others: deque[QueuedCommand] = deque()
        self.work_us = 0.0

    def head(self) -> QueuedCommand:
        """Return the command to forward next; there must be one."""
        return self.first[0] if self.first else self.others[0]

    def is_empty(self) -> bool:
        """Whether no command is queued."""
        return not self.first and not self.others

    def add(self, command: QueuedCommand, goes_first: bool) -> None:
        """Append a command to those that go first, or to the others."""
        (self.first if goes_first else self.others).append(command)
        self.work_us += command.work_us

    def remove(self, command: QueuedCommand) -> None:
        """Remove a command at any position."""
        if self.head() is command:
            (self.first or self.others).popleft()
        elif command in self.first:
            self.first.remove(command)
        else:
            self.others.remove(command)
        self.work_us -= command.work_us


class Flow:
    """A flow of a tenant: exact, of one heavy client, or shared by the clients that hash to its bucket.

    key: the client's name if the flow is exact, a SharedFlowKey if it is shared.
    """

    __slots__ = (
        "blocked_count",
        "child",
        "client_counts",
        "estimate_bias",
        "key",
        "parking_serial",
        "profiles",
        "queued_count",
        "retries",
    )

    def __init__(self, key: bytes | SharedFlowKey, weight: float, fair_queue: FairQueue["Flow"]) -> None:
        self.key = key
        self.child: Child[Flow] = fair_queue.add(self, weight)
        self.profiles: dict[int, ProfileQueue] = {}  # by profile, without empty queues
        self.queued_count = 0
        self.blocked_count = 0  # commands that wait for an earlier one of their ordering key
        self.estimate_bias = 1.0  # moving average of real work divided by estimated work
        self.client_counts: dict[bytes, int] | None = None  # queued commands by client; None: an exact flow
        if isinstance(key, SharedFlowKey):
            self.client_counts = {}
        self.retries = FlowRetries()
        self.parking_serial = NEVER_PARKED  # serial number of the last time it was parked

    @property
    def is_exact(self) -> bool:
        """Whether the flow is of one client."""
        return self.client_counts is None

    def backlog_us(self, profile: int) -> float:
        """Return the estimated work (us) of the queued commands of a profile."""
        queue = self.profiles.get(profile)
        return queue.work_us if queue is not None else 0.0

    def heads(self) -> "Iterator[tuple[int, QueuedCommand]]":
        """Yield each profile that has queued commands, with the command to forward next."""
        for profile, queue in self.profiles.items():
            yield profile, queue.head()

    def add(self, command: QueuedCommand, goes_first: bool) -> bool:
        """Queue a command; return whether it is the only queued one of its profile."""
        queue = self.profiles.get(command.profile)
        is_only = queue is None
        if queue is None:
            queue = self.profiles[command.profile] = ProfileQueue()
        queue.add(command, goes_first)
        self.queued_count += 1
        if self.client_counts is not None:
            self.client_counts[command.client] = self.client_counts.get(command.client, 0) + 1
        return is_only

    def remove(self, command: QueuedCommand) -> None:
        """Remove a queued command at any position."""
        queue = self.profiles[command.profile]
        queue.remove(command)
        if queue.is_empty():
            del self.profiles[command.profile]
        self.queued_count -= 1
        if self.client_counts is not None:
            self.client_counts[command.client] -= 1
            if not self.client_counts[command.client]:
                del self.client_counts[command.client]
