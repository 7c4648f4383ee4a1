"""A simulation of consensus processes in memory, with time, network and faults.

1. The simulation runs in true time, in µs. Each process reads its own clock, which is off by hours and runs
   too fast or too slow by at most the configured drift.
2. The effects of a step are carried out completely, unless the process crashes in it. Then either nothing is
   stored or sent, or everything is stored and some of the datagrams are sent.
3. Datagrams are lost, duplicated and delayed at random by the parameters of `network`. A datagram arrives
   unless its route is cut at the time of arrival.
4. A crashed process keeps only its durable state. A paused process receives its datagrams, in order, when
   it is resumed.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from collections.abc import Callable, Iterable, Mapping

from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.effects import StepEffects
from laurelstep.consensus.errors import BusyError, NotLeaderError
from laurelstep.consensus.timing import NEVER_US
from laurelstep.testing.schedules.checker import InvariantChecker
from laurelstep.testing.schedules.process import (
    LEASES_TAG,
    RECORDING_TAG,
    SimulatedProcess,
    SimulationOptions,
)

__all__ = ["ConsensusSimulation", "SimulatedNetwork"]

# Datagrams that are kept for a paused process, as by a socket's receive buffer.
MAX_INBOX_DATAGRAMS = 200


@dataclasses.dataclass
class SimulatedNetwork:
    """Probabilities and delays of the network, which apply to each datagram independently."""

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    min_delay_us: int = 1_000
    max_delay_us: int = 5_000
    # Probability and range of an additional delay, which reorders datagrams.
    late_probability: float = 0.0
    max_lateness_us: int = 1_500_000


class ConsensusSimulation:
    """The processes, their network and the time, by the rules at the head of the module."""

    def __init__(
        self, options: SimulationOptions, seed: int, stored: Mapping[int, Mapping[bytes, bytes]] | None = None
    ) -> None:
        """`stored` is the state that each process starts from, as the successor of an earlier one."""
        self.options = options
        self.seed = seed
        self.rng = random.Random(seed)
        self.time_us = 0
        self.network = SimulatedNetwork()
        self.cut_routes: set[tuple[int, int]] = set()
        self.step_count = 0
        self.sent_count = 0
        # Number of entries proposed to check for progress.
        self.probe_count = 0
        self._order = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.processes = [SimulatedProcess(peer, options, self.rng) for peer in range(options.peer_count)]
        self.checker = InvariantChecker(self.processes, options, seed)
        for process in self.processes:
            process.stored = dict((stored or {}).get(process.peer, {}))
            self.start(process.peer)
            if not options.is_durable or process.peer >= options.voter_count:
                process.stored = {}

    # --- Faults -------------------------------------------------------------------

    def start(self, peer: int) -> None:
        """Start a process from its stored state."""
        process = self.processes[peer]
        process.start()
        assert process.core is not None
        process.core.on_leader_message = lambda sender, incarnation, data: self._on_leader_message(
            process, sender, incarnation, data
        )
        self.checker.on_start(process)
        self._step(process, lambda core, now: core.start(now))

    def crash(self, peer: int, within_step: bool = False) -> None:
        """Crash a process, now or within its next step (rule 2)."""
        process = self.processes[peer]
        if within_step and process.is_alive and not process.is_paused:
            process.crashes_in_next_step = True
        else:
            self._terminate(process)

    def _terminate(self, process: SimulatedProcess) -> None:
        process.core = None
        process.tick_version += 1
        process.inbox = []
        if not self.options.is_durable or process.peer >= self.options.voter_count:
            process.stored = {}
            process.state_loss_count += 1

    def restart(self, peer: int) -> None:
        """Crash a process if it runs, and start it again, without state unless its store is durable."""
        self._terminate(self.processes[peer])
        self.start(peer)

    def hot_restart(self, peer: int) -> None:
        """Replace a process by a successor that continues as the same incarnation."""
        process = self.processes[peer]
        if process.core is None or process.is_paused:
            return
        retired_state, stored, state_loss_count = (
            process.core.retire(),
            process.stored,
            process.state_loss_count,
        )
        self._terminate(process)
        process.state_loss_count = state_loss_count
        process.stored = retired_state
        self.start(peer)
        process.stored = stored

    def pause(self, peer: int) -> None:
        """Pause a process: it runs no step until `resume`."""
        self.processes[peer].is_paused = True

    def resume(self, peer: int) -> None:
        """Resume a paused process and deliver the datagrams that arrived in the meantime."""
        process = self.processes[peer]
        if not process.is_paused:
            return
        process.is_paused = False
        inbox, process.inbox = process.inbox, []
        for sender, raw in inbox:
            self._arrive(process.peer, sender, raw)
        self._schedule_tick(process)

    def partition(self, *groups: Iterable[int]) -> None:
        """Cut the routes between the groups. A process in several groups is connected to all of them."""
        sides = [set(group) for group in groups]
        self.cut_routes = {
            (a, b)
            for a in range(self.options.peer_count)
            for b in range(self.options.peer_count)
            if a != b and not any(a in side and b in side for side in sides)
        }

    def partition_one_way(self, sources: Iterable[int], targets: Iterable[int]) -> None:
        """Cut the routes from the sources to the targets."""
        targets = list(targets)
        self.cut_routes = {(a, b) for a in sources for b in targets if a != b}

    def heal(self) -> None:
        """End all faults, and resume or start all processes."""
        self.cut_routes = set()
        self.network = SimulatedNetwork()
        for process in self.processes:
            process.crashes_in_next_step = False
            if process.is_paused:
                self.resume(process.peer)
            if not process.is_alive:
                self.start(process.peer)

    # --- Use ----------------------------------------------------------------------

    def propose(self, peer: int, data: bytes) -> bool:
        """Propose an entry at a process; return whether it accepted the entry."""
        process = self.processes[peer]
        if process.core is None or process.is_paused:
            return False
        try:
            self._step(process, lambda core, now: core.propose(now, RECORDING_TAG + data))
        except (NotLeaderError, BusyError):
            return False
        return True

    def request_lease(self, peer: int, name: str = "lease", lease_us: int | None = None) -> None:
        """Let a process request a lease of `lease_us`, or for None of the configured length."""
        process = self.processes[peer]
        if process.core is None or process.is_paused:
            return
        lease_us = self.options.timing.lease_us if lease_us is None else lease_us
        message = process.leases.request(
            process.local_time_us(self.time_us), process.core.incarnation, name, lease_us
        )
        self._step(process, lambda core, now: core.send_to_leader(now, message))

    def release_lease(self, peer: int, name: str = "lease") -> None:
        """Let a process release a lease if it has one."""
        process = self.processes[peer]
        message = process.leases.release(name)
        if message is not None and process.is_alive and not process.is_paused:
            self._step(process, lambda core, now: core.send_to_leader(now, message))

    def _on_leader_message(
        self, process: SimulatedProcess, sender: int, incarnation: int, data: bytes
    ) -> None:
        # Called within a step of the core: the proposal is a separate step.
        self.schedule(self.time_us, self._propose_lease, process, process.core, sender, incarnation, data)

    def _propose_lease(
        self, process: SimulatedProcess, core: ConsensusCore, sender: int, incarnation: int, data: bytes
    ) -> None:
        if process.core is not core or process.is_paused:
            return
        now = process.local_time_us(self.time_us)
        entry = process.leases.entry_for(now, core.epoch, sender, incarnation, data)
        if entry is None:
            return
        try:
            self._step(process, lambda core, now: core.propose(now, LEASES_TAG + entry))
        except (NotLeaderError, BusyError):
            return

    def leaders(self) -> list[SimulatedProcess]:
        """Return the processes that regard themselves as the leader."""
        return [
            process
            for process in self.processes
            if process.core is not None and process.core.role == "leader"
        ]

    # --- Time ---------------------------------------------------------------------

    def schedule(self, time: int, call: Callable[..., None], *args: object) -> None:
        """Schedule a call for a true time, after earlier calls for the same time."""
        self._order += 1
        heapq.heappush(self._queue, (time, self._order, call, args))

    def run(self, until: int, done: Callable[[], bool] | None = None) -> bool:
        """Run until a true time, or until `done` returns True after a step; return whether it did."""
        queue = self._queue
        if done is not None and done():
            return True
        while queue and queue[0][0] <= until:
            time, _, call, args = heapq.heappop(queue)
            self.time_us = max(self.time_us, time)
            steps = self.step_count
            call(*args)
            if done is not None and self.step_count != steps and done():
                return True
        self.time_us = max(self.time_us, until)
        return False

    def run_for(self, us: int, done: Callable[[], bool] | None = None) -> bool:
        """Run for this time, µs; otherwise as `run`."""
        return self.run(self.time_us + us, done)

    def _schedule_tick(self, process: SimulatedProcess) -> None:
        process.tick_version += 1
        core = process.core
        if core is not None and core.due_us < NEVER_US:
            time = max(self.time_us, process.true_time_us(core.due_us))
            self.schedule(time, self._tick, process, process.tick_version)

    def _tick(self, process: SimulatedProcess, version: int) -> None:
        if version != process.tick_version or process.is_paused:
            return
        self._step(process, lambda core, now: core.tick(now))
        if process.core is not None:
            self.checker.on_tick(process, self.time_us)

    def _arrive(self, receiver: int, sender: int, raw: bytes) -> None:
        if (sender, receiver) in self.cut_routes:
            return
        process = self.processes[receiver]
        if process.is_paused:
            if len(process.inbox) < MAX_INBOX_DATAGRAMS:
                process.inbox.append((sender, raw))
        elif process.core is not None:
            self._step(process, lambda core, now: core.receive(now, sender, raw))

    def _step(self, process: SimulatedProcess, step: Callable[[ConsensusCore, int], StepEffects]) -> None:
        core = process.core
        if core is None:
            return
        now = process.local_time_us(self.time_us)
        effects = step(core, now)
        self.step_count += 1
        sends = effects.outgoing
        if process.crashes_in_next_step:
            if self.rng.random() < 0.5:
                self._terminate(process)
                return
            sends = sends[: self.rng.randint(0, len(sends))]
        self._store(process, effects.persist)
        for target, raw in sends:
            self.checker.on_send(process, raw)
            self._send(process.peer, target, raw)
        process.leases.observe(now, core.epoch)
        self.checker.on_step(process, self.time_us)
        if process.crashes_in_next_step:
            self._terminate(process)
            return
        self._schedule_tick(process)

    def _store(self, process: SimulatedProcess, changes: Mapping[bytes, bytes | None]) -> None:
        if not self.options.is_durable:
            return
        for key, value in changes.items():
            if value is None:
                process.stored.pop(key, None)
            else:
                process.stored[key] = value

    def _send(self, source: int, target: int, raw: bytes) -> None:
        network, rng = self.network, self.rng
        self.sent_count += 1
        if network.loss_probability and rng.random() < network.loss_probability:
            return
        times = 2 if network.duplicate_probability and rng.random() < network.duplicate_probability else 1
        for _ in range(times):
            delay = rng.randint(network.min_delay_us, network.max_delay_us)
            if network.late_probability and rng.random() < network.late_probability:
                delay += rng.randint(0, network.max_lateness_us)
            self.schedule(self.time_us + delay, self._arrive, target, source, raw)
