"""The invariants of maintenance, checked on all replicas of a simulated tier at the same time."""

from __future__ import annotations

import random

from laurelstep.balancing.events import READY
from laurelstep.maintenance.entries import (
    DrainMachine,
    MachineTransition,
    decode_entry,
)
from laurelstep.maintenance.settings import MaintenanceSettings
from laurelstep.maintenance.states import CORDONED_STATES, DRAINED_STATES, MachineState

from tests.maintenance import SECOND, Replica, Tier, listed_entry


class InvariantError(AssertionError):
    """An invariant does not hold; the text describes the violation."""


class Proposal:
    """A proposed entry, with the proposer's list and messages at that time."""

    def __init__(self, proposer: Replica, data: bytes, serving_alone: dict[int, int]) -> None:
        self.data = data
        machines = proposer.source.table.machines.values()
        # By machine id: whether it is ready, and its capacity.
        self.listed = {machine.machine_id: (machine.phase == READY, machine.capacity) for machine in machines}
        # By peer: the incarnation that has reported to the proposer that it serves without the state.
        self.serving_alone = dict(serving_alone)


class CheckedTier(Tier):
    """A tier whose proposals are committed by `commit`, and the invariants to check after every event."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.proposals: list[Proposal] = []  # not committed yet
        # By the leader's incarnation: the peers that have reported to it that they serve without the state,
        # with their incarnations.
        self.serving_alone: dict[int, dict[int, int]] = {}
        self.list_blocked: set[int] = set()  # replicas that get no lists
        self.catch_up_blocked: set[int] = set()  # replicas that can't catch up after a restart
        self.locations: dict[str, tuple[str, int]] = {}  # by machine id: zone and cell, listed or not
        settings = MaintenanceSettings(
            overdue_us=20 * SECOND,
            start_alone="serve" if self.rng.random() < 0.25 else "wait",
            learn_us=2 * SECOND,
        )
        machines = []
        for n in range(self.rng.randint(3, 7)):
            zone, cell = self.rng.choice("ab"), self.rng.randint(1, 2)
            machines.append(listed_entry(f"m{n}", zone, cell=cell, weight=self.rng.choice((1.0, 1.0, 2.0))))
        super().__init__(self.rng.choice((2, 3, 3, 4)), machines, settings)

    # --- The log ----------------------------------------------------------------------

    def on_proposal(self, proposer: Replica, data: bytes) -> None:
        self.proposals.append(Proposal(proposer, data, self.serving_alone.get(proposer.incarnation, {})))

    def commit(self, proposal: Proposal) -> None:
        before = {id: (machine.state, machine.drain_index) for id, machine in self.state.machines.items()}
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
                for peer, incarnation in proposal.serving_alone.items():
                    replica = self.replicas[peer]
                    if (
                        not replica.is_dead
                        and replica.incarnation == incarnation
                        and replica.engine.may_have_traffic(entry.machine_id)
                    ):
                        self.fail("clear while a replica had reported that it serves without the state")

    def fail(self, violation: str) -> None:
        raise InvariantError(violation)

    def check_limits(self, entry: DrainMachine, proposal: Proposal) -> None:
        """Check the limits independently of the code under test, by the machines' zones and cells and by the
        proposer's list.
        """
        out = self.state.machines
        zone, cell = self.location_of(entry.machine_id)
        for request in self.state.open_requests.values():
            if request.is_withdrawn:
                continue
            limits = request.request.limits
            out_count = 0
            for id in out:
                other_zone, other_cell = self.location_of(id)
                is_in_scope = {"zone": other_zone == zone, "cell": other_cell == cell, "tier": True}
                out_count += is_in_scope[limits.scope]
            if out_count > limits.max_unavailable:
                self.fail("more machines out of service than a request allows")
            total = sum(capacity for id, (_, capacity) in proposal.listed.items() if id not in out)
            in_service = sum(
                capacity for id, (is_ready, capacity) in proposal.listed.items() if is_ready and id not in out
            )
            for machine in out.values():
                total += machine.weight
                if machine.state == MachineState.WARMING_UP:
                    in_service += 0.2 * machine.weight
            if in_service < limits.min_capacity_share * total - 1e-6:
                self.fail("less capacity in service than a request requires")
        if not any(is_ready and id not in out for id, (is_ready, _) in proposal.listed.items()):
            self.fail("the last ready machine was drained")

    def location_of(self, machine_id: str) -> tuple[str, int]:
        """The zone and cell of a machine: those listed last, or a default."""
        if machine_id in self.listed:
            self.locations[machine_id] = self.listed[machine_id]["zone"], self.listed[machine_id]["cell"]
        return self.locations.setdefault(machine_id, ("a", 1))

    # --- The invariants ---------------------------------------------------------------

    def check(self) -> None:
        drained = [
            machine.machine_id for machine in self.state.machines.values() if machine.state in DRAINED_STATES
        ]
        for replica in self.live_replicas:
            engine, source = replica.engine, replica.source
            for id in drained:
                cordon = source.overlay.cordons.get(id)
                # Its settings allow it to serve without the state. It has not drained the machine since.
                serves_alone = replica.controller.serves_without_state and (
                    cordon is None or not cordon.is_drained
                )
                if engine.may_have_traffic(id) and not serves_alone:
                    self.fail("clear while a replica may send")
            if not source.is_forwarding and engine.ready:
                self.fail("a list was forwarded too early")
            for id in engine.ready:
                listed = source.table.machines.get(id)
                if listed is None or listed.phase != READY:
                    self.fail("ready in the engine but not in discovery's list")
            self.check_cordons(replica)

    def check_cordons(self, replica: Replica) -> None:
        """Check that the engine of a replica that knows the state has all machines that discovery lists as
        ready, except cordoned ones.
        """
        source = replica.source
        if not source.has_learned_state or not replica.is_caught_up:
            return
        cordoned = {id for id, machine in replica.state.machines.items() if machine.state in CORDONED_STATES}
        ready = {id for id, machine in source.table.machines.items() if machine.phase == READY}
        if (
            replica.engine.ready.keys() - cordoned != ready - cordoned
            and not replica.controller.scheduled_step
        ):
            self.fail("neither ready in the engine nor cordoned")

    def check_last_ready(self, replica: Replica, ready_before: set[str]) -> None:
        """Check that a step did not cordon the last ready machine of a replica while it was draining. Only
        machines that are drained already may be cordoned unconditionally.
        """
        ready_now = replica.engine.ready.keys()
        removed = ready_before - ready_now
        if removed and not ready_now and replica.source.table.ready_count:
            states = [replica.state.machines[id].state for id in removed if id in replica.state.machines]
            if states and all(state == MachineState.DRAINING for state in states):
                self.fail("the last ready machine was drained")
