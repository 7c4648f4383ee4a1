"""Upkeep under made schedules: one seed is one schedule. The record has a perfect order; everything
else is lossy, late, doubled, stale, cut off, killed, or proposed by one that does not lead any more.

After every step the rules are checked, by name, against what is true of all copies at once; then
faults end, and all that was wished has to come to an end. Deliberate faults show that each rule
can fail."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from laurelstep.interface import READY
from laurelstep.upkeep import plan as plan_module
from laurelstep.upkeep import roll as roll_module
from laurelstep.upkeep.entries import Ask, Confirm, Leave, Step, pack, unpack_entry, unpack_word
from laurelstep.upkeep.keeper import Keeper
from laurelstep.upkeep.options import UpkeepSettings
from laurelstep.upkeep.plan import Confirmations
from laurelstep.upkeep.roll import Roll
from laurelstep.upkeep.shown import Shown
from laurelstep.upkeep.source import UpkeepSource
from laurelstep.upkeep.states import CLEARED, HELD, State
from laurelstep.upkeep.wishes import UpkeepError
from tests.once import seeds
from tests.upkeeping import SECOND, Copy, Tier, line, wish_of

SEEDS = seeds(3000)
STEPS = 75
# Of one deliberate fault: found by the first schedules, or not at all.
FAULT_SEEDS = 600


Kind = Callable[[Any], bool]


def is_ask(entry: Any) -> bool:
    return isinstance(entry, Ask)


def is_step(entry: Any) -> bool:
    return isinstance(entry, Step)


class BrokenError(AssertionError):
    """A rule, by its name, and the seed that broke it."""


class Proposal:
    def __init__(self, by: Copy, data: bytes, by_sending: dict[int, int]) -> None:
        self.data = data
        table = by.source.table.members.values()
        self.listed = {one.id: (one.phase == READY, one.size) for one in table}
        # Copies that have told the proposer that they send without the record.
        self.sending = dict(by_sending)


class World(Tier):
    """A tier whose schedule is drawn, and its checker."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.pending: list[Proposal] = []
        self.sending: dict[int, dict[int, int]] = {}  # by leader: who told it to send without the record
        self.deaf: set[int] = set()  # copies that hear no lists
        self.slow: set[int] = set()  # copies that learn the record late
        self.truths: dict[str, tuple[str, int]] = {}  # zone and cell, whoever says what
        settings = UpkeepSettings(
            overdue_us=20 * SECOND,
            start_alone="serve" if self.draw.random() < 0.25 else "wait",
            learn_us=2 * SECOND,
        )
        machines = []
        for n in range(self.draw.randint(3, 7)):
            zone, cell = self.draw.choice("ab"), self.draw.randint(1, 2)
            machines.append(line(f"m{n}", zone, cell=cell, weight=self.draw.choice((1.0, 1.0, 2.0))))
        super().__init__(self.draw.choice((2, 3, 3, 4)), machines, settings)

    # --- The record -------------------------------------------------------------------

    def proposed(self, by: Copy, data: bytes) -> None:
        self.pending.append(Proposal(by, data, self.sending.get(by.incarnation, {})))

    def agree(self, proposal: Proposal) -> None:
        before = {id: (one.state, one.left) for id, one in self.roll.machines.items()}
        self.append(proposal.data)
        entry = unpack_entry(proposal.data[1:])
        if isinstance(entry, Leave) and entry.id in self.roll.machines and entry.id not in before:
            self.check_limits(entry, proposal)
        if isinstance(entry, Step) and entry.event == "clear":
            machine = self.roll.machines.get(entry.id)
            if machine is not None and machine.since == len(self.log):
                for peer, incarnation in proposal.sending.items():
                    copy = self.copies[peer]
                    if not copy.dead and copy.incarnation == incarnation and copy.engine.is_out(entry.id):
                        self.broken("clear while one had said that it sends")

    def broken(self, rule: str) -> None:
        raise BrokenError(rule)

    def check_limits(self, entry: Leave, proposal: Proposal) -> None:
        """Counted anew, from the truth about the machines and what the proposer's list said."""
        out = self.roll.machines
        zone, cell = self.truth(entry.id)
        for one in self.roll.wishes.values():
            if one.withdrawn:
                continue
            limits = one.wish.limits
            count = 0
            for id in out:
                its_zone, its_cell = self.truth(id)
                where = {"zone": its_zone == zone, "cell": its_cell == cell, "tier": True}
                count += where[limits.per]
            if count > limits.out:
                self.broken("more out than a wish allows")
            total = sum(size for id, (_, size) in proposal.listed.items() if id not in out)
            stays = sum(size for id, (ready, size) in proposal.listed.items() if ready and id not in out)
            for machine in out.values():
                total += machine.weight
                if machine.state == State.RETURNING:
                    stays += 0.2 * machine.weight
            if stays < limits.share * total - 1e-6:
                self.broken("less stays than a wish says")
        if not any(ready and id not in out for id, (ready, _) in proposal.listed.items()):
            self.broken("the last ready machine was taken")

    def truth(self, id: str) -> tuple[str, int]:
        if id in self.list:
            self.truths[id] = self.list[id]["zone"], self.list[id]["cell"]
        return self.truths.setdefault(id, ("a", 1))

    # --- The rules --------------------------------------------------------------------

    def check(self) -> None:
        cleared = [one.id for one in self.roll.machines.values() if one.state in CLEARED]
        for copy in self.alive:
            engine, source = copy.engine, copy.source
            for id in cleared:
                hold = source.shown.holds.get(id)
                # It began without the record, as its operator chose, and has not confirmed since.
                went_alone = copy.keeper.alone and (hold is None or not hold.quiet)
                if engine.is_out(id) and not went_alone:
                    self.broken("clear while somebody may send")
            if not source.open and engine.ready:
                self.broken("sends before it may")
            for id in engine.ready:
                member = source.table.members.get(id)
                if member is None or member.phase != READY:
                    self.broken("ready against discovery")
            self.check_holds(copy)

    def check_holds(self, copy: Copy) -> None:
        """A process that was told of more than it holds back, or that holds back its last one."""
        source = copy.source
        if not source.learned or not copy.known:
            return
        held = {id for id, one in copy.roll.machines.items() if one.state in HELD}
        ready = {id for id, one in source.table.members.items() if one.phase == READY}
        if copy.engine.ready.keys() - held != ready - held and not copy.keeper.soon:
            self.broken("not ready, and not held")

    def check_taking(self, copy: Copy, before: set[str]) -> None:
        """What a look of one copy took: never its last ready one, but for what is clear."""
        after = copy.engine.ready.keys()
        taken = before - after
        if taken and not after and copy.source.table.ready:
            states = [copy.roll.machines[id].state for id in taken if id in copy.roll.machines]
            if states and all(state == State.LEAVING for state in states):
                self.broken("the last ready machine was taken")

    # --- The schedule -----------------------------------------------------------------

    def step(self) -> None:
        happens = self.draw.choices(EVENTS, WEIGHTS)[0]
        happens(self)
        self.check()

    def one(self) -> Copy | None:
        alive = self.alive
        return self.draw.choice(alive) if alive else None

    def looks(self) -> None:
        copy = self.one()
        if copy is not None:
            before = set(copy.engine.ready)
            fresh = copy.source.shown.fresh
            copy.keeper.look()
            if not fresh:
                self.check_taking(copy, before)

    def delivers(self) -> None:
        copy = self.one()
        if copy is None or copy.cut or copy.applied >= len(self.log):
            return
        if self.draw.random() < 0.1:
            copy.jump()
        else:
            copy.catch_up(self.draw.randint(copy.applied + 1, len(self.log)))

    def learns(self) -> None:
        copy = self.one()
        if copy is not None and not copy.cut and not copy.known:
            copy.catch_up()
            copy.known = True

    def hears_words(self) -> None:
        for _ in range(min(len(self.words), 4)):
            at = self.draw.randrange(len(self.words))
            peer, incarnation, data = self.words[at]
            if self.draw.random() > 0.2:  # some come twice
                del self.words[at]
            if self.draw.random() < 0.2:
                continue  # lost
            self.tell(peer, incarnation, data)

    def tell(self, peer: int, incarnation: int, data: bytes) -> None:
        """A word gets to those who lead, or believe that they do."""
        for copy in self.alive:
            if copy.leading and not copy.cut:
                if unpack_word(data) == Confirm(-1):
                    self.sending.setdefault(copy.incarnation, {})[peer] = incarnation
                copy.heard(peer, incarnation, data)

    def carry_words(self) -> None:
        words, self.words = self.words, []
        for word in words:
            self.tell(*word)

    def agrees(self) -> None:
        for _ in range(min(len(self.pending), 3)):
            proposal = self.pending.pop(self.draw.randrange(len(self.pending)))
            if self.draw.random() < 0.9:
                self.agree(proposal)
            if self.draw.random() < 0.05:
                self.pending.append(proposal)  # acts late once more

    def hears_list(self) -> None:
        copy = self.one()
        if copy is not None:
            copy.hear()

    def passes(self) -> None:
        self.clock.time += self.draw.choice((50_000, 200_000, 600_000, 1_500_000))
        self.run_due()

    def run_due(self) -> None:
        """The timers that are due, each at its place in the order."""
        self.clock.advance(0)

    def leads(self) -> None:
        """Another leads; the one before may not know yet, and goes on proposing."""
        copy = self.one()
        if copy is None or not copy.known:
            return
        if self.draw.random() < 0.6:
            self.leaders.clear()
        self.leaders.add(copy.me)

    def cuts(self) -> None:
        copy = self.one()
        if copy is not None:
            copy.cut = not copy.cut

    def dies(self) -> None:
        copy = self.one()
        if copy is not None:
            copy.die()

    def all_die(self) -> None:
        if self.draw.random() < 0.1:
            for copy in self.alive:
                copy.die()

    def comes(self) -> None:
        dead = [copy.me for copy in self.copies if copy.dead]
        if dead:
            self.restart(self.draw.choice(dead))

    def discovers(self) -> None:
        id = self.draw.choice([f"m{n}" for n in range(7)])
        old = self.list.get(id)
        if old is None:
            if id not in self.truths:
                self.truths[id] = self.draw.choice("ab"), self.draw.randint(1, 2)
            zone, cell = self.truths[id]
            self.list_as(line(id, zone, cell=cell, started_ms=self.clock.wall() // 1000))
        else:
            phase = self.draw.choice(("ready", "ready", "draining", "gone"))
            started_ms = old["startedAtMs"] if self.draw.random() < 0.5 else self.clock.wall() // 1000
            self.truth(id)
            self.list_as({**old, "lifecycle": phase, "startedAtMs": started_ms})

    def sends(self) -> None:
        copy = self.one()
        if copy is not None:
            can = sorted(id for id in {*copy.engine.ready, *copy.engine.left} if copy.engine.may_send(id))
            if can:
                copy.engine.out[self.draw.choice(can)] += 1

    def ends(self) -> None:
        copy = self.one()
        if copy is not None:
            for id in [id for id, count in copy.engine.out.items() if count]:
                if self.draw.random() < 0.7:
                    copy.engine.out[id] = 0

    def wishes(self) -> None:
        copy = self.one()
        if copy is None:
            return
        draw = self.draw
        named: dict[str, Any] = draw.choice(
            (
                {"zone": "a"}, {"zone": "b"}, {"cell": 1}, {"kind": "small"}, {"ids": ("m0", "m1")},
                {"ids": (f"m{draw.randint(0, 6)}",)},
            )
        )  # fmt: skip
        wish = wish_of(
            f"w{draw.randint(0, 3)}", draw.randint(1, 3), draw.choice(("zone", "cell", "tier")),
            draw.choice((0.0, 0.0, 0.5, 0.7)), **named,
        )  # fmt: skip
        self.asks(lambda: copy.desk.wish(wish))

    def asks(self, what: Callable[[], object]) -> None:
        try:
            what()
        except UpkeepError:
            return

    def withdraws(self) -> None:
        copy = self.one()
        if copy is not None and copy.roll.wishes:
            name = self.draw.choice(list(copy.roll.wishes.values())).wish.name
            self.asks(lambda: copy.desk.withdraw(name))

    def works(self) -> None:
        copy = self.one()
        if copy is not None and copy.roll.machines:
            id = self.draw.choice(list(copy.roll.machines))
            event = self.draw.choice(("begin", "done"))
            self.asks(lambda: copy.desk.work(event, id))

    def declares(self) -> None:
        """Somebody who has looked says that a process is no more."""
        copy = self.one()
        dead = [one.me for one in self.copies if one.dead]
        if copy is not None and dead:
            peer = self.draw.choice(dead)
            # He means the process that he saw dead, of which this copy must have heard.
            if copy.roll.here.get(peer, 0) in (0, self.copies[peer].incarnation):
                self.asks(lambda: copy.desk.absent(peer))

    def goes_well(self, rounds: int = 0, aside: Kind | None = None) -> list[Proposal]:
        """A few rounds in which what can get through does; proposals of one kind may be set aside."""
        found: list[Proposal] = []
        for _ in range(rounds or self.draw.randint(1, 4)):
            for copy in self.alive:
                if not copy.cut:
                    if copy.me not in self.deaf:
                        copy.hear()
                    if copy.known or copy.me not in self.slow:
                        copy.catch_up()
                        copy.known = True
                before = set(copy.engine.ready)
                fresh = copy.source.shown.fresh
                copy.keeper.look()
                if not fresh:
                    self.check_taking(copy, before)
            self.carry_words()
            while self.pending:
                proposal = self.pending.pop(0)
                if aside is not None and aside(unpack_entry(proposal.data[1:])):
                    found.append(proposal)
                else:
                    self.agree(proposal)
            self.check()
            self.clock.time += self.draw.choice((100_000, 700_000))
            self.run_due()
        return found

    def rounds(self) -> None:
        self.goes_well()

    def heals(self) -> None:
        self.deaf.clear()
        self.slow.clear()

    # --- Beginnings that are seldom drawn by themselves ----------------------------------

    def one_comes_back_before_it_is_declared_absent(self) -> None:
        last = self.copies[-1]
        self.goes_well(3)
        last.die()
        self.asks(lambda: self.copies[0].desk.absent(last.me))
        aside = self.goes_well(2, is_ask)
        self.restart(last.me)
        self.goes_well(4)
        for proposal in aside:
            self.agree(proposal)
        self.copies[-1].cut = True
        self.asks(lambda: self.copies[0].desk.wish(wish_of("w0", 2, ids=("m0",))))
        self.goes_well(6)

    def one_serves_without_the_record(self) -> None:
        first, last = self.copies[0], self.copies[-1]
        self.goes_well(3)
        self.copies[-2].cut = len(self.copies) > 2
        self.asks(lambda: first.desk.wish(wish_of("w0", 2, ids=("m0",))))
        self.goes_well(5, is_step)
        last.die()
        self.slow.add(last.me)
        last = self.restart(last.me)
        for _ in range(30):
            self.goes_well(1, is_step)
            if last.keeper.alone:
                break
        self.goes_well(2, is_step)
        self.copies[-2].cut = False
        self.goes_well(6)

    def one_was_declared_absent_and_serves(self) -> None:
        first, last = self.copies[0], self.copies[-1]
        self.goes_well(3)
        last.die()
        self.asks(lambda: first.desk.absent(last.me))
        self.goes_well(3)
        self.slow.add(last.me)
        last = self.restart(last.me)
        for _ in range(30):
            self.goes_well(1)
            if last.keeper.alone:
                break
        self.goes_well(2)
        self.asks(lambda: first.desk.wish(wish_of("w0", 2, ids=("m0",))))
        self.goes_well(8)

    def one_has_an_old_list(self) -> None:
        ids = sorted(self.list)
        last = self.copies[-1]
        self.list_as(*({**self.list[id], "lifecycle": "draining"} for id in ids[1:]))
        self.goes_well(3)
        self.deaf.add(last.me)
        self.list_as(*({**self.list[id], "lifecycle": "ready"} for id in ids))
        self.asks(lambda: self.copies[0].desk.wish(wish_of("w0", 2, ids=(ids[0],))))
        self.goes_well(5)

    def one_clear_is_late(self) -> None:
        desk = self.copies[0].desk
        self.goes_well(3)
        self.asks(lambda: desk.wish(wish_of("w0", 2, ids=("m0",))))
        aside = self.goes_well(8, is_step)
        self.asks(lambda: desk.withdraw("w0"))
        self.goes_well(3)
        self.asks(lambda: desk.wish(wish_of("w1", 2, ids=("m0",))))
        for _ in range(6):
            self.goes_well(1, is_step)
            if "m0" in self.roll.machines:
                break
        for proposal in aside:
            self.agree(proposal)
            self.check()

    # --- After the faults ---------------------------------------------------------------

    def recover(self) -> None:
        """Faults end; staff does its work. All wishes come to an end."""
        for copy in self.copies:
            copy.cut = False
            self.heals()
            if copy.dead:
                self.restart(copy.me)
        self.leaders = {0}
        for n in range(7):
            zone, cell = self.truth(f"m{n}")
            self.list_as(line(f"m{n}", zone, cell=cell, started_ms=self.clock.wall() // 1000))
        for copy in self.alive:
            copy.engine.out.clear()
        for _ in range(400):
            self.turn()
            for proposal in self.pending:
                self.agree(proposal)
            self.pending.clear()
            self.check()
            self.clock.time += SECOND  # `turn` looks: no timer is needed
            self.clock.due.clear()
            if not self.roll.wishes and not self.roll.machines:
                return
            self.staff()
        states = self.states(), [one.wish for one in self.roll.wishes.values()]
        self.broken(f"no progress once faults ended: {states}")

    def staff(self) -> None:
        desk = self.copies[0].desk
        for machine in list(self.copies[0].roll.machines.values()):
            if machine.state in CLEARED:
                id = machine.id
                self.asks(lambda id=id: desk.work("done", id))  # type: ignore[misc]
        for one in list(self.copies[0].roll.wishes.values()):
            name = one.wish.name
            told = desk.told_wish(one)
            if told["never"]:
                self.asks(lambda name=name: desk.withdraw(name))  # type: ignore[misc]

    def run(self) -> None:
        for copy in self.copies:
            copy.hear()
        for _ in range(self.draw.randint(1, 3)):
            self.turn()
            self.agrees()
        if self.draw.random() < 0.15:
            self.draw.choice(BEGINNINGS)(self)
        for _ in range(STEPS):
            self.step()
        self.recover()


EVENTS: list[Callable[[World], None]] = [
    World.looks, World.delivers, World.learns, World.hears_words, World.agrees, World.hears_list,
    World.passes, World.leads, World.cuts, World.dies, World.all_die, World.comes, World.discovers,
    World.sends, World.ends, World.wishes, World.withdraws, World.works, World.declares, World.rounds,
    World.heals,
]  # fmt: skip
WEIGHTS = [24, 14, 6, 14, 14, 6, 8, 2, 1, 1, 1, 5, 2, 5, 5, 4, 1, 5, 3, 9, 2]

BEGINNINGS: list[Callable[[World], None]] = [
    World.one_comes_back_before_it_is_declared_absent, World.one_serves_without_the_record,
    World.one_was_declared_absent_and_serves,
    World.one_has_an_old_list, World.one_clear_is_late,
]  # fmt: skip


def play(seed: int) -> None:
    World(seed).run()


def first_broken(seeds: range) -> str:
    """The rule that the first schedule breaks, and its seed; nothing if all hold."""
    for seed in seeds:
        try:
            play(seed)
        except BrokenError as error:
            return f"{error} (seed {seed})"
    return ""


@pytest.mark.parametrize("part", range(6))
def test_no_schedule_breaks_a_rule(part: int) -> None:
    assert first_broken(range(part * SEEDS // 6, (part + 1) * SEEDS // 6)) == ""


# --- The checker can fail -----------------------------------------------------------------


def one_confirmation_early(patch: pytest.MonkeyPatch) -> None:
    missing = Confirmations.missing

    def early(self: Confirmations, index: int, roll: Roll, peers: int) -> list[int]:
        return missing(self, index, roll, peers)[1:]

    patch.setattr(Confirmations, "missing", early)


def limits_only_by_the_leader(patch: pytest.MonkeyPatch) -> None:
    """What is proposed is planned as ever, and applied without a look."""
    leave, binding = Roll._leave, Roll.binding

    def blind(self: Roll, index: int, entry: Leave) -> bool:
        entry = Leave(self.changed, *[getattr(entry, key) for key in entry.__struct_fields__[1:]])
        patch_binding = Roll.binding
        Roll.binding = lambda self, entry, alone=False: None  # type: ignore[method-assign]
        try:
            return leave(self, index, entry)
        finally:
            Roll.binding = patch_binding  # type: ignore[method-assign]

    assert binding is Roll.binding
    patch.setattr(Roll, "_leave", blind)


def older_incarnation_counted(patch: pytest.MonkeyPatch) -> None:
    def hear(self: Confirmations, peer: int, incarnation: int, quiet: int) -> None:
        old = self.quiet.get(peer)
        if old is not None and old[1] > quiet:
            incarnation, quiet = old
        self.quiet[peer] = incarnation, quiet

    patch.setattr(Confirmations, "hear", hear)


def hold_forgotten_when_cut_off(patch: pytest.MonkeyPatch) -> None:
    refresh = UpkeepSource.refresh

    def forgetful(self: UpkeepSource) -> None:
        refresh(self)
        keeper = getattr(self.on_list, "__self__", None)
        if isinstance(keeper, Keeper) and not keeper.accord.in_touch and self.shown.holds:
            ids = list(self.shown.holds)
            self.shown.holds.clear()
            self._tell(False, [id for id in ids if id in self.table.members])

    patch.setattr(UpkeepSource, "refresh", forgetful)


def return_without_the_limits(patch: pytest.MonkeyPatch) -> None:
    broken = roll_module.broken

    def lenient(limits: Any, entry: Leave, out: list[Any], alone: bool = False) -> str | None:
        return broken(limits, entry, [one for one in out if one.state != State.RETURNING], alone)

    patch.setattr(roll_module, "broken", lenient)


def quiet_before_the_grace(patch: pytest.MonkeyPatch) -> None:
    quiet = Shown.quiet
    patch.setattr(Shown, "quiet", lambda self, roll, now, grace, out: quiet(self, roll, now, 0, out))


def quiet_with_requests_out(patch: pytest.MonkeyPatch) -> None:
    quiet = Shown.quiet
    patch.setattr(
        Shown, "quiet", lambda self, roll, now, grace, out: quiet(self, roll, now, grace, lambda id: 0)
    )


def sends_before_it_knows(patch: pytest.MonkeyPatch) -> None:
    start = Keeper.start

    def hasty(self: Keeper) -> None:
        start(self)
        self.source.go_on(False)

    patch.setattr(Keeper, "start", hasty)


def absent_names_no_incarnation(patch: pytest.MonkeyPatch) -> None:
    do = Roll._do

    def any_incarnation(self: Roll, index: int, ask: Any) -> str:
        if ask.verb == "absent":
            self.absent.add(ask.what)
            return ""
        return do(self, index, ask)

    patch.setattr(Roll, "_do", any_incarnation)


def absent_for_one_that_is_heard(patch: pytest.MonkeyPatch) -> None:
    missing = Confirmations.missing

    def blind(self: Confirmations, index: int, roll: Roll, peers: int) -> list[int]:
        return [peer for peer in missing(self, index, roll, peers) if peer not in roll.absent]

    patch.setattr(Confirmations, "missing", blind)


def last_one_taken(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Shown, "_free", lambda self, table: 1000)


def late_steps_hold(patch: pytest.MonkeyPatch) -> None:
    """A `clear` for an earlier leaving counts for a later one."""
    step = Roll._step

    def timeless(self: Roll, index: int, entry: Step) -> bool:
        machine = self.machines.get(entry.id)
        since = entry.since if machine is None else machine.since
        return step(self, index, Step(entry.id, since, entry.event, entry.why))

    patch.setattr(Roll, "_step", timeless)


def discovery_loses(patch: pytest.MonkeyPatch) -> None:
    as_it_is = Shown.raw

    def raw(self: Shown, member: Any) -> dict[str, Any]:
        found = as_it_is(self, member)
        if member.id in self.returned and not self.is_held(member.id):
            found["lifecycle"] = "ready"
        return found

    patch.setattr(Shown, "raw", raw)


def never_told_again(patch: pytest.MonkeyPatch) -> None:
    """Words are told once."""
    word = Copy.word
    told: set[bytes] = set()

    def once(self: Copy, data: bytes) -> None:
        key = data + repr((id(self.tier), self.me, self.incarnation)).encode()
        if key not in told:
            told.add(key)
            word(self, data)

    patch.setattr(Copy, "word", once)


Fault = Callable[[pytest.MonkeyPatch], None]
FAULTS: dict[Fault, str | tuple[str, str]] = {
    one_confirmation_early: "clear while",
    limits_only_by_the_leader: ("more out than", "less stays than"),
    older_incarnation_counted: "clear while one had said",
    hold_forgotten_when_cut_off: "clear while somebody",
    return_without_the_limits: "more out than",
    quiet_before_the_grace: "clear while somebody",
    quiet_with_requests_out: "clear while somebody",
    sends_before_it_knows: "clear while somebody",
    absent_names_no_incarnation: "clear while somebody",
    absent_for_one_that_is_heard: "clear while one had said",
    last_one_taken: "the last ready machine was taken",
    late_steps_hold: "clear while somebody",
    discovery_loses: "ready against discovery",
    never_told_again: "no progress",
}


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_deliberate_fault_is_found(fault: Fault, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    found = first_broken(range(FAULT_SEEDS))
    assert found.startswith(FAULTS[fault]) and found, found or "not found"


def test_words_and_entries_are_what_they_say() -> None:
    """What the world carries is read as it is on a real link."""
    assert unpack_word(pack(Confirm(7))) == Confirm(7)
    assert plan_module.Confirmations is Confirmations
