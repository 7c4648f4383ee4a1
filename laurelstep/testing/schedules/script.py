"""Generates a schedule from a seed, plays it, and checks for progress once the faults end."""

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
# Proportions as in production, with shorter idle times: idle steps take time and exercise nothing.
QUICK_TIMING: Final = ConsensusTiming(learner_poll_us=1_500 * MS, lease_us=400 * MS, max_log_entries=6)
# Once the faults end, all processes apply a new entry within this true time.
PROGRESS_US: Final = 30 * SECOND


@dataclasses.dataclass(frozen=True)
class ScheduleShape:
    """The values that schedules are drawn from. A test that looks for a certain fault restricts them."""

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
    # The time during which faults occur, and the time between proposals.
    length_us: int = 3 * SECOND
    proposal_interval_us: int = 200 * MS
    # Length of an entry; of the longest entries, a datagram carries one.
    entry_bytes: int = 3


DEFAULT: Final = ScheduleShape()


@functools.cache
def bootstrapped_state(
    voter_count: int, peer_count: int, max_log_entries: int
) -> Mapping[int, Mapping[bytes, bytes]]:
    """Return, by peer, the state that a process of a newly bootstrapped group leaves to its successor."""
    world = ConsensusSimulation(
        SimulationOptions(
            voter_count, peer_count, dataclasses.replace(QUICK_TIMING, max_log_entries=max_log_entries)
        ),
        seed=0,
    )
    run_until_progress(world)
    return {process.peer: process.core.retire() for process in world.processes if process.core is not None}


def play_schedule(
    seed: int,
    shape: ScheduleShape = DEFAULT,
    change_options: Callable[[SimulationOptions], SimulationOptions] | None = None,
) -> ConsensusSimulation:
    """Play the schedule of a seed; `change_options` may change the options drawn. Raises BrokenError."""
    rng = random.Random(seed)
    voter_count = rng.choice(shape.voter_counts)
    peer_count = voter_count + rng.choice(shape.learner_counts)
    bootstrap_timeout_us = rng.choice((QUICK_TIMING.bootstrap_timeout_us, QUICK_TIMING.election_timeout_us))
    timing = dataclasses.replace(
        QUICK_TIMING, max_log_entries=rng.choice((4, 6, 512)), bootstrap_timeout_us=bootstrap_timeout_us
    )
    options = SimulationOptions(
        voter_count, peer_count, timing, is_durable=rng.random() < shape.durable_probability
    )
    stored = (
        bootstrapped_state(voter_count, peer_count, timing.max_log_entries)
        if rng.random() < shape.bootstrapped_probability
        else None
    )
    world = ConsensusSimulation(change_options(options) if change_options else options, seed, stored)
    ScheduleGenerator(world, shape, rng).draw_all()
    world.run(shape.length_us)
    world.heal()
    run_until_progress(world)
    return world


def run_until_progress(world: ConsensusSimulation) -> None:
    """Propose entries until all processes have applied one. BrokenError if this takes `PROGRESS_US`."""
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
        recordings = [process.recording.data for process in world.processes]
        return any(all(probe in recording for recording in recordings) for probe in probes[-4:])

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
    raise world.checker.violation(
        "progress", f"no entry applied by all in {PROGRESS_US // SECOND} s: {states}"
    )


class ScheduleGenerator:
    """Draws faults, proposals and leases, and schedules them in a simulation."""

    def __init__(self, world: ConsensusSimulation, shape: ScheduleShape, rng: random.Random) -> None:
        self._world = world
        self._shape = shape
        self._rng = rng
        self._voter_count = world.options.voter_count
        self._peer_count = world.options.peer_count
        self._faults_by_kind: dict[str, Callable[[], None]] = {
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
        """Draw all events and schedule them in the simulation."""
        world, shape, rng = self._world, self._shape, self._rng
        world.network = SimulatedNetwork(
            loss_probability=rng.choice(shape.loss_probabilities),
            duplicate_probability=rng.choice((0.0, 0.0, 0.1)),
            max_delay_us=rng.choice(shape.max_delays_us),
            late_probability=rng.choice(shape.late_probabilities),
        )
        kinds = shape.fault_kinds or tuple(self._faults_by_kind)
        for _ in range(rng.choice(shape.fault_counts)):
            world.schedule(rng.randrange(shape.length_us), self._faults_by_kind[rng.choice(kinds)])
        for count, time in enumerate(range(0, shape.length_us, shape.proposal_interval_us)):
            data = (b"%d." % count).ljust(shape.entry_bytes, b".")
            world.schedule(time + rng.randrange(shape.proposal_interval_us), self._propose, data)
        for _ in range(rng.choice(shape.lease_counts)):
            world.schedule(rng.randrange(shape.length_us), self._lease)

    def _draw_peer(self) -> int:
        return self._rng.randrange(self._peer_count)

    def _draw_voter(self) -> int:
        """Return a voter; with a probability of 0.5 a leader, if there is one."""
        leaders = self._world.leaders()
        if leaders and self._rng.random() < 0.5:
            return self._rng.choice(leaders).peer
        return self._rng.randrange(self._voter_count)

    def _draw_mostly_voter(self) -> int:
        return self._draw_voter() if self._rng.random() < 0.8 else self._draw_peer()

    def _schedule_later(self, call: Callable[[int], None], peer: int, max_delay_us: int = 2 * SECOND) -> None:
        self._schedule_before_end(self._world.time_us + self._rng.randrange(max_delay_us), call, peer)

    def _schedule_before_end(self, time: int, call: Callable[..., None], *args: object) -> None:
        """Schedule a call, unless all faults have ended by then."""
        if time < self._shape.length_us:
            self._world.schedule(time, call, *args)

    def _propose(self, data: bytes) -> None:
        """Propose at each process that regards itself as the leader, and at a random one."""
        for leader in self._world.leaders():
            self._world.propose(leader.peer, data + b"%d" % leader.peer)
        self._world.propose(self._draw_peer(), data)

    def _lease(self) -> None:
        peer = self._draw_peer()
        if self._rng.random() < 0.2:
            self._world.release_lease(peer)
        self._world.request_lease(peer)

    def _crash(self) -> None:
        peer = self._draw_mostly_voter()
        self._world.crash(peer, within_step=self._rng.random() < 0.5)
        self._schedule_later(self._world.restart, peer)

    def _restart(self) -> None:
        self._world.restart(self._draw_mostly_voter())

    def _crash_majority(self) -> None:
        for peer in self._rng.sample(range(self._voter_count), self._voter_count // 2 + 1):
            self._world.crash(peer)
            self._schedule_later(self._world.restart, peer, 300 * MS)

    def _crash_all(self) -> None:
        for peer in range(self._peer_count):
            self._world.crash(peer)
            self._schedule_later(self._world.restart, peer, 300 * MS)

    def _rolling_restart(self) -> None:
        """Restart all voters, one after the other."""
        gap = self._rng.choice((100 * MS, 500 * MS))
        order = self._rng.sample(range(self._voter_count), self._voter_count)
        for count, peer in enumerate(order):
            self._schedule_before_end(self._world.time_us + count * gap, self._world.restart, peer)

    def _pause(self) -> None:
        peer = self._draw_mostly_voter()
        self._world.pause(peer)
        self._schedule_later(self._world.resume, peer, 4 * SECOND)

    def _split(self) -> None:
        """Partition the processes into two groups; neither needs to have a majority of voters."""
        order = self._rng.sample(range(self._peer_count), self._peer_count)
        cut = self._rng.randint(1, max(1, self._peer_count - 1))
        self._world.partition(order[:cut], order[cut:])

    def _isolate_one(self) -> None:
        peer = self._draw_voter()
        self._world.partition([peer], [other for other in range(self._peer_count) if other != peer])

    def _one_way(self) -> None:
        peer = self._draw_voter()
        others = [other for other in range(self._peer_count) if other != peer]
        if self._rng.random() < 0.5:
            self._world.partition_one_way([peer], others)
        else:
            self._world.partition_one_way(others, [peer])

    def _bridge(self) -> None:
        order = self._rng.sample(range(self._peer_count), self._peer_count)
        cut = (self._peer_count + 1) // 2
        self._world.partition(order[:cut], order[cut - 1 :])

    def _heal_network(self) -> None:
        self._world.cut_routes = set()

    def _hot_restart(self) -> None:
        self._world.hot_restart(self._draw_mostly_voter())

    def _degrade_network(self) -> None:
        """Degrade the network for 500 ms."""
        before = self._world.network
        self._world.network = dataclasses.replace(
            before, loss_probability=0.4, duplicate_probability=0.2, late_probability=0.1
        )
        self._schedule_before_end(self._world.time_us + 500 * MS, self._restore_network, before)

    def _restore_network(self, network: SimulatedNetwork) -> None:
        self._world.network = network
