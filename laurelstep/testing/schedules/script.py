"""Draws a schedule from a seed, plays it, and checks that the processes make progress once faults end."""

from __future__ import annotations

import dataclasses
import functools
import random
from collections.abc import Callable, Mapping
from typing import Final

from laurelstep.consensus.timing import ConsensusTiming
from laurelstep.testing.schedules.process import SimulationOptions
from laurelstep.testing.schedules.world import ConsensusSimulation, SimulatedNetwork

__all__ = ["QUICK_TIMING", "ScheduleShape", "bootstrapped_state", "play_schedule", "run_until_progress"]

MS: Final = 1_000
SECOND: Final = 1_000_000
# The proportions of service with shorter idle times: idling costs steps and shows nothing.
QUICK_TIMING: Final = ConsensusTiming(learner_poll_us=1_500 * MS, lease_us=400 * MS, max_log_entries=6)
# Once faults end, an entry is committed and applied by all within this true time.
PROGRESS_US: Final = 30 * SECOND


@dataclasses.dataclass(frozen=True)
class ScheduleShape:
    """The ranges that schedules are drawn from. A test that looks for one fault narrows them."""

    voter_counts: tuple[int, ...] = (1, 3, 3, 3, 5, 5, 7)
    learner_counts: tuple[int, ...] = (0, 0, 1, 2)
    durable_probability: float = 0.4
    bootstrapped_probability: float = 0.75
    fault_counts: tuple[int, ...] = (2, 3, 4, 6)
    fault_kinds: tuple[str, ...] = ()
    loss_probabilities: tuple[float, ...] = (0.0, 0.0, 0.05, 0.2)
    late_probabilities: tuple[float, ...] = (0.0, 0.0, 0.05)
    max_delays_us: tuple[int, ...] = (5 * MS, 5 * MS, 60 * MS)
    lease_counts: tuple[int, ...] = (0, 3, 10)
    # How long faults last, and the time between proposals.
    length_us: int = 3 * SECOND
    proposal_interval_us: int = 200 * MS
    # Length of an entry; the longest entries go one to a datagram.
    entry_bytes: int = 3


DEFAULT: Final = ScheduleShape()


@functools.cache
def bootstrapped_state(seats: int, peers: int, log_most: int) -> Mapping[int, Mapping[bytes, bytes]]:
    """By process: what one of a group that has just bootstrapped hands to its successor."""
    world = ConsensusSimulation(
        SimulationOptions(seats, peers, dataclasses.replace(QUICK_TIMING, max_log_entries=log_most)), seed=0
    )
    run_until_progress(world)
    return {process.peer: process.core.retire() for process in world.processes if process.core is not None}


def play_schedule(
    seed: int,
    shape: ScheduleShape = DEFAULT,
    change_options: Callable[[SimulationOptions], SimulationOptions] | None = None,
) -> ConsensusSimulation:
    """Play one schedule. `change_options` may replace the options that were drawn. Raises BrokenError."""
    rng = random.Random(seed)
    seats = rng.choice(shape.voter_counts)
    peers = seats + rng.choice(shape.learner_counts)
    found_us = rng.choice((QUICK_TIMING.bootstrap_timeout_us, QUICK_TIMING.election_timeout_us))
    timing = dataclasses.replace(
        QUICK_TIMING, max_log_entries=rng.choice((4, 6, 512)), bootstrap_timeout_us=found_us
    )
    plain = SimulationOptions(seats, peers, timing, is_durable=rng.random() < shape.durable_probability)
    kept = (
        bootstrapped_state(seats, peers, timing.max_log_entries)
        if rng.random() < shape.bootstrapped_probability
        else None
    )
    world = ConsensusSimulation(change_options(plain) if change_options else plain, seed, kept)
    ScheduleGenerator(world, shape, rng).draw_all()
    world.run(shape.length_us)
    world.heal()
    run_until_progress(world)
    return world


def run_until_progress(world: ConsensusSimulation) -> None:
    """Propose until all processes have applied an entry. BrokenError after `PROGRESS_US` without one."""
    until = world.time_us + PROGRESS_US
    probes: list[bytes] = []

    def done() -> bool:
        cores = [process.core for process in world.processes]
        if not all(
            core is not None
            and core.is_caught_up
            and core.has_leader_contact(process.local_time_us(world.time_us))
            for core, process in zip(cores, world.processes, strict=True)
        ):
            return False
        tapes = [process.recording.data for process in world.processes]
        return any(all(probe in tape for tape in tapes) for probe in probes[-4:])

    while world.time_us < until:
        for leader in world.leaders():
            world.probe_count += 1
            probe = b"probe%d" % world.probe_count
            if world.propose(leader.peer, probe):
                probes.append(probe)
        for _ in range(4):
            world.run_for(50 * MS)
            if done():
                return
    states = [
        (process.peer, core.role, core.epoch.generation, core.term, core.applied_index, core.is_caught_up)
        for process in world.processes
        if (core := process.core) is not None
    ]
    raise world.checker.violation("progress", f"none in {PROGRESS_US // SECOND} s: {states}")


class ScheduleGenerator:
    """Draws faults, proposals and leases, and schedules them in a simulation."""

    def __init__(self, world: ConsensusSimulation, shape: ScheduleShape, rng: random.Random) -> None:
        self._world = world
        self._shape = shape
        self._rng = rng
        self._seats = world.options.voter_count
        self._peers = world.options.peer_count
        self._kinds: dict[str, Callable[[], None]] = {
            "crash": self._crash,
            "restart": self._restart,
            "crash majority": self._crash_majority,
            "crash all": self._crash_all,
            "rolling restart": self._rolling_restart,
            "pause": self._pause,
            "split": self._split,
            "isolate": self._isolate_one,
            "one way": self._one_way,
            "bridge": self._bridge,
            "heal": self._heal_network,
            "hot restart": self._hot_restart,
            "degrade": self._degrade_network,
        }

    def draw_all(self) -> None:
        """Draw and schedule the whole schedule."""
        world, shape, rng = self._world, self._shape, self._rng
        world.network = SimulatedNetwork(
            loss_probability=rng.choice(shape.loss_probabilities),
            duplicate_probability=rng.choice((0.0, 0.0, 0.1)),
            max_delay_us=rng.choice(shape.max_delays_us),
            late_probability=rng.choice(shape.late_probabilities),
        )
        kinds = shape.fault_kinds or tuple(self._kinds)
        for _ in range(rng.choice(shape.fault_counts)):
            world.schedule(rng.randrange(shape.length_us), self._kinds[rng.choice(kinds)])
        for count, time in enumerate(range(0, shape.length_us, shape.proposal_interval_us)):
            data = (b"%d." % count).ljust(shape.entry_bytes, b".")
            world.schedule(time + rng.randrange(shape.proposal_interval_us), self._propose, data)
        for _ in range(rng.choice(shape.lease_counts)):
            world.schedule(rng.randrange(shape.length_us), self._lease)

    def _draw_peer(self) -> int:
        return self._rng.randrange(self._peers)

    def _draw_voter(self) -> int:
        """A voter; half of the time one that leads."""
        leaders = self._world.leaders()
        if leaders and self._rng.random() < 0.5:
            return self._rng.choice(leaders).peer
        return self._rng.randrange(self._seats)

    def _draw_mostly_voter(self) -> int:
        return self._draw_voter() if self._rng.random() < 0.8 else self._draw_peer()

    def _later(self, call: Callable[[int], None], me: int, most_us: int = 2 * SECOND) -> None:
        self._at(self._world.time_us + self._rng.randrange(most_us), call, me)

    def _at(self, time: int, call: Callable[..., None], *args: object) -> None:
        """Schedule a call, unless faults have ended by then."""
        if time < self._shape.length_us:
            self._world.schedule(time, call, *args)

    def _propose(self, data: bytes) -> None:
        """Propose at each process that takes itself for the leader, and at a random one."""
        for leader in self._world.leaders():
            self._world.propose(leader.peer, data + b"%d" % leader.peer)
        self._world.propose(self._draw_peer(), data)

    def _lease(self) -> None:
        me = self._draw_peer()
        if self._rng.random() < 0.2:
            self._world.release_lease(me)
        self._world.request_lease(me)

    def _crash(self) -> None:
        me = self._draw_mostly_voter()
        self._world.crash(me, within_step=self._rng.random() < 0.5)
        self._later(self._world.restart, me)

    def _restart(self) -> None:
        self._world.restart(self._draw_mostly_voter())

    def _crash_majority(self) -> None:
        for me in self._rng.sample(range(self._seats), self._seats // 2 + 1):
            self._world.crash(me)
            self._later(self._world.restart, me, 300 * MS)

    def _crash_all(self) -> None:
        for me in range(self._peers):
            self._world.crash(me)
            self._later(self._world.restart, me, 300 * MS)

    def _rolling_restart(self) -> None:
        """Restart all voters, one soon after the other."""
        gap = self._rng.choice((100 * MS, 500 * MS))
        order = self._rng.sample(range(self._seats), self._seats)
        for count, me in enumerate(order):
            self._at(self._world.time_us + count * gap, self._world.restart, me)

    def _pause(self) -> None:
        me = self._draw_mostly_voter()
        self._world.pause(me)
        self._later(self._world.resume, me, 4 * SECOND)

    def _split(self) -> None:
        """Partition the processes in two; neither side needs to have a majority of voters."""
        order = self._rng.sample(range(self._peers), self._peers)
        cut = self._rng.randint(1, max(1, self._peers - 1))
        self._world.partition(order[:cut], order[cut:])

    def _isolate_one(self) -> None:
        me = self._draw_voter()
        self._world.partition([me], [other for other in range(self._peers) if other != me])

    def _one_way(self) -> None:
        me = self._draw_voter()
        others = [other for other in range(self._peers) if other != me]
        if self._rng.random() < 0.5:
            self._world.partition_one_way([me], others)
        else:
            self._world.partition_one_way(others, [me])

    def _bridge(self) -> None:
        order = self._rng.sample(range(self._peers), self._peers)
        cut = (self._peers + 1) // 2
        self._world.partition(order[:cut], order[cut - 1 :])

    def _heal_network(self) -> None:
        self._world.cut_routes = set()

    def _hot_restart(self) -> None:
        self._world.hot_restart(self._draw_mostly_voter())

    def _degrade_network(self) -> None:
        """Let the network get worse for a while."""
        before = self._world.network
        self._world.network = dataclasses.replace(
            before, loss_probability=0.4, duplicate_probability=0.2, late_probability=0.1
        )
        self._at(self._world.time_us + 500 * MS, self._restore_network, before)

    def _restore_network(self, network: SimulatedNetwork) -> None:
        self._world.network = network
