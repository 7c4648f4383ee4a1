"""Random schedules of maintenance on the real consensus core: cores, controllers and fake engines on one
manual clock. The network loses, duplicates and delays messages; replicas crash and lose their state, are cut
off, or are paused."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest
from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.effects import StepEffects
from laurelstep.consensus.epoch import ClusterEpoch
from laurelstep.consensus.state_machines import CompositeStateMachine
from laurelstep.consensus.timing import ConsensusTiming
from laurelstep.maintenance.acknowledgements import DrainAcknowledgements
from laurelstep.maintenance.entries import SUBSYSTEM_TAG, CommandVerb
from laurelstep.maintenance.errors import MaintenanceError
from laurelstep.maintenance.settings import MaintenanceSettings
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.maintenance.states import DRAINED_STATES

from tests.fakes import ManualClock
from tests.maintenance import (
    SECOND,
    assemble,
    listed_entry,
    request_for,
)

MILLISECOND = 1000
REPLICA_COUNT, VOTER_COUNT, MAX_OUT, MACHINE_COUNT = 4, 3, 2, 6
SEED_COUNT = 120
SETTINGS = MaintenanceSettings(overdue_us=600 * SECOND)


class CoreReplica:
    """One process: a consensus core, and the maintenance controller on it."""

    def __init__(self, world: CoreWorld, index: int) -> None:
        self.world, self.index, self.replica_id, self.peer_count = world, index, index, REPLICA_COUNT
        self.on_leader_message: Callable[[int, int, bytes], None] = lambda peer, incarnation, data: None
        self.on_change: Callable[[], None] = lambda: None
        self.is_dead = self.is_paused = False
        self.inbox: list[tuple[int, bytes]] = []
        self.state = MaintenanceState()
        rng = world.rng
        machines = CompositeStateMachine({SUBSYSTEM_TAG[0]: self.state})
        self.core = ConsensusCore(
            index,
            REPLICA_COUNT,
            VOTER_COUNT,
            rng.getrandbits(64) or 1,
            machines,
            ConsensusTiming(),
            random.Random(rng.getrandbits(64)),
        )
        self.core.on_leader_message = self._on_leader_message
        parts = assemble(self, self.state, world.clock, SETTINGS, world.log_lines.append)
        self.engine, self.source = parts.engine, parts.source
        self.controller, self.api = parts.controller, parts.api
        self.source.on_list(1, True, list(world.listed))
        self.step(lambda now: self.core.start(now))
        self.controller.start()

    # --- Driver of the core -------------------------------------------------------------

    def step(self, step: Callable[[int], StepEffects]) -> None:
        if self.is_dead:
            return
        clock = self.world.clock
        effects = step(clock.now())
        for peer, data in effects.outgoing:
            self.world.send(self.index, peer, data)
        if effects.state_changed:
            clock.at(clock.now(), self._on_state_changed)
        clock.at(max(self.core.due_us, clock.now() + MILLISECOND), self._tick, self.core.due_us)

    def _tick(self, due_us: int) -> None:
        if not self.is_dead and not self.is_paused and due_us == self.core.due_us:
            self.step(self.core.tick)

    def _on_state_changed(self) -> None:
        if not self.is_dead:
            self.on_change()

    def _on_leader_message(self, peer: int, incarnation: int, data: bytes) -> None:
        self.world.clock.at(self.world.clock.now(), self._deliver_leader_message, peer, incarnation, data)

    def _deliver_leader_message(self, peer: int, incarnation: int, data: bytes) -> None:
        if not self.is_dead:
            self.on_leader_message(peer, incarnation, data)

    def receive(self, peer: int, data: bytes) -> None:
        if self.is_paused:
            self.inbox.append((peer, data))
        else:
            self.step(lambda now: self.core.receive(now, peer, data))

    def resume(self) -> None:
        """Continue as after SIGCONT: the messages that arrived in the meantime are received at once."""
        self.is_paused = False
        inbox, self.inbox = self.inbox, []
        for peer, data in inbox:
            self.receive(peer, data)
        self.step(self.core.tick)
        self.controller.run_step()

    def pause(self) -> None:
        self.is_paused = True
        for handle in (self.controller.step_timer, self.controller.scheduled_step):
            if handle is not None:
                handle.cancel()

    def crash(self) -> None:
        self.is_dead = True
        self.controller.close()

    # --- As consensus ----------------------------------------------------------------------

    @property
    def incarnation(self) -> int:
        return self.core.incarnation

    @property
    def epoch(self) -> ClusterEpoch:
        return self.core.epoch

    @property
    def is_leader(self) -> bool:
        return self.core.role == "leader"

    @property
    def leader_id(self) -> int | None:
        return self.core.leader_id

    @property
    def is_caught_up(self) -> bool:
        return self.core.is_caught_up

    @property
    def has_leader_contact(self) -> bool:
        return self.core.has_leader_contact(self.world.clock.now())

    def propose(self, data: bytes) -> None:
        self.step(lambda now: self.core.propose(now, data))

    def send_to_leader(self, data: bytes) -> None:
        self.step(lambda now: self.core.send_to_leader(now, data))

    def status(self) -> dict[str, Any]:
        return {}


class CoreWorld:
    def __init__(self, seed: int, loss: float = 0.05) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.loss = loss
        self.blocked_links: set[tuple[int, int]] = set()
        self.log_lines: list[str] = []
        self.listed = [listed_entry(f"m{n}", "ab"[n % 2]) for n in range(MACHINE_COUNT)]
        self.replicas = [CoreReplica(self, index) for index in range(REPLICA_COUNT)]
        self.next_fault_us = 0

    def send(self, source: int, target: int, data: bytes) -> None:
        for _ in range(1 + (self.rng.random() < self.loss)):
            if self.rng.random() >= self.loss:
                delay = self.rng.randint(1, 20) * MILLISECOND
                self.clock.at(self.clock.now() + delay, self._arrive, source, target, data)

    def _arrive(self, source: int, target: int, data: bytes) -> None:
        if (source, target) not in self.blocked_links and not self.replicas[target].is_dead:
            self.replicas[target].receive(source, data)

    # --- Invariants ---------------------------------------------------------------------

    def latest_replica(self) -> CoreReplica:
        """The replica with the most applied entries, in the epoch that most voters are in. After all voters
        have crashed one after the other, a learner may still be in an earlier epoch."""
        live_replicas = [replica for replica in self.replicas if not replica.is_dead]
        epochs = [replica.epoch for replica in live_replicas if replica.index < VOTER_COUNT]
        return max(
            live_replicas, key=lambda replica: (epochs.count(replica.epoch), replica.core.applied_index)
        )

    def check(self) -> None:
        state = self.latest_replica().state
        assert len(state.machines) <= MAX_OUT, f"more machines out of service than allowed (seed {self.seed})"
        for machine_id, machine in state.machines.items():
            for replica in self.replicas:
                if machine.state in DRAINED_STATES and not replica.is_dead:
                    assert not replica.engine.may_have_traffic(machine_id), (
                        f"clear while a replica may send (seed {self.seed})"
                    )
        states: dict[tuple[ClusterEpoch, int], bytes] = {}
        for replica in self.replicas:
            if not replica.is_dead and replica.is_caught_up:
                position = replica.epoch, replica.core.applied_index
                assert states.setdefault(position, replica.state.dump()) == replica.state.dump(), (
                    f"different states at the same index (seed {self.seed})"
                )

    def run(self, seconds: float, on_round: Callable[[], None] = lambda: None) -> None:
        for _ in range(int(seconds * 10)):
            self.clock.advance(SECOND // 10)
            self.check()
            on_round()

    def run_until(self, condition: Callable[[], bool], seconds: float = 60.0) -> None:
        for _ in range(int(seconds * 10)):
            if condition():
                return
            self.clock.advance(SECOND // 10)
            self.check()
        raise AssertionError(f"the condition did not hold within {seconds} s (seed {self.seed})")

    # --- Faults and operators' calls ----------------------------------------------------

    def heal(self) -> None:
        self.blocked_links.clear()
        for replica in self.replicas:
            if replica.is_paused:
                replica.resume()
            if replica.is_dead:
                self.replicas[replica.index] = CoreReplica(self, replica.index)

    def inject_fault(self) -> None:
        """Inject a random fault, one at a time, so that a majority keeps its state as consensus requires."""
        if self.clock.now() < self.next_fault_us:
            return
        self.heal()
        self.next_fault_us = self.clock.now() + 5 * SECOND
        replica = self.rng.choice(self.replicas)
        others = [(replica.index, other) for other in range(REPLICA_COUNT) if other != replica.index]
        match self.rng.choice(("die", "stop", "cut", "one way", "calm")):
            case "die":
                replica.crash()
            case "stop":
                replica.pause()
            case "cut":
                self.blocked_links = {*others, *((b, a) for a, b in others)}
            case "one way":
                self.blocked_links = set(others)

    def simulate_use(self) -> None:
        rng = self.rng
        replica = rng.choice(self.replicas)
        if replica.is_dead or replica.is_paused:
            return
        if replica.engine.ready and rng.random() < 0.4:
            replica.engine.in_flight[rng.choice(sorted(replica.engine.ready))] = rng.randint(0, 1)
        elif rng.random() < 0.5:
            replica.engine.in_flight.clear()
        try:
            match rng.randint(0, 9):
                case 0:
                    zone = rng.choice("ab")
                    replica.api.submit_request(request_for(f"w{rng.randint(0, 1)}{zone}", MAX_OUT, zone=zone))
                case 1 | 2 | 3 if replica.state.machines:
                    replica.api.report_work(
                        rng.choice((CommandVerb.BEGIN_WORK, CommandVerb.FINISH_WORK)),
                        rng.choice(sorted(replica.state.machines)),
                    )
                case 4 if replica.state.open_requests and rng.random() < 0.3:
                    replica.api.withdraw_request(
                        next(iter(replica.state.open_requests.values())).request.name
                    )
        except MaintenanceError:
            return

    def finish(self) -> None:
        """End the faults and finish all work; every request must then be completed."""
        self.heal()
        for replica in self.replicas:
            replica.engine.in_flight.clear()
        self.run_until(
            lambda: all(replica.is_caught_up and replica.has_leader_contact for replica in self.replicas)
        )

        def is_over() -> bool:
            first = self.replicas[0]
            for machine_id, machine in list(first.state.machines.items()):
                if machine.state in DRAINED_STATES:
                    first.api.report_work(CommandVerb.FINISH_WORK, machine_id)
            return not self.latest_replica().state.open_requests

        self.run_until(is_over, 240.0)


def run_schedule(seed: int) -> int:
    """Run the schedule of a seed; returns the number of machines that returned to service."""
    world = CoreWorld(seed)
    world.run_until(lambda: all(replica.source.is_forwarding for replica in world.replicas))

    def on_round() -> None:
        world.inject_fault()
        world.simulate_use()

    world.run(25, on_round)
    world.finish()
    return sum(past.machine_count for past in world.latest_replica().state.past_requests)


@pytest.mark.parametrize("part", range(4))
def test_no_schedule_on_the_real_core_breaks_an_invariant(part: int) -> None:
    returned_count = sum(
        run_schedule(seed) for seed in range(part * SEED_COUNT // 4, (part + 1) * SEED_COUNT // 4)
    )
    assert returned_count > SEED_COUNT // 4, "the schedules had too few drains"


def test_a_drain_reported_without_the_first_missing_acknowledgement_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    missing = DrainAcknowledgements.missing_peers

    def skip_first(self: DrainAcknowledgements, index: int, state: MaintenanceState, peers: int) -> list[int]:
        return missing(self, index, state, peers)[1:]

    monkeypatch.setattr(DrainAcknowledgements, "missing_peers", skip_first)
    with pytest.raises(AssertionError, match="clear while a replica may send"):
        for seed in range(SEED_COUNT):
            run_schedule(seed)


def test_a_leader_that_was_paused_during_a_drain_has_no_effect_when_it_continues() -> None:
    """The pause (SIGSTOP) is longer than an election, so the proposals of the old leader are outdated."""
    world = CoreWorld(5, loss=0.0)
    world.run_until(lambda: all(replica.source.is_forwarding for replica in world.replicas))
    leader = next(replica for replica in world.replicas if replica.is_leader)
    other = next(replica for replica in world.replicas if not replica.is_leader)
    other.engine.in_flight["m0"] = 1
    other.api.submit_request(request_for(out=MAX_OUT, zone="a"))
    world.run_until(lambda: "m0" in world.latest_replica().state.machines)
    leader.pause()
    world.run_until(lambda: any(replica.is_leader for replica in world.replicas if replica is not leader))
    other.engine.in_flight.clear()
    world.run(5)
    assert world.latest_replica().state.machines["m0"].state == "leaving", (
        "the paused replica has not acknowledged"
    )
    leader.resume()
    world.run_until(lambda: world.latest_replica().state.machines["m0"].state == "clear")
    world.finish()


def test_all_replicas_are_killed_during_a_drain() -> None:
    """The state is not persistent: the cluster is bootstrapped again, with no machine out of service."""
    world = CoreWorld(6, loss=0.0)
    world.run_until(lambda: all(replica.source.is_forwarding for replica in world.replicas))
    epoch = world.latest_replica().epoch
    world.replicas[1].engine.in_flight["m0"] = 1
    world.replicas[0].api.submit_request(request_for(zone="a"))
    world.run_until(lambda: "m0" in world.latest_replica().state.machines)
    for replica in world.replicas:
        replica.crash()
    world.heal()
    assert not any(replica.engine.ready for replica in world.replicas)
    world.run_until(lambda: all(replica.source.is_forwarding for replica in world.replicas))
    assert world.latest_replica().epoch != epoch and not world.latest_replica().state.machines
    assert all(len(replica.engine.ready) == MACHINE_COUNT for replica in world.replicas)


def test_no_drain_completes_in_a_partition_of_two_and_two() -> None:
    """Three of the four replicas are voters. The side with two of them commits entries, but the drain lacks
    the acknowledgements of the other side.
    """
    world = CoreWorld(7, loss=0.0)
    world.run_until(lambda: all(replica.source.is_forwarding for replica in world.replicas))
    world.blocked_links = {(a, b) for a in range(4) for b in range(4) if (a < 2) != (b < 2)}
    world.run(5)
    with pytest.raises(MaintenanceError):
        world.replicas[2].api.submit_request(request_for(zone="a"))
    world.replicas[0].api.submit_request(request_for(zone="a"))
    world.run_until(lambda: "m0" in world.latest_replica().state.machines)
    world.run(10)
    assert world.latest_replica().state.machines["m0"].state == "leaving"
    assert "m0" in world.replicas[3].engine.ready, "it does not know of the drain, and goes on serving"
    world.blocked_links.clear()
    world.run_until(lambda: world.latest_replica().state.machines["m0"].state == "clear")
