"""Kinds of action of the explored worlds in which two processes may lead one role."""

from enum import StrEnum


class ActionKind(StrEnum):
    """What can happen next in a world with a store and leaders."""

    ADVANCE_TIME = "time"  # time passes
    EXECUTE_CALL = "carry out"  # the store carries a call out
    DELIVER_REPLY = "reply"  # a reply arrives
    LOSE_REPLY = "lose the reply"  # carried out, and the reply is lost
    DELAY_CALL = "hold back"  # given up by its caller; carried out later or never
    REJECT_CALL = "refuse"  # certainly not carried out
    EXECUTE_DELAYED_CALL = "late"  # a call that was held back is carried out
    NOTIFY_LEADER = "tell"  # a leader is notified of a change
    MISS_CHANGES = "miss"  # a leader missed changes
    ELECT = "elect"  # the other process leads the role
    LOSE_ROLE = "lost"  # a process learns that it lost the role
    PROPOSE = "propose"  # a policy change is proposed
    JOIN = "come"  # a member joins
    CRASH = "die"  # a process ends without a word
    LEAVE = "leave"  # a member leaves in order
    DISCONNECT = "cut"  # a member is cut off from the store
    RECONNECT = "heal"  # ... and reaches it again
    DISPATCH = "send"  # a member dispatches a command
    PROCESS_CORE_REQUEST = "core"  # a member applies its policy
    NOTIFY_MEMBER = "hear"  # a member is notified of a change
    LOSE_WATCH = "deaf"  # a watch goes silent
    ACQUIRE = "spend"  # a member acquires from its allocation
    RELEASE = "end"  # ... and releases
    REPORT = "report"  # a member reports its usage


# Faults of a call to the store.
CALL_FAULTS = (ActionKind.LOSE_REPLY, ActionKind.DELAY_CALL, ActionKind.REJECT_CALL)
