"""What this process shows the module for a list under a roll, and when it is quiet. Pure.

Rules that everything here serves:

1. Discovery wins: what it calls draining or gone is shown so. A hold only ever turns ready
   into draining; no machine is shown that discovery does not list.
2. A hold that was taken stands until the roll says otherwise, also in a process that is cut off,
   and whatever the list becomes meanwhile.
3. The last ready machine is never taken: a hold that would leave none waits, and this process
   is not quiet as long. What is clear already is taken without a look, and so is all that
   the roll holds when a process first learns it: earlier lives may have confirmed it.
4. Quiet about a machine is one that told the module `draining`, whose drain grace is over since,
   and that has nothing out there. Once quiet about it, it stays so until the hold ends.
5. What comes back from work is shown as started when it came back, or later if discovery says
   so, as long as it is listed: a start told is never taken back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from laurelstep.interface import DRAINING, READY
from laurelstep.upkeep.members import Member, MemberTable
from laurelstep.upkeep.roll import Roll
from laurelstep.upkeep.states import CLEARED, HELD, State


class Hold:
    __slots__ = ("left", "quiet", "state", "taken", "told_at")

    def __init__(self, left: int, state: State) -> None:
        self.left = left
        self.state = state
        self.taken = False  # shown as draining from now on
        self.told_at: int | None = None  # since when the module surely knows, µs
        self.quiet = False


class Shown:
    """Of one process. Times in µs; `wall_ms` is Unix time in ms."""

    def __init__(self) -> None:
        self.holds: dict[str, Hold] = {}
        self.returned: dict[str, int] = {}  # wall time of the return, ms
        self.fresh = True  # the roll was never learned

    def follow(self, roll: Roll, table: MemberTable, now: int, wall_ms: int) -> list[str]:
        """The roll or the list changed: the machines that are shown otherwise from now on."""
        changed = []
        for id in [id for id, hold in self.holds.items() if not _stands(roll, id, hold)]:
            if self._end(roll, id, table, wall_ms):
                changed.append(id)
        free = self._free(table)
        for machine in roll.machines.values():
            if machine.state not in HELD:
                if machine.state == State.RETURNING and machine.id not in self.returned and self.fresh:
                    self.returned[machine.id] = wall_ms
                    changed.append(machine.id)
                continue
            hold = self.holds.get(machine.id)
            if hold is None:
                hold = self.holds[machine.id] = Hold(machine.left, machine.state)
            hold.state = machine.state
            if not hold.taken:
                member = table.members.get(machine.id)
                is_ready = member is not None and member.phase == READY
                if is_ready and free <= 1 and not self.fresh and machine.state not in CLEARED:
                    continue  # rule 3
                hold.taken = True
                if is_ready:
                    free -= 1
                    changed.append(machine.id)
                else:
                    hold.told_at = now  # by discovery's word nothing goes there already
        self.fresh = False
        return changed

    def _end(self, roll: Roll, id: str, table: MemberTable, wall_ms: int) -> bool:
        hold = self.holds.pop(id)
        worked = hold.state in CLEARED or roll.was_done(id)
        machine = roll.machines.get(id)
        returns = worked if machine is None else machine.state == State.RETURNING
        if returns and id in table.members:
            self.returned[id] = wall_ms
        return hold.taken and id in table.members

    def _free(self, table: MemberTable) -> int:
        """Ready machines that this process may send to."""
        taken = 0
        for id, hold in self.holds.items():
            member = table.members.get(id)
            taken += hold.taken and member is not None and member.phase == READY
        return table.ready - taken

    def told(self, ids: Iterable[str], now: int) -> None:
        """The module has taken in what is shown of these. Its grace counts from when it was told: that
        is before now, but may be later than when the hold was taken."""
        for id in ids:
            hold = self.holds.get(id)
            if hold is not None and hold.taken and hold.told_at is None:
                hold.told_at = now

    def forget(self, table: MemberTable) -> None:
        """Starts that were told of machines that are not listed any more: rule 5."""
        for id in [id for id in self.returned if id not in table.members]:
            del self.returned[id]

    # --- What is shown ----------------------------------------------------------------

    def is_held(self, id: str) -> bool:
        hold = self.holds.get(id)
        return hold is not None and hold.taken

    def touches(self, id: str) -> bool:
        """Whether what is shown of it may differ from discovery's entry."""
        return id in self.returned or self.is_held(id)

    def raw(self, member: Member) -> dict[str, Any]:
        """Its entry in discovery's form, as the module gets it."""
        returned = self.returned.get(member.id, 0)
        held = member.phase == READY and self.is_held(member.id)
        return member.raw(DRAINING if held else member.phase, max(member.started_ms, returned))

    # --- Quiet ------------------------------------------------------------------------

    def quiet(self, roll: Roll, now: int, grace_us: int, out_at: Callable[[str], int]) -> int:
        """The highest index such that nothing that left at or before it is sent to from here."""
        index = roll.index
        for machine in roll.machines.values():
            if machine.state not in HELD:
                continue
            hold = self.holds.get(machine.id)
            if hold is None or hold.left != machine.left or hold.told_at is None:
                index = min(index, machine.left - 1)  # not told yet
                continue
            if not hold.quiet:
                hold.quiet = now >= hold.told_at + grace_us and out_at(machine.id) == 0
            if not hold.quiet:
                index = min(index, machine.left - 1)
        return index


def _stands(roll: Roll, id: str, hold: Hold) -> bool:
    machine = roll.machines.get(id)
    return machine is not None and machine.state in HELD and machine.left == hold.left
