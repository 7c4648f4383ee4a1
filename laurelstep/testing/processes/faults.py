"""What becomes of datagrams on their way. Pure: data in, parcels out; the seed is passed in.

Rules that everything here serves:

1. A way goes in one direction. What it does to the n-th datagram follows from its seed, n, the
   weather and the orders before it; never from the time or from another way.
2. An order of the test goes before the weather: cut, hold, lose and double the next ones.
3. A cut way loses what comes; what was under way then still arrives, as on a network.
4. A way that holds keeps `HELD_MOST` at most, loses what comes beyond, and gives back what it
   kept, in the order or turned round.
5. Each datagram counts once: as passed, or as lost. A copy counts as doubled.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

HELD_MOST: Final = 4096


@dataclass(frozen=True, slots=True)
class Weather:
    """Parts from 0 to 1 of the datagrams; delays in µs, drawn evenly between the two. With a wide
    delay they overtake each other; `turn` lets the next one go first whatever the time."""

    lose: float = 0.0
    double: float = 0.0
    turn: float = 0.0
    delay_us: tuple[int, int] = (0, 0)


CLEAR_WEATHER: Final = Weather()


@dataclass(frozen=True, slots=True)
class Parcel:
    """To be delivered this much later."""

    after_us: int
    data: bytes


class Way:
    """One direction between two peers."""

    def __init__(self, draw: random.Random) -> None:
        self.draw = draw
        self.weather = CLEAR_WEATHER
        self.cut = False
        self.holding = False
        self.passed = self.lost = self.doubled = self.turned = 0
        self.sizes = 0  # of what came, bytes
        self._lose_next = self._double_next = 0
        self._held: list[bytes] = []
        self._overtaken: bytes | None = None

    # --- Orders ---------------------------------------------------------------------

    def lose_next(self, count: int = 1) -> None:
        self._lose_next += count

    def double_next(self, count: int = 1) -> None:
        self._double_next += count

    def hold(self) -> None:
        """Keep what comes, until `release`."""
        self.holding = True

    def release(self, turned: bool = False) -> list[Parcel]:
        """What was kept, the last one first if `turned`."""
        self.holding = False
        held, self._held = self._held, []
        self.turned += len(held) - 1 if turned and held else 0
        return [Parcel(0, data) for data in (reversed(held) if turned else held)]

    # --- What passes ----------------------------------------------------------------

    def carry(self, data: bytes) -> list[Parcel]:
        """What arrives because this was sent, and what it overtook."""
        lose, double, turn, *delays = (self.draw.random() for _ in range(5))
        self.sizes += len(data)
        if self._is_lost(lose):
            self.lost += 1
            return []
        self.passed += 1
        if self.holding:
            self._held.append(data)
            return []
        if self._overtaken is None and turn < self.weather.turn:
            self.turned += 1
            self._overtaken = data
            return []
        parcels = [Parcel(self._delay(delays[0]), data)]
        if self._double_next or double < self.weather.double:
            self._double_next = max(0, self._double_next - 1)
            self.doubled += 1
            parcels.append(Parcel(self._delay(delays[1]), data))
        if self._overtaken is not None:
            parcels.append(Parcel(parcels[-1].after_us, self._overtaken))
            self._overtaken = None
        return parcels

    def _is_lost(self, drawn: float) -> bool:
        if self._lose_next:
            self._lose_next -= 1
            return True
        full = self.holding and len(self._held) >= HELD_MOST
        return self.cut or full or drawn < self.weather.lose

    def _delay(self, drawn: float) -> int:
        least, most = self.weather.delay_us
        return least + int(drawn * (most - least))


class Ways:
    """Between all pairs of so many peers."""

    def __init__(self, peers: int, seed: int) -> None:
        self.peers = peers
        self.by_pair = {
            (one, other): Way(random.Random(f"{seed} {one} {other}"))
            for one in range(peers)
            for other in range(peers)
            if one != other
        }

    def between(
        self, some: Iterable[int], others: Iterable[int], both: bool = True
    ) -> Iterator[tuple[tuple[int, int], Way]]:
        """The ways from `some` to `others`, and back if `both`."""
        far = set(others)
        for one in set(some):
            for other in far - {one}:
                yield (one, other), self.by_pair[one, other]
                if both:
                    yield (other, one), self.by_pair[other, one]

    def cut(self, some: Iterable[int], others: Iterable[int], both: bool = True) -> None:
        for _, way in self.between(some, others, both):
            way.cut = True

    def heal(self, some: Iterable[int] | None = None, others: Iterable[int] | None = None) -> None:
        """End cuts: all, or those between these two groups."""
        everyone = range(self.peers)
        for _, way in self.between(
            everyone if some is None else some, everyone if others is None else others
        ):
            way.cut = False

    def change_weather(self, weather: Weather) -> None:
        for way in self.by_pair.values():
            way.weather = weather
