"""The agreed record under made schedules, and that the checker can fail: each fault put in is found."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection

import pytest

from laurelstep.accord import core as real
from laurelstep.accord.following import Following
from laurelstep.accord.founding import Founding
from laurelstep.accord.leading import Leading
from laurelstep.accord.leases import Leases, _Grant
from laurelstep.accord.log import Config, Log
from laurelstep.accord.membership import Membership
from laurelstep.accord.messages import Append, Here, Stand
from laurelstep.accord.reading import Reading
from laurelstep.accord.snapshots import Snapshot
from laurelstep.accord.state import State
from laurelstep.accord.terms import NOWHERE, Era
from laurelstep.accord.voting import Voting
from laurelstep.testing.schedules import BrokenError, Made, Process, Shape, World, play
from laurelstep.testing.schedules.script import QUICK, founded, settle
from tests.once import once

pytestmark = once

# 10,000 seeds: about two minutes on one core in plain Python.
PER_CHUNK = 250
CHUNKS = 40


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_made_schedules(chunk: int) -> None:
    for seed in range(chunk * PER_CHUNK, (chunk + 1) * PER_CHUNK):
        play(seed)


def test_a_seed_is_one_schedule() -> None:
    first, second = play(11), play(11)
    assert (first.steps, first.sent, first.time) == (second.steps, second.sent, second.time)
    assert [one.tape.places for one in first.processes] == [one.tape.places for one in second.processes]


# Faults


class FewVotes(Voting):
    """A vote without a majority."""

    def enough(self, votes: Collection[int]) -> bool:
        return len(votes) >= len(self._state.log.config.members) // 2


class AnyLog(Voting):
    """A vote for a log that is worse than the voter's."""

    def _good(self, message: Stand) -> bool:
        return True


class TwoVotes(Voting):
    """A vote for each that asks."""

    def _free(self, peer: int, message: Stand) -> bool:
        return True


class Counting(Leading):
    """An entry of an earlier term is agreed by counting who has it."""

    def may_count(self, index: int) -> bool:
        return True


class OneShort(Leading):
    """Agreed by one fewer than a majority."""

    def held_by_majority(self) -> int:
        members = self._state.log.config.members
        marks = [self._state.log.last if seat == self._state.me else -1 for seat in members]
        marks += [self.progress[seat].match for seat in members if self._voter(seat)]
        marks.sort(reverse=True)
        return marks[max(0, len(members) // 2 - 1)]


class BySilence(Membership):
    """All that are silent for a while are taken out at once: more than one at a time, without a question."""

    def beat(self) -> None:
        super().beat()
        members = self._state.log.config.members
        quiet = self._state.now - self._state.timing.election_us // 2
        silent = {seat for seat, one in self._leading.progress.items() if one.heard_at < quiet}
        if self.may_change() and silent & set(members):
            self._leading.change({seat: who for seat, who in members.items() if seat not in silent})


class NotAll(Founding):
    """A founding by a majority of the seats."""

    def all_of(self, seats: Collection[int]) -> bool:
        return 2 * len(seats) > self._state.seats

    def _judge(self) -> None:
        if self.all_of(self._here):
            for seat in range(self._state.seats):
                self._here.setdefault(seat, Here(0, 0, NOWHERE, NOWHERE, 0, 0, 0, 0, [], False))
        super()._judge()


class AnyFounder(Founding):
    """The first seat founds, whatever others remember."""

    def _first_of_best(self) -> int:
        return 0

    def _position(self, of: object) -> tuple[object, int, int]:  # type: ignore[override]
        return ((0, 0), 0, 0)


class FirstHeard(Reading):
    """A process takes the first that it hears for the record as it is."""

    def settle(self) -> None:
        super().settle()
        self._state.known |= self._state.applied > 0


class Unconfirmed(Reading):
    """The leader answers a read at once, by what it has."""

    def confirmed(self) -> int:
        return self._leading.round + 1


class Blind(Following):
    """Entries are taken without a look at what they follow."""

    def on_append(self, peer: int, message: Append) -> None:
        log = self._state.log
        term = log.term_at(message.previous)
        if log.era == message.era and term is not None and message.term >= self._state.term:
            message = Append(
                message.era,
                message.to,
                message.term,
                message.previous,
                term,
                message.commit,
                message.round,
                message.entries,
            )
        super().on_append(peer, message)


class DropsLast(State):
    """A snapshot without the last entry that it stands for."""

    def compact(self) -> None:
        super().compact()
        assert self.snapshot is not None
        term = self.snapshot.term
        dump = self._before
        self.snapshot = Snapshot.of(self.log.era, self.applied, term, self.log.config_at(self.applied), dump)
        self._keep_base()

    _before = b""

    def apply_to(self, index: int) -> None:
        if index > self.applied:
            super().apply_to(index - 1)
            self._before = self.machine.dump()
        super().apply_to(index)


class Hasty(State):
    """A newer era takes the log at once, before its snapshot is here."""

    def enter_era(self, era: Era) -> None:
        super().enter_era(era)
        if self.log.era != era:
            self._forget(self.log.start + 1, self.log.last)
            self.log = Log(era, 0, 0, Config(0, 0, {}))
            self.machine.load(b"")
            self.applied = self.committed = 0


class Unkept(State):
    """A promise is sent, but not kept."""

    def keep_promise(self) -> None:
        pass


class FromLearning(Leases):
    """The holder counts from when it learned, not from when it asked."""

    def ends(self, grant: _Grant) -> int:
        if super().ends(grant) == 0:
            return 0
        learned = self._learned.get(grant.name)
        return 0 if learned is None else learned[1] + grant.lease_us


class Impatient(Leases):
    """The others wait for a part of the lease."""

    def others_wait(self, lease_us: int) -> int:
        return lease_us // 2


def faulty(name: str, part: type) -> Callable[[Made], Made]:
    core = type("Faulty", (real.Core,), {name: part})
    return lambda made: dataclasses.replace(made, core=core)


def leasing(kind: type[Leases]) -> Callable[[Made], Made]:
    return lambda made: dataclasses.replace(made, leases=kind)


def forgetful(made: Made) -> Made:
    return dataclasses.replace(made, forgets_amnesia=True)


CUTS = Shape(seats=(3, 5), founded=1.0, faults=(4, 6, 8), kinds=("halves", "alone", "pause", "mend"))
LASTING = dataclasses.replace(CUTS, lasting=1.0, kinds=("crash", "halves", "alone", "mend", "come again"))
AMNESIA = dataclasses.replace(
    CUTS, lasting=0.0, kinds=("crash", "come again", "halves", "alone", "mend", "roll", "majority")
)
LEASES = dataclasses.replace(
    CUTS, leases=(60,), loss=(0.2,), late=(0.0,), delay_us=(5_000,), kinds=("alone", "mend"), faults=(2,)
)

# Schedules by hand, for what drawn ones seldom meet


def tier(
    seed: int, made: Callable[[Made], Made], seats: int, learners: int = 0, lasting: bool = False
) -> World:
    """A tier that has founded its record, with a leader and an entry."""
    plain = Made(seats, seats + learners, QUICK, lasting)
    world = World(made(plain), seed, founded(seats, seats + learners, QUICK.log_most))
    settle(world)
    return world


def leader(world: World, among: Collection[int]) -> Process | None:
    return next((one for one in world.leaders() if one.me in among), None)


def until_led(world: World, among: Collection[int]) -> Process:
    assert world.run_for(20_000_000, lambda: leader(world, among) is not None)
    found = leader(world, among)
    assert found is not None
    return found


def figure_8(seed: int, made: Callable[[Made], Made]) -> None:
    """Raft's figure 8: an entry of an earlier term on a majority, and a later one elsewhere that wins."""
    world = tier(seed, made, seats=5, lasting=True)
    first = until_led(world, range(5)).me
    second, third, fourth, fifth = (me for me in range(5) if me != first)
    world.part([first, second], [third, fourth, fifth])
    world.propose(first, b"e" * 155)
    world.run_for(100_000)
    world.crash(first)
    late = until_led(world, (third, fourth, fifth)).me
    rest = [me for me in (third, fourth, fifth) if me != late]
    # What it sent at its election arrives nowhere.
    world.part([late], [second, *rest])
    world.crash(late)
    place = world.processes[second].core
    assert place is not None
    last = place._state.log.last

    def agreed() -> bool:
        core = world.processes[second].core
        return core is not None and core.committed >= last

    assert world.run_for(20_000_000, agreed)
    world.part([second], [late, *rest])
    world.crash(second)
    world.start(late)
    world.run_for(3_000_000)
    world.heal()
    settle(world)


def read_at_old_leader(seed: int, made: Callable[[Made], Made]) -> None:
    """One that was cut off still leads, by its own account, when a new process asks it."""
    world = tier(seed, made, seats=3, learners=1)
    old = until_led(world, range(3)).me
    others = [me for me in range(3) if me != old]
    world.part([old, 3], others)
    new = until_led(world, others)
    world.propose(new.me, b"news")
    world.run_for(100_000, lambda: b"news" in new.tape.data)
    # The learner hears both, and happens to ask the old one.
    world.restart(3)
    world.run_for(400_000)
    world.heal()
    settle(world)


def founder_dies(seed: int, made: Callable[[Made], Made]) -> None:
    """A founder ends when others have heard of the new era, but have no record of it yet."""
    world = tier(seed, made, seats=5)
    keepers = (3, 4)
    for me in range(3):
        world.restart(me)

    def heard() -> bool:
        states = [core._state for me in keepers if (core := world.processes[me].core) is not None]
        return any(
            state.promised.generation > 1 and state.live and state.role == "follower" for state in states
        )

    assert world.run_for(20_000_000, heard)
    world.restart(until_led(world, range(5)).me)
    world.heal()
    settle(world)


def drawn(shape: Shape) -> Callable[[int, Callable[[Made], Made]], object]:
    return lambda seed, made: play(seed, shape, made)


LOST, ORDER, LEADER, VOTE = "nothing lost", "one order", "one leader", "one vote"
READ, APART = "no stale read", "leases apart"
# The fault, the schedules that look for it, and the invariants of which one breaks.
FAULTS = {
    "a vote without a majority": (faulty("Voting", FewVotes), drawn(CUTS), {LEADER, LOST, ORDER}),
    "a vote for any log": (faulty("Voting", AnyLog), drawn(CUTS), {LOST, ORDER}),
    "two votes in a term": (faulty("Voting", TwoVotes), drawn(CUTS), {VOTE}),
    "a promise that is not kept": (faulty("State", Unkept), drawn(LASTING), {VOTE}),
    "amnesia forgotten": (forgetful, drawn(AMNESIA), {VOTE, LOST}),
    "an earlier term agreed by counting": (faulty("Leading", Counting), figure_8, {LOST}),
    "agreed by one fewer than a majority": (faulty("Leading", OneShort), drawn(CUTS), {ORDER, LOST}),
    "many changes of the config at a time": (
        faulty("Membership", BySilence),
        drawn(CUTS),
        {LEADER, LOST, ORDER},
    ),
    "a founding without all": (faulty("Founding", NotAll), drawn(AMNESIA), {LOST, ORDER}),
    "a founding without the best log": (faulty("Founding", AnyFounder), drawn(AMNESIA), {LOST}),
    "an old log given up too soon": (faulty("State", Hasty), founder_dies, {LOST}),
    "a read of what comes first": (faulty("Reading", FirstHeard), drawn(AMNESIA), {READ}),
    "a read that no majority confirmed": (faulty("Reading", Unconfirmed), read_at_old_leader, {READ}),
    "entries that do not follow": (faulty("Following", Blind), drawn(CUTS), {ORDER}),
    "a snapshot that drops the last entry": (faulty("State", DropsLast), drawn(CUTS), {ORDER}),
    "a lease by the wrong clock": (leasing(FromLearning), drawn(LEASES), {APART}),
    "a lease that others do not wait for": (leasing(Impatient), drawn(LEASES), {APART}),
}
BY_HAND = (figure_8, read_at_old_leader, founder_dies)
SEEDS_MOST = 400


@pytest.mark.parametrize("fault", FAULTS)
def test_the_checker_finds(fault: str) -> None:
    made, schedule, names = FAULTS[fault]
    for seed in range(SEEDS_MOST):
        try:
            schedule(seed, made)
        except BrokenError as broken:
            assert broken.seed == seed
            if broken.name in names:
                return
    pytest.fail(f"not found: {fault}")


@pytest.mark.parametrize("schedule", BY_HAND)
def test_schedules_by_hand(schedule: Callable[[int, Callable[[Made], Made]], object]) -> None:
    for seed in range(40):
        schedule(seed, lambda made: made)
