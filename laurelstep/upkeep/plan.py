"""What whoever leads proposes: from the roll, its own view of the list, and the confirmations. Pure.

Rules that everything here serves:

1. A machine is clear when every copy of the tier has confirmed, in the incarnation that
   began last, that
   it sends nothing to what left at that index; those that somebody declared absent are left out.
   No time-out stands in for a confirmation.
2. The order follows from the roll: wishes by number, their machines by zone, cell and id. The first
   that holds goes next, one with each proposal.
3. Nothing is proposed from half a list.
4. What discovery drains, removes or replaces while it leaves is dropped from its wish; once it
   is clear, its going and coming is the work, and it stays out until somebody says done.
   Lists are of different age: who has just come to know of a leaving waits `LISTS_US` with that,
   and what a wish names by id stays wished while it is not listed.
5. All that is proposed names the state that it was made for: late, it is ignored.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from laurelstep.engine.members import endpoint_number
from laurelstep.interface import READY
from laurelstep.upkeep.entries import End, Entry, Leave, Step, fits
from laurelstep.upkeep.members import Member, MemberTable
from laurelstep.upkeep.roll import Machine, OpenWish, Roll
from laurelstep.upkeep.states import State
from laurelstep.upkeep.wishes import MACHINES_MOST, Wish

# Within this a list reaches all copies, or the next one does.
LISTS_US: Final = 2_000_000


# Of one copy, incarnations that are known to be over.
RETIRED_MOST: Final = 4


class Confirmations:
    """Up to which index each copy is quiet, in the incarnation that was heard last."""

    def __init__(self) -> None:
        self.quiet: dict[int, tuple[int, int]] = {}  # by peer: incarnation, index
        self.here: dict[int, int] = {}  # as the roll has it
        self.retired: dict[int, list[int]] = {}  # incarnations that the record had before

    def follow(self, roll: Roll) -> None:
        """Those that the record had before are no more: what comes of them was long on its way."""
        for peer, incarnation in roll.here.items():
            before = self.here.get(peer)
            if before == incarnation:
                continue
            old = [one for one in self.retired.get(peer, ()) if one != incarnation]
            self.retired[peer] = ([*old, before] if before is not None else old)[-RETIRED_MOST:]
            self.here[peer] = incarnation
            if peer in self.quiet and self.quiet[peer][0] in self.retired[peer]:
                del self.quiet[peer]

    def forget(self) -> None:
        """What was heard as the leader of another time, but for those that sent without the record."""
        self.quiet = {
            peer: (incarnation, quiet)
            for peer, (incarnation, quiet) in self.quiet.items()
            if quiet < 0 and incarnation != self.here.get(peer)
        }

    def hear(self, peer: int, incarnation: int, quiet: int) -> None:
        """Another incarnation begins anew; one and the same never becomes less quiet, as words may
        change places."""
        if incarnation in self.retired.get(peer, ()):
            return
        last = self.quiet.get(peer)
        if last is not None and last[0] == incarnation:
            quiet = max(last[1], quiet)
        self.quiet[peer] = incarnation, quiet

    def missing(self, index: int, roll: Roll, peers: int) -> list[int]:
        """The copies that have not confirmed what left at this index, in the incarnation that the
        record has: what an earlier one confirmed binds a process that is no more, and a later one
        that was heard sends without the record, also where somebody saw the earlier one dead."""
        found = []
        for peer in range(peers):
            here = roll.here.get(peer, 0)
            incarnation, quiet = self.quiet.get(peer, (here, -1))
            is_absent = peer in roll.absent and incarnation == here
            if not is_absent and (not here or incarnation != here or quiet < index):
                found.append(peer)
        return found


class Ages:
    """Since when this process knows of each state, on its own clock: what a new leader did not
    see begin counts from when it learned of it, so never too short."""

    def __init__(self) -> None:
        self.since: dict[str, tuple[int, int]] = {}  # by machine: index of the state, time

    def follow(self, roll: Roll, now: int) -> None:
        self.since = {
            one.id: known if (known := self.since.get(one.id)) and known[0] == one.since else (one.since, now)
            for one in roll.machines.values()
        }

    def of(self, machine: Machine, now: int) -> int:
        since = self.since.get(machine.id)
        return now - since[1] if since is not None and since[0] == machine.since else 0


@dataclass(slots=True)
class Sight:
    """All that a plan looks at. Times in µs."""

    roll: Roll
    table: MemberTable
    confirmations: Confirmations
    ages: Ages
    peers: int
    cold_share: float
    cold_us: int
    overdue_us: int
    now: int

    @property
    def basis(self) -> tuple[int, int]:
        """What the choice of the next machine depends on."""
        return self.roll.changed, self.table.version


def plan(sight: Sight, is_settled: bool = False) -> list[Entry]:
    """What is to be proposed now. A `Leave` or an `End` comes alone: it is for the roll as it stands.
    `is_settled`: of the same basis nothing was found to leave."""
    steps = [step for one in sight.roll.machines.values() if (step := _step(sight, one)) is not None]
    if steps or is_settled or not sight.table.whole or not sight.table.settled:
        return list(steps)
    for one in sight.roll.wishes.values():
        found = _next(sight, one)
        if found is not None:
            return [found]
    return []


def _step(sight: Sight, one: Machine) -> Step | None:
    age = sight.ages.of(one, sight.now)
    if one.state == State.LEAVING:
        event, why = _lost(sight, one, age)
        if not event and not sight.confirmations.missing(one.left, sight.roll, sight.peers):
            event = "clear"
    elif one.state == State.RETURNING:
        event, why = "back" if age >= sight.cold_us else "", ""
    else:
        event, why = "overdue" if one.state != State.OVERDUE and age >= overdue_us(sight, one) else "", ""
    return Step(one.id, one.since, event, why) if event else None


def overdue_us(sight: Sight, one: Machine) -> int:
    wish = sight.roll.wishes.get(one.wish)
    return wish.wish.overdue_s * 1_000_000 if wish and wish.wish.overdue_s else sight.overdue_us


def _lost(sight: Sight, one: Machine, age: int) -> tuple[str, str]:
    """What discovery made of a machine that is leaving."""
    if not sight.table.whole or not sight.table.settled:
        return "", ""
    member = sight.table.members.get(one.id)
    if age >= LISTS_US:
        if member is None:
            return "drop", "gone"
        if member.phase != READY:
            return "drop", "drained by discovery"
        if member.started_ms > one.started_ms:
            return "drop", "replaced"
    if unheld(sight.roll, sight.table)[0] == 0:
        return "spare", "last"
    return "", ""


def unheld(roll: Roll, table: MemberTable) -> tuple[int, float, float]:
    """Ready ones, their weight, and that of all listed, without what the roll holds."""
    ready, ready_weight, weight = table.ready, table.ready_weight, table.weight
    for id in roll.machines:
        member = table.members.get(id)
        if member is not None:
            weight -= member.size
            if member.phase == READY:
                ready, ready_weight = ready - 1, ready_weight - member.size
    return ready, max(0.0, ready_weight), max(0.0, weight)


def matching(wish: Wish, table: MemberTable) -> list[Member]:
    """The listed machines that a wish names, in the order of rule 2; no more than it may name."""
    ids = _ids(wish, table)
    found = [table.members[id] for id in ids if id in table.members]
    found = [one for one in found if _is_named(wish, one)]
    found.sort(key=lambda one: (one.zone, one.cell, one.id))
    return found[:MACHINES_MOST]


def _ids(wish: Wish, table: MemberTable) -> Iterable[str]:
    if wish.ids:
        return wish.ids
    named = (("zone", wish.zone), ("cell", wish.cell), ("kind", wish.kind))
    groups = [table.groups.get(key, set()) for key in named if key[1] is not None]
    return sorted(groups, key=len)[0] if groups else ()


def _is_named(wish: Wish, one: Member) -> bool:
    if wish.zone is not None and one.zone != wish.zone:
        return False
    if wish.cell is not None and one.cell != wish.cell:
        return False
    return wish.kind is None or one.kind == wish.kind


def waiting(sight: Sight, one: OpenWish) -> list[Member]:
    """Its machines whose turn has not come."""
    return [
        member
        for member in matching(one.wish, sight.table)
        if member.number not in one.done
        and ((out := sight.roll.machines.get(member.id)) is None or out.wish != one.number)
    ]


def _unlisted(sight: Sight, one: OpenWish) -> str:
    """What it names that this list does not have, in words: an older list must not end a wish."""
    for id in one.wish.ids:
        if id not in sight.table.members and endpoint_number(id) not in one.done:
            return f"{id}: not listed"
    return "" if one.wish.ids or one.done else "no machine that is listed"


def leave_of(sight: Sight, wish: int, member: Member) -> Leave:
    ready, ready_weight, weight = unheld(sight.roll, sight.table)
    return Leave(
        sight.roll.changed, wish, member.id, member.zone, member.cell, member.size, member.started_ms,
        ready, ready_weight, weight, _away(sight, member), sight.cold_share,
    )  # fmt: skip


def _away(sight: Sight, member: Member) -> tuple[int, int, int]:
    """Those that discovery drains, beside what the roll holds."""
    zone = cell = tier = 0
    for id in sight.table.draining:
        if id not in sight.roll.machines:
            one = sight.table.members[id]
            tier += 1
            zone += one.zone == member.zone
            cell += one.cell == member.cell
    return zone, cell, tier


def _next(sight: Sight, one: OpenWish) -> Leave | End | None:
    if one.withdrawn:
        return None
    left = waiting(sight, one)
    if not left and not any(out.wish == one.number for out in sight.roll.machines.values()):
        return None if _unlisted(sight, one) else End(sight.roll.changed, one.number)
    kept = set()  # one machine stands for all that are like it to the limits
    for member in left:
        like = member.zone, member.cell, member.size
        if like not in kept and member.phase == READY and member.id not in sight.roll.machines:
            entry = leave_of(sight, one.number, member)
            if not fits(entry):
                continue
            if sight.roll.binding(entry) is None:
                return entry
            kept.add(like)
    return None


def explain(sight: Sight, one: OpenWish) -> tuple[str, bool]:
    """The constraint that keeps a wish's next machine here, and whether it would also with nobody
    out: then the wish can't hold while the others stand. Nothing if it is not kept."""
    for member in waiting(sight, one):
        if member.id in sight.roll.machines:
            return f"{member.id}: out for another wish", False
        if member.phase != READY:
            return f"{member.id}: drained by discovery", False
        entry = leave_of(sight, one.number, member)
        if not fits(entry):
            return f"{member.id[:40]}: its id and zone are too long for an entry of the record", True
        text = sight.roll.binding(entry)
        if text is not None:
            whole = _as_if_alone(sight, entry)
            never = sight.roll.binding(whole, alone=True)
            return f"{member.id}: {never or text}", never is not None
        return "", False
    return _unlisted(sight, one), False


def _as_if_alone(sight: Sight, entry: Leave) -> Leave:
    """The facts with every listed machine ready and none out."""
    listed = len(sight.table.members)
    total = sight.table.weight
    return Leave(
        entry.base, entry.wish, entry.id, entry.zone, entry.cell, entry.weight, entry.started_ms,
        listed, total, total, (0, 0, 0), entry.cold_share,
    )  # fmt: skip
