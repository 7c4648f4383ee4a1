"""How fast a body must come, and how much of bodies is held in memory. Pure; time passed in, in s.

Rules that everything here serves:

1. A body goes on as long as bytes keep coming and their mean rate is not under `RATE_LEAST`,
   counted from the end of the head, with `GRACE_S` to begin.
2. A request is held until it is whole, so that it can be sent again, up to `HOLD_EACH` and while
   all that are held fit into the room. Past that its body is passed on while it comes; one
   whose head is not whole gives way. The same holds for answers, which have a room of their own.
3. What was taken of the room is given back once, when its request, or answer, is over.
"""

from __future__ import annotations

from typing import Final

# Callers may send 64 kB/s: half of that allows for pauses and for what is on its way.
RATE_LEAST: Final = 32_000.0
GRACE_S: Final = 2.2
# Held whole at most; up to `FREE` it does not count: each connection may hold that, which
# is no more than its own buffers take.
HOLD_EACH: Final = 1 << 20
FREE: Final = 8 * 1024
# What a process needs beside bodies, and the part of the rest that bodies may have: two
# processes share the memory during an upgrade.
BASE_MB: Final = 20
PART: Final = 0.25
ANSWERS_PART: Final = 0.125
ROOM_LEAST: Final = 1 << 20
# What one body that is passed on holds: a write buffer up to its mark, and the read, of 256 KiB
# at most, that went over that.
PASSING_EACH: Final = (64 + 256) * 1024
# Where no limit of memory is told.
MEMORY_DEFAULT_MB: Final = 128


def keeps_pace(size: int, since_s: float) -> bool:
    """Whether a body of which so much has come in that time may go on."""
    return since_s <= GRACE_S or size >= RATE_LEAST * (since_s - GRACE_S)


def room_for(memory_mb: int, part: float = PART) -> int:
    """Bytes of requests that may be held with that limit of memory; 0 = none is told."""
    left = (memory_mb or MEMORY_DEFAULT_MB) - BASE_MB
    return max(ROOM_LEAST, int(left * part) << 20)


def bound(memory_mb: int, passing: int) -> int:
    """Bytes that all bodies together hold at most, with so many on their way in either direction."""
    return room_for(memory_mb) + room_for(memory_mb, ANSWERS_PART) + passing * PASSING_EACH


class Room:
    """Bytes that are held, past what each connection has anyway."""

    __slots__ = ("most", "used")

    def __init__(self, most: int) -> None:
        self.most = most
        self.used = 0

    def hold(self, size: int, held: int) -> int:
        """What so much of a message takes of the room in all, `held` of it so far; -1 if it
        may not be held any longer."""
        want = max(0, size - FREE)
        if size > HOLD_EACH or self.used + want - held > self.most:
            return -1
        self.used += want - held
        return want

    def count(self, size: int, held: int) -> int:
        """The same for what has come whole at once, or can't be passed on: it is held all the
        same, and others find less."""
        want = max(0, size - FREE)
        self.used += want - held
        return want

    def give_back(self, held: int) -> None:
        self.used -= held
