"""Kinds of action of the explored worlds in which two processes may lead one role."""

from enum import StrEnum


class ActionKind(StrEnum):
    """What can happen next in a world with a store and leaders."""

    TIME = "time"  # time passes
    CARRY_OUT = "carry out"  # the store carries a call out
    REPLY = "reply"  # a reply arrives
    LOSE_THE_REPLY = "lose the reply"  # carried out, and the reply is lost
    HOLD_BACK = "hold back"  # given up by its caller; carried out later or never
    REFUSE = "refuse"  # certainly not carried out
    LATE = "late"  # a call that was held back is carried out
    TELL = "tell"  # a leader is notified of a change
    MISS = "miss"  # a leader missed changes
    ELECT = "elect"  # the other process leads the role
    LOST = "lost"  # a process learns that it lost the role
    PROPOSE = "propose"  # a policy change is proposed
    COME = "come"  # a member joins
    DIE = "die"  # a process ends without a word
    LEAVE = "leave"  # a member leaves in order
    CUT = "cut"  # a member is cut off from the store
    HEAL = "heal"  # ... and reaches it again
    SEND = "send"  # a member dispatches a command
    CORE = "core"  # a member applies its policy
    HEAR = "hear"  # a member is notified of a change
    DEAF = "deaf"  # a watch goes silent
    SPEND = "spend"  # a member acquires from its allocation
    END = "end"  # ... and releases
    REPORT = "report"  # a member reports its usage


# Faults of a call to the store.
CALL_FAULTS = (ActionKind.LOSE_THE_REPLY, ActionKind.HOLD_BACK, ActionKind.REFUSE)
