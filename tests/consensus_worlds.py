"""Worlds of `laurelstep.testing.schedules` that tests of consensus begin with, and waits on them."""

from __future__ import annotations

from collections.abc import Callable, Collection

from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.timing import ConsensusTiming
from laurelstep.testing.schedules import Made, Process, World
from laurelstep.testing.schedules.script import QUICK, founded, settle

SECOND = 1_000_000


def unchanged(made: Made) -> Made:
    """What a tier is made of, without a fault."""
    return made


def founded_world(
    seats: int,
    learners: int = 0,
    lasting: bool = False,
    seed: int = 1,
    timing: ConsensusTiming = QUICK,
    made: Callable[[Made], Made] = unchanged,
) -> World:
    """A tier that has bootstrapped its first epoch, and has applied an entry."""
    peers = seats + learners
    records = founded(seats, peers, QUICK.max_log_entries)
    world = World(made(Made(seats, peers, timing, lasting)), seed, records)
    settle(world)
    return world


def core_of(world: World, me: int) -> ConsensusCore:
    """The core of a process that is alive."""
    core = world.processes[me].core
    assert core is not None
    return core


def find_leader(world: World, among: Collection[int]) -> Process | None:
    """Whoever leads of those."""
    return next((one for one in world.leaders() if one.me in among), None)


def wait_for_leader(world: World, among: Collection[int], within_us: int = 20 * SECOND) -> Process:
    """Whoever leads of those, once one does."""
    assert world.run_for(within_us, lambda: find_leader(world, among) is not None)
    leader = find_leader(world, among)
    assert leader is not None
    return leader


def wait_for_settled_leader(world: World, among: Collection[int], within_us: int = 5 * SECOND) -> Process:
    """Whoever leads of those, once one does and has committed something in its term."""

    def settled() -> Process | None:
        leaders = (one for one in world.leaders() if one.me in among)
        return next((one for one in leaders if core_of(world, one.me).is_caught_up), None)

    assert world.run_for(within_us, lambda: settled() is not None)
    leader = settled()
    assert leader is not None
    return leader


def is_applied(world: World, data: bytes, among: Collection[int], within_us: int = 5 * SECOND) -> bool:
    """Whether those have applied it in time."""
    return world.run_for(within_us, lambda: all(data in world.processes[me].tape.data for me in among))


def others(world: World, *left: int) -> list[int]:
    """The numbers of all processes but those."""
    return [me for me in range(world.made.peers) if me not in left]
