"""Worlds of `laurelstep.testing.schedules` that tests of consensus begin with, and waits on them."""

from __future__ import annotations

from collections.abc import Callable, Collection

from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.timing import ConsensusTiming
from laurelstep.testing.schedules import ConsensusSimulation, SimulatedProcess, SimulationOptions
from laurelstep.testing.schedules.script import QUICK_TIMING, bootstrapped_state, run_until_progress

SECOND = 1_000_000


def unchanged(made: SimulationOptions) -> SimulationOptions:
    """What a tier is made of, without a fault."""
    return made


def founded_world(
    seats: int,
    learners: int = 0,
    lasting: bool = False,
    seed: int = 1,
    timing: ConsensusTiming = QUICK_TIMING,
    made: Callable[[SimulationOptions], SimulationOptions] = unchanged,
) -> ConsensusSimulation:
    """A tier that has bootstrapped its first epoch, and has applied an entry."""
    peers = seats + learners
    records = bootstrapped_state(seats, peers, QUICK_TIMING.max_log_entries)
    world = ConsensusSimulation(made(SimulationOptions(seats, peers, timing, lasting)), seed, records)
    run_until_progress(world)
    return world


def core_of(world: ConsensusSimulation, me: int) -> ConsensusCore:
    """The core of a process that is alive."""
    core = world.processes[me].core
    assert core is not None
    return core


def find_leader(world: ConsensusSimulation, among: Collection[int]) -> SimulatedProcess | None:
    """Whoever leads of those."""
    return next((one for one in world.leaders() if one.peer in among), None)


def wait_for_leader(
    world: ConsensusSimulation, among: Collection[int], within_us: int = 20 * SECOND
) -> SimulatedProcess:
    """Whoever leads of those, once one does."""
    assert world.run_for(within_us, lambda: find_leader(world, among) is not None)
    leader = find_leader(world, among)
    assert leader is not None
    return leader


def wait_for_settled_leader(
    world: ConsensusSimulation, among: Collection[int], within_us: int = 5 * SECOND
) -> SimulatedProcess:
    """Whoever leads of those, once one does and has committed something in its term."""

    def settled() -> SimulatedProcess | None:
        leaders = (one for one in world.leaders() if one.peer in among)
        return next((one for one in leaders if core_of(world, one.peer).is_caught_up), None)

    assert world.run_for(within_us, lambda: settled() is not None)
    leader = settled()
    assert leader is not None
    return leader


def is_applied(
    world: ConsensusSimulation, data: bytes, among: Collection[int], within_us: int = 5 * SECOND
) -> bool:
    """Whether those have applied it in time."""
    return world.run_for(within_us, lambda: all(data in world.processes[me].recording.data for me in among))


def others(world: ConsensusSimulation, *left: int) -> list[int]:
    """The numbers of all processes but those."""
    return [me for me in range(world.options.peer_count) if me not in left]
