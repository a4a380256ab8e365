"""The queue of one flow: of a client that has a queue of its own, or of all clients that share one."""

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from gullhold.admission.fair_queue import Child, FairQueue
from gullhold.admission.queued_command import QueuedCommand
from gullhold.admission.retry_after import FlowRetries

if TYPE_CHECKING:
    from collections.abc import Iterator

NEVER_PARKED = 0  # serial numbers of parkings begin at 1


class SharedFlowKey(NamedTuple):
    """Key of a shared flow; the epoch changes with the salt."""

    epoch: int
    bucket: int


class ProfileQueue:
    """The commands of one profile in a flow: those that go first, as timely retries do, and the others."""

    __slots__ = ("first", "others", "work_us")

    def __init__(self) -> None:
        self.first: deque[QueuedCommand] = deque()
        self.others: deque[QueuedCommand] = deque()
        self.work_us = 0.0

    def head(self) -> QueuedCommand:
        """Return the next command."""
        return self.first[0] if self.first else self.others[0]

    def is_empty(self) -> bool:
        """Whether no command waits."""
        return not self.first and not self.others

    def add(self, command: QueuedCommand, goes_first: bool) -> None:
        """Append a command to those that go first, or to the others."""
        (self.first if goes_first else self.others).append(command)
        self.work_us += command.work_us

    def remove(self, command: QueuedCommand) -> None:
        """Remove a command, wherever it stands."""
        if self.head() is command:
            (self.first or self.others).popleft()
        elif command in self.first:
            self.first.remove(command)
        else:
            self.others.remove(command)
        self.work_us -= command.work_us


class Flow:
    """One queue of a tenant: of one heavy client, or shared by the clients that hash to it.

    key: the client's name, or a SharedFlowKey.
    """

    __slots__ = (
        "blocked_count",
        "child",
        "client_counts",
        "estimate_bias",
        "key",
        "parking",
        "profiles",
        "queued_count",
        "retries",
    )

    def __init__(self, key: bytes | SharedFlowKey, weight: float, fair_queue: FairQueue["Flow"]) -> None:
        self.key = key
        self.child: Child[Flow] = fair_queue.add(self, weight)
        self.profiles: dict[int, ProfileQueue] = {}  # those that are not empty
        self.queued_count = 0
        self.blocked_count = 0  # commands behind an earlier one of their ordering key
        self.estimate_bias = 1.0  # real work divided by estimates
        self.client_counts: dict[bytes, int] | None = None  # of a shared flow: queued commands by client
        if isinstance(key, SharedFlowKey):
            self.client_counts = {}
        self.retries = FlowRetries()
        self.parking = NEVER_PARKED  # serial number of the parking that counts

    @property
    def is_exact(self) -> bool:
        """Whether the flow is of one client."""
        return self.client_counts is None

    def backlog_us(self, profile: int) -> float:
        """Return the queued work of a profile."""
        queue = self.profiles.get(profile)
        return queue.work_us if queue is not None else 0.0

    def heads(self) -> "Iterator[tuple[int, QueuedCommand]]":
        """Yield each profile with its next command."""
        for profile, queue in self.profiles.items():
            yield profile, queue.head()

    def add(self, command: QueuedCommand, goes_first: bool) -> bool:
        """Queue a command; return whether it is the only one of its profile."""
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
        """Remove a command, wherever it stands."""
        queue = self.profiles[command.profile]
        queue.remove(command)
        if queue.is_empty():
            del self.profiles[command.profile]
        self.queued_count -= 1
        if self.client_counts is not None:
            self.client_counts[command.client] -= 1
            if not self.client_counts[command.client]:
                del self.client_counts[command.client]
