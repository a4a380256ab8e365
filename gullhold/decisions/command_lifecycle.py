"""Changes commands' states, and applies the effects of each change to the other components."""

from typing import cast

from gullhold.decisions.command import WAITING_STATES, Command, CommandState
from gullhold.decisions.components import Components
from gullhold.decisions.decision_call import DecisionCall
from gullhold.decisions.engine import Engine
from gullhold.decisions.retry_policy import DEADLINE_MARGIN_US
from gullhold.interface import Agreement, Fail, Shed


class CommandLifecycle:
    """Holds the commands that wait or have an open attempt; nothing else changes their states."""

    def __init__(self, agreement: Agreement, components: Components, call: DecisionCall) -> None:
        self._max_retry_after_us = agreement.max_retry_after_us
        self._call = call
        self._estimates = components.estimates
        self._health = components.health
        self._key_order = components.key_order
        self._queue = components.queue
        self._retries = components.retries
        self._reviews = components.reviews
        self._thread_use = components.thread_use
        self.commands: dict[int, Command] = {}

    def add(self, command: Command) -> None:
        """Add a new command: it is queued, or blocked by an earlier one with the same ordered key."""
        self.commands[command.id] = command
        if self._key_order.add(command):
            self.change_state(command, CommandState.QUEUED)
        self._reviews.add_last_start(command)

    def with_attempt(self, command_id: int, attempt: int, states: tuple[CommandState, ...]) -> Command | None:
        """Return the command if this is its newest attempt and its state is one of these."""
        command = self.commands.get(command_id)
        if command is None or attempt != command.attempts - 1 or command.state not in states:
            return None
        return command

    def engines_in_use(self) -> set[Engine | None]:
        """Return the engines that commands refer to."""
        in_use: set[Engine | None] = set()
        for command in self.commands.values():
            in_use.add(command.engine)
            in_use.add(command.first_run_engine)
        return in_use

    def change_state(self, command: Command, state: CommandState) -> None:
        """Change the state of a command. Raises InvalidTransitionError if that is not allowed."""
        was_waiting = command.state in WAITING_STATES
        command.change_state(state)
        if state == CommandState.DISPATCHED:
            self._thread_use.occupy(cast("Engine", command.engine), command.threads)
        elif state in (CommandState.QUEUED, CommandState.ENDED) and not was_waiting:
            self._close_attempt(command)
        if state == CommandState.QUEUED:
            self.enqueue(command)
        elif state == CommandState.ENDED:
            self._forget(command)

    def enqueue(self, command: Command) -> None:
        """Queue a command, and schedule reviews for when it would be late and when it must not start."""
        now = self._call.now
        run_us = self._estimates.run_us(command)
        is_late = now > command.objective_at - run_us
        profile = command.profile
        if command.may_have_run and command.is_keyed:  # it must be retried within its deduplication window
            self._reviews.add(command.deduplication_until - DEADLINE_MARGIN_US, command)
        latest_start_at = int((command.last_start_at if is_late else command.objective_at) - run_us)
        self._reviews.add(max(now, latest_start_at) + 1, command)
        self._queue.push(command, profile.benefit * (profile.late_benefit_share if is_late else 1.0))

    def finish(self, command: Command, state: CommandState = CommandState.ENDED) -> None:
        """Give the final answer, Shed if a retry by the client does no harm, else Fail; enter the state."""
        if self._retries.may_shed(command, self._call.now):
            self._call.results.append(Shed(command.id, self._max_retry_after_us))
        else:
            self._call.results.append(Fail(command.id))
        self.change_state(command, state)

    def _close_attempt(self, command: Command) -> None:
        """Release what the command's attempt, which has ended, used on its engine."""
        engine = cast("Engine", command.engine)  # not None: an attempt was open
        self._thread_use.vacate(engine, command.threads)
        if command.is_stalled:
            command.is_stalled = False
            self._health.count_stalled(engine, -1)

    def _forget(self, command: Command) -> None:
        """Release the admission shares of an ended command, and queue the command that it blocked."""
        for share in command.admission_shares:
            share.release(1)
        self._retries.record_ended(command, self._call.now)
        del self.commands[command.id]
        unblocked = self._key_order.remove(command)
        if unblocked:
            self.change_state(unblocked, CommandState.QUEUED)
