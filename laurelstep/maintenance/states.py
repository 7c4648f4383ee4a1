"""The states of a machine under maintenance, and the transitions between them in one table. Pure.

1. A machine is out of service from `DRAINING` until `RETURNED` and counts against every limit all that time;
   while `WARMING_UP` it counts with the part of its capacity that slow start gives it.
2. An event without a row for the present state is rejected and changes nothing. A row that leads back to its
   own state makes a repeated call idempotent.
3. The values are part of log entries, snapshots and HTTP answers: they never change.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class MachineState(StrEnum):
    """Where a machine is on its way out of service and back."""

    REQUESTED = "wished"  # submitted at one replica, not yet committed
    WAITING = "waiting"  # committed; the limits have no room for it yet
    DRAINING = "leaving"  # replicas stop sending to it; some have not acknowledged that yet
    DRAINED = "clear"  # no replica sends to it, and none will
    IN_MAINTENANCE = "at work"  # an operator has begun
    OVERDUE = "overdue"  # out for longer than its request allows
    WARMING_UP = "returning"  # in slow start
    RETURNED = "back"
    WITHDRAWN = "withdrawn"  # by an operator, or because discovery removed it


class MachineEvent(StrEnum):
    """What moves a machine from one state to the next."""

    COMMIT = "agree"
    WITHDRAW = "withdraw"
    DRAIN = "leave"
    ALL_DRAINED = "clear"  # every replica has acknowledged the drain
    DROP = "drop"  # discovery removed, replaced or drains it
    KEEP_LAST = "spare"  # every other machine went: the last ready one stays in service
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
    # Nobody may work on a machine without `BEGIN_WORK`, so that it can still be taken back here.
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
# Every replica sends its traffic elsewhere.
CORDONED_STATES: Final = frozenset(
    (
        MachineState.DRAINING,
        MachineState.DRAINED,
        MachineState.IN_MAINTENANCE,
        MachineState.OVERDUE,
    )
)
# No replica sends to it: a process that learns of such a machine applies the cordon unconditionally.
DRAINED_STATES: Final = frozenset((MachineState.DRAINED, MachineState.IN_MAINTENANCE, MachineState.OVERDUE))
OUT_OF_SERVICE_STATES: Final = CORDONED_STATES | {MachineState.WARMING_UP}


def next_state(event: str, state: MachineState) -> MachineState | None:
    """The state after an event; None if the event is not allowed in this state."""
    return TRANSITIONS.get((event, state))
