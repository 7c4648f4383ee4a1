"""Made schedules of a tier with maintenance: what happens next is drawn, and checked after every step."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from laurelstep.maintenance.entries import (
    CommandVerb,
    DrainAcknowledgement,
    MachineTransition,
    OperatorCommand,
    decode_entry,
    decode_message,
)
from laurelstep.maintenance.errors import MaintenanceError
from laurelstep.maintenance.states import DRAINED_STATES
from laurelstep.maintenance.status import StatusReport

from tests.maintenance import SECOND, Replica, listed_entry, request_for
from tests.maintenance_checker import CheckedTier, Proposal

STEPS = 75


Kind = Callable[[Any], bool]


def is_ask(entry: Any) -> bool:
    return isinstance(entry, OperatorCommand)


def is_step(entry: Any) -> bool:
    return isinstance(entry, MachineTransition)


class World(CheckedTier):
    """A tier whose schedule is drawn from the seed."""

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
        if replica is None or replica.is_cut_off or replica.applied_count >= len(self.log):
            return
        if self.draw.random() < 0.1:
            replica.load_snapshot()
        else:
            replica.catch_up(self.draw.randint(replica.applied_count + 1, len(self.log)))

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
        self.leaders.add(replica.index)

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
        dead = [replica.index for replica in self.replicas if replica.is_dead]
        if dead:
            self.restart(self.draw.choice(dead))

    def discovers(self) -> None:
        id = self.draw.choice([f"m{n}" for n in range(7)])
        old = self.listed.get(id)
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
                id
                for id in {*replica.engine.ready, *replica.engine.drain_started_us}
                if replica.engine.may_send(id)
            )
            if can:
                replica.engine.in_flight[self.draw.choice(can)] += 1

    def ends(self) -> None:
        replica = self.one()
        if replica is not None:
            for id in [id for id, count in replica.engine.in_flight.items() if count]:
                if self.draw.random() < 0.7:
                    replica.engine.in_flight[id] = 0

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
        dead = [one.index for one in self.replicas if one.is_dead]
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
                    if replica.index not in self.deaf:
                        replica.receive_list()
                    if replica.is_caught_up or replica.index not in self.slow:
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
        self.submit(lambda: self.replicas[0].api.declare_absent(last.index))
        aside = self.goes_well(2, is_ask)
        self.restart(last.index)
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
        self.slow.add(last.index)
        last = self.restart(last.index)
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
        self.submit(lambda: first.api.declare_absent(last.index))
        self.goes_well(3)
        self.slow.add(last.index)
        last = self.restart(last.index)
        for _ in range(30):
            self.goes_well(1)
            if last.controller.serves_without_state:
                break
        self.goes_well(2)
        self.submit(lambda: first.api.submit_request(request_for("w0", 2, machine_ids=("m0",))))
        self.goes_well(8)

    def one_has_an_old_list(self) -> None:
        ids = sorted(self.listed)
        last = self.replicas[-1]
        self.update_list(*({**self.listed[id], "lifecycle": "draining"} for id in ids[1:]))
        self.goes_well(3)
        self.deaf.add(last.index)
        self.update_list(*({**self.listed[id], "lifecycle": "ready"} for id in ids))
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
                self.restart(replica.index)
        self.leaders = {0}
        for n in range(7):
            zone, cell = self.truth(f"m{n}")
            self.update_list(listed_entry(f"m{n}", zone, cell=cell, started_ms=self.clock.wall() // 1000))
        for replica in self.live_replicas:
            replica.engine.in_flight.clear()
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
