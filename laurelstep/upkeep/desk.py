"""What calls about upkeep are told, and what they may ask for: the keeper, as `calls` knows it.

Rules that everything here serves:

1. What is asked for is checked against the roll and the list as this copy has them, so that a bad
   call is told so at once; the record judges it once more when it is agreed.
2. What is so already is no error; but a copy that is cut off can't say that it still is."""

from __future__ import annotations

from typing import Any, Final

from laurelstep.upkeep.keeper import Asking, Keeper
from laurelstep.upkeep.plan import explain, matching, waiting
from laurelstep.upkeep.roll import Machine, OpenWish, Roll
from laurelstep.upkeep.states import State, move
from laurelstep.upkeep.wishes import (
    MACHINES_MOST,
    WISHES_MOST,
    ContradictionError,
    FitError,
    ManyError,
    NeverError,
    OrderError,
    UnknownMachineError,
    UnknownPeerError,
    UnknownWishError,
    Wish,
)

# Of a long list, in one answer.
SHOWN_MOST: Final = 64


class UpkeepDesk:
    def __init__(self, keeper: Keeper) -> None:
        self.keeper = keeper

    def addresses(self) -> dict[str, str]:
        return {one.address: one.id for one in self.keeper.source.table.members.values()}

    def wish(self, wish: Wish) -> Asking | None:
        """None if it is agreed already."""
        table = self.keeper.source.table
        same = self.keeper.roll.named(wish.name)
        if same is not None:
            if same.wish == wish and not same.withdrawn:
                return self._so_already()
            raise ContradictionError(wish.name)
        for id in wish.ids:
            if id not in table.members:
                raise UnknownMachineError(f"id: {id}")
        for key, named in (("zone", wish.zone), ("cell", wish.cell), ("kind", wish.kind)):
            if named is not None and (key, named) not in table.groups:
                raise UnknownMachineError(f"{key}: {named}")
        found = matching(wish, table)
        if not found:
            raise UnknownMachineError("no machine for which all holds")
        if len(found) >= MACHINES_MOST:
            raise FitError(f"{len(found)} machines and more, {MACHINES_MOST - 1} at most")
        if len(self.keeper.roll.wishes) >= WISHES_MOST:
            raise ManyError(f"{WISHES_MOST} wishes are open")
        alone = Roll()
        alone.wishes[0] = OpenWish(0, wish)
        sight = self.keeper.sight(self.keeper.clock.now())
        sight.roll = alone
        text, never = explain(sight, alone.wishes[0])
        if never:
            raise NeverError(text)
        return self.keeper.ask("wish", wish)

    def withdraw(self, name: str) -> Asking | None:
        one = self.keeper.roll.named(name)
        if one is not None:
            return self._so_already() if one.withdrawn else self.keeper.ask("withdraw", name)
        if any(past.name == name and past.withdrawn for past in self.keeper.roll.past):
            return self._so_already()
        raise UnknownWishError(name)

    def work(self, event: str, id: str) -> Asking | None:
        machine = self.keeper.roll.machines.get(id)
        state = None if machine is None else move(event, machine.state)
        if machine is None or state is None:
            raise OrderError(f"{id}: {machine.state if machine is not None else 'not out'}")
        return self._so_already() if state == machine.state else self.keeper.ask(event, id)

    def absent(self, peer: int) -> Asking | None:
        if not 0 <= peer < self.keeper.accord.peers or peer == self.keeper.accord.me:
            raise UnknownPeerError(
                f"peer: {peer}: expected another copy, 0 to {self.keeper.accord.peers - 1}"
            )
        return self._so_already() if peer in self.keeper.roll.absent else self.keeper.ask("absent", peer)

    def _so_already(self) -> Asking | None:
        """Nothing is to be asked for. `CutOffError` where that may not be so any more."""
        self.keeper.need_touch()
        return None

    def status(self) -> dict[str, Any]:
        now = self.keeper.clock.now()
        quiet = self.keeper.source.quiet()  # it may look at all requests that are open
        return {
            "copy": self.keeper.accord.me,
            "copies": self.keeper.accord.peers,
            "leading": self.keeper.accord.leading,
            "known": self.keeper.accord.known,
            "in_touch": self.keeper.accord.in_touch,
            "serving_alone": self.keeper.alone and not self.keeper.source.learned,
            "index": self.keeper.roll.index,
            "wishes": [self.told_wish(one) for one in self.keeper.roll.wishes.values()],
            "machines": [self._told_machine(one, now, quiet) for one in self.keeper.roll.machines.values()],
            "absent": sorted(self.keeper.roll.absent),
            "unheard": self._unheard(),
            "past": [
                {
                    "name": one.name,
                    "machines": one.machines,
                    "withdrawn": one.withdrawn,
                    "dropped": one.dropped,
                }
                for one in self.keeper.roll.past
            ],
            "asked": [
                {
                    "verb": one.verb,
                    "what": one.what.name if isinstance(one.what, Wish) else one.what,
                    "state": one.said,
                }
                for one in self.keeper.asked
            ],
            "accord": self.keeper.accord.status(),
        }

    def _unheard(self) -> list[int]:
        """Copies that never began since the record was founded: nothing is clear without them."""
        peers = range(self.keeper.accord.peers)
        return [peer for peer in peers if peer not in self.keeper.roll.here][:SHOWN_MOST]

    def told_wish(self, one: OpenWish) -> dict[str, Any]:
        sight = self.keeper.sight(self.keeper.clock.now())
        left = [] if one.withdrawn else waiting(sight, one)
        kept, never = ("", False) if one.withdrawn else explain(sight, one)
        limits = one.wish.limits
        return {
            "name": one.wish.name,
            "out": limits.out,
            "per": limits.per,
            "share": limits.share,
            "state": (State.WITHDRAWN if one.withdrawn else State.WAITING).value,
            "waiting": len(left),
            "next": [member.id for member in left[:SHOWN_MOST]],
            "done": len(one.done),
            "dropped": one.dropped,
            "kept_by": kept,
            "never": never,
        }

    def _told_machine(self, one: Machine, now: int, quiet: int) -> dict[str, Any]:
        wish = self.keeper.roll.wishes.get(one.wish)
        missing = None
        if self.keeper.accord.leading and one.state == State.LEAVING:
            keeper = self.keeper
            missing = keeper.confirmations.missing(one.left, keeper.roll, keeper.accord.peers)[:SHOWN_MOST]
        return {
            "id": one.id,
            "wish": wish.wish.name if wish is not None else "",
            "state": one.state.value,
            "for_s": self.keeper.ages.of(one, now) // 1_000_000,
            "missing": missing,
            "quiet_here": quiet >= one.left,
        }


def _name_of(what: Wish | str | int) -> str | int:
    return what.name if isinstance(what, Wish) else what
