"""Random schedules of a tier with maintenance. The seed determines the events; the invariants are checked
after each."""

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

EVENT_COUNT = 75


EntryPredicate = Callable[[Any], bool]


def is_command(entry: Any) -> bool:
    return isinstance(entry, OperatorCommand)


def is_transition(entry: Any) -> bool:
    return isinstance(entry, MachineTransition)


class World(CheckedTier):
    """A tier and its random events: clients, operators, discovery, the network and faults."""

    # --- Random events ----------------------------------------------------------------

    def step(self) -> None:
        event = self.rng.choices(EVENTS, WEIGHTS)[0]
        event(self)
        self.check()

    def random_replica(self) -> Replica | None:
        """A replica that is not dead; None if all are."""
        live_replicas = self.live_replicas
        return self.rng.choice(live_replicas) if live_replicas else None

    def run_replica_step(self) -> None:
        replica = self.random_replica()
        if replica is not None:
            ready_before = set(replica.engine.ready)
            is_first_update = replica.source.overlay.is_first_update
            replica.controller.run_step()
            if not is_first_update:
                self.check_last_ready(replica, ready_before)

    def apply_some_entries(self) -> None:
        replica = self.random_replica()
        if replica is None or replica.is_cut_off or replica.applied_count >= len(self.log):
            return
        if self.rng.random() < 0.1:
            replica.load_snapshot()
        else:
            replica.catch_up(self.rng.randint(replica.applied_count + 1, len(self.log)))

    def finish_catch_up(self) -> None:
        replica = self.random_replica()
        if replica is not None and not replica.is_cut_off and not replica.is_caught_up:
            replica.catch_up()
            replica.is_caught_up = True

    def deliver_some_messages(self) -> None:
        for _ in range(min(len(self.messages), 4)):
            position = self.rng.randrange(len(self.messages))
            peer, incarnation, data = self.messages[position]
            if self.rng.random() > 0.2:  # otherwise it may be delivered again
                del self.messages[position]
            if self.rng.random() < 0.2:
                continue  # lost
            self.deliver_message(peer, incarnation, data)

    def deliver_message(self, peer: int, incarnation: int, data: bytes) -> None:
        """Deliver a message to the leader, and to replicas that still act as leaders."""
        for replica in self.live_replicas:
            if replica.is_leader and not replica.is_cut_off:
                if decode_message(data) == DrainAcknowledgement(-1):
                    self.serving_alone.setdefault(replica.incarnation, {})[peer] = incarnation
                replica.on_leader_message(peer, incarnation, data)

    def deliver_messages(self) -> None:
        messages, self.messages = self.messages, []
        for message in messages:
            self.deliver_message(*message)

    def commit_some_proposals(self) -> None:
        for _ in range(min(len(self.proposals), 3)):
            proposal = self.proposals.pop(self.rng.randrange(len(self.proposals)))
            if self.rng.random() < 0.9:
                self.commit(proposal)
            if self.rng.random() < 0.05:
                self.proposals.append(proposal)  # committed again later

    def deliver_list(self) -> None:
        replica = self.random_replica()
        if replica is not None:
            replica.receive_list()

    def advance_clock(self) -> None:
        self.clock.time += self.rng.choice((50_000, 200_000, 600_000, 1_500_000))
        self.run_due_timers()

    def run_due_timers(self) -> None:
        """Run the timers that are due, in the order of their times."""
        self.clock.advance(0)

    def elect_leader(self) -> None:
        """Make another replica the leader. The previous one may not notice yet, and continue to propose."""
        replica = self.random_replica()
        if replica is None or not replica.is_caught_up:
            return
        if self.rng.random() < 0.6:
            self.leaders.clear()
        self.leaders.add(replica.index)

    def toggle_cut_off(self) -> None:
        replica = self.random_replica()
        if replica is not None:
            replica.is_cut_off = not replica.is_cut_off

    def crash_replica(self) -> None:
        replica = self.random_replica()
        if replica is not None:
            replica.crash()

    def crash_all(self) -> None:
        if self.rng.random() < 0.1:
            for replica in self.live_replicas:
                replica.crash()

    def restart_replica(self) -> None:
        dead = [replica.index for replica in self.replicas if replica.is_dead]
        if dead:
            self.restart(self.rng.choice(dead))

    def change_list(self) -> None:
        machine_id = self.rng.choice([f"m{n}" for n in range(7)])
        listed = self.listed.get(machine_id)
        if listed is None:
            if machine_id not in self.locations:
                self.locations[machine_id] = self.rng.choice("ab"), self.rng.randint(1, 2)
            zone, cell = self.locations[machine_id]
            self.update_list(listed_entry(machine_id, zone, cell=cell, started_ms=self.clock.wall() // 1000))
        else:
            phase = self.rng.choice(("ready", "ready", "draining", "gone"))
            started_ms = listed["startedAtMs"] if self.rng.random() < 0.5 else self.clock.wall() // 1000
            self.location_of(machine_id)
            self.update_list({**listed, "lifecycle": phase, "startedAtMs": started_ms})

    def send_request(self) -> None:
        replica = self.random_replica()
        if replica is not None:
            machine_ids = sorted(
                machine_id
                for machine_id in {*replica.engine.ready, *replica.engine.drain_started_us}
                if replica.engine.may_send(machine_id)
            )
            if machine_ids:
                replica.engine.in_flight[self.rng.choice(machine_ids)] += 1

    def finish_requests(self) -> None:
        replica = self.random_replica()
        if replica is not None:
            for machine_id in [machine_id for machine_id, count in replica.engine.in_flight.items() if count]:
                if self.rng.random() < 0.7:
                    replica.engine.in_flight[machine_id] = 0

    def submit_request(self) -> None:
        replica = self.random_replica()
        if replica is None:
            return
        rng = self.rng
        selection: dict[str, Any] = rng.choice(
            (
                {"zone": "a"}, {"zone": "b"}, {"cell": 1}, {"kind": "small"}, {"machine_ids": ("m0", "m1")},
                {"machine_ids": (f"m{rng.randint(0, 6)}",)},
            )
        )  # fmt: skip
        request = request_for(
            f"w{rng.randint(0, 3)}", rng.randint(1, 3), rng.choice(("zone", "cell", "tier")),
            rng.choice((0.0, 0.0, 0.5, 0.7)), **selection,
        )  # fmt: skip
        self.try_call(lambda: replica.api.submit_request(request))

    def try_call(self, call: Callable[[], object]) -> None:
        """Make an operator's call; it may be rejected."""
        try:
            call()
        except MaintenanceError:
            return

    def withdraw_request(self) -> None:
        replica = self.random_replica()
        if replica is not None and replica.state.open_requests:
            name = self.rng.choice(list(replica.state.open_requests.values())).request.name
            self.try_call(lambda: replica.api.withdraw_request(name))

    def report_work(self) -> None:
        replica = self.random_replica()
        if replica is not None and replica.state.machines:
            machine_id = self.rng.choice(list(replica.state.machines))
            verb = self.rng.choice((CommandVerb.BEGIN_WORK, CommandVerb.FINISH_WORK))
            self.try_call(lambda: replica.api.report_work(verb, machine_id))

    def declare_absent(self) -> None:
        """An operator declares a crashed replica absent."""
        replica = self.random_replica()
        dead = [replica.index for replica in self.replicas if replica.is_dead]
        if replica is not None and dead:
            peer = self.rng.choice(dead)
            # The call applies to the incarnation in this replica's state: it must be the crashed one or none.
            if replica.state.incarnations.get(peer, 0) in (0, self.replicas[peer].incarnation):
                self.try_call(lambda: replica.api.declare_absent(peer))

    def run_reliable_rounds(
        self, count: int = 0, is_withheld: EntryPredicate | None = None
    ) -> list[Proposal]:
        """Run rounds in which messages, entries and lists get through, except to replicas that are blocked or
        cut off. The number of rounds is random if `count` is 0.

        Returns the proposals for which `is_withheld` is true; they are not committed.
        """
        withheld: list[Proposal] = []
        for _ in range(count or self.rng.randint(1, 4)):
            for replica in self.live_replicas:
                if not replica.is_cut_off:
                    if replica.index not in self.list_blocked:
                        replica.receive_list()
                    if replica.is_caught_up or replica.index not in self.catch_up_blocked:
                        replica.catch_up()
                        replica.is_caught_up = True
                ready_before = set(replica.engine.ready)
                is_first_update = replica.source.overlay.is_first_update
                replica.controller.run_step()
                if not is_first_update:
                    self.check_last_ready(replica, ready_before)
            self.deliver_messages()
            while self.proposals:
                proposal = self.proposals.pop(0)
                if is_withheld is not None and is_withheld(decode_entry(proposal.data[1:])):
                    withheld.append(proposal)
                else:
                    self.commit(proposal)
            self.check()
            self.clock.time += self.rng.choice((100_000, 700_000))
            self.run_due_timers()
        return withheld

    def run_some_rounds(self) -> None:
        self.run_reliable_rounds()

    def unblock(self) -> None:
        self.list_blocked.clear()
        self.catch_up_blocked.clear()

    # --- Scenarios that random events seldom produce ----------------------------------

    def restart_before_declared_absent(self) -> None:
        last = self.replicas[-1]
        self.run_reliable_rounds(3)
        last.crash()
        self.try_call(lambda: self.replicas[0].api.declare_absent(last.index))
        withheld = self.run_reliable_rounds(2, is_command)
        self.restart(last.index)
        self.run_reliable_rounds(4)
        for proposal in withheld:
            self.commit(proposal)
        self.replicas[-1].is_cut_off = True
        self.try_call(lambda: self.replicas[0].api.submit_request(request_for("w0", 2, machine_ids=("m0",))))
        self.run_reliable_rounds(6)

    def serve_without_state(self) -> None:
        first, last = self.replicas[0], self.replicas[-1]
        self.run_reliable_rounds(3)
        self.replicas[-2].is_cut_off = len(self.replicas) > 2
        self.try_call(lambda: first.api.submit_request(request_for("w0", 2, machine_ids=("m0",))))
        self.run_reliable_rounds(5, is_transition)
        last.crash()
        self.catch_up_blocked.add(last.index)
        last = self.restart(last.index)
        for _ in range(30):
            self.run_reliable_rounds(1, is_transition)
            if last.controller.serves_without_state:
                break
        self.run_reliable_rounds(2, is_transition)
        self.replicas[-2].is_cut_off = False
        self.run_reliable_rounds(6)

    def serve_without_state_when_declared_absent(self) -> None:
        first, last = self.replicas[0], self.replicas[-1]
        self.run_reliable_rounds(3)
        last.crash()
        self.try_call(lambda: first.api.declare_absent(last.index))
        self.run_reliable_rounds(3)
        self.catch_up_blocked.add(last.index)
        last = self.restart(last.index)
        for _ in range(30):
            self.run_reliable_rounds(1)
            if last.controller.serves_without_state:
                break
        self.run_reliable_rounds(2)
        self.try_call(lambda: first.api.submit_request(request_for("w0", 2, machine_ids=("m0",))))
        self.run_reliable_rounds(8)

    def drain_with_an_outdated_list(self) -> None:
        ids = sorted(self.listed)
        last = self.replicas[-1]
        self.update_list(*({**self.listed[id], "lifecycle": "draining"} for id in ids[1:]))
        self.run_reliable_rounds(3)
        self.list_blocked.add(last.index)
        self.update_list(*({**self.listed[id], "lifecycle": "ready"} for id in ids))
        self.try_call(
            lambda: self.replicas[0].api.submit_request(request_for("w0", 2, machine_ids=(ids[0],)))
        )
        self.run_reliable_rounds(5)

    def commit_outdated_transitions(self) -> None:
        api = self.replicas[0].api
        self.run_reliable_rounds(3)
        self.try_call(lambda: api.submit_request(request_for("w0", 2, machine_ids=("m0",))))
        withheld = self.run_reliable_rounds(8, is_transition)
        self.try_call(lambda: api.withdraw_request("w0"))
        self.run_reliable_rounds(3)
        self.try_call(lambda: api.submit_request(request_for("w1", 2, machine_ids=("m0",))))
        for _ in range(6):
            self.run_reliable_rounds(1, is_transition)
            if "m0" in self.state.machines:
                break
        for proposal in withheld:
            self.commit(proposal)
            self.check()

    # --- After the faults ---------------------------------------------------------------

    def recover(self) -> None:
        """End the faults and finish all work; every request must then be completed."""
        for replica in self.replicas:
            replica.is_cut_off = False
            self.unblock()
            if replica.is_dead:
                self.restart(replica.index)
        self.leaders = {0}
        for n in range(7):
            zone, cell = self.location_of(f"m{n}")
            self.update_list(listed_entry(f"m{n}", zone, cell=cell, started_ms=self.clock.wall() // 1000))
        for replica in self.live_replicas:
            replica.engine.in_flight.clear()
        for _ in range(400):
            self.run_round()
            for proposal in self.proposals:
                self.commit(proposal)
            self.proposals.clear()
            self.check()
            self.clock.time += SECOND  # `run_round` runs the steps: no timer is needed
            self.clock.due.clear()
            if not self.state.open_requests and not self.state.machines:
                return
            self.finish_work()
        states = self.states(), [request.request for request in self.state.open_requests.values()]
        self.fail(f"no progress after the faults ended: {states}")

    def finish_work(self) -> None:
        """Report the work on all drained machines finished, and withdraw requests that can't be satisfied."""
        api = self.replicas[0].api
        for machine in list(self.replicas[0].state.machines.values()):
            if machine.state in DRAINED_STATES:
                id = machine.machine_id
                self.try_call(lambda id=id: api.report_work(CommandVerb.FINISH_WORK, id))  # type: ignore[misc]
        for request in list(self.replicas[0].state.open_requests.values()):
            name = request.request.name
            description = StatusReport(self.replicas[0].controller).describe_request(request)
            if description["never"]:
                self.try_call(lambda name=name: api.withdraw_request(name))  # type: ignore[misc]

    def run(self) -> None:
        for replica in self.replicas:
            replica.receive_list()
        for _ in range(self.rng.randint(1, 3)):
            self.run_round()
            self.commit_some_proposals()
        if self.rng.random() < 0.15:
            self.rng.choice(SCENARIOS)(self)
        for _ in range(EVENT_COUNT):
            self.step()
        self.recover()


EVENTS: list[Callable[[World], None]] = [
    World.run_replica_step, World.apply_some_entries, World.finish_catch_up, World.deliver_some_messages,
    World.commit_some_proposals, World.deliver_list, World.advance_clock, World.elect_leader,
    World.toggle_cut_off, World.crash_replica, World.crash_all, World.restart_replica, World.change_list,
    World.send_request, World.finish_requests, World.submit_request, World.withdraw_request,
    World.report_work, World.declare_absent, World.run_some_rounds, World.unblock,
]  # fmt: skip
WEIGHTS = [24, 14, 6, 14, 14, 6, 8, 2, 1, 1, 1, 5, 2, 5, 5, 4, 1, 5, 3, 9, 2]

SCENARIOS: list[Callable[[World], None]] = [
    World.restart_before_declared_absent, World.serve_without_state,
    World.serve_without_state_when_declared_absent,
    World.drain_with_an_outdated_list, World.commit_outdated_transitions,
]  # fmt: skip
