"""A tier of replicas with maintenance, without sockets: a log in perfect order, and replicas that may be
behind, cut off, late or dead. Controllers, sources and states are real; engine and discovery are fakes."""

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
COLD_US = 2 * SECOND
NUMBERS: dict[str, int] = {}


def number_of(id: str) -> int:
    if id not in NUMBERS:
        NUMBERS[id] = endpoint_number(id)
    return NUMBERS[id]


def listed_entry(
    id: str, zone: str = "a", phase: str = "ready", started_ms: int = 1000, **more: Any
) -> dict[str, Any]:
    return {
        "instanceId": id, "hostPort": f"127.0.0.1:{9000 + number_of(id) % 999}", "zone": zone,
        "machineType": "small", "cell": 1, "lifecycle": phase, "weight": 1.0,
        "startedAtMs": started_ms, **more,
    }  # fmt: skip


def request_for(
    name: str = "w", out: int = 1, per: str = "tier", share: float = 0.0, **more: Any
) -> MaintenanceRequest:
    return MaintenanceRequest(name, DisruptionLimits(out, per, share), **more)  # type: ignore[arg-type]


class FakeEngine:
    """The engine's list, and what is out at each machine."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.ready: dict[str, int] = {}  # with the start that was told
        self.left: dict[str, int] = {}
        self.out: Counter[str] = Counter()
        self.lists = 0

    def now(self) -> int:
        return self.clock.now()

    def on_list_failed(self) -> None: ...

    def on_list(self, version: int, whole: bool, entries: Sequence[Any]) -> None:
        self.lists += 1
        named = {raw["instanceId"]: raw for raw in entries}
        if whole:
            for id in [id for id in self.ready if id not in named]:
                self._leave(id)
        for id, raw in named.items():
            if raw["lifecycle"] == "ready":
                self.ready[id] = raw["startedAtMs"]
                self.left.pop(id, None)
            elif id in self.ready:
                self._leave(id)

    def apply_list_in_steps(self, whole: bool, entries: list[Any], told_at: int) -> Iterator[None]:
        for _ in entries:
            yield
        self.on_list(0, whole, entries)

    def _leave(self, id: str) -> None:
        del self.ready[id]
        self.left[id] = self.clock.now()

    def may_send(self, id: str) -> bool:
        return id in self.ready or (id in self.left and self.clock.now() < self.left[id] + GRACE_US)

    def is_out(self, id: str) -> bool:
        return self.may_send(id) or self.out[id] > 0

    def in_flight_at(self, endpoint: int) -> int:
        return sum(count for id, count in self.out.items() if number_of(id) == endpoint)


class FakeDiscovery:
    """Discovery, as the source wraps it."""

    def start(self, sink: MemberSink, generation: int) -> None: ...
    def watch(self, on: bool) -> None: ...
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
    """Wired, with its source started; the controller is not."""
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
        slow_start_us=COLD_US,
        log=log,
        on_serving=on_serving,
    )
    return MaintenanceParts(engine, source, controller, MaintenanceApi(controller))


class Replica:
    """One process of the tier, from one start on. It is its controller's consensus."""

    def __init__(self, tier: Tier, me: int, incarnation: int) -> None:
        self.tier, self.me, self.incarnation = tier, me, incarnation
        self.state = MaintenanceState()
        self.multiplexer = CompositeStateMachine({SUBSYSTEM_TAG[0]: self.state})
        self.applied = 0
        self.is_caught_up = False
        self.is_cut_off = False
        self.can_learn = True  # it can ask those who decide
        self.is_dead = False
        self.on_leader_message: Callable[[int, int, bytes], None] = lambda peer, incarnation, data: None
        self.on_change: Callable[[], None] = lambda: None
        self.list_version = -1
        self.logged: list[str] = []
        self.serving_count = 0
        parts = assemble(self, self.state, tier.clock, tier.settings, self.logged.append, self._on_serving)
        self.engine, self.source = parts.engine, parts.source
        self.controller, self.api = parts.controller, parts.api
        self.controller.start()

    def _on_serving(self) -> None:
        self.serving_count += 1

    # --- As consensus --------------------------------------------------------------------

    @property
    def replica_id(self) -> int:
        return self.me

    @property
    def peer_count(self) -> int:
        return self.tier.count

    @property
    def epoch(self) -> object:
        return self.tier.epoch

    @property
    def is_leader(self) -> bool:
        return self.me in self.tier.leaders and not self.is_dead

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
            self.tier.messages.append((self.me, self.incarnation, data))

    def status(self) -> dict[str, Any]:
        return {"role": "leader" if self.is_leader else "follower"}

    # --- What happens to it -------------------------------------------------------------

    def catch_up(self, upto: int | None = None) -> None:
        """Apply what is agreed."""
        log = self.tier.log
        upto = len(log) if upto is None else upto
        while self.applied < upto:
            self.applied += 1
            self.multiplexer.apply(self.applied, log[self.applied - 1])
        self.on_change()

    def load_snapshot(self) -> None:
        """Get a snapshot in place of entries."""
        self.multiplexer.load(self.tier.multiplexer.dump())
        self.applied = len(self.tier.log)
        self.on_change()

    def receive_list(self) -> None:
        """Discovery's list, as it is now."""
        if self.list_version < self.tier.list_version:
            self.list_version = self.tier.list_version
            self.source.on_list(self.list_version, True, list(self.tier.list.values()))

    def crash(self) -> None:
        self.is_dead = True
        self.controller.close()
        self.tier.leaders.discard(self.me)


class Tier:
    """All replicas, the record and discovery. `settle` lets everything happen that is due."""

    def __init__(
        self, count: int, machines: Sequence[dict[str, Any]] = (), settings: MaintenanceSettings | None = None
    ) -> None:
        self.clock = ManualClock()
        self.settings = settings or MaintenanceSettings()
        self.count = count
        self.epoch: object = 1
        self.log: list[bytes] = []
        self.state = MaintenanceState()  # all that is agreed, applied
        self.multiplexer = CompositeStateMachine({SUBSYSTEM_TAG[0]: self.state})
        self.messages: list[tuple[int, int, bytes]] = []
        self.list = {raw["instanceId"]: raw for raw in machines}
        self.list_version = 0
        self.incarnations = 100
        self.replicas: list[Replica] = []
        self.leaders = {0}
        for me in range(count):
            self.replicas.append(self.new_replica(me))

    def new_replica(self, me: int) -> Replica:
        self.incarnations += 1
        return Replica(self, me, self.incarnations)

    def on_proposal(self, by: Replica, data: bytes) -> None:
        self.append(data)

    def append(self, data: bytes) -> None:
        self.log.append(data)
        self.multiplexer.apply(len(self.log), data)

    def update_list(self, *raws: dict[str, Any]) -> None:
        for raw in raws:
            if raw["lifecycle"] == "gone":
                self.list.pop(raw["instanceId"], None)
            else:
                self.list[raw["instanceId"]] = raw
        self.list_version += 1

    @property
    def live_replicas(self) -> list[Replica]:
        return [one for one in self.replicas if not one.is_dead]

    def restart(self, me: int) -> Replica:
        """From nothing."""
        if not self.replicas[me].is_dead:
            self.replicas[me].crash()
        self.replicas[me] = self.new_replica(me)
        return self.replicas[me]

    def deliver_messages(self) -> None:
        messages, self.messages = self.messages, []
        for peer, incarnation, data in messages:
            assert decode_message(data) is not None
            for one in self.live_replicas:
                if one.is_leader and not one.is_cut_off:
                    one.on_leader_message(peer, incarnation, data)

    def run_round(self) -> None:
        """What is agreed and told gets where it can; every replica that is alive looks."""
        for one in self.live_replicas:
            if not one.is_cut_off:
                one.receive_list()
            if not one.is_cut_off and one.can_learn:
                one.catch_up()
                one.is_caught_up = True
            one.controller.run_step()
        self.deliver_messages()

    def settle(self, seconds: float = 3.0) -> None:
        for _ in range(int(seconds * 10)):
            self.run_round()
            self.clock.advance(SECOND // 10)
        self.run_round()

    # --- What is asked ----------------------------------------------------------------

    def state_of(self, id: str) -> str:
        machine = self.state.machines.get(id)
        return "" if machine is None else machine.state.value

    def states(self) -> dict[str, str]:
        return {id: one.state.value for id, one in self.state.machines.items()}


LISTED = [listed_entry(f"m{n}", "ab"[n % 2]) for n in range(6)]


def started_tier(count: int = 3, machines: Any = LISTED, **settings: Any) -> Tier:
    one = Tier(count, machines, MaintenanceSettings(**settings))
    one.settle(2)
    return one


def tier_with_request(**selection: Any) -> Tier:
    """A started tier, to whose first replica a request was submitted; what can come of it has come."""
    one = started_tier()
    one.replicas[0].api.submit_request(request_for(**selection))
    one.settle()
    return one


def drained_machines(one: Tier, count: int = 1) -> list[str]:
    """The machines that are clear."""
    found = [id for id, state in one.states().items() if state == "clear"]
    assert len(found) == count, one.states()
    return found
