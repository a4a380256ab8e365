"""What can happen next in a world of members, and what is under way in it."""

from enum import StrEnum
from typing import NamedTuple

from gullhold.fleet.store_calls import PendingCall, Reply, Transaction


class ActionKind(StrEnum):
    """What can happen next in a world."""

    TIME = "time"
    CARRY_OUT = "carry out"  # a call that is under way
    LOSE_REPLY = "lose the reply"
    HOLD_BACK = "hold back"  # a call that may still be carried out, after it was given up
    REFUSE = "refuse"
    ANSWER_LATE = "answer late"  # a call is carried out, and its reply is held back
    ARRIVE = "arrive"  # a reply that was held back
    REPLY = "reply"
    LATE = "late"  # a call that was held back is carried out
    LAND = "land"  # an effect is carried out
    JOIN = "come"  # a further member
    WAKE = "wake"
    SLEEP = "sleep"
    DIE = "die"
    RESTART = "restart"  # a new process of the same name, while the old one goes on
    WATCH = "tell"  # a member is notified of changes
    EFFECT = "effect"  # a member begins an effect


CALL_FAULTS = (
    ActionKind.LOSE_REPLY,
    ActionKind.HOLD_BACK,
    ActionKind.REFUSE,
    ActionKind.ANSWER_LATE,
)
FAULTS = (*CALL_FAULTS, ActionKind.SLEEP, ActionKind.RESTART, ActionKind.DIE)


class Action(NamedTuple):
    """One action. index: of the call, reply, effect or member that it concerns."""

    kind: ActionKind
    index: int = 0
    role: str = ""


class SentCall(NamedTuple):
    """A call under way."""

    member: int
    call: PendingCall


class SentReply(NamedTuple):
    """A reply under way."""

    member: int
    call: PendingCall
    reply: Reply


class SentEffect(NamedTuple):
    """An effect under way."""

    role: str
    token: int
    request: Transaction
