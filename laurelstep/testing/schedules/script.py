"""Draws a schedule from a seed, plays it, and sees that the tier goes on once faults end."""

from __future__ import annotations

import dataclasses
import functools
import random
from collections.abc import Callable, Mapping
from typing import Final

from laurelstep.accord.core import Timing
from laurelstep.testing.schedules.process import Made
from laurelstep.testing.schedules.world import Network, World

__all__ = ["QUICK", "Shape", "founded", "play", "settle"]

MS: Final = 1_000
SECOND: Final = 1_000_000
# The proportions of service, with a shorter rest: what rests costs steps and shows nothing.
QUICK: Final = Timing(rest_us=1_500 * MS, lease_us=400 * MS, log_most=6)
# Once faults end, an entry is agreed and known to all within this true time.
PROGRESS_US: Final = 30 * SECOND


@dataclasses.dataclass(frozen=True)
class Shape:
    """What schedules are drawn from. A test that looks for one fault narrows it."""

    seats: tuple[int, ...] = (1, 3, 3, 3, 5, 5, 7)
    learners: tuple[int, ...] = (0, 0, 1, 2)
    lasting: float = 0.4
    founded: float = 0.75
    faults: tuple[int, ...] = (2, 3, 4, 6)
    kinds: tuple[str, ...] = ()
    loss: tuple[float, ...] = (0.0, 0.0, 0.05, 0.2)
    late: tuple[float, ...] = (0.0, 0.0, 0.05)
    delay_us: tuple[int, ...] = (5 * MS, 5 * MS, 60 * MS)
    leases: tuple[int, ...] = (0, 3, 10)
    # How long faults last, and how often somebody proposes.
    length_us: int = 3 * SECOND
    between_us: int = 200 * MS
    # The longest entries go one to a datagram.
    entry: int = 3


DEFAULT: Final = Shape()


@functools.cache
def founded(seats: int, peers: int, log_most: int) -> Mapping[int, Mapping[bytes, bytes]]:
    """What the processes of a tier that has just founded its record hand to their successors."""
    world = World(Made(seats, peers, dataclasses.replace(QUICK, log_most=log_most)), seed=0)
    settle(world)
    return {process.me: process.core.retire() for process in world.processes if process.core is not None}


def play(seed: int, shape: Shape = DEFAULT, made: Callable[[Made], Made] | None = None) -> World:
    """One schedule. `made` may change what the tier is made of. Raises BrokenError."""
    draw = random.Random(seed)
    seats = draw.choice(shape.seats)
    peers = seats + draw.choice(shape.learners)
    found_us = draw.choice((QUICK.found_us, QUICK.election_us))
    timing = dataclasses.replace(QUICK, log_most=draw.choice((4, 6, 512)), found_us=found_us)
    plain = Made(seats, peers, timing, lasting=draw.random() < shape.lasting)
    kept = founded(seats, peers, timing.log_most) if draw.random() < shape.founded else None
    world = World(made(plain) if made else plain, seed, kept)
    Script(world, shape, draw).draw_all()
    world.run(shape.length_us)
    world.heal()
    settle(world)
    return world


def settle(world: World) -> None:
    """Propose until all processes know an entry. Raises BrokenError where that takes too long."""
    until = world.time + PROGRESS_US
    probes: list[bytes] = []

    def done() -> bool:
        cores = [process.core for process in world.processes]
        if not all(
            core is not None and core.known and core.in_touch(process.local(world.time))
            for core, process in zip(cores, world.processes, strict=True)
        ):
            return False
        tapes = [process.tape.data for process in world.processes]
        return any(all(probe in tape for tape in tapes) for probe in probes[-4:])

    while world.time < until:
        for leader in world.leaders():
            world.probes += 1
            probe = b"probe%d" % world.probes
            if world.propose(leader.me, probe):
                probes.append(probe)
        for _ in range(4):
            world.run_for(50 * MS)
            if done():
                return
    states = [
        (process.me, core.role, core.era.generation, core.term, core.applied, core.known)
        for process in world.processes
        if (core := process.core) is not None
    ]
    raise world.checker.broken("progress", f"none in {PROGRESS_US // SECOND} s: {states}")


class Script:
    """Draws faults, proposals and leases, and puts them on the world's time."""

    def __init__(self, world: World, shape: Shape, draw: random.Random) -> None:
        self._world = world
        self._shape = shape
        self._draw = draw
        self._seats = world.made.seats
        self._peers = world.made.peers
        self._kinds: dict[str, Callable[[], None]] = {
            "crash": self._crash,
            "come again": self._come_again,
            "majority": self._majority,
            "all": self._all,
            "roll": self._roll,
            "pause": self._pause,
            "halves": self._halves,
            "alone": self._alone,
            "one way": self._one_way,
            "bridge": self._bridge,
            "mend": self._mend,
            "succeed": self._succeed,
            "storm": self._storm,
        }

    def draw_all(self) -> None:
        world, shape, draw = self._world, self._shape, self._draw
        world.network = Network(
            loss=draw.choice(shape.loss),
            doubling=draw.choice((0.0, 0.0, 0.1)),
            most_us=draw.choice(shape.delay_us),
            late=draw.choice(shape.late),
        )
        kinds = shape.kinds or tuple(self._kinds)
        for _ in range(draw.choice(shape.faults)):
            world.at(draw.randrange(shape.length_us), self._kinds[draw.choice(kinds)])
        for count, time in enumerate(range(0, shape.length_us, shape.between_us)):
            data = (b"%d." % count).ljust(shape.entry, b".")
            world.at(time + draw.randrange(shape.between_us), self._propose, data)
        for _ in range(draw.choice(shape.leases)):
            world.at(draw.randrange(shape.length_us), self._lease)

    def _anyone(self) -> int:
        return self._draw.randrange(self._peers)

    def _seat(self) -> int:
        """A seat; half of the time one that leads."""
        leaders = self._world.leaders()
        if leaders and self._draw.random() < 0.5:
            return self._draw.choice(leaders).me
        return self._draw.randrange(self._seats)

    def _someone(self) -> int:
        return self._seat() if self._draw.random() < 0.8 else self._anyone()

    def _later(self, call: Callable[[int], None], me: int, most_us: int = 2 * SECOND) -> None:
        self._at(self._world.time + self._draw.randrange(most_us), call, me)

    def _at(self, time: int, call: Callable[..., None], *args: object) -> None:
        """While faults last: their end is the world's."""
        if time < self._shape.length_us:
            self._world.at(time, call, *args)

    def _propose(self, data: bytes) -> None:
        """At whoever leads or thinks so, and at a random one."""
        for leader in self._world.leaders():
            self._world.propose(leader.me, data + b"%d" % leader.me)
        self._world.propose(self._anyone(), data)

    def _lease(self) -> None:
        me = self._anyone()
        if self._draw.random() < 0.2:
            self._world.give_back(me)
        self._world.ask_lease(me)

    def _crash(self) -> None:
        me = self._someone()
        self._world.crash(me, midst=self._draw.random() < 0.5)
        self._later(self._world.restart, me)

    def _come_again(self) -> None:
        self._world.restart(self._someone())

    def _majority(self) -> None:
        for me in self._draw.sample(range(self._seats), self._seats // 2 + 1):
            self._world.crash(me)
            self._later(self._world.restart, me, 300 * MS)

    def _all(self) -> None:
        for me in range(self._peers):
            self._world.crash(me)
            self._later(self._world.restart, me, 300 * MS)

    def _roll(self) -> None:
        """Each seat comes again, one soon after the other."""
        gap = self._draw.choice((100 * MS, 500 * MS))
        order = self._draw.sample(range(self._seats), self._seats)
        for count, me in enumerate(order):
            self._at(self._world.time + count * gap, self._world.restart, me)

    def _pause(self) -> None:
        me = self._someone()
        self._world.pause(me)
        self._later(self._world.resume, me, 4 * SECOND)

    def _halves(self) -> None:
        """A side has a majority, or with an even cut of seats and learners neither may."""
        order = self._draw.sample(range(self._peers), self._peers)
        cut = self._draw.randint(1, max(1, self._peers - 1))
        self._world.part(order[:cut], order[cut:])

    def _alone(self) -> None:
        me = self._seat()
        self._world.part([me], [other for other in range(self._peers) if other != me])

    def _one_way(self) -> None:
        me = self._seat()
        others = [other for other in range(self._peers) if other != me]
        if self._draw.random() < 0.5:
            self._world.cut_one_way([me], others)
        else:
            self._world.cut_one_way(others, [me])

    def _bridge(self) -> None:
        order = self._draw.sample(range(self._peers), self._peers)
        cut = (self._peers + 1) // 2
        self._world.part(order[:cut], order[cut - 1 :])

    def _mend(self) -> None:
        self._world.cut = set()

    def _succeed(self) -> None:
        self._world.succeed(self._someone())

    def _storm(self) -> None:
        """The network gets worse for a while."""
        before = self._world.network
        self._world.network = dataclasses.replace(before, loss=0.4, doubling=0.2, late=0.1)
        self._at(self._world.time + 500 * MS, self._calm, before)

    def _calm(self, network: Network) -> None:
        self._world.network = network
