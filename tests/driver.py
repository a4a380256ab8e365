"""A driver that makes calls on a Gateway and checks its results against rules, with records of its own.

The rules are those of check_final() and check_dispatch(). Times are in microseconds, on a clock that the
tests move.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from gullhold.decisions.gateway import Gateway
from gullhold.interface import (
    NEVER_RAN,
    Agreement,
    CancelAttempt,
    DeduplicationScope,
    Dispatch,
    EngineEntry,
    EngineState,
    Fail,
    Idempotency,
    Outcome,
    Profile,
    Result,
    Shed,
    StartTimer,
)

MS = 1000
START = 5_000_000  # time at which the clock of a driver starts, us
WORK = 100 * MS  # work of a command unless a test states another one, core-us
FINAL_ANSWERS = (Shed, Fail)


def profile(**changes: Any) -> Profile:
    """Return a profile of short idempotent commands, with these changes."""
    defaults = {
        "threads": 1,
        "objective_us": 500 * MS,
        "objective_stretch": 2.0,
        "timeout_us": 4000 * MS,
        "benefit": 1.0,
        "late_benefit_share": 0.3,
        "idempotency": Idempotency.IDEMPOTENT,
        "dedup_scope": DeduplicationScope.ALL_ENGINES,
        "dedup_window_us": 1500 * MS,
        "ordered": False,
        "zones": None,
        "engine_kinds": None,
        "loads_dataset": False,
        "waits_for_loads": False,
    }
    return Profile(**defaults | changes)


def make_agreement(*profiles: Profile, **changes: Any) -> Agreement:
    """Return an agreement with these profiles, or with one such profile, and with these changes."""
    defaults = {
        "profiles": profiles or (profile(),),
        "tenants": (),
        "gateways": 1,
        "zone": 0,
        "cores_by_kind": (4.0, 2.0),
        "memory_mb_by_kind": (8192.0, 4096.0),
        "max_grant_share": 0.4,
        "honors_grants": True,
        "honors_priority": True,
        "max_attempts": 3,
        "supports_cancel": True,
        "max_retry_after_us": 0,
        "warmup_initial_share": 0.3,
        "warmup_us": 10_000 * MS,
        "overload_multiple": 3.0,
        "overload_window_us": 2000 * MS,
        "key_settle_us": 300 * MS,
        "retry_budget_base": None,
        "retry_budget_share": 0.0,
        "retry_budget_window_us": 0,
        "cross_zone_costs": False,
    }
    return Agreement(**defaults | changes)


class SentAttempt(NamedTuple):
    """One attempt of a command: id of its engine, time of its dispatch, and its number, counted from 0."""

    engine: int
    sent_at: int
    number: int


@dataclass
class SubmittedCommand:
    """The driver's record of a command.

    final: the type of the Shed or Fail that ended it, if any. is_over: no final answer is due any more, as it
    was given or the client has left. attempt_ends_at: deadline of the open attempt. attempts_sent_at: time of
    each attempt's dispatch. first_run: the first attempt that may have run.
    """

    profile: Profile
    key: int
    timeout_at: int
    work: int
    final: type[Shed] | type[Fail] | None = None
    is_over: bool = False
    open_attempt: SentAttempt | None = None
    attempt_ends_at: int = 0
    attempts_sent_at: list[int] = field(default_factory=list)
    first_run: SentAttempt | None = None


@dataclass
class ListedEngine:
    """The latest endpoint list entry of an engine; zone, kind and cell are indexes."""

    zone: int
    kind: int
    state: EngineState
    cell: int
    started_us: int


class Driver:
    """Takes the place of the service: records commands and results, and fails at the first broken rule."""

    def __init__(self, agreement: Agreement, seed: int = 1) -> None:
        self.agreement = agreement
        self.now = START
        self.gateway = Gateway(seed, agreement, self.now)
        self.engines: dict[int, ListedEngine] = {}  # by engine id
        self.commands: dict[int, SubmittedCommand] = {}  # by command id
        self.ids_by_key: dict[int, list[int]] = {}  # by ordered key: ids of commands in order of arrival
        self.settles_until: dict[int, int] = {}  # by ordered key: time until which no first attempt may start
        self.log: list[Result] = []  # all results that were carried out
        self.retried_at: list[int] = []
        self.submitted_at: list[int] = []
        self.warmup_work: dict[int, list[tuple[int, int]]] = {}  # (time, work) of attempts, by warming engine
        self.timers: list[tuple[int, int]] = []  # (time, token), ascending
        self.last_command_id = 0

    def update_engines(
        self, *entries: tuple[int, int, int, EngineState, int, int], full: bool = False
    ) -> None:
        """Change the endpoint list. Each entry is (id, zone, kind, state, cell, started_us).

        full: engines without an entry are removed.
        """
        if full:
            for engine in self.engines.values():
                engine.state = EngineState.REMOVED
        for engine_id, *fields in entries:
            self.engines[engine_id] = ListedEngine(*fields)
        engine_entries = [EngineEntry(entry[0], entry[1], 1.0, *entry[2:]) for entry in entries]
        self.carry_out(self.gateway.update_engines(self.now, engine_entries, full))

    def submit(
        self,
        profile_index: int = 0,
        tenant: int = 0,
        key: int = 0,
        work: int = WORK,
        timeout_us: int | None = None,
        need_mb: float = 64.0,
        estimate: float | None = None,
    ) -> int:
        """Submit a command that arrives now; return its id.

        need_mb: the memory that it needs. estimate: the work that its client states, if not its true work.
        """
        self.last_command_id += 1
        command_profile = self.agreement.profiles[profile_index]
        timeout_at = self.now + (timeout_us or command_profile.timeout_us)
        self.commands[self.last_command_id] = SubmittedCommand(command_profile, key, timeout_at, work)
        if command_profile.ordered and key:
            self.ids_by_key.setdefault(key, []).append(self.last_command_id)
        self.submitted_at.append(self.now)
        self.carry_out(
            self.gateway.submit(
                self.now,
                self.last_command_id,
                profile_index,
                tenant,
                key,
                timeout_at,
                work if estimate is None else estimate,
                need_mb,
                self.last_command_id % 5,
                False,
            )
        )
        return self.last_command_id

    def end_attempt(
        self,
        command_id: int,
        outcome: Outcome | int,
        cost: int = WORK,
        closed: bool = False,
        report: tuple[float, ...] = (),
    ) -> None:
        """End the open attempt of a command.

        cost: the work that its answer reports. closed: the command ends with the attempt.
        report: the engine's load report.
        """
        command = self.commands[command_id]
        attempt, command.open_attempt = command.open_attempt, None
        command.is_over = command.is_over or outcome == Outcome.ANSWERED
        if outcome not in NEVER_RAN and command.first_run is None:
            command.first_run = attempt
        if command.profile.ordered and outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.settles_until[command.key] = self.now + self.agreement.key_settle_us
        cost = cost if outcome == Outcome.ANSWERED else 0
        self.carry_out(
            self.gateway.attempt_ended(
                self.now,
                command_id,
                attempt.number,
                outcome,
                command.is_over or closed,
                self.now - attempt.sent_at,
                cost,
                60,
                report,
            )
        )

    def client_left(self, command_id: int) -> None:
        """Let the client of a command leave."""
        self.commands[command_id].is_over = True
        self.carry_out(self.gateway.client_left(self.now, command_id))

    def abandon(self, command_id: int) -> None:
        """Let the service end a command now, and cancel its open attempt."""
        command = self.commands[command_id]
        attempt, command.open_attempt = command.open_attempt, None  # the service cancels it by itself
        if attempt and command.first_run is None:
            command.first_run = attempt
        self.carry_out(self.gateway.abandon(self.now, command_id))
        assert command.is_over, f"command {command_id} was abandoned, but got no final answer"
        if attempt:
            command.open_attempt = attempt
            self.end_attempt(command_id, Outcome.CANCELLED)

    def running_ids(self) -> list[int]:
        """Return the ids of commands with an open attempt, in order of arrival."""
        return [command_id for command_id, command in self.commands.items() if command.open_attempt]

    def wait(self, span_us: int) -> None:
        """Move the clock: timers fire, and open attempts time out at their deadlines."""
        until = self.now + span_us
        while True:
            ends = [
                (command.attempt_ends_at, command_id)
                for command_id, command in self.commands.items()
                if command.open_attempt
            ]
            first = min([at for at, _ in self.timers + ends], default=until + 1)
            if first > until:
                break
            self.now = max(self.now, first)
            for at, command_id in ends:
                if at <= self.now and self.commands[command_id].open_attempt:
                    self.end_attempt(command_id, Outcome.TIMED_OUT)
            if self.timers and self.timers[0][0] <= self.now:
                self.carry_out(self.gateway.timer_fired(self.now, self.timers.pop(0)[1]))
        self.now = until
        for command_id, command in self.commands.items():
            is_late = self.now > command.timeout_at and not command.is_over and not command.final
            assert not is_late, (
                f"command {command_id} has no final answer at {self.now} us, but its client timeout was at"
                f" {command.timeout_at} us"
            )

    def carry_out(self, results: list[Result]) -> None:
        """Carry out results, after checking each of them."""
        for result in results:
            self.log.append(result)
            if isinstance(result, StartTimer):
                self.timers.append((self.now + result.delay_us, result.token))
                self.timers.sort()
                continue
            command = self.commands[result.command]
            if isinstance(result, FINAL_ANSWERS):
                self.check_final(type(result), command)
                command.final, command.is_over = type(result), True
            elif isinstance(result, Dispatch):
                self.check_dispatch(result.command, command, result.engine)
                self.check_send_until(command, result)
                number = len(command.attempts_sent_at)
                command.open_attempt = SentAttempt(result.engine, self.now, number)
                command.attempt_ends_at = min(result.deadline_us, command.timeout_at)
                command.attempts_sent_at.append(self.now)
            elif isinstance(result, CancelAttempt):
                assert self.agreement.supports_cancel
                assert command.open_attempt
                assert command.open_attempt.number == result.attempt

    def results_of(self, result_type: type) -> list[Any]:
        """Return the results of exactly this type: those of other types may compare as equal."""
        return [result for result in self.log if type(result) is result_type]

    def check_final(self, final: type[Shed] | type[Fail], command: SubmittedCommand) -> None:
        """Check the rules for final answers: one answer, in time; shed only if a retry does no harm."""
        assert not command.is_over
        assert self.now <= command.timeout_at
        assert not command.open_attempt
        idempotency = command.profile.idempotency
        if final == Shed and command.first_run and idempotency != Idempotency.IDEMPOTENT:
            assert idempotency == Idempotency.KEYED
            assert command.profile.dedup_scope == DeduplicationScope.ALL_ENGINES
            assert self.now < command.first_run.sent_at + command.profile.dedup_window_us

    def check_dispatch(self, command_id: int, command: SubmittedCommand, engine: int) -> None:
        """Check the rules for dispatches."""
        command_profile = command.profile
        listed = self.engines[engine]
        assert not command.is_over
        assert self.now < command.timeout_at
        assert not command.open_attempt, f"command {command_id} still has {command.open_attempt}"
        assert len(command.attempts_sent_at) < self.agreement.max_attempts
        assert listed.state == EngineState.READY, (
            f"command {command_id} sent to engine {engine}: {listed.state!r}"
        )
        if command.first_run and command_profile.idempotency != Idempotency.IDEMPOTENT:
            self.check_deduplication(command, listed)
        assert command_profile.zones is None or listed.zone in command_profile.zones
        assert command_profile.engine_kinds is None or listed.kind in command_profile.engine_kinds
        if listed.started_us and self.now < listed.started_us + self.agreement.warmup_us:
            self.check_warmup(command, engine, listed)
        if command_profile.ordered and command.key:
            self.check_key_order(command_id, command)
        if command.attempts_sent_at:
            self.check_retry_budget()

    def check_send_until(self, command: SubmittedCommand, dispatch: Dispatch) -> None:
        """Check that what allows a dispatch still holds when its fetch is written at the last moment."""
        assert self.now < dispatch.send_until_us <= dispatch.deadline_us
        if command.first_run and command.profile.idempotency == Idempotency.KEYED:
            assert dispatch.send_until_us < command.first_run.sent_at + command.profile.dedup_window_us

    def check_deduplication(self, command: SubmittedCommand, listed: ListedEngine) -> None:
        """Check that a retry of a command that may have run stays in its deduplication window and scope."""
        command_profile = command.profile
        assert command_profile.idempotency == Idempotency.KEYED
        assert self.now < command.first_run.sent_at + command_profile.dedup_window_us
        first = self.engines[command.first_run.engine]
        if command_profile.dedup_scope == DeduplicationScope.ZONE:
            assert first.zone == listed.zone, (
                f"retry in zone {listed.zone}, but the first run {command.first_run} was in zone {first.zone}"
            )
        if command_profile.dedup_scope == DeduplicationScope.CELL:
            assert first.cell == listed.cell, (
                f"retry in cell {listed.cell}, but the first run {command.first_run} was in cell {first.cell}"
            )

    def check_warmup(self, command: SubmittedCommand, engine: int, listed: ListedEngine) -> None:
        """Check that a warming engine gets at most our share of its capacity and one command more.

        The further command is allowed because shares smaller than a command are rounded at random.
        """
        agreement = self.agreement
        sent = self.warmup_work.setdefault(engine, [])
        sent.append((self.now, command.work))
        work = sum(work for at, work in sent if at > self.now - agreement.overload_window_us)
        elapsed = self.now - listed.started_us
        capacity_share = (
            agreement.warmup_initial_share
            + (1 - agreement.warmup_initial_share) * elapsed / agreement.warmup_us
        )
        capacity = (
            agreement.overload_multiple
            * capacity_share
            * agreement.cores_by_kind[listed.kind]
            * agreement.overload_window_us
        )
        assert work <= capacity / agreement.gateways + command.work, (
            f"warming engine {engine} got {work} core-us in one window;"
            f" limit: {capacity / agreement.gateways} and the {command.work} of the last command"
        )

    def check_key_order(self, command_id: int, command: SubmittedCommand) -> None:
        """Check that all earlier commands with the key are over, and that the key has settled."""
        ids = self.ids_by_key[command.key]
        for other in ids[: ids.index(command_id)]:
            earlier = self.commands[other]
            assert earlier.is_over, (
                f"command {command_id} was dispatched before the end of command {other}"
                f" with the same key {command.key}"
            )
            assert not earlier.open_attempt, (
                f"command {command_id} was dispatched during {earlier.open_attempt} of command {other}"
                f" with the same key {command.key}"
            )
        has_settled = self.now >= self.settles_until.get(command.key, 0)
        assert command.attempts_sent_at or has_settled, (
            f"command {command_id} starts at {self.now} us, but its key {command.key} settles only at"
            f" {self.settles_until[command.key]} us"
        )

    def check_retry_budget(self) -> None:
        """Check that this retry fits into the retry budget."""
        agreement = self.agreement
        self.retried_at.append(self.now)
        since = self.now - agreement.retry_budget_window_us
        retries = sum(at > since for at in self.retried_at)
        submitted = sum(at > since for at in self.submitted_at)
        if agreement.retry_budget_base is not None:
            budget = agreement.retry_budget_base + agreement.retry_budget_share * submitted
            assert retries <= budget, f"{retries} retries in the window; the retry budget is {budget}"
