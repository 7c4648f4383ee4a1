"""Terms, times and bounds of what is shared."""

from __future__ import annotations

import dataclasses
from typing import Final, NamedTuple

__all__ = ["ENTRY_MOST", "NOWHERE", "PENDING_MOST", "WORD_MOST", "Effects", "Era", "Timing"]

# An entry's and a word's longest data, in bytes: with their frame they fit in a datagram.
ENTRY_MOST: Final = 160
WORD_MOST: Final = 160
# Proposals that wait for agreement at a time.
PENDING_MOST: Final = 64


class Era(NamedTuple):
    """One founding of the record. Compared by generation, then id."""

    generation: int
    id: int


# The era of a process that has no record.
NOWHERE: Final = Era(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Durations in µs, the bound on clock drift, and the bound on the log."""

    heartbeat_us: int = 200_000
    # A follower waits between this and twice this.
    election_us: int = 600_000
    # A learner at rest asks this often, and is remembered for three times as long.
    rest_us: int = 5_000_000
    # Without a leader for so long, a seat looks into founding; a founding takes at most so long.
    found_us: int = 2_400_000
    lease_us: int = 10_000_000
    # No process's clock runs faster or slower than true time by more than this part.
    drift: float = 0.01
    # Entries in the log before a snapshot; a quarter of them stays for those a little behind.
    log_most: int = 512


@dataclasses.dataclass(slots=True)
class Effects:
    """What a step wants done: first `keep` durable, then `sends` sent, then the next step.

    A step with `keep` is followed by no other until that is durable: the core counts on it. If it can't
    be made durable, the process must stop.
    """

    sends: list[tuple[int, bytes]] = dataclasses.field(default_factory=list)
    keep: dict[bytes, bytes | None] = dataclasses.field(default_factory=dict)
    # Where a proposal stands in the log of the one that leads. It is agreed once applied at this index with
    # the same data; another leader may put another entry there.
    index: int | None = None
    # Entries were applied, or a snapshot was loaded.
    changed: bool = False
