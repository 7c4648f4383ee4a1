"""What became of writes that edges keep and bring upstream, and the rules that it is held against. Pure:
events in, violations out.

Times in µs on the one monotonic clock of the machine. A write is what a client wants once, under one name,
however often it tries. `Stands` is what its receipt says when all faults are healed and nothing moves any
more. Each violation names the write:

1. `not brought`: a write told as kept took effect, or stands parked or waits behind one that does, or was
   ended by an operator, or was at an edge that one declared lost. `not over`: it stands in a state that ends,
   or so behind another.
2. `run twice`: no write takes effect twice; nor does a key.
3. `out of order`: for all a before b: b takes effect after a. b follows a if its client was told of a (kept,
   or served) before it asked for b and named it, or something that follows it. What an operator ended (it
   ran, it is given up, its edge is lost) holds nothing up.
4. `invented`: what takes effect was asked for, before, with that body.
5. `another key`: a keyed write comes under its key alone, an unsafe one without any.
6. `refused and run`: an unsafe write whose every try was refused (429, 503) or in error (400, 422) ran
   nowhere.
7. `parked without a reason`.
8. `told done, not run`: a write that stands as done took effect, or an operator said so.
9. `given up and run`: what was given up by an operator takes no effect after that.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from laurelstep.testing.processes.history import Violation

NOT_BROUGHT: Final = "not brought"
NOT_OVER: Final = "not over"
RUN_TWICE: Final = "run twice"
OUT_OF_ORDER: Final = "out of order"
INVENTED: Final = "invented"
ANOTHER_KEY: Final = "another key"
REFUSED_AND_RUN: Final = "refused and run"
NO_REASON: Final = "parked without a reason"
DONE_NOT_RUN: Final = "told done, not run"
GIVEN_UP_AND_RUN: Final = "given up and run"

OVER: Final = frozenset(("done", "parked", "given_up"))
REFUSALS: Final = frozenset((400, 422, 429, 503))


@dataclass(frozen=True, slots=True)
class Wrote:
    """A client begins a try of a write. `key`: None for an unsafe one."""

    at: int
    write: str
    key: str | None
    body: bytes
    follows: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Kept:
    """It was told that its write is kept, at that edge."""

    at: int
    write: str
    edge: str


@dataclass(frozen=True, slots=True)
class Ended:
    """It got another final answer, or none (0)."""

    at: int
    write: str
    status: int


@dataclass(frozen=True, slots=True)
class Came:
    """A server was sent it. `ran`: False for a repeat that it dropped by its key."""

    at: int
    write: str
    key: str | None
    body: bytes
    ran: bool = True


@dataclass(frozen=True, slots=True)
class Judged:
    """An operator's verdict was taken."""

    at: int
    write: str
    verdict: str


@dataclass(frozen=True, slots=True)
class LostEdge:
    """An operator has declared it lost."""

    at: int
    edge: str


@dataclass(frozen=True, slots=True)
class Stands:
    """What its receipt says in the end. `behind`: the write that it waits for, at another edge."""

    write: str
    state: str
    reason: str = ""
    behind: str = ""


KeptEvent = Wrote | Kept | Ended | Came | Judged | LostEdge | Stands


def check_kept(events: Sequence[KeptEvent]) -> list[Violation]:
    """All that was broken, rule by rule."""
    return list(_Books(events).violations())


class _Books:
    """The events by what they are about."""

    def __init__(self, events: Sequence[KeptEvent]) -> None:
        self.tries: dict[str, list[Wrote]] = defaultdict(list)
        self.kept: dict[str, list[Kept]] = defaultdict(list)
        self.finals: dict[str, list[Ended]] = defaultdict(list)
        self.came: list[Came] = []
        self.ran: dict[str, list[Came]] = defaultdict(list)
        self.judged: dict[str, list[Judged]] = defaultdict(list)
        self.lost: set[str] = set()
        self.stands: dict[str, list[Stands]] = defaultdict(list)
        for event in events:
            match event:
                case Wrote():
                    self.tries[event.write].append(event)
                case Kept():
                    self.kept[event.write].append(event)
                case Ended():
                    self.finals[event.write].append(event)
                case Came():
                    self.came.append(event)
                    if event.ran:
                        self.ran[event.write].append(event)
                case Judged():
                    self.judged[event.write].append(event)
                case LostEdge():
                    self.lost.add(event.edge)
                case Stands():
                    self.stands[event.write].append(event)

    def violations(self) -> Iterator[Violation]:
        yield from self._brought()
        yield from self._twice()
        yield from self._order()
        yield from self._invented()
        yield from self._refused()
        yield from self._told()

    # --- Each rule --------------------------------------------------------------------

    def _brought(self) -> Iterator[Violation]:
        """Rule 1."""
        for write, kept in self.kept.items():
            stands = self.stands.get(write, ())
            for one in stands:
                if one.state not in OVER and not self._parked(write):
                    yield _broken(NOT_OVER, write, f"it stands {one.state}")
            if not (self.ran.get(write) or self._parked(write) or self._ended(write)):
                states = ", ".join(one.state for one in stands) or "nothing is told of it"
                where = ", ".join(one.edge for one in kept)
                yield _broken(NOT_BROUGHT, write, f"kept at {where}; {states}")

    def _parked(self, write: str) -> bool:
        """Itself, or what it waits for."""
        seen: set[str] = set()
        while write and write not in seen:
            seen.add(write)
            stands = self.stands.get(write, ())
            if any(one.state == "parked" for one in stands):
                return True
            write = next((one.behind for one in stands), "")
        return False

    def _twice(self) -> Iterator[Violation]:
        """Rule 2."""
        for write, times in self.ran.items():
            if len(times) > 1:
                yield _broken(RUN_TWICE, write, f"{len(times)} times")
        keys = Counter(one.key for times in self.ran.values() for one in times[:1] if one.key is not None)
        for key, count in keys.items():
            if count > 1:
                yield _broken(RUN_TWICE, key, f"the key took effect {count} times")

    def _order(self) -> Iterator[Violation]:
        """Rule 3."""
        direct = {write: self._follows(tries[0]) for write, tries in self.tries.items()}
        for write, times in self.ran.items():
            for cause in sorted(_behind(write, direct)):
                earlier = self.ran.get(cause)
                if earlier is None:
                    if not self._ended(cause):
                        yield _broken(OUT_OF_ORDER, write, f"it ran without {cause}")
                elif times[0].at < earlier[0].at and not self._ended(cause):
                    yield _broken(OUT_OF_ORDER, write, f"it ran before {cause}")

    def _follows(self, one: Wrote) -> set[str]:
        """What it named of what its client had been told of."""
        return {cause for cause in one.follows if self._told_before(cause, one.at)}

    def _told_before(self, write: str, at: int) -> bool:
        kept = any(one.at <= at for one in self.kept.get(write, ()))
        return kept or any(one.status == 200 and one.at <= at for one in self.finals.get(write, ()))

    def _ended(self, write: str) -> bool:
        """By an operator: judged, or lost with each edge that kept it."""
        kept = self.kept.get(write, ())
        lost = bool(kept) and all(one.edge in self.lost for one in kept)
        return lost or any(one.verdict in ("ran", "give_up") for one in self.judged.get(write, ()))

    def _invented(self) -> Iterator[Violation]:
        """Rules 4 and 5."""
        for one in self.came:
            tries = [each for each in self.tries.get(one.write, ()) if each.at <= one.at]
            if not tries:
                yield _broken(INVENTED, one.write, "nobody had asked for it")
            elif all(each.body != one.body for each in tries):
                yield _broken(INVENTED, one.write, "with another body")
            elif one.key != tries[0].key:
                yield _broken(ANOTHER_KEY, one.write, f"key {tries[0].key!r} came as {one.key!r}")

    def _refused(self) -> Iterator[Violation]:
        """Rule 6."""
        for write, tries in self.tries.items():
            finals = self.finals.get(write, ())
            refused = [one for one in finals if one.status in REFUSALS]
            if tries[0].key is None and len(refused) == len(tries) and self.ran.get(write):
                yield _broken(REFUSED_AND_RUN, write, f"answered {refused[-1].status}")

    def _told(self) -> Iterator[Violation]:
        """Rules 7 to 9."""
        for write, stands in self.stands.items():
            for one in stands:
                if one.state == "parked" and not one.reason:
                    yield _broken(NO_REASON, write, "its receipt tells none")
                if one.state == "done" and not (self.ran.get(write) or self._ended(write)):
                    yield _broken(DONE_NOT_RUN, write, "no server ran it")
        for write, verdicts in self.judged.items():
            given_up = [one.at for one in verdicts if one.verdict == "give_up"]
            if given_up and any(one.at > min(given_up) for one in self.ran.get(write, ())):
                yield _broken(GIVEN_UP_AND_RUN, write, "after the verdict")


def _behind(write: str, direct: Mapping[str, Iterable[str]]) -> set[str]:
    """All that it follows, through others too."""
    found: set[str] = set()
    left = list(direct.get(write, ()))
    while left:
        cause = left.pop()
        if cause not in found:
            found.add(cause)
            left += direct.get(cause, ())
    return found


def _broken(name: str, write: str, text: str) -> Violation:
    return Violation(name, None, write, text)
