"""A node whose core, store and clock are controlled by the test, with in-memory links to its peers."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, ClassVar

from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.effects import StepEffects
from laurelstep.consensus.epoch import NO_EPOCH, ClusterEpoch
from laurelstep.consensus.links.memory import LATENCY_US, MemoryLink, MemoryNetwork
from laurelstep.consensus.node import ConsensusNode
from laurelstep.consensus.ports import Link, Store
from laurelstep.consensus.state import ReplicaRole
from laurelstep.consensus.stores.none import NoStore

from tests.fakes import ManualClock


def ignore_leader_message(peer: int, incarnation: int, data: bytes) -> None:
    """Drop a leader message: the default callback."""


class RecordingStateMachine:
    """A state machine that records the entries it applied and the dumps it loaded."""

    def __init__(self) -> None:
        self.applied: list[bytes] = []
        self.loaded: list[bytes] = []

    def apply(self, index: int, data: bytes) -> None:
        self.applied.append(data)

    def dump(self) -> bytes:
        return b"".join(self.applied)

    def load(self, raw: bytes) -> None:
        self.loaded.append(raw)


class ScriptedCore(ConsensusCore):
    """A core without logic. `answers` holds the effects or the error of its steps, by step name."""

    role = ReplicaRole.FOLLOWER
    leader_id = 2
    term = 3
    epoch: ClusterEpoch = NO_EPOCH
    committed_index = applied_index = 0
    is_caught_up = True
    incarnation = 0
    counters: ClassVar[Counter[str]] = Counter(foreign=0)
    on_leader_message: Callable[[int, int, bytes], None] = ignore_leader_message

    def __init__(self, incarnation: int, records: Mapping[bytes, bytes]) -> None:
        self.due_us = 1 << 60
        self.incarnation = int.from_bytes(records[b"i"]) if records else incarnation
        self.records = dict(records) or {b"i": incarnation.to_bytes(8)}
        self.steps: list[tuple[Any, ...]] = []
        self.answers: dict[str, StepEffects | Exception] = {}
        self.is_retired = False

    def _step(self, *step: Any) -> StepEffects:
        self.steps.append(step)
        effects = self.answers.get(step[0], StepEffects())
        if isinstance(effects, Exception):
            raise effects
        self.records.update({key: value for key, value in effects.persist.items() if value is not None})
        return effects

    def start(self, now_us: int) -> StepEffects:
        # Like a real core with a durable store, persist the identity before sending anything.
        return StepEffects(persist=dict(self.records), outgoing=[(1, b"hello")])

    def receive(self, now_us: int, peer: int, raw: bytes) -> StepEffects:
        return self._step("receive", peer, raw)

    def tick(self, now_us: int) -> StepEffects:
        self.due_us = now_us + 1_000_000
        return self._step("tick", now_us)

    def propose(self, now_us: int, data: bytes) -> StepEffects:
        return self._step("propose", data)

    def send_to_leader(self, now_us: int, data: bytes, epoch: ClusterEpoch | None = None) -> StepEffects:
        return self._step("send_to_leader", data, epoch)

    def has_leader_contact(self, now_us: int) -> bool:
        return True

    def retire(self) -> dict[bytes, bytes]:
        self.is_retired = True
        return dict(self.records)


class ControlledStore:
    """A durable store whose writes complete when the test calls `finish_write`."""

    is_durable = True

    def __init__(self, records: dict[bytes, bytes] | None = None) -> None:
        self.records = records or {}
        self.writes: list[tuple[Mapping[bytes, bytes | None], asyncio.Future[None]]] = []
        self.is_closed = False

    async def load(self) -> dict[bytes, bytes]:
        return dict(self.records)

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.writes.append((dict(changes), done))
        return done

    async def finish_write(self, error: Exception | None = None) -> None:
        _, done = self.writes.pop(0)
        if error is None:
            done.set_result(None)
        else:
            done.set_exception(error)
        await run_ready_callbacks()

    async def close(self) -> None:
        self.is_closed = True


async def run_ready_callbacks() -> None:
    """Let the event loop run the callbacks that are ready, and those that they schedule."""
    for _ in range(3):
        await asyncio.sleep(0)


class NodeHarness:
    """One node as peer 0 of three. Peers 1 and 2 are plain links, whose datagrams are recorded."""

    def __init__(self, store: Store | None = None) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock, 3)
        self.store = store or NoStore()
        self.state_machine = RecordingStateMachine()
        self.cores: list[ScriptedCore] = []
        self.log_lines: list[str] = []
        self.received: list[tuple[int, bytes]] = []
        self.change_count = 0
        self.peers = [self.network.link(n) for n in (1, 2)]
        for peer in self.peers:
            peer.open(lambda sender, data, receiver=peer.replica_id: self.received.append((receiver, data)))  # type: ignore[misc]
        self.node = self.make_node()

    def make_node(self, link: Callable[[], Link] | None = None) -> ConsensusNode:
        def make_core(incarnation: int, records: Mapping[bytes, bytes]) -> ConsensusCore:
            self.cores.append(ScriptedCore(incarnation, records))
            return self.cores[-1]

        async def open_store() -> Store:
            return self.store

        def make_link() -> MemoryLink:
            return self.network.link(0)

        node = ConsensusNode(
            make_core, link or make_link, open_store, self.state_machine, self.clock, self.log_lines.append
        )
        node.on_change = self.on_change
        return node

    def on_change(self) -> None:
        self.change_count += 1

    @property
    def core(self) -> ScriptedCore:
        return self.cores[-1]

    def take_delivered(self) -> list[tuple[int, bytes]]:
        """Deliver all datagrams in flight, and return those that the peers received since the last call."""
        self.clock.advance(LATENCY_US)
        received, self.received = self.received, []
        return received

    def receive(self, data: bytes, peer: int = 1) -> None:
        """Deliver a datagram from a peer to the node immediately."""
        assert self.node.link is not None
        self.network.deliver(peer, 0, data)


# Effects of a step that sends a datagram and changes the state.
SEND_AND_NOTIFY = StepEffects(outgoing=[(1, b"said")], state_changed=True)
