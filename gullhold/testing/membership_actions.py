"""Kinds of action in a simulated world of members, and the messages that are under way in it."""

from enum import StrEnum
from typing import NamedTuple

from gullhold.fleet.store_calls import PendingCall, Reply, Transaction


class ActionKind(StrEnum):
    """What can happen next; the values appear in the traces of failed walks."""

    ADVANCE_TIME = "time"  # time advances by one step
    EXECUTE_CALL = "carry out"  # the store executes a call; its reply is under way
    LOSE_REPLY = "lose the reply"  # the store executes a call, and the reply is lost
    DELAY_CALL = "hold back"  # the caller gives the call up; the store executes it later or never
    REJECT_CALL = "refuse"  # the store rejects a call: it is known not to have been executed
    DELAY_REPLY = "answer late"  # the store executes a call, and its reply is delayed
    RELEASE_REPLY = "arrive"  # a delayed reply is under way again
    DELIVER_REPLY = "reply"  # a reply reaches its caller
    EXECUTE_DELAYED_CALL = "late"  # the store executes a delayed call
    EXECUTE_EFFECT = "land"  # the store executes an effect: a write under a fencing token
    JOIN = "come"  # a further member starts
    RESUME = "wake"  # a paused process goes on
    PAUSE = "sleep"  # a process stands still while time advances, as under SIGSTOP
    CRASH = "die"  # a process ends without releasing anything
    RESTART = "restart"  # a new process of the same name starts, while the old one still runs
    NOTIFY_MEMBER = "tell"  # a watch notifies a member of changes
    BEGIN_EFFECT = "effect"  # a member sends an effect to the store


CALL_FAULTS = (
    ActionKind.LOSE_REPLY,
    ActionKind.DELAY_CALL,
    ActionKind.REJECT_CALL,
    ActionKind.DELAY_REPLY,
)
FAULTS = (*CALL_FAULTS, ActionKind.PAUSE, ActionKind.RESTART, ActionKind.CRASH)


class Action(NamedTuple):
    """One action. index: of the call, reply, effect or member that it concerns; role: of BEGIN_EFFECT."""

    kind: ActionKind
    index: int = 0
    role: str = ""


class SentCall(NamedTuple):
    """A call that the store has not executed yet; member: the index of its caller."""

    member: int
    call: PendingCall


class SentReply(NamedTuple):
    """A reply that has not reached its caller yet; member: the index of that caller."""

    member: int
    call: PendingCall
    reply: Reply


class SentEffect(NamedTuple):
    """An effect that the store has not executed yet: a write for a role under a fencing token."""

    role: str
    token: int
    request: Transaction
