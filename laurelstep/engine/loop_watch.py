"""Whether the event loop may have been held up, so that what has come to a socket is not read yet.

Rules that everything here serves:

1. Whoever is told that the loop is not late may count on this: what came to a socket `STALE_US` ago or
   earlier has been read.
2. Asking costs no system call and no wake-up of an idle loop. Where nobody has asked for `HELD_US`
   nothing is known, so the loop counts as late.
"""

from __future__ import annotations

from typing import Final

from laurelstep.engine.ports import Clock

# A longer gap between two questions may be a loop that was held, or an idle one.
HELD_US: Final = 20_000
# A turn of the loop is awaited no more often than this.
TURN_EACH_US: Final = 10_000
# Behind a hold: what came during it is read within two turns.
LATE_US: Final = 50_000
STALE_US: Final = 100_000


class LoopWatch:
    """Asked before an attempt begins; keeps one callback pending on the loop at most."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.asked_at = 0
        self.turn_at = 0  # when the last turn came, or was asked for
        self.awaits_turn = False
        self.late_until = 0

    def is_late(self, now: int) -> bool:
        """Whether something older than `STALE_US` may be unread at the time `now`, in us."""
        held = now - self.asked_at > HELD_US
        self.asked_at = now
        if self.awaits_turn:
            held = held or now - self.turn_at > HELD_US
        elif now - self.turn_at > TURN_EACH_US:
            self.awaits_turn, self.turn_at = True, now
            self.clock.at(now, self._on_turn)
        if held:
            self.late_until = now + LATE_US
        return now < self.late_until

    def _on_turn(self) -> None:
        now = self.clock.now()
        if now - self.turn_at > HELD_US:
            self.late_until = now + LATE_US
        self.awaits_turn, self.turn_at = False, now
