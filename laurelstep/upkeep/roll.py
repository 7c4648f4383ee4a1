"""The roll: which machines are out, for which wish, in which state. What the record agrees on. Pure.

Rules that everything here serves:

1. The same entries in the same order make the same roll everywhere: nothing but the entry and
   the roll is looked at, no clock, no list, no draw.
2. Every limit is checked here, when an entry is applied. Who proposed it may have been stale,
   paused or wrong: what does not hold is ignored, everywhere alike.
3. A machine that is out counts against the limits of all wishes that are open, also of those
   that do not name it: limits say what must stay of the tier.
4. A `Leave` or an `End` is good for the roll that its proposer saw, and for no other.
5. A state changes as `states.MOVES` says, and a `Step` only from the very state that it was made for.
6. What can't be read is counted and passed over; nothing that is applied raises.
7. What is asked for one wish, or one time that a machine is out, is ignored when it comes late, for
   the next.
8. Everything has a bound: open wishes, machines out, what is remembered of those that are over.
"""

from __future__ import annotations

from math import isfinite
from typing import Final

import msgspec

from laurelstep.engine.members import endpoint_number
from laurelstep.errors import LaurelstepError
from laurelstep.upkeep.entries import Ask, End, Entry, Here, Leave, Step, unpack_entry
from laurelstep.upkeep.states import HELD, State, move
from laurelstep.upkeep.wishes import MACHINES_MOST, WISHES_MOST, Limits, Wish

OUT_MOST: Final = 256
PEERS_MOST: Final = 1024
PAST_MOST: Final = 8
TOLD_MOST: Final = 8
# Shares are sums of floats: a difference below this is none.
ROUNDING: Final = 1e-9


class SnapshotError(LaurelstepError, ValueError):
    cause = "a snapshot of upkeep's roll can't be read"
    remedy = "let all copies of the tier run versions that read each other, and start this one anew"


class Machine(msgspec.Struct, array_like=True):
    """One that is out. Indices are the record's."""

    id: str
    wish: int
    state: State
    left: int  # index of its `Leave`
    since: int  # index of its present state
    zone: str
    cell: int
    weight: float
    started_ms: int
    cold_share: float


class OpenWish(msgspec.Struct, array_like=True):
    number: int  # index of its entry: the order of the wishes
    wish: Wish
    withdrawn: bool = False
    done: set[int] = msgspec.field(default_factory=set)  # numbers of the machines that are over
    dropped: list[tuple[str, str]] = msgspec.field(default_factory=list)  # the last ones, and why


class PastWish(msgspec.Struct, array_like=True):
    number: int
    name: str
    withdrawn: bool
    machines: int
    dropped: list[tuple[str, str]]
    done: set[int] = msgspec.field(default_factory=set)


class Asked(msgspec.Struct, array_like=True):
    """The last asking of a copy that was agreed, and what became of it."""

    incarnation: int
    number: int
    verdict: str  # the name of an error, or none


class _Saved(msgspec.Struct, array_like=True):
    index: int
    changed: int
    wishes: list[OpenWish]
    machines: list[Machine]
    past: list[PastWish]
    asked: list[tuple[int, Asked]]
    absent: list[int]
    here: list[tuple[int, int]]


_encode: Final = msgspec.msgpack.Encoder(order="deterministic").encode
_read: Final[msgspec.msgpack.Decoder[_Saved]] = msgspec.msgpack.Decoder(_Saved)


class Roll:
    """The agreed machine of upkeep, as accord's record applies it."""

    def __init__(self) -> None:
        self.index = 0  # of the last entry that was applied
        self.changed = 0  # of the last one that changed anything
        self.wishes: dict[int, OpenWish] = {}
        self.machines: dict[str, Machine] = {}
        self.past: list[PastWish] = []
        self.asked: dict[int, Asked] = {}
        self.here: dict[int, int] = {}  # the incarnation of each copy that began last
        self.absent: set[int] = set()  # copies that somebody declared so
        self.unread = 0  # entries that could not be read
        self.ignored = 0  # and those that did not hold

    # --- What accord calls ------------------------------------------------------------

    def apply(self, index: int, data: bytes) -> None:
        self.index = max(self.index, index)
        entry = unpack_entry(data)
        if entry is None:
            self.unread += 1
            return
        if self._apply(index, entry):
            self.changed = index
        else:
            self.ignored += 1

    def dump(self) -> bytes:
        saved = _Saved(
            self.index, self.changed, list(self.wishes.values()), list(self.machines.values()), self.past,
            sorted(self.asked.items()), sorted(self.absent),
            sorted(self.here.items()),
        )  # fmt: skip
        return _encode(saved)

    def load(self, raw: bytes) -> None:
        """`SnapshotError`, with nothing changed, if it can't be read."""
        try:
            saved = _read.decode(raw) if raw else _Saved(0, 0, [], [], [], [], [], [])
        except (msgspec.DecodeError, RecursionError, OverflowError) as error:
            raise SnapshotError(str(error)) from None
        self.index, self.changed = saved.index, saved.changed
        self.wishes = {one.number: one for one in saved.wishes}
        self.machines = {one.id: one for one in saved.machines}
        self.past, self.asked, self.here = saved.past, dict(saved.asked), dict(saved.here)
        self.absent = set(saved.absent)

    # --- Entries ----------------------------------------------------------------------

    def _apply(self, index: int, entry: Entry) -> bool:
        match entry:
            case Ask():
                return self._asked(index, entry)
            case Leave():
                return self._leave(index, entry)
            case Step():
                return self._step(index, entry)
            case End():
                return self._end(entry)
            case Here():
                return self._came(entry)

    def _came(self, entry: Here) -> bool:
        if not 0 <= entry.peer < PEERS_MOST:
            return False
        if self.here.get(entry.peer) == entry.incarnation and entry.peer not in self.absent:
            return False
        self.here[entry.peer] = entry.incarnation
        self.absent.discard(entry.peer)
        return True

    def _asked(self, index: int, ask: Ask) -> bool:
        last = self.asked.get(ask.peer)
        if last is not None and last.incarnation == ask.incarnation and ask.number <= last.number:
            return False
        if not 0 <= ask.peer < PEERS_MOST:
            return False
        verdict = self._do(index, ask)
        self.asked[ask.peer] = Asked(ask.incarnation, ask.number, verdict)
        return True

    def _do(self, index: int, ask: Ask) -> str:
        """What is asked for; the name of the error if it does not hold."""
        what = ask.what
        if ask.verb == "wish" and isinstance(what, Wish):
            return self._wish(index, what)
        if ask.verb == "withdraw" and isinstance(what, str):
            return self._withdraw(index, what, ask.whose)
        if ask.verb in ("begin", "done") and isinstance(what, str):
            return self._work(index, ask.verb, what, ask.whose)
        if ask.verb == "absent" and type(what) is int and 0 <= what < PEERS_MOST:
            if self.here.get(what, 0) != ask.whose:
                return "OrderError"  # it has come again since
            self.absent.add(what)
            return ""
        return "WishError"

    def _wish(self, index: int, wish: Wish) -> str:
        if (same := self.named(wish.name)) is not None:
            return "" if same.wish == wish and not same.withdrawn else "ContradictionError"
        if len(self.wishes) >= WISHES_MOST:
            return "ManyError"
        if not is_sane(wish.limits):
            return "LimitError"
        self.wishes[index] = OpenWish(index, wish)
        return ""

    def _withdraw(self, index: int, name: str, whose: int) -> str:
        one = self.named(name)
        if one is None or whose not in (0, one.number):
            return "UnknownWishError"
        one.withdrawn = True
        for machine in [held for held in self.machines.values() if held.wish == one.number]:
            if move("withdraw", machine.state) == State.WITHDRAWN:
                del self.machines[machine.id]
        self._close(one)
        return ""

    def _work(self, index: int, event: str, id: str, left: int) -> str:
        machine = self.machines.get(id)
        state = None if machine is None else move(event, machine.state)
        if machine is None or state is None or left not in (0, machine.left):
            return "OrderError"
        if state != machine.state:
            machine.state, machine.since = state, index
        return ""

    def _leave(self, index: int, entry: Leave) -> bool:
        one = self.wishes.get(entry.wish)
        if entry.base != self.changed or one is None or self.binding(entry) is not None:
            return False
        if one.withdrawn or entry.id in self.machines or endpoint_number(entry.id) in one.done:
            return False
        self.machines[entry.id] = Machine(
            entry.id, entry.wish, State.LEAVING, index, index, entry.zone, entry.cell, entry.weight,
            entry.started_ms, entry.cold_share,
        )  # fmt: skip
        return True

    def _step(self, index: int, entry: Step) -> bool:
        machine = self.machines.get(entry.id)
        if machine is None or machine.since != entry.since or entry.event in ("begin", "done", "withdraw"):
            return False
        state = move(entry.event, machine.state)
        if state is None or state == machine.state:
            return False
        machine.state, machine.since = state, index
        if state in HELD or state == State.RETURNING:
            return True
        del self.machines[machine.id]
        if (one := self.wishes.get(machine.wish)) is not None and state != State.WAITING:
            one.done.add(endpoint_number(machine.id))
            if state == State.WITHDRAWN:
                one.dropped = [*one.dropped, (machine.id, entry.why[:24])][-TOLD_MOST:]
            self._close(one)
        return True

    def _end(self, entry: End) -> bool:
        one = self.wishes.get(entry.wish)
        if one is None or entry.base != self.changed or self._is_out(one):
            return False
        self._finish(one)
        return True

    def _close(self, one: OpenWish) -> None:
        """One that was withdrawn is over when none of its machines is out."""
        if one.withdrawn and not self._is_out(one):
            self._finish(one)

    def _finish(self, one: OpenWish) -> None:
        del self.wishes[one.number]
        past = PastWish(one.number, one.wish.name, one.withdrawn, len(one.done), one.dropped, one.done)
        self.past = [*self.past, past][-PAST_MOST:]

    # --- What is asked of it ----------------------------------------------------------

    def _is_out(self, one: OpenWish) -> bool:
        return any(machine.wish == one.number for machine in self.machines.values())

    def named(self, name: str) -> OpenWish | None:
        return next((one for one in self.wishes.values() if one.wish.name == name), None)

    def was_done(self, id: str) -> bool:
        """Whether it came back from work, for a wish that is remembered."""
        number = endpoint_number(id)
        if any(number in one.done for one in self.wishes.values()):
            return True
        return any(number in one.done for one in self.past)

    def binding(self, entry: Leave, alone: bool = False) -> str | None:
        """The constraint that keeps it from leaving now, with the name of its wish; None if all
        hold. `alone`: as if no other machine were out."""
        if not _is_finite(entry):
            return "its facts are no figures"
        if entry.ready < 2:
            return f"last: {entry.ready} ready in the tier"
        one = self.wishes.get(entry.wish)
        if not alone and (len(self.machines) >= OUT_MOST or one is None or len(one.done) >= MACHINES_MOST):
            return "size: as many as the record holds"
        out = [] if alone else list(self.machines.values())
        for other in self.wishes.values():
            if not other.withdrawn:
                text = broken(other.wish.limits, entry, out, alone)
                if text is not None:
                    return f"{text} (wish {other.wish.name})"
        return None


def is_sane(limits: Limits) -> bool:
    return 1 <= limits.out <= MACHINES_MOST and 0.0 <= limits.share <= 1.0


def broken(limits: Limits, entry: Leave, out: list[Machine], alone: bool = False) -> str | None:
    """Which of the limits would not hold with this machine out beside those that are."""
    by_zone, by_cell, by_tier = (0, 0, 0) if alone else entry.away
    if limits.per == "zone":
        count = by_zone + sum(1 for one in out if one.zone == entry.zone)
        where = f"zone {entry.zone}"
    elif limits.per == "cell":
        count = by_cell + sum(1 for one in out if one.cell == entry.cell)
        where = f"cell {entry.cell}"
    else:
        count = by_tier + len(out)
        where = "the tier"
    if count + 1 > limits.out:
        return f"out {limits.out} per {limits.per}: {count} out in {where}"
    cold = sum(one.weight * one.cold_share for one in out if one.state == State.RETURNING)
    total = entry.listed_weight + sum(one.weight for one in out)
    stays = (entry.listed_weight if alone else entry.ready_weight) - entry.weight + cold
    if stays < (limits.share - ROUNDING) * total:
        return f"share {limits.share:g}: {max(0.0, stays / total) if total else 0.0:.3f} would stay"
    return None


def _is_finite(entry: Leave) -> bool:
    figures = (entry.weight, entry.ready_weight, entry.listed_weight, entry.cold_share)
    return all(isfinite(one) and one >= 0.0 for one in figures) and min(entry.away) >= 0
