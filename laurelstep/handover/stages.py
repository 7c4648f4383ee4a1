"""How far a handover has come, as the process that leaves sees it. Pure.

Rules that everything here serves:

1. One process takes over at a time; a second that asks meanwhile is told no.
2. Until the other takes callers, nothing changes for those here but the share of what the
   two may use together. Should it end before, this one is alone again.
3. Callers are left to the other only while it lives and has said that it takes them: then a
   stop need not wait for late ones.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

# Of connections and descriptors, while there are two.
HALF: Final = 0.5


class Stage(StrEnum):
    ALONE = "alone"
    OFFERED = "offered"  # the other has the listener, and is starting
    TAKEN = "taken"  # it takes callers


MOVES: Final = {
    ("ask", Stage.ALONE): Stage.OFFERED,
    ("ready", Stage.OFFERED): Stage.TAKEN,
    ("lost", Stage.OFFERED): Stage.ALONE,
    ("lost", Stage.TAKEN): Stage.ALONE,
}


class Handover:
    def __init__(self) -> None:
        self.stage = Stage.ALONE

    def tell(self, event: str) -> bool:
        """Whether it changes anything."""
        stage = MOVES.get((event, self.stage))
        if stage is None:
            return False
        self.stage = stage
        return True

    @property
    def share(self) -> float:
        return 1.0 if self.stage == Stage.ALONE else HALF

    @property
    def taken(self) -> bool:
        return self.stage == Stage.TAKEN
