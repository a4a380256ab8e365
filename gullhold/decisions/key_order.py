"""Commands with an ordered key run one after the other; after an attempt of unknown end the key settles."""

from collections import deque

from gullhold.decisions.command import Command, CommandState
from gullhold.interface import Outcome

UNKNOWN_END = frozenset((Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED))  # the work may run on


class KeyOrder:
    """Commands by their ordered key, in order of arrival, and keys that are settling."""

    def __init__(self, settle_us: int) -> None:
        self._settle_us = settle_us
        self.by_key: dict[int, deque[Command]] = {}
        self._settles_until: dict[int, int] = {}

    def add(self, command: Command) -> bool:
        """Add a command; whether it may be queued: it is the first of its key, or has no ordered key."""
        if not (command.profile.ordered and command.key):
            return True
        commands = self.by_key.setdefault(command.key, deque())
        commands.append(command)
        return commands[0] is command

    def remove(self, command: Command) -> Command | None:
        """Remove a command that has ended; return the one that it blocked, if any."""
        commands = self.by_key.get(command.key) if command.profile.ordered else None
        if not commands:
            return None
        commands.remove(command)
        if not commands:
            del self.by_key[command.key]
            return None
        return commands[0] if commands[0].state == CommandState.BLOCKED else None

    def record_outcome(self, command: Command, outcome: Outcome, now: int) -> None:
        """Record how an attempt ended: while its work may run on, no attempt for the key is started."""
        if command.profile.ordered and command.key and outcome in UNKNOWN_END:
            self._settles_until[command.key] = now + self._settle_us

    def is_settling(self, command: Command, now: int) -> bool:
        """Whether work of an earlier attempt for the command's key may still run on."""
        return command.profile.ordered and now < self._settles_until.get(command.key, 0)

    def forget_settled(self, now: int) -> None:
        """Drop keys that have settled."""
        self._settles_until = {key: until for key, until in self._settles_until.items() if until > now}
