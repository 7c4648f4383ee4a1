"""Nodes of one tier over real sockets, with the real core."""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable
from pathlib import Path

import pytest

from laurelstep.consensus import messages
from laurelstep.consensus.assembly import build_node
from laurelstep.consensus.errors import BusyError, NotLeaderError
from laurelstep.consensus.links.udp import UdpLink
from laurelstep.consensus.node import ConsensusNode, NodeStage
from laurelstep.consensus.options import ConsensusSettings
from laurelstep.consensus.stores.embedded import EmbeddedStore
from laurelstep.engine.clock import LoopClock
from tests.consensus_nodes import (
    RecordingStateMachine,
)
from tests.datagrams import ReceivedDatagrams, free_udp_ports
from tests.sockets import TIMEOUT_S, run

FAST = {"heartbeat_us": 20_000, "election_us": 100_000}


class Tier:
    """Nodes of one tier in this process, each on sockets of its own."""

    def __init__(self, count: int, seats: int, folder: Path | None = None, unix: bool = False) -> None:
        self.loop = asyncio.get_running_loop()
        assert folder is not None or not unix
        self.peers = tuple(
            str(folder / f"peer-{n}") if unix and folder is not None else f"127.0.0.1:{port}"
            for n, port in enumerate(free_udp_ports(count))
        )
        self.folder = folder
        self.seats = seats
        self.unix = unix
        self.lines: list[str] = []
        self.nodes: dict[int, ConsensusNode] = {}
        self.records: dict[int, RecordingStateMachine] = {}
        self.changed = asyncio.Event()

    async def start(self, me: int, durable: bool = False) -> ConsensusNode:
        settings = ConsensusSettings(
            self.peers,
            self.peers[me],
            me,
            "unix" if self.unix else "udp",
            self.seats,
            str(self.folder / f"store-{me}") if durable and self.folder is not None else "",
            **FAST,
        )
        record = RecordingStateMachine()
        node = build_node(settings, record, self.loop, LoopClock(self.loop), self.lines.append)
        node.on_change = self.changed.set
        self.nodes[me], self.records[me] = node, record
        await node.start()
        return node

    async def until(self, done: Callable[[], bool]) -> None:
        """Looks after each change, and now and then: not all is notified."""
        async with asyncio.timeout(TIMEOUT_S):
            while not done():
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), 0.02)
                except TimeoutError:
                    continue

    async def all_know(self) -> ConsensusNode:
        """Who leads, once all know the record."""
        await self.until(
            lambda: all(one.is_caught_up for one in self.nodes.values()) and self._leader() is not None
        )
        found = self._leader()
        assert found is not None
        return found

    def _leader(self) -> ConsensusNode | None:
        return next((one for one in self.nodes.values() if one.is_leader), None)

    async def agree(self, data: bytes) -> None:
        """The entry is applied by all that take part."""
        while True:
            node = await self.all_know()
            try:
                node.propose(data)
                break
            except (BusyError, NotLeaderError):
                continue
        await self.until(lambda: all(data in self.records[me].applied for me in self.nodes))

    async def stop(self, *numbers: int) -> None:
        for me in numbers or tuple(self.nodes):
            await self.nodes.pop(me).close()
            del self.records[me]


@pytest.mark.parametrize("unix", [False, True])
def test_processes_replicate_over_sockets(unix: bool, tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(4, 3, tmp_path, unix)
        for me in range(4):
            await tier.start(me)
        for n in range(5):
            await tier.agree(b"entry %d" % n)
        orders = {tuple(one.applied) for one in tier.records.values()}
        assert len(orders) == 1
        status = tier.nodes[3].status()
        assert status["role"] == "learner" and status["known"] and status["link"]["received"]
        # The leader gets a message of a learner.
        messages_received: list[tuple[int, int, bytes]] = []
        leader = await tier.all_know()
        leader.on_leader_message = lambda *one: (messages_received.append(one), tier.changed.set())[0]  # type: ignore[func-returns-value]
        tier.nodes[3].send_to_leader(b"a message")
        await tier.until(lambda: bool(messages_received))
        assert messages_received[0] == (3, tier.nodes[3].incarnation, b"a message")
        await tier.stop()
        assert not tier.lines

    run(main())


def test_a_process_that_restarts_with_an_empty_state_is_another_and_catches_up() -> None:
    async def main() -> None:
        tier = Tier(3, 3)
        for me in range(3):
            await tier.start(me)
        await tier.agree(b"before")
        first = tier.nodes[1].incarnation
        await tier.stop(1)
        await tier.agree(b"meanwhile")
        await tier.start(1)
        await tier.agree(b"after")
        assert tier.nodes[1].incarnation != first
        assert tier.records[1].applied[-1] == b"after" and tier.nodes[1].is_caught_up
        await tier.stop()

    run(main())


def test_with_durable_stores_all_restart_as_the_same_and_nothing_is_lost(tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(3, 3, tmp_path)
        for me in range(3):
            await tier.start(me, durable=True)
        await tier.agree(b"before")
        first = {me: node.incarnation for me, node in tier.nodes.items()}
        epoch = tier.nodes[0].epoch
        await tier.stop()
        for me in range(3):
            await tier.start(me, durable=True)
        await tier.agree(b"after")
        assert {me: node.incarnation for me, node in tier.nodes.items()} == first
        assert tier.nodes[0].epoch == epoch and tier.nodes[0].status()["lasting"]
        assert all(b"before" in one.applied for one in tier.records.values())
        await tier.stop()
        assert not tier.lines

    run(main())


def test_a_store_that_fails_in_service_does_not_stop_the_others(tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(3, 3, tmp_path)
        for me in range(3):
            await tier.start(me, durable=True)
        await tier.agree(b"before")
        failing = tier.nodes[2].store
        assert isinstance(failing, EmbeddedStore)

        def full(name: str, offset: int, data: bytes) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

        failing.store.disk.write = full  # type: ignore[method-assign]
        leader = next(node for node in tier.nodes.values() if node.is_leader)
        leader.propose(b"one it can't keep")
        await tier.until(lambda: tier.nodes[2].stage is NodeStage.FAILED)
        assert sum("takes no part any more" in line for line in tier.lines) == 1
        assert not tier.nodes[2].is_caught_up and tier.nodes[2].status()["failure"]
        await tier.stop(2)
        await tier.agree(b"after")
        await tier.stop()

    run(main())


def test_garbage_and_future_versions_are_dropped_counted_and_harm_nothing() -> None:
    async def main() -> None:
        tier = Tier(3, 3)
        for me in range(3):
            await tier.start(me)
        await tier.agree(b"before")
        await tier.stop(2)
        host, port = "127.0.0.1", [int(one.rpartition(":")[2]) for one in tier.peers]
        peer = UdpLink(tier.loop, (host, port[2]), [(host, one) for one in port], 2)
        peer.open(ReceivedDatagrams())
        draw = random.Random(3)
        good = messages.encode(messages.IdentityRequest(7))
        junk = [
            b"",
            b"\x00",
            good[:-1],
            good + b"x",
            *(draw.randbytes(draw.randint(1, 256)) for _ in range(200)),
        ]
        junk = [bytes((messages.PROTOCOL_VERSION,)) + one[1:] for one in junk]
        future = [bytes((messages.PROTOCOL_VERSION + 1,)) + good[1:], bytes((255,)) + bytes(255)]
        for number in (0, 1):
            for one in (*junk, *future):
                peer.send(number, one)
                await asyncio.sleep(0)
        node = tier.nodes[0]

        def counted() -> bool:
            found = node.status()["counters"]
            return bool(found["future"] >= len(future) and found["unreadable"] >= 4)

        await tier.until(counted)
        peer.close()
        await tier.agree(b"after")
        assert not tier.lines
        await tier.stop()

    run(main())
