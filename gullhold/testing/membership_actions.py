"""What can happen next in a world of members, and what is under way in it."""

from enum import StrEnum
from typing import NamedTuple

from gullhold.fleet.store_calls import PendingCall, Reply, Transaction


class ActionKind(StrEnum):
    """What can happen next in a world."""

    ADVANCE_TIME = "time"
    EXECUTE_CALL = "carry out"  # a call that is under way
    LOSE_REPLY = "lose the reply"
    DELAY_CALL = "hold back"  # a call that may still be carried out, after it was given up
    REJECT_CALL = "refuse"
    DELAY_REPLY = "answer late"  # a call is carried out, and its reply is held back
    RELEASE_REPLY = "arrive"  # a reply that was held back
    DELIVER_REPLY = "reply"
    EXECUTE_DELAYED_CALL = "late"  # a call that was held back is carried out
    EXECUTE_EFFECT = "land"  # an effect is carried out
    JOIN = "come"  # a further member
    RESUME = "wake"
    PAUSE = "sleep"
    CRASH = "die"
    RESTART = "restart"  # a new process of the same name, while the old one goes on
    NOTIFY_MEMBER = "tell"  # a member is notified of changes
    BEGIN_EFFECT = "effect"  # a member begins an effect


CALL_FAULTS = (
    ActionKind.LOSE_REPLY,
    ActionKind.DELAY_CALL,
    ActionKind.REJECT_CALL,
    ActionKind.DELAY_REPLY,
)
FAULTS = (*CALL_FAULTS, ActionKind.PAUSE, ActionKind.RESTART, ActionKind.CRASH)


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
