"""The role that coordinates a change of policy. Performs no I/O.

The whole state is in the store, so that the next leader of the role continues where the last one failed. A
single write decides the change. Its conditions are the leader's token, the change as it was read, and the
enrollment key, which every joining member writes: the store refuses the decision if a member has joined since
the votes were read, so that each member has voted on the change. A member that is down has no vote in the
store; it reads the policy in force before it dispatches anything.
"""

from dataclasses import replace
from typing import cast

from gullhold.fleet.role_state import LogEvent, RoleState
from gullhold.fleet.store_calls import Delete, Operation, Put, Reply
from gullhold.rollout import canary
from gullhold.rollout.policy_change import (
    FINAL_STATES,
    NEXT_STATES,
    Canary,
    ChangeState,
    OnSilence,
    Overlap,
    PolicyChange,
)
from gullhold.rollout.policy_version import INITIAL_VERSION, PolicyError, PolicyVersion
from gullhold.rollout.store_schema import (
    CHANGE_KEY,
    CURRENT_KEY,
    ENROLLMENT_KEY,
    HISTORY_PREFIX,
    ROLLOUT_PREFIX,
    VOTES_PREFIX,
    WATCHED_PREFIX,
    HistoryEntry,
    Outcome,
    decode_change,
    decode_version,
    decode_vote,
    encode_change,
    encode_history_entry,
    encode_version,
    history_key,
)
from gullhold.rollout.vote import VoteKind
from gullhold.rollout.vote_tally import VoteTally

# Ended versions kept in the store for operators to read; the write that ends a change deletes older ones.
MAX_HISTORY = 50
MAX_NAMES = 5  # members named in the reason of a dropped change, to keep it on one line


class RolloutCoordinator(RoleState):
    """The open change and the members' votes, while this member leads the role.

    revision: the newest store revision included in this state. change_since: when the change was first seen
    in its present state, us.
    """

    def __init__(self) -> None:
        super().__init__(ROLLOUT_PREFIX)
        self.revision = 0
        self.change_since = 0
        self._clear()

    def _clear(self) -> None:
        self.change: PolicyChange | None = None
        self.change_revision = 0
        self.current: PolicyVersion = INITIAL_VERSION
        self.current_revision = 0
        self.enrollment_revision = 0
        self.votes = VoteTally()
        self.history: list[int] = []  # numbers of the versions in the stored history, ascending

    def _next_write_at(self, now: int) -> int | None:
        """When a write may be due without a new vote, as the change's patience or canary ends.

        None: only votes, which cause a step, are awaited.
        """
        if self.change is None:
            return None
        waits = [self.change.patience_us]
        if self.change.state == ChangeState.CANARY:
            waits.append(cast("Canary", self.change.canary).duration_us)
        times = [self.change_since + wait for wait in waits]
        return min((time for time in times if time > now), default=None)

    def _write_next(self, now: int) -> None:
        if self.change is None:
            return
        match self.change.state:
            case ChangeState.PROPOSED:
                self._check_proposal()
            case ChangeState.CHECKED:
                self._collect_votes(now)
            case ChangeState.CANARY:
                self._check_canary(now)
            case ChangeState.PREPARED:
                self._collect_stop_votes(now)
            case ChangeState.DECIDED | ChangeState.DROPPED:
                self._delete_ended_change()
            case unknown:
                raise PolicyError(
                    f"the open change is in a state that this version of the program does not know: {unknown}"
                )

    # Steps of the open change, by its state

    @property
    def _open_change(self) -> PolicyChange:
        """The open change, for callers that run only while one is open."""
        return cast("PolicyChange", self.change)

    def _check_proposal(self) -> None:
        reason = self._fault_in_proposal()
        self._change_state(ChangeState.DROPPED if reason else ChangeState.CHECKED, reason)

    def _fault_in_proposal(self) -> str:
        version = self._open_change.version
        try:
            version.verify()
        except PolicyError as error:
            return str(error)
        if version.parent != self.current.number:
            return f"{self.current.number} is in force, not {version.parent}"
        return ""

    def _collect_votes(self, now: int) -> None:
        if self._drop_if_refused():
            return
        if not self._all_support(VoteKind.READY):
            self._drop_if_overdue(now, VoteKind.READY)
        elif self._open_change.canary:
            members = canary.choose_members(self._open_change, self.votes.votes)
            self._change_state(ChangeState.CANARY, canary_members=members)
        elif self._open_change.overlap == Overlap.STRICT:
            self._change_state(ChangeState.PREPARED)
        else:
            self._change_state(ChangeState.DECIDED)

    def _check_canary(self, now: int) -> None:
        """Drop the change as soon as its canary fails; decide it once it is over with all figures."""
        if self._drop_if_refused():
            return
        is_over = now >= self.change_since + cast("Canary", self._open_change.canary).duration_us
        fault = canary.find_fault(self._open_change, self.votes.votes, is_over)
        if fault:
            self._change_state(ChangeState.DROPPED, "canary: " + fault)
        elif not is_over:
            return
        elif self._all_support(VoteKind.READY) and canary.all_reported(self._open_change, self.votes.votes):
            self._change_state(ChangeState.DECIDED)
        else:
            self._drop_if_overdue(now, VoteKind.READY)

    def _collect_stop_votes(self, now: int) -> None:
        if self._drop_if_refused():
            return
        if self._all_support(VoteKind.STOPPED):
            self._change_state(ChangeState.DECIDED)
        else:
            self._drop_if_overdue(now, VoteKind.STOPPED)

    def _delete_ended_change(self) -> None:
        """Delete the ended change once every member uses the version in force: the next may be opened."""
        if self.votes.all_use(self.current.number):
            self._write_if_unchanged([Delete(CHANGE_KEY)])

    def _all_support(self, kind: VoteKind) -> bool:
        return self.votes.all_support(self._open_change.version.number, kind)

    def _drop_if_refused(self) -> bool:
        """Drop the change if an operator requests it or a member refuses it; return whether it is dropped."""
        refusal = self.votes.first_refusal(self._open_change.version.number)
        if self._open_change.drop_requested:
            self._change_state(ChangeState.DROPPED, "dropped by staff")
            return True
        if refusal:
            member, vote = refusal
            self._change_state(ChangeState.DROPPED, f"{member}: {vote.reason}")
            return True
        return False

    def _drop_if_overdue(self, now: int, kind: VoteKind) -> None:
        """Drop a change that lacks votes of this kind once its patience has ended, if on_silence is DROP."""
        is_overdue = now >= self.change_since + self._open_change.patience_us
        if self._open_change.on_silence != OnSilence.DROP or not is_overdue:
            return
        missing = self.votes.missing(self._open_change.version.number, kind)
        names = ", ".join(missing[:MAX_NAMES]) or "nobody is there"
        self._change_state(ChangeState.DROPPED, f"not {kind} in time: {names}")

    def _change_state(
        self, state: ChangeState, reason: str = "", canary_members: tuple[str, ...] = ()
    ) -> None:
        """Write the change's new state. No other method writes it."""
        assert state in NEXT_STATES[self._open_change.state], (
            f"change {self._open_change.version.number} can't go from {self._open_change.state} to {state}"
        )
        change = replace(self._open_change, state=state, reason=reason, canary_members=canary_members)
        operations: list[Operation] = [Put(CHANGE_KEY, encode_change(change))]
        if state in FINAL_STATES:
            entry = HistoryEntry(change.version, Outcome(state, reason))
            operations.append(Put(history_key(change.version.number), encode_history_entry(entry)))
            operations += [Delete(history_key(number)) for number in self.history[:-MAX_HISTORY]]
        if state == ChangeState.DECIDED:
            operations.append(Put(CURRENT_KEY, encode_version(change.version)))
        self._write_if_unchanged(operations)

    def _write_if_unchanged(self, operations: list[Operation]) -> None:
        conditions = (
            (CHANGE_KEY, self.change_revision),
            (CURRENT_KEY, self.current_revision),
            (ENROLLMENT_KEY, self.enrollment_revision),
        )
        self._write(operations, conditions)

    # Events

    def _write_confirmed(self, _reply: Reply) -> bool:
        """Return False, so that all keys are read again after each write."""
        return False

    def _on_loaded(self, now: int, reply: Reply) -> None:
        before = self._progress()
        self._clear()
        self.revision = reply.revision
        for item in reply.items:
            self._load_key(item.key, item.value, item.revision)
        if self._progress() == before:
            return
        self.change_since = now
        if self.change:
            facts = {
                "state": self.change.state,
                "version": self.change.version.number,
                "reason": self.change.reason,
            }
            self.actions.append(LogEvent("info", "policy: change state changed", facts))

    def _progress(self) -> tuple[int, ChangeState] | None:
        """The number and state of the open change, if any."""
        return (self.change.version.number, self.change.state) if self.change else None

    def _load_key(self, key: str, value: str, revision: int) -> None:
        if key == CURRENT_KEY:
            self.current = decode_version(value)
            self.current_revision = revision
        elif key == CHANGE_KEY:
            self.change = decode_change(value)
            self.change_revision = revision
        elif key == ENROLLMENT_KEY:
            self.enrollment_revision = revision
        elif key.startswith(VOTES_PREFIX):
            self.votes.set(key.removeprefix(VOTES_PREFIX), decode_vote(value))
        elif key.startswith(HISTORY_PREFIX):
            self.history.append(int(key.removeprefix(HISTORY_PREFIX)))

    def _on_key_changed(self, _now: int, key: str, value: str | None, revision: int) -> bool:
        if revision < self.revision:
            return False
        self.revision = revision
        if key.startswith(VOTES_PREFIX):
            vote = None if value is None else decode_vote(value)
            self.votes.set(key.removeprefix(VOTES_PREFIX), vote)
        elif key == ENROLLMENT_KEY:
            self.enrollment_revision = revision
        elif key.startswith(WATCHED_PREFIX) and not self.writing:
            self.is_loaded = False  # during a write all keys are read again anyway, after the reply
        return True
