"""Drives the scheduled commands of a fleet's member: passes events to them and carries out their actions."""

from typing import TYPE_CHECKING

from gullhold.fleet.clocks import monotonic_us, unix_us
from gullhold.fleet.lane import Lane
from gullhold.fleet.occurrence import OccurrenceState
from gullhold.fleet.role_state import LogEvent
from gullhold.fleet.scheduled_command_actions import (
    ReadRecords,
    ScheduledCommandAction,
    SendAttempt,
    SetBusy,
    WriteRecord,
)
from gullhold.fleet.scheduled_command_client import RejectedError, ScheduledCommandClient
from gullhold.fleet.store_calls import ReadPrefix, Reply

if TYPE_CHECKING:
    from gullhold.fleet.driver import FleetMember
    from gullhold.operator.records import ScheduledCommandRecord


class ScheduledCommandDriver:
    """The scheduled commands of one member, by role. All methods are called on the fleet's thread."""

    def __init__(
        self,
        fleet_member: "FleetMember",
        records: "dict[str, ScheduledCommandRecord]",
        client: ScheduledCommandClient,
    ) -> None:
        """records: the scheduled commands in the operator file, by role. client: sends attempts."""
        self._fleet_member = fleet_member
        self._commands = fleet_member.scheduled_commands
        self._records = records
        self._client = client
        self._role_by_number: dict[int, str] = {}  # roles of open attempts, by the attempt's number

    def won(self, role: str, token: int) -> None:
        """Begin to lead the role, under this fencing token."""
        self._commands[role].won(token, unix_us())
        self._carry_out_all(role)

    def lost(self, role: str) -> None:
        """Stop leading the role."""
        self._commands[role].lost()
        self._carry_out_all(role)

    def leave(self) -> None:
        """Have no command start further attempts."""
        for command in self._commands.values():
            command.leave()

    def step(self, role: str) -> None:
        """Have a command take its next step, and carry out the actions."""
        self._commands[role].step(unix_us())
        self._carry_out_all(role)

    def waits_us(self) -> list[int]:
        """How long until the next step of each command that this member leads, in us."""
        now = unix_us()
        return [command.due(now) - now for command in self._commands.values() if command.token]

    def attempt_ended(self, number: int, state: OccurrenceState, reason: str) -> None:
        """Pass the end of an attempt on to its command. number: the attempt's number."""
        role = self._role_by_number.pop(number, None)
        if role:
            self._commands[role].attempt_ended(unix_us(), state, reason)

    def _carry_out_all(self, role: str) -> None:
        while actions := self._commands[role].take_actions():
            for action in actions:
                self._carry_out(role, action)

    def _carry_out(self, role: str, action: ScheduledCommandAction) -> None:
        match action:
            case ReadRecords(prefix):
                self._lane().submit(ReadPrefix(prefix), self._records_read, role)
            case WriteRecord(serial, token, operations, conditions):
                request = self._fleet_member.membership.fenced_transaction(
                    role, token, operations, conditions
                )
                self._lane().submit(request, self._record_written, role, serial, token)
            case SetBusy(is_busy):
                self._fleet_member.membership.set_busy(role, is_busy)
            case SendAttempt():
                self._send(role, action)
            case LogEvent(level, text, facts):
                self._fleet_member.log_event(level, "occurrence " + text, **facts)

    def _lane(self) -> Lane:
        return self._fleet_member.work_lane

    def _records_read(self, role: str, reply: Reply) -> None:
        self._commands[role].records_read(unix_us(), reply)

    def _record_written(self, role: str, serial: int, token: int, reply: Reply) -> None:
        self._fleet_member.log_if_refused(role, token, reply)
        may_act = self._fleet_member.membership.fencing_token(role, monotonic_us()) == token
        self._commands[role].record_written(unix_us(), serial, reply, may_act)

    def _send(self, role: str, attempt: SendAttempt) -> None:
        command = self._commands[role]
        self._fleet_member.log_event(
            "info",
            "occurrence sent",
            role=role,
            due_us=attempt.due_us,
            attempts=attempt.attempt,
            token=command.token,
            idempotency_key=attempt.idempotency_key,
        )
        try:
            number = self._client.send(
                self._records[role],
                attempt.time_limit_us,
                attempt.sent_at,
                attempt.idempotency_key,
                is_repeat=attempt.attempt > 1,
            )
        except RejectedError as error:
            command.attempt_ended(unix_us(), OccurrenceState.NOT_SENT, str(error))
        else:
            self._role_by_number[number] = role
