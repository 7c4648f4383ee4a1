"""Maintenance under made schedules: one seed is one schedule. The record has a perfect order; everything
else is lossy, late, doubled, stale, cut off, killed, or proposed by one that does not lead any more.

After every step the rules are checked, by name, against what is true of all replicas at once; then
faults end, and all that was requested has to come to an end. Deliberate faults show that each rule
can fail."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from laurelstep.interface import READY
from laurelstep.maintenance import limits as limits_module
from laurelstep.maintenance import planner as planner_module
from laurelstep.maintenance import state as state_module
from laurelstep.maintenance.acknowledgements import DrainAcknowledgements, PeerAcknowledgement
from laurelstep.maintenance.controller import MaintenanceController
from laurelstep.maintenance.entries import (
    CommandVerb,
    DrainAcknowledgement,
    DrainMachine,
    MachineTransition,
    OperatorCommand,
    decode_entry,
    decode_message,
    encode,
)
from laurelstep.maintenance.errors import MaintenanceError
from laurelstep.maintenance.overlay import EndpointOverlay
from laurelstep.maintenance.settings import MaintenanceSettings
from laurelstep.maintenance.source import MaintenanceSource
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.maintenance.states import CORDONED_STATES, DRAINED_STATES, MachineState
from laurelstep.maintenance.status import StatusReport
from tests.maintenance import SECOND, Replica, Tier, listed_entry, request_for
from tests.once import seeds

SEEDS = seeds(3000)
STEPS = 75
# Of one deliberate fault: found by the first schedules, or not at all.
FAULT_SEEDS = 600


Kind = Callable[[Any], bool]


def is_ask(entry: Any) -> bool:
    return isinstance(entry, OperatorCommand)


def is_step(entry: Any) -> bool:
    return isinstance(entry, MachineTransition)


class BrokenError(AssertionError):
    """A rule, by its name, and the seed that broke it."""


class Proposal:
    def __init__(self, by: Replica, data: bytes, by_sending: dict[int, int]) -> None:
        self.data = data
        table = by.source.table.machines.values()
        self.listed = {one.machine_id: (one.phase == READY, one.capacity) for one in table}
        # Copies that have told the proposer that they send without the record.
        self.sending = dict(by_sending)


class World(Tier):
    """A tier whose schedule is drawn, and its checker."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.pending: list[Proposal] = []
        self.sending: dict[int, dict[int, int]] = {}  # by leader: who told it to send without the record
        self.deaf: set[int] = set()  # replicas that hear no lists
        self.slow: set[int] = set()  # replicas that learn the record late
        self.truths: dict[str, tuple[str, int]] = {}  # zone and cell, whoever says what
        settings = MaintenanceSettings(
            overdue_us=20 * SECOND,
            start_alone="serve" if self.draw.random() < 0.25 else "wait",
            learn_us=2 * SECOND,
        )
        machines = []
        for n in range(self.draw.randint(3, 7)):
            zone, cell = self.draw.choice("ab"), self.draw.randint(1, 2)
            machines.append(listed_entry(f"m{n}", zone, cell=cell, weight=self.draw.choice((1.0, 1.0, 2.0))))
        super().__init__(self.draw.choice((2, 3, 3, 4)), machines, settings)

    # --- The record -------------------------------------------------------------------

    def on_proposal(self, by: Replica, data: bytes) -> None:
        self.pending.append(Proposal(by, data, self.sending.get(by.incarnation, {})))

    def agree(self, proposal: Proposal) -> None:
        before = {id: (one.state, one.drain_index) for id, one in self.state.machines.items()}
        self.append(proposal.data)
        entry = decode_entry(proposal.data[1:])
        if (
            isinstance(entry, DrainMachine)
            and entry.machine_id in self.state.machines
            and entry.machine_id not in before
        ):
            self.check_limits(entry, proposal)
        if isinstance(entry, MachineTransition) and entry.event == "clear":
            machine = self.state.machines.get(entry.machine_id)
            if machine is not None and machine.since_index == len(self.log):
                for peer, incarnation in proposal.sending.items():
                    replica = self.replicas[peer]
                    if (
                        not replica.is_dead
                        and replica.incarnation == incarnation
                        and replica.engine.is_out(entry.machine_id)
                    ):
                        self.broken("clear while one had said that it sends")

    def broken(self, rule: str) -> None:
        raise BrokenError(rule)

    def check_limits(self, entry: DrainMachine, proposal: Proposal) -> None:
        """Counted anew, from the truth about the machines and what the proposer's list said."""
        out = self.state.machines
        zone, cell = self.truth(entry.machine_id)
        for one in self.state.open_requests.values():
            if one.is_withdrawn:
                continue
            limits = one.request.limits
            count = 0
            for id in out:
                its_zone, its_cell = self.truth(id)
                where = {"zone": its_zone == zone, "cell": its_cell == cell, "tier": True}
                count += where[limits.scope]
            if count > limits.max_unavailable:
                self.broken("more out than a wish allows")
            total = sum(size for id, (_, size) in proposal.listed.items() if id not in out)
            stays = sum(size for id, (ready, size) in proposal.listed.items() if ready and id not in out)
            for machine in out.values():
                total += machine.weight
                if machine.state == MachineState.WARMING_UP:
                    stays += 0.2 * machine.weight
            if stays < limits.min_capacity_share * total - 1e-6:
                self.broken("less stays than a wish says")
        if not any(ready and id not in out for id, (ready, _) in proposal.listed.items()):
            self.broken("the last ready machine was taken")

    def truth(self, id: str) -> tuple[str, int]:
        if id in self.list:
            self.truths[id] = self.list[id]["zone"], self.list[id]["cell"]
        return self.truths.setdefault(id, ("a", 1))

    # --- The rules --------------------------------------------------------------------

    def check(self) -> None:
        cleared = [one.machine_id for one in self.state.machines.values() if one.state in DRAINED_STATES]
        for replica in self.live_replicas:
            engine, source = replica.engine, replica.source
            for id in cleared:
                cordon = source.overlay.cordons.get(id)
                # It began without the record, as its operator chose, and has not confirmed since.
                went_alone = replica.controller.serves_without_state and (
                    cordon is None or not cordon.is_drained
                )
                if engine.is_out(id) and not went_alone:
                    self.broken("clear while somebody may send")
            if not source.is_forwarding and engine.ready:
                self.broken("sends before it may")
            for id in engine.ready:
                member = source.table.machines.get(id)
                if member is None or member.phase != READY:
                    self.broken("ready against discovery")
            self.check_holds(replica)

    def check_holds(self, replica: Replica) -> None:
        """A process that was told of more than it holds back, or that holds back its last one."""
        source = replica.source
        if not source.has_learned_state or not replica.is_caught_up:
            return
        held = {id for id, one in replica.state.machines.items() if one.state in CORDONED_STATES}
        ready = {id for id, one in source.table.machines.items() if one.phase == READY}
        if replica.engine.ready.keys() - held != ready - held and not replica.controller.scheduled_step:
            self.broken("not ready, and not held")

    def check_taking(self, replica: Replica, before: set[str]) -> None:
        """What a look of one replica took: never its last ready one, but for what is clear."""
        after = replica.engine.ready.keys()
        taken = before - after
        if taken and not after and replica.source.table.ready_count:
            states = [replica.state.machines[id].state for id in taken if id in replica.state.machines]
            if states and all(state == MachineState.DRAINING for state in states):
                self.broken("the last ready machine was taken")

    # --- The schedule -----------------------------------------------------------------

    def step(self) -> None:
        happens = self.draw.choices(EVENTS, WEIGHTS)[0]
        happens(self)
        self.check()

    def one(self) -> Replica | None:
        live_replicas = self.live_replicas
        return self.draw.choice(live_replicas) if live_replicas else None

    def looks(self) -> None:
        replica = self.one()
        if replica is not None:
            before = set(replica.engine.ready)
            fresh = replica.source.overlay.is_first_update
            replica.controller.run_step()
            if not fresh:
                self.check_taking(replica, before)

    def delivers(self) -> None:
        replica = self.one()
        if replica is None or replica.is_cut_off or replica.applied >= len(self.log):
            return
        if self.draw.random() < 0.1:
            replica.load_snapshot()
        else:
            replica.catch_up(self.draw.randint(replica.applied + 1, len(self.log)))

    def learns(self) -> None:
        replica = self.one()
        if replica is not None and not replica.is_cut_off and not replica.is_caught_up:
            replica.catch_up()
            replica.is_caught_up = True

    def receives_messages(self) -> None:
        for _ in range(min(len(self.messages), 4)):
            at = self.draw.randrange(len(self.messages))
            peer, incarnation, data = self.messages[at]
            if self.draw.random() > 0.2:  # some come twice
                del self.messages[at]
            if self.draw.random() < 0.2:
                continue  # lost
            self.tell(peer, incarnation, data)

    def tell(self, peer: int, incarnation: int, data: bytes) -> None:
        """A message gets to those who lead, or believe that they do."""
        for replica in self.live_replicas:
            if replica.is_leader and not replica.is_cut_off:
                if decode_message(data) == DrainAcknowledgement(-1):
                    self.sending.setdefault(replica.incarnation, {})[peer] = incarnation
                replica.on_leader_message(peer, incarnation, data)

    def deliver_messages(self) -> None:
        messages, self.messages = self.messages, []
        for message in messages:
            self.tell(*message)

    def agrees(self) -> None:
        for _ in range(min(len(self.pending), 3)):
            proposal = self.pending.pop(self.draw.randrange(len(self.pending)))
            if self.draw.random() < 0.9:
                self.agree(proposal)
            if self.draw.random() < 0.05:
                self.pending.append(proposal)  # acts late once more

    def hears_list(self) -> None:
        replica = self.one()
        if replica is not None:
            replica.receive_list()

    def passes(self) -> None:
        self.clock.time += self.draw.choice((50_000, 200_000, 600_000, 1_500_000))
        self.run_due()

    def run_due(self) -> None:
        """The timers that are due, each at its place in the order."""
        self.clock.advance(0)

    def leads(self) -> None:
        """Another leads; the one before may not know yet, and goes on proposing."""
        replica = self.one()
        if replica is None or not replica.is_caught_up:
            return
        if self.draw.random() < 0.6:
            self.leaders.clear()
        self.leaders.add(replica.me)

    def cuts(self) -> None:
        replica = self.one()
        if replica is not None:
            replica.is_cut_off = not replica.is_cut_off

    def dies(self) -> None:
        replica = self.one()
        if replica is not None:
            replica.crash()

    def all_die(self) -> None:
        if self.draw.random() < 0.1:
            for replica in self.live_replicas:
                replica.crash()

    def comes(self) -> None:
        dead = [replica.me for replica in self.replicas if replica.is_dead]
        if dead:
            self.restart(self.draw.choice(dead))

    def discovers(self) -> None:
        id = self.draw.choice([f"m{n}" for n in range(7)])
        old = self.list.get(id)
        if old is None:
            if id not in self.truths:
                self.truths[id] = self.draw.choice("ab"), self.draw.randint(1, 2)
            zone, cell = self.truths[id]
            self.update_list(listed_entry(id, zone, cell=cell, started_ms=self.clock.wall() // 1000))
        else:
            phase = self.draw.choice(("ready", "ready", "draining", "gone"))
            started_ms = old["startedAtMs"] if self.draw.random() < 0.5 else self.clock.wall() // 1000
            self.truth(id)
            self.update_list({**old, "lifecycle": phase, "startedAtMs": started_ms})

    def sends(self) -> None:
        replica = self.one()
        if replica is not None:
            can = sorted(
                id for id in {*replica.engine.ready, *replica.engine.left} if replica.engine.may_send(id)
            )
            if can:
                replica.engine.out[self.draw.choice(can)] += 1

    def ends(self) -> None:
        replica = self.one()
        if replica is not None:
            for id in [id for id, count in replica.engine.out.items() if count]:
                if self.draw.random() < 0.7:
                    replica.engine.out[id] = 0

    def submits_request(self) -> None:
        replica = self.one()
        if replica is None:
            return
        draw = self.draw
        named: dict[str, Any] = draw.choice(
            (
                {"zone": "a"}, {"zone": "b"}, {"cell": 1}, {"kind": "small"}, {"machine_ids": ("m0", "m1")},
                {"machine_ids": (f"m{draw.randint(0, 6)}",)},
            )
        )  # fmt: skip
        request = request_for(
            f"w{draw.randint(0, 3)}", draw.randint(1, 3), draw.choice(("zone", "cell", "tier")),
            draw.choice((0.0, 0.0, 0.5, 0.7)), **named,
        )  # fmt: skip
        self.submit(lambda: replica.api.submit_request(request))

    def submit(self, what: Callable[[], object]) -> None:
        try:
            what()
        except MaintenanceError:
            return

    def withdraws(self) -> None:
        replica = self.one()
        if replica is not None and replica.state.open_requests:
            name = self.draw.choice(list(replica.state.open_requests.values())).request.name
            self.submit(lambda: replica.api.withdraw_request(name))

    def works(self) -> None:
        replica = self.one()
        if replica is not None and replica.state.machines:
            id = self.draw.choice(list(replica.state.machines))
            event = self.draw.choice((CommandVerb.BEGIN_WORK, CommandVerb.FINISH_WORK))
            self.submit(lambda: replica.api.report_work(event, id))

    def declares(self) -> None:
        """Somebody who has looked says that a process is no more."""
        replica = self.one()
        dead = [one.me for one in self.replicas if one.is_dead]
        if replica is not None and dead:
            peer = self.draw.choice(dead)
            # He means the process that he saw dead, of which this replica must have heard.
            if replica.state.incarnations.get(peer, 0) in (0, self.replicas[peer].incarnation):
                self.submit(lambda: replica.api.declare_absent(peer))

    def goes_well(self, rounds: int = 0, aside: Kind | None = None) -> list[Proposal]:
        """A few rounds in which what can get through does; proposals of one kind may be set aside."""
        found: list[Proposal] = []
        for _ in range(rounds or self.draw.randint(1, 4)):
            for replica in self.live_replicas:
                if not replica.is_cut_off:
                    if replica.me not in self.deaf:
                        replica.receive_list()
                    if replica.is_caught_up or replica.me not in self.slow:
                        replica.catch_up()
                        replica.is_caught_up = True
                before = set(replica.engine.ready)
                fresh = replica.source.overlay.is_first_update
                replica.controller.run_step()
                if not fresh:
                    self.check_taking(replica, before)
            self.deliver_messages()
            while self.pending:
                proposal = self.pending.pop(0)
                if aside is not None and aside(decode_entry(proposal.data[1:])):
                    found.append(proposal)
                else:
                    self.agree(proposal)
            self.check()
            self.clock.time += self.draw.choice((100_000, 700_000))
            self.run_due()
        return found

    def rounds(self) -> None:
        self.goes_well()

    def heals(self) -> None:
        self.deaf.clear()
        self.slow.clear()

    # --- Beginnings that are seldom drawn by themselves ----------------------------------

    def one_comes_back_before_it_is_declared_absent(self) -> None:
        last = self.replicas[-1]
        self.goes_well(3)
        last.crash()
        self.submit(lambda: self.replicas[0].api.declare_absent(last.me))
        aside = self.goes_well(2, is_ask)
        self.restart(last.me)
        self.goes_well(4)
        for proposal in aside:
            self.agree(proposal)
        self.replicas[-1].is_cut_off = True
        self.submit(lambda: self.replicas[0].api.submit_request(request_for("w0", 2, machine_ids=("m0",))))
        self.goes_well(6)

    def one_serves_without_the_record(self) -> None:
        first, last = self.replicas[0], self.replicas[-1]
        self.goes_well(3)
        self.replicas[-2].is_cut_off = len(self.replicas) > 2
        self.submit(lambda: first.api.submit_request(request_for("w0", 2, machine_ids=("m0",))))
        self.goes_well(5, is_step)
        last.crash()
        self.slow.add(last.me)
        last = self.restart(last.me)
        for _ in range(30):
            self.goes_well(1, is_step)
            if last.controller.serves_without_state:
                break
        self.goes_well(2, is_step)
        self.replicas[-2].is_cut_off = False
        self.goes_well(6)

    def one_was_declared_absent_and_serves(self) -> None:
        first, last = self.replicas[0], self.replicas[-1]
        self.goes_well(3)
        last.crash()
        self.submit(lambda: first.api.declare_absent(last.me))
        self.goes_well(3)
        self.slow.add(last.me)
        last = self.restart(last.me)
        for _ in range(30):
            self.goes_well(1)
            if last.controller.serves_without_state:
                break
        self.goes_well(2)
        self.submit(lambda: first.api.submit_request(request_for("w0", 2, machine_ids=("m0",))))
        self.goes_well(8)

    def one_has_an_old_list(self) -> None:
        ids = sorted(self.list)
        last = self.replicas[-1]
        self.update_list(*({**self.list[id], "lifecycle": "draining"} for id in ids[1:]))
        self.goes_well(3)
        self.deaf.add(last.me)
        self.update_list(*({**self.list[id], "lifecycle": "ready"} for id in ids))
        self.submit(lambda: self.replicas[0].api.submit_request(request_for("w0", 2, machine_ids=(ids[0],))))
        self.goes_well(5)

    def one_clear_is_late(self) -> None:
        api = self.replicas[0].api
        self.goes_well(3)
        self.submit(lambda: api.submit_request(request_for("w0", 2, machine_ids=("m0",))))
        aside = self.goes_well(8, is_step)
        self.submit(lambda: api.withdraw_request("w0"))
        self.goes_well(3)
        self.submit(lambda: api.submit_request(request_for("w1", 2, machine_ids=("m0",))))
        for _ in range(6):
            self.goes_well(1, is_step)
            if "m0" in self.state.machines:
                break
        for proposal in aside:
            self.agree(proposal)
            self.check()

    # --- After the faults ---------------------------------------------------------------

    def recover(self) -> None:
        """Faults end; staff does its work. All requests come to an end."""
        for replica in self.replicas:
            replica.is_cut_off = False
            self.heals()
            if replica.is_dead:
                self.restart(replica.me)
        self.leaders = {0}
        for n in range(7):
            zone, cell = self.truth(f"m{n}")
            self.update_list(listed_entry(f"m{n}", zone, cell=cell, started_ms=self.clock.wall() // 1000))
        for replica in self.live_replicas:
            replica.engine.out.clear()
        for _ in range(400):
            self.run_round()
            for proposal in self.pending:
                self.agree(proposal)
            self.pending.clear()
            self.check()
            self.clock.time += SECOND  # `turn` looks: no timer is needed
            self.clock.due.clear()
            if not self.state.open_requests and not self.state.machines:
                return
            self.staff()
        states = self.states(), [one.request for one in self.state.open_requests.values()]
        self.broken(f"no progress once faults ended: {states}")

    def staff(self) -> None:
        api = self.replicas[0].api
        for machine in list(self.replicas[0].state.machines.values()):
            if machine.state in DRAINED_STATES:
                id = machine.machine_id
                self.submit(lambda id=id: api.report_work(CommandVerb.FINISH_WORK, id))  # type: ignore[misc]
        for one in list(self.replicas[0].state.open_requests.values()):
            name = one.request.name
            told = StatusReport(self.replicas[0].controller).describe_request(one)
            if told["never"]:
                self.submit(lambda name=name: api.withdraw_request(name))  # type: ignore[misc]

    def run(self) -> None:
        for replica in self.replicas:
            replica.receive_list()
        for _ in range(self.draw.randint(1, 3)):
            self.run_round()
            self.agrees()
        if self.draw.random() < 0.15:
            self.draw.choice(BEGINNINGS)(self)
        for _ in range(STEPS):
            self.step()
        self.recover()


EVENTS: list[Callable[[World], None]] = [
    World.looks, World.delivers, World.learns, World.receives_messages, World.agrees, World.hears_list,
    World.passes, World.leads, World.cuts, World.dies, World.all_die, World.comes, World.discovers,
    World.sends, World.ends, World.submits_request, World.withdraws, World.works, World.declares,
    World.rounds, World.heals,
]  # fmt: skip
WEIGHTS = [24, 14, 6, 14, 14, 6, 8, 2, 1, 1, 1, 5, 2, 5, 5, 4, 1, 5, 3, 9, 2]

BEGINNINGS: list[Callable[[World], None]] = [
    World.one_comes_back_before_it_is_declared_absent, World.one_serves_without_the_record,
    World.one_was_declared_absent_and_serves,
    World.one_has_an_old_list, World.one_clear_is_late,
]  # fmt: skip


def play(seed: int) -> None:
    World(seed).run()


def first_broken(seeds: range) -> str:
    """The rule that the first schedule breaks, and its seed; nothing if all hold."""
    for seed in seeds:
        try:
            play(seed)
        except BrokenError as error:
            return f"{error} (seed {seed})"
    return ""


@pytest.mark.parametrize("part", range(6))
def test_no_schedule_breaks_a_rule(part: int) -> None:
    assert first_broken(range(part * SEEDS // 6, (part + 1) * SEEDS // 6)) == ""


# --- The checker can fail -----------------------------------------------------------------


def one_confirmation_early(patch: pytest.MonkeyPatch) -> None:
    missing = DrainAcknowledgements.missing_peers

    def early(self: DrainAcknowledgements, index: int, state: MaintenanceState, peers: int) -> list[int]:
        return missing(self, index, state, peers)[1:]

    patch.setattr(DrainAcknowledgements, "missing_peers", early)


def limits_only_by_the_leader(patch: pytest.MonkeyPatch) -> None:
    """What is proposed is planned as ever, and applied without a look."""
    drain, blocking = MaintenanceState._drain_machine, MaintenanceState.blocking_limit

    def blind(self: MaintenanceState, index: int, entry: DrainMachine) -> bool:
        entry = DrainMachine(
            self.changed_index, *[getattr(entry, key) for key in entry.__struct_fields__[1:]]
        )
        patched = MaintenanceState.blocking_limit
        MaintenanceState.blocking_limit = lambda self, entry, ignore_others=False: None  # type: ignore[method-assign]
        try:
            return drain(self, index, entry)
        finally:
            MaintenanceState.blocking_limit = patched  # type: ignore[method-assign]

    assert blocking is MaintenanceState.blocking_limit
    patch.setattr(MaintenanceState, "_drain_machine", blind)


def older_incarnation_counted(patch: pytest.MonkeyPatch) -> None:
    def record(self: DrainAcknowledgements, peer: int, incarnation: int, drained_index: int) -> None:
        old = self.by_peer.get(peer)
        if old is not None and old.drained_index > drained_index:
            incarnation, drained_index = old
        self.by_peer[peer] = PeerAcknowledgement(incarnation, drained_index)

    patch.setattr(DrainAcknowledgements, "record", record)


def hold_forgotten_when_cut_off(patch: pytest.MonkeyPatch) -> None:
    refresh = MaintenanceSource.refresh

    def forgetful(self: MaintenanceSource) -> None:
        refresh(self)
        controller = getattr(self.on_list_changed, "__self__", None)
        if (
            isinstance(controller, MaintenanceController)
            and not controller.consensus.has_leader_contact
            and self.overlay.cordons
        ):
            ids = list(self.overlay.cordons)
            self.overlay.cordons.clear()
            self._publish(False, [id for id in ids if id in self.table.machines])

    patch.setattr(MaintenanceSource, "refresh", forgetful)


def return_without_the_limits(patch: pytest.MonkeyPatch) -> None:
    violated_limit = limits_module.violated_limit

    def lenient(limits: Any, entry: DrainMachine, out: list[Any], ignore_others: bool = False) -> str | None:
        return violated_limit(
            limits, entry, [one for one in out if one.state != MachineState.WARMING_UP], ignore_others
        )

    patch.setattr(state_module, "violated_limit", lenient)


def quiet_before_the_grace(patch: pytest.MonkeyPatch) -> None:
    drained_index = EndpointOverlay.drained_index
    patch.setattr(
        EndpointOverlay,
        "drained_index",
        lambda self, state, now, grace, out: drained_index(self, state, now, 0, out),
    )


def quiet_with_requests_out(patch: pytest.MonkeyPatch) -> None:
    drained_index = EndpointOverlay.drained_index
    patch.setattr(
        EndpointOverlay,
        "drained_index",
        lambda self, state, now, grace, out: drained_index(self, state, now, grace, lambda id: 0),
    )


def sends_before_it_knows(patch: pytest.MonkeyPatch) -> None:
    start = MaintenanceController.start

    def hasty(self: MaintenanceController) -> None:
        start(self)
        self.source.start_forwarding(False)

    patch.setattr(MaintenanceController, "start", hasty)


def absent_names_no_incarnation(patch: pytest.MonkeyPatch) -> None:
    execute = MaintenanceState._execute_command

    def any_incarnation(self: MaintenanceState, index: int, command: Any) -> str:
        if command.verb == "absent":
            self.absent_peers.add(command.argument)
            return ""
        return execute(self, index, command)

    patch.setattr(MaintenanceState, "_execute_command", any_incarnation)


def absent_for_one_that_is_heard(patch: pytest.MonkeyPatch) -> None:
    missing = DrainAcknowledgements.missing_peers

    def blind(self: DrainAcknowledgements, index: int, state: MaintenanceState, peers: int) -> list[int]:
        return [peer for peer in missing(self, index, state, peers) if peer not in state.absent_peers]

    patch.setattr(DrainAcknowledgements, "missing_peers", blind)


def last_one_taken(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(EndpointOverlay, "_uncordoned_ready_count", lambda self, table: 1000)


def late_steps_hold(patch: pytest.MonkeyPatch) -> None:
    """A `clear` for an earlier leaving counts for a later one."""
    apply_transition = MaintenanceState._apply_transition

    def timeless(self: MaintenanceState, index: int, entry: MachineTransition) -> bool:
        machine = self.machines.get(entry.machine_id)
        since_index = entry.since_index if machine is None else machine.since_index
        return apply_transition(
            self, index, MachineTransition(entry.machine_id, since_index, entry.event, entry.reason)
        )

    patch.setattr(MaintenanceState, "_apply_transition", timeless)


def discovery_loses(patch: pytest.MonkeyPatch) -> None:
    as_it_is = EndpointOverlay.overlaid_entry

    def raw(self: EndpointOverlay, machine: Any) -> dict[str, Any]:
        found = as_it_is(self, machine)
        if machine.machine_id in self.returned_ms and not self.is_cordoned(machine.machine_id):
            found["lifecycle"] = "ready"
        return found

    patch.setattr(EndpointOverlay, "overlaid_entry", raw)


def never_told_again(patch: pytest.MonkeyPatch) -> None:
    """Words are told once."""
    message = Replica.send_to_leader
    told: set[bytes] = set()

    def once(self: Replica, data: bytes) -> None:
        key = data + repr((id(self.tier), self.me, self.incarnation)).encode()
        if key not in told:
            told.add(key)
            message(self, data)

    patch.setattr(Replica, "send_to_leader", once)


Fault = Callable[[pytest.MonkeyPatch], None]
FAULTS: dict[Fault, str | tuple[str, str]] = {
    one_confirmation_early: "clear while",
    limits_only_by_the_leader: ("more out than", "less stays than"),
    older_incarnation_counted: "clear while one had said",
    hold_forgotten_when_cut_off: "clear while somebody",
    return_without_the_limits: "more out than",
    quiet_before_the_grace: "clear while somebody",
    quiet_with_requests_out: "clear while somebody",
    sends_before_it_knows: "clear while somebody",
    absent_names_no_incarnation: "clear while somebody",
    absent_for_one_that_is_heard: "clear while one had said",
    last_one_taken: "the last ready machine was taken",
    late_steps_hold: "clear while somebody",
    discovery_loses: "ready against discovery",
    never_told_again: "no progress",
}


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_deliberate_fault_is_found(fault: Fault, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    found = first_broken(range(FAULT_SEEDS))
    assert found.startswith(FAULTS[fault]) and found, found or "not found"


def test_messages_and_entries_are_what_they_say() -> None:
    """What the world carries is read as it is on a real link."""
    assert decode_message(encode(DrainAcknowledgement(7))) == DrainAcknowledgement(7)
    assert vars(planner_module)["DrainAcknowledgements"] is DrainAcknowledgements
