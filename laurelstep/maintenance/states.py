"""The states of a machine under maintenance, and the table of their transitions. Pure.

1. A machine is out of service from `DRAINING` until `RETURNED`, and counts against every limit during that
   time; while `WARMING_UP`, the share of its capacity that slow start allows counts as in service.
2. An event without a row for the present state is rejected and changes nothing. A row that leads to the same
   state makes a repeated call idempotent.
3. The values are part of log entries, snapshots and HTTP answers: they never change.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class MachineState(StrEnum):
    """The state of a machine on its way out of service and back."""

    REQUESTED = "wished"  # submitted at one replica, not yet committed
    WAITING = "waiting"  # committed; the limits do not allow its drain yet
    DRAINING = "leaving"  # replicas stop sending to it; some have not acknowledged yet
    DRAINED = "clear"  # no replica sends to it; all have acknowledged
    IN_MAINTENANCE = "at work"  # an operator has begun work
    OVERDUE = "overdue"  # not finished within the time that its request allows
    WARMING_UP = "returning"  # in slow start
    RETURNED = "back"
    WITHDRAWN = "withdrawn"  # by an operator, or because discovery removed it


class MachineEvent(StrEnum):
    """The events that change a machine's state."""

    COMMIT = "agree"
    WITHDRAW = "withdraw"
    DRAIN = "leave"
    ALL_DRAINED = "clear"  # every replica has acknowledged the drain
    DROP = "drop"  # discovery removed, replaced or drained it
    KEEP_LAST = "spare"  # it is the last ready machine and stays in service
    BEGIN_WORK = "begin"
    EXCEED_TIME = "overdue"
    FINISH_WORK = "done"
    WARM_UP = "back"  # slow start is over


TRANSITIONS: Final[dict[tuple[str, MachineState], MachineState]] = {
    (MachineEvent.COMMIT, MachineState.REQUESTED): MachineState.WAITING,
    (MachineEvent.WITHDRAW, MachineState.REQUESTED): MachineState.WITHDRAWN,
    (MachineEvent.DRAIN, MachineState.WAITING): MachineState.DRAINING,
    (MachineEvent.WITHDRAW, MachineState.WAITING): MachineState.WITHDRAWN,
    (MachineEvent.ALL_DRAINED, MachineState.DRAINING): MachineState.DRAINED,
    (MachineEvent.WITHDRAW, MachineState.DRAINING): MachineState.WITHDRAWN,
    (MachineEvent.DROP, MachineState.DRAINING): MachineState.WITHDRAWN,
    (MachineEvent.KEEP_LAST, MachineState.DRAINING): MachineState.WAITING,
    (MachineEvent.BEGIN_WORK, MachineState.DRAINED): MachineState.IN_MAINTENANCE,
    # Work on a machine must not begin without `BEGIN_WORK`, so a drained one can still return.
    (MachineEvent.WITHDRAW, MachineState.DRAINED): MachineState.WITHDRAWN,
    (MachineEvent.EXCEED_TIME, MachineState.DRAINED): MachineState.OVERDUE,
    (MachineEvent.FINISH_WORK, MachineState.DRAINED): MachineState.WARMING_UP,
    (MachineEvent.BEGIN_WORK, MachineState.IN_MAINTENANCE): MachineState.IN_MAINTENANCE,
    (MachineEvent.EXCEED_TIME, MachineState.IN_MAINTENANCE): MachineState.OVERDUE,
    (MachineEvent.FINISH_WORK, MachineState.IN_MAINTENANCE): MachineState.WARMING_UP,
    (MachineEvent.BEGIN_WORK, MachineState.OVERDUE): MachineState.OVERDUE,
    (MachineEvent.FINISH_WORK, MachineState.OVERDUE): MachineState.WARMING_UP,
    (MachineEvent.FINISH_WORK, MachineState.WARMING_UP): MachineState.WARMING_UP,
    (MachineEvent.WARM_UP, MachineState.WARMING_UP): MachineState.RETURNED,
}
# In these states replicas publish the machine to their engines as draining.
CORDONED_STATES: Final = frozenset(
    (
        MachineState.DRAINING,
        MachineState.DRAINED,
        MachineState.IN_MAINTENANCE,
        MachineState.OVERDUE,
    )
)
# All replicas have acknowledged the drain: a process that gets such a machine cordons it unconditionally.
DRAINED_STATES: Final = frozenset((MachineState.DRAINED, MachineState.IN_MAINTENANCE, MachineState.OVERDUE))
OUT_OF_SERVICE_STATES: Final = CORDONED_STATES | {MachineState.WARMING_UP}


def next_state(event: str, state: MachineState) -> MachineState | None:
    """The state after an event; None if the event is not allowed in this state."""
    return TRANSITIONS.get((event, state))
