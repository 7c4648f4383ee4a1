"""Maintenance on the real consensus core: cores, controllers and fake engines on one manual clock, with a
network that loses, doubles and delays, and replicas that crash, lose their memory, are cut off or paused."""

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

MS = 1000
REPLICAS, SEATS, OUT, MACHINES = 4, 3, 2, 6
SEEDS = 120
SETTINGS = MaintenanceSettings(overdue_us=600 * SECOND)


class CoreReplica:
    """One process, from one start on: a core, and the controller on it."""

    def __init__(self, world: CoreWorld, me: int) -> None:
        self.world, self.me, self.replica_id, self.peer_count = world, me, me, REPLICAS
        self.on_leader_message: Callable[[int, int, bytes], None] = lambda peer, incarnation, data: None
        self.on_change: Callable[[], None] = lambda: None
        self.is_dead = self.stopped = False
        self.inbox: list[tuple[int, bytes]] = []
        self.state = MaintenanceState()
        draw = world.draw
        machines = CompositeStateMachine({SUBSYSTEM_TAG[0]: self.state})
        self.core = ConsensusCore(
            me,
            REPLICAS,
            SEATS,
            draw.getrandbits(64) or 1,
            machines,
            ConsensusTiming(),
            random.Random(draw.getrandbits(64)),
        )
        self.core.on_leader_message = self._hear
        parts = assemble(self, self.state, world.clock, SETTINGS, world.logged.append)
        self.engine, self.source = parts.engine, parts.source
        self.controller, self.api = parts.controller, parts.api
        self.source.on_list(1, True, list(world.list))
        self.step(lambda now: self.core.start(now))
        self.controller.start()

    # --- As the driver of a core does ---------------------------------------------------

    def step(self, step: Callable[[int], StepEffects]) -> None:
        if self.is_dead:
            return
        clock = self.world.clock
        effects = step(clock.now())
        for peer, raw in effects.outgoing:
            self.world.send(self.me, peer, raw)
        if effects.state_changed:
            clock.at(clock.now(), self._changed)
        clock.at(max(self.core.due_us, clock.now() + MS), self._tick, self.core.due_us)

    def _tick(self, due: int) -> None:
        if not self.is_dead and not self.stopped and due == self.core.due_us:
            self.step(self.core.tick)

    def _changed(self) -> None:
        if not self.is_dead:
            self.on_change()

    def _hear(self, peer: int, incarnation: int, data: bytes) -> None:
        self.world.clock.at(self.world.clock.now(), self._hear_now, peer, incarnation, data)

    def _hear_now(self, peer: int, incarnation: int, data: bytes) -> None:
        if not self.is_dead:
            self.on_leader_message(peer, incarnation, data)

    def receive(self, peer: int, raw: bytes) -> None:
        if self.stopped:
            self.inbox.append((peer, raw))
        else:
            self.step(lambda now: self.core.receive(now, peer, raw))

    def go_on(self) -> None:
        """After SIGCONT: what has waited comes at once."""
        self.stopped = False
        inbox, self.inbox = self.inbox, []
        for peer, raw in inbox:
            self.receive(peer, raw)
        self.step(self.core.tick)
        self.controller.run_step()

    def stop(self) -> None:
        self.stopped = True
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
        self.draw = random.Random(seed)
        self.clock = ManualClock()
        self.loss = loss
        self.is_cut_off: set[tuple[int, int]] = set()
        self.logged: list[str] = []
        self.list = [listed_entry(f"m{n}", "ab"[n % 2]) for n in range(MACHINES)]
        self.replicas = [CoreReplica(self, me) for me in range(REPLICAS)]
        self.faulty_at = 0

    def send(self, source: int, target: int, raw: bytes) -> None:
        for _ in range(1 + (self.draw.random() < self.loss)):
            if self.draw.random() >= self.loss:
                delay = self.draw.randint(1, 20) * MS
                self.clock.at(self.clock.now() + delay, self._arrive, source, target, raw)

    def _arrive(self, source: int, target: int, raw: bytes) -> None:
        if (source, target) not in self.is_cut_off and not self.replicas[target].is_dead:
            self.replicas[target].receive(source, raw)

    # --- The rules ----------------------------------------------------------------------

    def truth(self) -> CoreReplica:
        """The replica that knows most of what is agreed, in the era that most seats are in: where all
        that remember have died one after the other, one without a seat may still be in an earlier one."""
        live_replicas = [one for one in self.replicas if not one.is_dead]
        eras = [one.epoch for one in live_replicas if one.me < SEATS]
        return max(live_replicas, key=lambda one: (eras.count(one.epoch), one.core.applied_index))

    def check(self) -> None:
        state = self.truth().state
        assert len(state.machines) <= OUT, f"more out than a wish allows (seed {self.seed})"
        for id, machine in state.machines.items():
            for one in self.replicas:
                if machine.state in DRAINED_STATES and not one.is_dead:
                    assert not one.engine.is_out(id), f"clear while somebody may send (seed {self.seed})"
        same: dict[tuple[ClusterEpoch, int], bytes] = {}
        for one in self.replicas:
            if not one.is_dead and one.is_caught_up:
                at = one.epoch, one.core.applied_index
                assert same.setdefault(at, one.state.dump()) == one.state.dump(), (
                    f"two rolls (seed {self.seed})"
                )

    def run(self, seconds: float, turn: Callable[[], None] = lambda: None) -> None:
        for _ in range(int(seconds * 10)):
            self.clock.advance(SECOND // 10)
            self.check()
            turn()

    def until(self, what: Callable[[], bool], seconds: float = 60.0) -> None:
        for _ in range(int(seconds * 10)):
            if what():
                return
            self.clock.advance(SECOND // 10)
            self.check()
        raise AssertionError(f"not in {seconds} s (seed {self.seed})")

    # --- Faults and use -----------------------------------------------------------------

    def heal(self) -> None:
        self.is_cut_off.clear()
        for one in self.replicas:
            if one.stopped:
                one.go_on()
            if one.is_dead:
                self.replicas[one.me] = CoreReplica(self, one.me)

    def fault(self) -> None:
        """One at a time, and a majority keeps its memory: that is what the record is good for."""
        if self.clock.now() < self.faulty_at:
            return
        self.heal()
        self.faulty_at = self.clock.now() + 5 * SECOND
        one = self.draw.choice(self.replicas)
        others = [(one.me, other) for other in range(REPLICAS) if other != one.me]
        match self.draw.choice(("die", "stop", "cut", "one way", "calm")):
            case "die":
                one.crash()
            case "stop":
                one.stop()
            case "cut":
                self.is_cut_off = {*others, *((b, a) for a, b in others)}
            case "one way":
                self.is_cut_off = set(others)

    def use(self) -> None:
        draw = self.draw
        one = draw.choice(self.replicas)
        if one.is_dead or one.stopped:
            return
        if one.engine.ready and draw.random() < 0.4:
            one.engine.out[draw.choice(sorted(one.engine.ready))] = draw.randint(0, 1)
        elif draw.random() < 0.5:
            one.engine.out.clear()
        try:
            match draw.randint(0, 9):
                case 0:
                    zone = draw.choice("ab")
                    one.api.submit_request(request_for(f"w{draw.randint(0, 1)}{zone}", OUT, zone=zone))
                case 1 | 2 | 3 if one.state.machines:
                    one.api.report_work(
                        draw.choice((CommandVerb.BEGIN_WORK, CommandVerb.FINISH_WORK)),
                        draw.choice(sorted(one.state.machines)),
                    )
                case 4 if one.state.open_requests and draw.random() < 0.3:
                    one.api.withdraw_request(next(iter(one.state.open_requests.values())).request.name)
        except MaintenanceError:
            return

    def finish(self) -> None:
        """Faults end, staff works: every request comes to its end."""
        self.heal()
        for one in self.replicas:
            one.engine.out.clear()
        self.until(lambda: all(one.is_caught_up and one.has_leader_contact for one in self.replicas))

        def is_over() -> bool:
            first = self.replicas[0]
            for id, machine in list(first.state.machines.items()):
                if machine.state in DRAINED_STATES:
                    first.api.report_work(CommandVerb.FINISH_WORK, id)
            return not self.truth().state.open_requests

        self.until(is_over, 240.0)


def play(seed: int) -> int:
    """How many machines came back."""
    world = CoreWorld(seed)
    world.until(lambda: all(one.source.is_forwarding for one in world.replicas))

    def turn() -> None:
        world.fault()
        world.use()

    world.run(25, turn)
    world.finish()
    return sum(past.machine_count for past in world.truth().state.past_requests)


@pytest.mark.parametrize("part", range(4))
def test_no_schedule_breaks_a_rule_on_the_real_record(part: int) -> None:
    worked = sum(play(seed) for seed in range(part * SEEDS // 4, (part + 1) * SEEDS // 4))
    assert worked > SEEDS // 4, "there was something to break"


def test_a_clear_one_confirmation_early_is_found_there_too(monkeypatch: pytest.MonkeyPatch) -> None:
    missing = DrainAcknowledgements.missing_peers

    def early(self: DrainAcknowledgements, index: int, state: MaintenanceState, peers: int) -> list[int]:
        return missing(self, index, state, peers)[1:]

    monkeypatch.setattr(DrainAcknowledgements, "missing_peers", early)
    with pytest.raises(AssertionError, match="clear while somebody may send"):
        for seed in range(SEEDS):
            play(seed)


def test_whoever_leads_is_stopped_in_the_midst_and_goes_on_late() -> None:
    """SIGSTOP for longer than an election; what it then proposes is of no effect."""
    world = CoreWorld(5, loss=0.0)
    world.until(lambda: all(one.source.is_forwarding for one in world.replicas))
    leader = next(one for one in world.replicas if one.is_leader)
    other = next(one for one in world.replicas if not one.is_leader)
    other.engine.out["m0"] = 1
    other.api.submit_request(request_for(out=OUT, zone="a"))
    world.until(lambda: "m0" in world.truth().state.machines)
    leader.stop()
    world.until(lambda: any(one.is_leader for one in world.replicas if one is not leader))
    other.engine.out.clear()
    world.run(5)
    assert world.truth().state.machines["m0"].state == "leaving", "it has not confirmed"
    leader.go_on()
    world.until(lambda: world.truth().state.machines["m0"].state == "clear")
    world.finish()


def test_all_replicas_are_killed_between_leaving_and_clear() -> None:
    """Nothing lasts: the record is founded anew, and says that nothing is out."""
    world = CoreWorld(6, loss=0.0)
    world.until(lambda: all(one.source.is_forwarding for one in world.replicas))
    era = world.truth().epoch
    world.replicas[1].engine.out["m0"] = 1
    world.replicas[0].api.submit_request(request_for(zone="a"))
    world.until(lambda: "m0" in world.truth().state.machines)
    for one in world.replicas:
        one.crash()
    world.heal()
    assert not any(one.engine.ready for one in world.replicas)
    world.until(lambda: all(one.source.is_forwarding for one in world.replicas))
    assert world.truth().epoch != era and not world.truth().state.machines
    assert all(len(one.engine.ready) == MACHINES for one in world.replicas)


def test_two_and_two_agree_on_nothing_new() -> None:
    """Four replicas, three of them with seats: two of those on the one side go on, but nothing gets clear."""
    world = CoreWorld(7, loss=0.0)
    world.until(lambda: all(one.source.is_forwarding for one in world.replicas))
    world.is_cut_off = {(a, b) for a in range(4) for b in range(4) if (a < 2) != (b < 2)}
    world.run(5)
    with pytest.raises(MaintenanceError):
        world.replicas[2].api.submit_request(request_for(zone="a"))
    world.replicas[0].api.submit_request(request_for(zone="a"))
    world.until(lambda: "m0" in world.truth().state.machines)
    world.run(10)
    assert world.truth().state.machines["m0"].state == "leaving"
    assert "m0" in world.replicas[3].engine.ready, "it never heard of it, and serves on"
    world.is_cut_off.clear()
    world.until(lambda: world.truth().state.machines["m0"].state == "clear")
