"""The invariants of the agreed record, looked at after every step, by name.

- "one order": what two processes have applied up to a place of one era is the same.
- "nothing lost": one that begins to lead has all that was agreed in earlier terms of its era; one that founds
  an era has all that was agreed in older ones and that a living seat remembers. While a majority of those
  that agreed it remembers, one of them is such a seat.
- "one leader": at most one incarnation leads in a term of an era.
- "one vote": an incarnation votes for at most one candidate in a term of an era.
- "leases apart": no two living processes hold a lease at one true time, a paused one by its own clock too.
- "no stale read": one that begins to know the record has applied all that was agreed in its era when it was
  born.
- "bounded": the log keeps to its bound, a datagram to its length, and a tick leaves no tick due.
- "progress": once faults end, an entry is agreed and known by all (`script.py` says when).

It reads what a process shows and what it sends; of its insides only which places and terms its log holds.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from laurelstep.accord import messages as m
from laurelstep.accord.log import DATA
from laurelstep.accord.ports import DATAGRAM_MOST
from laurelstep.accord.terms import NOWHERE, PENDING_MOST, Era
from laurelstep.errors import LaurelstepError
from laurelstep.testing.schedules.process import TAPE, Made, Process, next_digest

__all__ = ["BrokenError", "Checker", "Place"]

# Where a message's kind stands: after the version and the array's head.
KIND_AT = 2
STAND = 5
VOTE = 6


class BrokenError(LaurelstepError, AssertionError):
    """An invariant does not hold: `name` says which, `seed` under which schedule."""

    cause = "an invariant of the agreed record does not hold under a made schedule"
    remedy = "play the seed that the text names again, and report it: the fault is in the program"

    def __init__(self, name: str, seed: int, seen: str) -> None:
        super().__init__(f"{name}: seed {seed}: {seen}")
        self.name = name
        self.seed = seed


class Place(NamedTuple):
    """The newest place with data that is agreed in an era: its digest stands for all before it."""

    at: int
    digest: int


class Checker:
    """See the invariants."""

    def __init__(self, processes: Sequence[Process], made: Made, seed: int) -> None:
        self._processes = processes
        self._made = made
        self._seed = seed
        # By era and place: the digest of all up to there.
        self._orders: dict[tuple[Era, int], int] = {}
        self._bases: dict[Era, int] = {}
        self.agreed: dict[Era, Place] = {}
        # Who had it when it was agreed, and may have forgotten it since.
        self._had: dict[Era, set[tuple[int, int]]] = {}
        # The same by the term in which it was agreed.
        self._agreed_in: dict[Era, dict[int, Place]] = {}
        self._leaders: dict[tuple[Era, int], tuple[int, int]] = {}
        self._votes: dict[tuple[Era, int, int], int] = {}
        # By process: what was agreed when it was born; whether it knew; places and loads seen, and applied.
        self._born: dict[int, tuple[Era, Place] | None] = {}
        self._knew: dict[int, bool] = {}
        self._looked: dict[int, tuple[int, int, Era, int]] = {}

    def broken(self, name: str, seen: str) -> BrokenError:
        return BrokenError(name, self._seed, seen)

    def born(self, process: Process) -> None:
        newest = max(self.agreed, default=None)
        self._born[process.me] = None if newest is None else (newest, self.agreed[newest])
        self._knew[process.me] = False
        self._looked.pop(process.me, None)

    # After a step

    def stepped(self, process: Process, time: int) -> None:
        core = process.core
        assert core is not None
        era = core.era
        if era != NOWHERE and era not in self._bases:
            self._founded(process, era)
        looked = (len(process.tape.places), process.tape.loads, era, core.applied)
        # Without an era it may hold what is left of one that is over, until the one that lives is here.
        if era != NOWHERE and looked != self._looked.get(process.me):
            self._applied(process, era, core.applied)
            self._looked[process.me] = looked
        if core.role == "leader":
            self._led(process, era, core.term)
        if core.known != self._knew[process.me]:
            self._knew[process.me] = core.known
            if core.known:
                self._knows(process, era)
        if process.leases.holds(process.local(time), "lease"):
            self._held(process, time)
        if core.log_size > self._made.timing.log_most + 2 * PENDING_MOST:
            raise self.broken("bounded", f"{core.log_size} entries in the log of {process.me}")

    def ticked(self, process: Process, time: int) -> None:
        core = process.core
        if core is not None and core.due <= process.local(time):
            raise self.broken("bounded", f"a tick of {process.me}, {core.role}, left a tick due")

    def _applied(self, process: Process, era: Era, applied: int) -> None:
        places = process.tape.places
        seen = self._looked.get(process.me)
        digest = places[-1][1] if places else 0
        fresh = [(applied, digest)]
        if seen is not None and seen[1:3] == (process.tape.loads, era):
            fresh = [*places[seen[0] :], *fresh]
        for at, value in fresh:
            if self._orders.setdefault((era, at), value) != value:
                raise self.broken("one order", f"at place {at} of era {era.generation}, by {process.me}")
        if places and applied > self._bases.get(era, applied):
            last = self.agreed.get(era)
            if last is None or places[-1][0] > last.at:
                self._agree(process, era, Place(*places[-1]))

    def _agree(self, process: Process, era: Era, place: Place) -> None:
        """The first to apply is the leader, or one that the leader of its term told."""
        assert process.core is not None
        self.agreed[era] = place
        self._had[era] = {
            (one.me, one.forgot) for one in self._processes[: self._made.seats] if self._remembers(one, place)
        }
        by_term = self._agreed_in.setdefault(era, {})
        by_term[max(process.core.term, *by_term, 0)] = place

    def _remembers(self, process: Process, place: Place) -> bool:
        """Whether its tape has that, or will once it applies what its log holds."""
        core = process.core
        if core is None:
            return False
        places = process.tape.places
        if place in places:
            return True
        log = core._state.log
        digest = places[-1][1] if places else 0
        for index in range(core.applied + 1, min(log.last, place.at) + 1):
            entry = log.entry(index)
            if entry.kind == DATA and entry.data[:1] == TAPE:
                digest = next_digest(digest, index, entry.data[1:])
                if (index, digest) == place:
                    return True
        return False

    def _founded(self, process: Process, era: Era) -> None:
        assert process.core is not None
        self._bases[era] = process.core._state.log.start
        for older, place in self.agreed.items():
            if older > era or self._remembers(process, place):
                continue
            for other in self._processes[: self._made.seats]:
                if other is process or not other.alive:
                    continue
                if self._remembers(other, place) or (other.me, other.forgot) in self._had[older]:
                    seen = f"{process.me} founded without place {place.at}, which {other.me} had"
                    raise self.broken("nothing lost", seen)

    def _led(self, process: Process, era: Era, term: int) -> None:
        assert process.core is not None
        who = (process.me, process.core.incarnation)
        first = self._leaders.get((era, term))
        if first is None:
            self._leaders[era, term] = who
            by_term = self._agreed_in.get(era, {})
            earlier = max((one for one in by_term if one < term), default=None)
            place = None if earlier is None else by_term[earlier]
            if place is not None and not self._remembers(process, place):
                raise self.broken("nothing lost", f"{process.me} leads term {term} without place {place.at}")
        elif first != who:
            raise self.broken("one leader", f"{first[0]} and {process.me} in term {term}")

    def _knows(self, process: Process, era: Era) -> None:
        born = self._born[process.me]
        if born is None or born[0] != era:
            return
        if born[1] not in process.tape.places:
            raise self.broken("no stale read", f"{process.me} knows, without place {born[1].at}")

    def _held(self, process: Process, time: int) -> None:
        for other in self._processes:
            if other is process or not other.alive:
                continue
            if other.leases.holds(other.local(time), "lease"):
                raise self.broken("leases apart", f"{process.me} and {other.me} hold it")

    # What is sent

    def sent(self, process: Process, raw: bytes) -> None:
        if len(raw) > DATAGRAM_MOST:
            raise self.broken("bounded", f"a datagram of {len(raw)} bytes")
        if raw[KIND_AT] not in (STAND, VOTE):
            return
        message = m.decode(raw)
        if isinstance(message, m.Stand) and not message.pre:
            self._voted(process, message.era, message.term, message.incarnation, message.incarnation)
        elif isinstance(message, m.Vote) and message.granted and not message.pre:
            self._voted(process, message.era, message.term, message.incarnation, message.to)

    def _voted(self, process: Process, era: Era, term: int, voter: int, candidate: int) -> None:
        if self._votes.setdefault((era, term, voter), candidate) != candidate:
            raise self.broken("one vote", f"{process.me} voted twice in term {term}")
