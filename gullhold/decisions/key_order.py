"""Order of commands with the same ordered key: one runs after another.

After an attempt whose end is unknown, the key settles: for a while no first attempt for the key is started.
"""

from collections import deque

from gullhold.decisions.command import Command, CommandState
from gullhold.decisions.expiries import Expiries
from gullhold.interface import Outcome

# Outcomes after which the engine may still run the attempt.
UNKNOWN_END = frozenset((Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED))


class KeyOrder:
    """Holds the commands of each ordered key, in order of arrival, and the keys that are settling."""

    def __init__(self, settle_us: int) -> None:
        self._settle_us = settle_us
        self.by_key: dict[int, deque[Command]] = {}
        self._settling: Expiries[int] = Expiries()

    def add(self, command: Command) -> bool:
        """Add a command; return whether it may be queued: it is the first of its key or has no such key."""
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
        """Record how an attempt ended; if it may still run, its key settles."""
        if command.profile.ordered and command.key and outcome in UNKNOWN_END:
            self._settling.set(command.key, now + self._settle_us, now)

    def is_settling(self, command: Command, now: int) -> bool:
        """Whether an earlier attempt for the command's key may still run."""
        return command.profile.ordered and self._settling.holds(command.key, now)

    def forget_settled(self, now: int) -> None:
        """Drop the keys that have settled."""
        self._settling.drop_expired(now)
