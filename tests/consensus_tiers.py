"""Tiers of nodes over real sockets, with the real core."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from laurelstep.consensus.assembly import build_node
from laurelstep.consensus.errors import BusyError, NotLeaderError
from laurelstep.consensus.node import ConsensusNode
from laurelstep.consensus.options import ConsensusSettings
from laurelstep.engine.clock import LoopClock

from tests.consensus_nodes import RecordingStateMachine
from tests.datagrams import free_udp_ports
from tests.sockets import TEST_TIMEOUT_S

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
        self.log_lines: list[str] = []
        self.nodes: dict[int, ConsensusNode] = {}
        self.state_machines: dict[int, RecordingStateMachine] = {}
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
        node = build_node(settings, record, self.loop, LoopClock(self.loop), self.log_lines.append)
        node.on_change = self.changed.set
        self.nodes[me], self.state_machines[me] = node, record
        await node.start()
        return node

    async def wait_until(self, done: Callable[[], bool]) -> None:
        """Looks after each change, and now and then: not all is notified."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not done():
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), 0.02)
                except TimeoutError:
                    continue

    async def wait_for_leader(self) -> ConsensusNode:
        """Who leads, once all know the record."""
        await self.wait_until(
            lambda: all(one.is_caught_up for one in self.nodes.values()) and self._leader() is not None
        )
        found = self._leader()
        assert found is not None
        return found

    def _leader(self) -> ConsensusNode | None:
        return next((one for one in self.nodes.values() if one.is_leader), None)

    async def replicate(self, data: bytes) -> None:
        """The entry is applied by all that take part."""
        while True:
            node = await self.wait_for_leader()
            try:
                node.propose(data)
                break
            except (BusyError, NotLeaderError):
                continue
        await self.wait_until(lambda: all(data in self.state_machines[me].applied for me in self.nodes))

    async def stop(self, *numbers: int) -> None:
        for me in numbers or tuple(self.nodes):
            await self.nodes.pop(me).close()
            del self.state_machines[me]
