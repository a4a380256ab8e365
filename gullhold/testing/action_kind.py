"""Kinds of action in simulated worlds in which two processes may hold one role."""

from enum import StrEnum


class ActionKind(StrEnum):
    """What can happen next; the values appear in the traces of failed walks."""

    ADVANCE_TIME = "time"  # time advances by one step
    EXECUTE_CALL = "carry out"  # the store executes a call; its reply is under way
    DELIVER_REPLY = "reply"  # a reply reaches its caller
    LOSE_REPLY = "lose the reply"  # the store executes a call, and the reply is lost
    DELAY_CALL = "hold back"  # the caller gives the call up; the store executes it later or never
    REJECT_CALL = "refuse"  # the store rejects a call: it is known not to have been executed
    EXECUTE_DELAYED_CALL = "late"  # the store executes a delayed call
    NOTIFY_LEADER = "tell"  # a watch notifies a leader of changes
    MISS_CHANGES = "miss"  # a leader learns that its watch missed changes
    ELECT = "elect"  # the other process wins the role; the former leader does not know yet
    LOSE_ROLE = "lost"  # a process learns that it has lost the role
    PROPOSE = "propose"  # a change of the policy is proposed
    JOIN = "come"  # a member starts and gets a lease
    CRASH = "die"  # a member ends without releasing anything
    LEAVE = "leave"  # a member shuts down in order
    DISCONNECT = "cut"  # a member can no longer reach the store
    RECONNECT = "heal"  # a member can reach the store again
    DISPATCH = "send"  # a member dispatches a command
    PROCESS_CORE_REQUEST = "core"  # a member's core processes the oldest request of its queue
    NOTIFY_MEMBER = "hear"  # a watch notifies a member of a change
    LOSE_WATCH = "deaf"  # a member learns that its watch missed changes
    ACQUIRE = "spend"  # a member acquires all that its allocation allows
    RELEASE = "end"  # a member releases what it acquired
    REPORT = "report"  # a member reports its usage of budgets


# What can go wrong with a call to the store.
CALL_FAULTS = (ActionKind.LOSE_REPLY, ActionKind.DELAY_CALL, ActionKind.REJECT_CALL)
