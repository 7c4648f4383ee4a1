"""Detects that the event loop may have been blocked, so that data which arrived at a socket is still unread.

Rules of this module:

1. While the loop is not late, all data that arrived at a socket `STALE_US` ago or earlier has been read.
2. A check costs no system call and does not wake an idle loop. After `BLOCKED_US` without a check it is
   not known whether the loop was blocked, so it counts as late.
"""

from __future__ import annotations

from typing import Final

from laurelstep.engine.ports import Clock

# After a longer time between two checks the loop may have been blocked; it may also have been idle.
BLOCKED_US: Final = 20_000
# The shortest time between two iterations of the loop that are observed.
ITERATION_INTERVAL_US: Final = 10_000
# How long the loop counts as late after it was blocked. Data that arrived meanwhile is read within two
# iterations.
LATE_US: Final = 50_000
# Data that arrived longer ago than this has been read, unless the loop is late.
STALE_US: Final = 100_000


class LoopWatch:
    """Checked before an attempt begins. At most one callback of it is pending on the loop. Times in µs."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_checked_at = 0
        self.iteration_at = 0  # when the last observed iteration ran, or the next one was requested
        self.awaits_iteration = False
        self.late_until = 0

    def is_late(self, now: int) -> bool:
        """Whether data that arrived more than `STALE_US` ago may be unread at the time `now`, in µs."""
        was_blocked = now - self.last_checked_at > BLOCKED_US
        self.last_checked_at = now
        if self.awaits_iteration:
            was_blocked = was_blocked or now - self.iteration_at > BLOCKED_US
        elif now - self.iteration_at > ITERATION_INTERVAL_US:
            self.awaits_iteration, self.iteration_at = True, now
            self.clock.at(now, self._on_iteration)
        if was_blocked:
            self.late_until = now + LATE_US
        return now < self.late_until

    def _on_iteration(self) -> None:
        now = self.clock.now()
        if now - self.iteration_at > BLOCKED_US:
            self.late_until = now + LATE_US
        self.awaits_iteration, self.iteration_at = False, now
