"""Simulated tiers (`laurelstep.testing.schedules`) for consensus tests, and functions that wait on them."""

from __future__ import annotations

from collections.abc import Callable, Collection

from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.timing import ConsensusTiming
from laurelstep.testing.schedules import ConsensusSimulation, SimulatedProcess, SimulationOptions
from laurelstep.testing.schedules.script import QUICK_TIMING, bootstrapped_state, run_until_progress

SECOND_US = 1_000_000


def no_fault(options: SimulationOptions) -> SimulationOptions:
    """Return the options without an injected fault."""
    return options


def bootstrapped_world(
    voter_count: int,
    learner_count: int = 0,
    is_durable: bool = False,
    seed: int = 1,
    timing: ConsensusTiming = QUICK_TIMING,
    inject_fault: Callable[[SimulationOptions], SimulationOptions] = no_fault,
) -> ConsensusSimulation:
    """Return a tier that has bootstrapped its first epoch and applied an entry."""
    peer_count = voter_count + learner_count
    records = bootstrapped_state(voter_count, peer_count, QUICK_TIMING.max_log_entries)
    world = ConsensusSimulation(
        inject_fault(SimulationOptions(voter_count, peer_count, timing, is_durable)), seed, records
    )
    run_until_progress(world)
    return world


def core_of(world: ConsensusSimulation, peer: int) -> ConsensusCore:
    """Return the core of a running process."""
    core = world.processes[peer].core
    assert core is not None
    return core


def find_leader(world: ConsensusSimulation, among: Collection[int]) -> SimulatedProcess | None:
    """Return a leader among some processes, None if there is none."""
    return next((process for process in world.leaders() if process.peer in among), None)


def wait_for_leader(
    world: ConsensusSimulation, among: Collection[int], within_us: int = 20 * SECOND_US
) -> SimulatedProcess:
    """Wait for a leader among some processes, and return it."""
    assert world.run_for(within_us, lambda: find_leader(world, among) is not None)
    leader = find_leader(world, among)
    assert leader is not None
    return leader


def wait_for_ready_leader(
    world: ConsensusSimulation, among: Collection[int], within_us: int = 5 * SECOND_US
) -> SimulatedProcess:
    """Wait for a leader among some processes that has committed an entry in its term, and return it."""

    def find_ready_leader() -> SimulatedProcess | None:
        leaders = (process for process in world.leaders() if process.peer in among)
        return next((process for process in leaders if core_of(world, process.peer).is_caught_up), None)

    assert world.run_for(within_us, lambda: find_ready_leader() is not None)
    leader = find_ready_leader()
    assert leader is not None
    return leader


def wait_until_applied(
    world: ConsensusSimulation, data: bytes, among: Collection[int], within_us: int = 5 * SECOND_US
) -> bool:
    """Wait until some processes have applied an entry. Returns whether they did in time."""
    return world.run_for(
        within_us, lambda: all(data in world.processes[peer].recording.data for peer in among)
    )


def other_peers(world: ConsensusSimulation, *excluded: int) -> list[int]:
    """Return the numbers of all processes except some."""
    return [peer for peer in range(world.options.peer_count) if peer not in excluded]
