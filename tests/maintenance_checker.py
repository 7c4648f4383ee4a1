"""The rules of maintenance, by name, checked against what is true of all replicas of a tier at once."""

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


class BrokenError(AssertionError):
    """A rule, by its name, and the seed that broke it."""


class Proposal:
    def __init__(self, by: Replica, data: bytes, by_sending: dict[int, int]) -> None:
        self.data = data
        table = by.source.table.machines.values()
        self.listed = {one.machine_id: (one.phase == READY, one.capacity) for one in table}
        # Copies that have told the proposer that they send without the record.
        self.sending = dict(by_sending)


class CheckedTier(Tier):
    """A tier whose log is agreed on by hand, and the rules that must hold in it after every step."""

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

    def on_proposal(self, proposer: Replica, data: bytes) -> None:
        self.pending.append(Proposal(proposer, data, self.sending.get(proposer.incarnation, {})))

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
                        and replica.engine.may_have_traffic(entry.machine_id)
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
        if id in self.listed:
            self.truths[id] = self.listed[id]["zone"], self.listed[id]["cell"]
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
                if engine.may_have_traffic(id) and not went_alone:
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
