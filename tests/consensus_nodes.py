"""A node whose core, store and clock do what a test says, and its peers in memory."""

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
    """Nobody listens to leader messages yet."""


class RecordingStateMachine:
    """A state machine that remembers what it applied and loaded."""

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
    """Does what a test says: `answers` are the effects of the steps to come, by their names."""

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
        self.retired = False

    def _step(self, *step: Any) -> StepEffects:
        self.steps.append(step)
        answer = self.answers.get(step[0], StepEffects())
        if isinstance(answer, Exception):
            raise answer
        self.records.update({key: value for key, value in answer.persist.items() if value is not None})
        return answer

    def start(self, now_us: int) -> StepEffects:
        # As a core must that has a durable store: who it is comes before anything it sends.
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
        self.retired = True
        return dict(self.records)


class ControlledStore:
    """A durable one whose writes end when a test says."""

    is_durable = True

    def __init__(self, found: dict[bytes, bytes] | None = None) -> None:
        self.found = found or {}
        self.writes: list[tuple[Mapping[bytes, bytes | None], asyncio.Future[None]]] = []
        self.closed = False

    async def load(self) -> dict[bytes, bytes]:
        return dict(self.found)

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.writes.append((dict(changes), done))
        return done

    async def end(self, error: Exception | None = None) -> None:
        _, done = self.writes.pop(0)
        if error is None:
            done.set_result(None)
        else:
            done.set_exception(error)
        await run_ready_callbacks()

    async def close(self) -> None:
        self.closed = True


async def run_ready_callbacks() -> None:
    """What is ready on the loop has run."""
    for _ in range(3):
        await asyncio.sleep(0)


class NodeHarness:
    """One node as peer 0 of three; peers 1 and 2 are links of the test's own."""

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
            peer.open(lambda number, data, me=peer.replica_id: self.received.append((me, data)))  # type: ignore[misc]
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
        """What has come to the peers by now."""
        self.clock.advance(LATENCY_US)
        found, self.received = self.received, []
        return found

    def receive(self, data: bytes, peer: int = 1) -> None:
        """A datagram of a peer's, at once."""
        assert self.node.link is not None
        self.network.deliver(peer, 0, data)


SEND_AND_NOTIFY = StepEffects(outgoing=[(1, b"said")], state_changed=True)
