"""The states of a machine in a wish: one table. Pure.

A machine is out from `leaving` until `back`: it counts against every limit, `returning` with the
part of its capacity that a cold one has. What stands nowhere in the table is refused, and
changes nothing; what is asked twice says yes twice.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class State(StrEnum):
    WISHED = "wished"  # asked at a copy, not yet agreed
    WAITING = "waiting"  # agreed; its turn has not come
    LEAVING = "leaving"  # copies send nothing new there; some have not confirmed that yet
    CLEAR = "clear"  # nobody sends there, and nobody will
    AT_WORK = "at work"  # somebody has begun
    OVERDUE = "overdue"  # out for longer than its wish says
    RETURNING = "returning"  # sent to as one that has just started
    BACK = "back"
    WITHDRAWN = "withdrawn"  # the wish, or discovery, took it back


MOVES: Final = {
    ("agree", State.WISHED): State.WAITING,
    ("withdraw", State.WISHED): State.WITHDRAWN,
    ("leave", State.WAITING): State.LEAVING,
    ("withdraw", State.WAITING): State.WITHDRAWN,
    ("clear", State.LEAVING): State.CLEAR,
    ("withdraw", State.LEAVING): State.WITHDRAWN,
    ("drop", State.LEAVING): State.WITHDRAWN,  # discovery removed, replaced or drains it
    ("spare", State.LEAVING): State.WAITING,  # all others went: the last ready one stays
    ("begin", State.CLEAR): State.AT_WORK,
    ("withdraw", State.CLEAR): State.WITHDRAWN,  # nobody may be at work without `begin`
    ("overdue", State.CLEAR): State.OVERDUE,
    ("done", State.CLEAR): State.RETURNING,
    ("begin", State.AT_WORK): State.AT_WORK,
    ("overdue", State.AT_WORK): State.OVERDUE,
    ("done", State.AT_WORK): State.RETURNING,
    ("begin", State.OVERDUE): State.OVERDUE,
    ("done", State.OVERDUE): State.RETURNING,
    ("done", State.RETURNING): State.RETURNING,
    ("back", State.RETURNING): State.BACK,
}
# Held back from all traffic, whoever asks.
HELD: Final = frozenset((State.LEAVING, State.CLEAR, State.AT_WORK, State.OVERDUE))
# Nobody sends there: what a process learns of at its start, it takes without a look.
CLEARED: Final = frozenset((State.CLEAR, State.AT_WORK, State.OVERDUE))
OUT: Final = HELD | {State.RETURNING}


def move(event: str, state: State) -> State | None:
    """The state that follows; None if it may not be asked now."""
    return MOVES.get((event, state))
