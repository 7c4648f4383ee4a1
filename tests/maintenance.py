"""A tier of replicas with maintenance, without sockets. The consensus log is a list with a total order;
replicas may lag behind it, be cut off, or crash. Controllers, sources and states are real; the engine and
discovery are fakes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from laurelstep.consensus.errors import NotLeaderError
from laurelstep.consensus.multiplexer import ConsensusClient
from laurelstep.consensus.state_machines import CompositeStateMachine
from laurelstep.engine.endpoint_table import endpoint_number
from laurelstep.engine.ports import MemberSink
from laurelstep.maintenance.api import MaintenanceApi
from laurelstep.maintenance.controller import MaintenanceController
from laurelstep.maintenance.entries import (
    SUBSYSTEM_TAG,
    decode_message,
)
from laurelstep.maintenance.requests import DisruptionLimits, MaintenanceRequest
from laurelstep.maintenance.settings import MaintenanceSettings
from laurelstep.maintenance.source import MaintenanceSource
from laurelstep.maintenance.state import MaintenanceState

from tests.fakes import ManualClock

SECOND = 1_000_000
GRACE_US = 500_000
SLOW_START_US = 2 * SECOND
ENDPOINT_NUMBERS: dict[str, int] = {}


def endpoint_number_of(machine_id: str) -> int:
    if machine_id not in ENDPOINT_NUMBERS:
        ENDPOINT_NUMBERS[machine_id] = endpoint_number(machine_id)
    return ENDPOINT_NUMBERS[machine_id]


def listed_entry(
    machine_id: str, zone: str = "a", phase: str = "ready", started_ms: int = 1000, **fields: Any
) -> dict[str, Any]:
    return {
        "instanceId": machine_id, "hostPort": f"127.0.0.1:{9000 + endpoint_number_of(machine_id) % 999}",
        "zone": zone, "machineType": "small", "cell": 1, "lifecycle": phase, "weight": 1.0,
        "startedAtMs": started_ms, **fields,
    }  # fmt: skip


def request_for(
    name: str = "w", out: int = 1, per: str = "tier", share: float = 0.0, **fields: Any
) -> MaintenanceRequest:
    return MaintenanceRequest(name, DisruptionLimits(out, per, share), **fields)  # type: ignore[arg-type]


class FakeEngine:
    """A sink for endpoint lists, with the requests in flight at each machine."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.ready: dict[str, int] = {}  # start time of each ready machine, Unix ms
        self.drain_started_us: dict[str, int] = {}
        self.in_flight: Counter[str] = Counter()
        self.list_count = 0

    def now(self) -> int:
        return self.clock.now()

    def on_list_failed(self) -> None: ...

    def on_list(self, generation: int, is_full: bool, entries: Sequence[Any]) -> None:
        self.list_count += 1
        entries_by_id = {entry["instanceId"]: entry for entry in entries}
        if is_full:
            for machine_id in [old_id for old_id in self.ready if old_id not in entries_by_id]:
                self._mark_draining(machine_id)
        for machine_id, entry in entries_by_id.items():
            if entry["lifecycle"] == "ready":
                self.ready[machine_id] = entry["startedAtMs"]
                self.drain_started_us.pop(machine_id, None)
            elif machine_id in self.ready:
                self._mark_draining(machine_id)

    def apply_list_in_steps(self, is_full: bool, entries: list[Any], received_at: int) -> Iterator[None]:
        for _ in entries:
            yield
        self.on_list(0, is_full, entries)

    def _mark_draining(self, machine_id: str) -> None:
        del self.ready[machine_id]
        self.drain_started_us[machine_id] = self.clock.now()

    def may_send(self, machine_id: str) -> bool:
        return machine_id in self.ready or (
            machine_id in self.drain_started_us
            and self.clock.now() < self.drain_started_us[machine_id] + GRACE_US
        )

    def may_have_traffic(self, machine_id: str) -> bool:
        return self.may_send(machine_id) or self.in_flight[machine_id] > 0

    def in_flight_at(self, endpoint: int) -> int:
        return sum(
            count
            for machine_id, count in self.in_flight.items()
            if endpoint_number_of(machine_id) == endpoint
        )


class FakeDiscovery:
    """A source that never passes a list by itself."""

    def start(self, sink: MemberSink, generation: int) -> None: ...
    def watch(self, is_on: bool) -> None: ...
    def fetch(self) -> None: ...


def run_at_once(steps: Iterator[None], on_ended: Callable[[Exception | None], None]) -> None:
    for _ in steps:
        pass
    on_ended(None)


@dataclass
class MaintenanceParts:
    """The maintenance of one process, on a fake engine and a fake discovery."""

    engine: FakeEngine
    source: MaintenanceSource
    controller: MaintenanceController
    api: MaintenanceApi


def assemble(
    consensus: ConsensusClient,
    state: MaintenanceState,
    clock: ManualClock,
    settings: MaintenanceSettings,
    log: Callable[[str], None],
    on_serving: Callable[[], None] = lambda: None,
) -> MaintenanceParts:
    """Build and connect the parts of one process. The source is started, the controller is not."""
    engine = FakeEngine(clock)
    source = MaintenanceSource(FakeDiscovery(), state, clock, GRACE_US, run_at_once, log)
    source.in_flight_at = engine.in_flight_at
    source.start(engine, 0)
    controller = MaintenanceController(
        consensus,
        state,
        source,
        clock,
        settings,
        slow_start_share=0.2,
        slow_start_us=SLOW_START_US,
        log=log,
        on_serving=on_serving,
    )
    return MaintenanceParts(engine, source, controller, MaintenanceApi(controller))


class Replica:
    """One process of the tier. It is also the `ConsensusClient` of its controller."""

    def __init__(self, tier: Tier, index: int, incarnation: int) -> None:
        self.tier, self.index, self.incarnation = tier, index, incarnation
        self.state = MaintenanceState()
        self.state_machines = CompositeStateMachine({SUBSYSTEM_TAG[0]: self.state})
        self.applied_count = 0
        self.is_caught_up = False
        self.is_cut_off = False
        self.can_catch_up = True  # whether `run_round` lets it apply the log
        self.is_dead = False
        self.on_leader_message: Callable[[int, int, bytes], None] = lambda peer, incarnation, data: None
        self.on_change: Callable[[], None] = lambda: None
        self.list_version = -1
        self.log_lines: list[str] = []
        self.serving_count = 0
        parts = assemble(self, self.state, tier.clock, tier.settings, self.log_lines.append, self._on_serving)
        self.engine, self.source = parts.engine, parts.source
        self.controller, self.api = parts.controller, parts.api
        self.controller.start()

    def _on_serving(self) -> None:
        self.serving_count += 1

    # --- As consensus --------------------------------------------------------------------

    @property
    def replica_id(self) -> int:
        return self.index

    @property
    def peer_count(self) -> int:
        return self.tier.replica_count

    @property
    def epoch(self) -> object:
        return self.tier.epoch

    @property
    def is_leader(self) -> bool:
        return self.index in self.tier.leaders and not self.is_dead

    @property
    def leader_id(self) -> int | None:
        return min(self.tier.leaders, default=None)

    @property
    def has_leader_contact(self) -> bool:
        return not self.is_cut_off

    def propose(self, data: bytes) -> None:
        if not self.is_leader:
            raise NotLeaderError(None)
        self.tier.on_proposal(self, data)

    def send_to_leader(self, data: bytes) -> None:
        if not self.is_cut_off:
            self.tier.messages.append((self.index, self.incarnation, data))

    def status(self) -> dict[str, Any]:
        return {"role": "leader" if self.is_leader else "follower"}

    # --- Events of a schedule -----------------------------------------------------------

    def catch_up(self, up_to: int | None = None) -> None:
        """Apply the committed entries up to the index `up_to`, by default all."""
        log = self.tier.log
        up_to = len(log) if up_to is None else up_to
        while self.applied_count < up_to:
            self.applied_count += 1
            self.state_machines.apply(self.applied_count, log[self.applied_count - 1])
        self.on_change()

    def load_snapshot(self) -> None:
        """Load a snapshot in place of entries."""
        self.state_machines.load(self.tier.state_machines.dump())
        self.applied_count = len(self.tier.log)
        self.on_change()

    def receive_list(self) -> None:
        """Get discovery's present list, unless it has that one already."""
        if self.list_version < self.tier.list_version:
            self.list_version = self.tier.list_version
            self.source.on_list(self.list_version, True, list(self.tier.listed.values()))

    def crash(self) -> None:
        self.is_dead = True
        self.controller.close()
        self.tier.leaders.discard(self.index)


class Tier:
    """All replicas, the consensus log and discovery's list. `settle` runs rounds in which messages, entries
    and lists get through.
    """

    def __init__(
        self, count: int, machines: Sequence[dict[str, Any]] = (), settings: MaintenanceSettings | None = None
    ) -> None:
        self.clock = ManualClock()
        self.settings = settings or MaintenanceSettings()
        self.replica_count = count
        self.epoch: object = 1
        self.log: list[bytes] = []
        self.state = MaintenanceState()  # with all committed entries applied
        self.state_machines = CompositeStateMachine({SUBSYSTEM_TAG[0]: self.state})
        self.messages: list[tuple[int, int, bytes]] = []
        self.listed = {entry["instanceId"]: entry for entry in machines}
        self.list_version = 0
        self.last_incarnation = 100
        self.replicas: list[Replica] = []
        self.leaders = {0}
        for index in range(count):
            self.replicas.append(self.new_replica(index))

    def new_replica(self, index: int) -> Replica:
        self.last_incarnation += 1
        return Replica(self, index, self.last_incarnation)

    def on_proposal(self, proposer: Replica, data: bytes) -> None:
        self.append(data)

    def append(self, data: bytes) -> None:
        self.log.append(data)
        self.state_machines.apply(len(self.log), data)

    def update_list(self, *entries: dict[str, Any]) -> None:
        for entry in entries:
            if entry["lifecycle"] == "gone":
                self.listed.pop(entry["instanceId"], None)
            else:
                self.listed[entry["instanceId"]] = entry
        self.list_version += 1

    @property
    def live_replicas(self) -> list[Replica]:
        return [replica for replica in self.replicas if not replica.is_dead]

    def restart(self, index: int) -> Replica:
        """Replace a replica by a new process with an empty state."""
        if not self.replicas[index].is_dead:
            self.replicas[index].crash()
        self.replicas[index] = self.new_replica(index)
        return self.replicas[index]

    def deliver_messages(self) -> None:
        messages, self.messages = self.messages, []
        for peer, incarnation, data in messages:
            assert decode_message(data) is not None
            for replica in self.live_replicas:
                if replica.is_leader and not replica.is_cut_off:
                    replica.on_leader_message(peer, incarnation, data)

    def run_round(self) -> None:
        """Run one step of each live replica, with lists, committed entries and messages delivered to those
        that are not cut off.
        """
        for replica in self.live_replicas:
            if not replica.is_cut_off:
                replica.receive_list()
            if not replica.is_cut_off and replica.can_catch_up:
                replica.catch_up()
                replica.is_caught_up = True
            replica.controller.run_step()
        self.deliver_messages()

    def settle(self, seconds: float = 3.0) -> None:
        for _ in range(int(seconds * 10)):
            self.run_round()
            self.clock.advance(SECOND // 10)
        self.run_round()

    # --- Queries ----------------------------------------------------------------------

    def state_of(self, machine_id: str) -> str:
        machine = self.state.machines.get(machine_id)
        return "" if machine is None else machine.state.value

    def states(self) -> dict[str, str]:
        return {machine_id: machine.state.value for machine_id, machine in self.state.machines.items()}


LISTED_MACHINES = [listed_entry(f"m{n}", "ab"[n % 2]) for n in range(6)]


def started_tier(count: int = 3, machines: Any = LISTED_MACHINES, **settings: Any) -> Tier:
    tier = Tier(count, machines, MaintenanceSettings(**settings))
    tier.settle(2)
    return tier


def tier_with_request(**selection: Any) -> Tier:
    """A started tier that has settled after a request was submitted at its first replica."""
    tier = started_tier()
    tier.replicas[0].api.submit_request(request_for(**selection))
    tier.settle()
    return tier


def drained_machines(tier: Tier, count: int = 1) -> list[str]:
    """The ids of the drained machines, after a check of their number."""
    machine_ids = [machine_id for machine_id, state in tier.states().items() if state == "clear"]
    assert len(machine_ids) == count, tier.states()
    return machine_ids
