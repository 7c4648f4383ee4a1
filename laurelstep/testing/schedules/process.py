"""One process of a made tier: its core, its machines, its clock and what its store kept."""

from __future__ import annotations

import dataclasses
import random
from typing import Final

import msgspec

from laurelstep.accord.core import Core, Timing
from laurelstep.accord.leases import Leases
from laurelstep.accord.machines import Machines

__all__ = ["LEASES", "MILLION", "TAPE", "Made", "Process", "Tape", "next_digest"]

MILLION: Final = 1_000_000
_Dump = tuple[list[tuple[int, int]], set[bytes]]
_tape: msgspec.msgpack.Decoder[_Dump] = msgspec.msgpack.Decoder(_Dump)


# The byte of an entry for the tape, and of one for the leases.
TAPE: Final = b"\0"
LEASES: Final = b"\1"


def next_digest(before: int, index: int, data: bytes) -> int:
    """The digest of all up to `index`."""
    return hash((before, index, int.from_bytes(data, "big")))


class Tape:
    """A machine that writes down what it is told: place and a digest of all up to there."""

    def __init__(self) -> None:
        self.places: list[tuple[int, int]] = []
        self.data: set[bytes] = set()
        self.loads = 0

    def apply(self, index: int, data: bytes) -> None:
        before = self.places[-1][1] if self.places else 0
        self.places.append((index, next_digest(before, index, data)))
        self.data.add(data)

    def dump(self) -> bytes:
        return msgspec.msgpack.encode((self.places, sorted(self.data)))

    def load(self, raw: bytes) -> None:
        self.loads += 1
        self.places, self.data = [], set()
        if raw:
            self.places, self.data = _tape.decode(raw)


@dataclasses.dataclass
class Made:
    """What a tier is made of. The classes may be faulty ones."""

    seats: int = 3
    peers: int = 3
    timing: Timing = dataclasses.field(default_factory=Timing)
    lasting: bool = False
    core: type[Core] = Core
    leases: type[Leases] = Leases
    # Fault: a process that comes again from nothing takes its old incarnation.
    forgets_amnesia: bool = False


class Process:
    """One process, through its lives."""

    def __init__(self, me: int, made: Made, draw: random.Random) -> None:
        self.me = me
        self._made = made
        self._draw = draw
        self.shift = draw.randrange(10**10)
        drift = int(made.timing.drift * MILLION) - 1
        self.rate = MILLION + draw.randint(-drift, drift)
        self.kept: dict[bytes, bytes] = {}
        self.core: Core | None = None
        self.tape = Tape()
        self.leases = self._new_leases()
        self.incarnation = 0
        self.paused = False
        self.inbox: list[tuple[int, bytes]] = []
        self.doomed = False
        self.version = 0
        # How often it has lost all it knew.
        self.forgot = 0

    @property
    def alive(self) -> bool:
        return self.core is not None

    def local(self, time: int) -> int:
        return self.shift + time * self.rate // MILLION

    def true(self, local: int) -> int:
        """The first true time at which the clock shows at least that."""
        return -(-(local - self.shift) * MILLION // self.rate)

    def _new_leases(self) -> Leases:
        timing = self._made.timing
        return self._made.leases(self.me, timing.drift, timing.lease_us, self._draw)

    def begin(self) -> None:
        made = self._made
        self.tape = Tape()
        self.leases = self._new_leases()
        if not (made.forgets_amnesia and self.incarnation):
            self.incarnation = self._draw.getrandbits(64)
        self.core = made.core(
            self.me,
            made.peers,
            made.seats,
            self.incarnation,
            Machines({TAPE[0]: self.tape, LEASES[0]: self.leases}),
            made.timing,
            random.Random(self._draw.getrandbits(64)),
            self.kept,
        )
        self.incarnation = self.core.incarnation
        self.paused = self.doomed = False
        self.inbox = []
