"""A tier of nodes with the real core, connected by real sockets."""

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

FAST_TIMING = {"heartbeat_us": 20_000, "election_us": 100_000}


class Tier:
    """The nodes of one tier in the test process, each with sockets of its own."""

    def __init__(
        self, peer_count: int, voter_count: int, folder: Path | None = None, uses_unix_sockets: bool = False
    ) -> None:
        self.loop = asyncio.get_running_loop()
        assert folder is not None or not uses_unix_sockets
        self.peers = tuple(
            str(folder / f"peer-{number}")
            if uses_unix_sockets and folder is not None
            else f"127.0.0.1:{port}"
            for number, port in enumerate(free_udp_ports(peer_count))
        )
        self.folder = folder
        self.voter_count = voter_count
        self.uses_unix_sockets = uses_unix_sockets
        self.log_lines: list[str] = []
        self.nodes: dict[int, ConsensusNode] = {}
        self.state_machines: dict[int, RecordingStateMachine] = {}
        self.changed = asyncio.Event()

    async def start(self, replica_id: int, durable: bool = False) -> ConsensusNode:
        settings = ConsensusSettings(
            self.peers,
            self.peers[replica_id],
            replica_id,
            "unix" if self.uses_unix_sockets else "udp",
            self.voter_count,
            str(self.folder / f"store-{replica_id}") if durable and self.folder is not None else "",
            **FAST_TIMING,
        )
        state_machine = RecordingStateMachine()
        node = build_node(settings, state_machine, self.loop, LoopClock(self.loop), self.log_lines.append)
        node.on_change = self.changed.set
        self.nodes[replica_id], self.state_machines[replica_id] = node, state_machine
        await node.start()
        return node

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition.

        Checked after each change, and periodically as not every change is notified.
        """
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not condition():
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), 0.02)
                except TimeoutError:
                    continue

    async def wait_for_leader(self) -> ConsensusNode:
        """Wait until all nodes are caught up and one leads, and return the leader."""
        await self.wait_until(
            lambda: all(node.is_caught_up for node in self.nodes.values()) and self._find_leader() is not None
        )
        leader = self._find_leader()
        assert leader is not None
        return leader

    def _find_leader(self) -> ConsensusNode | None:
        return next((node for node in self.nodes.values() if node.is_leader), None)

    async def replicate(self, data: bytes) -> None:
        """Propose an entry, and wait until all nodes have applied it."""
        while True:
            node = await self.wait_for_leader()
            try:
                node.propose(data)
                break
            except (BusyError, NotLeaderError):
                continue
        await self.wait_until(
            lambda: all(data in self.state_machines[replica_id].applied for replica_id in self.nodes)
        )

    async def stop(self, *replica_ids: int) -> None:
        for replica_id in replica_ids or tuple(self.nodes):
            await self.nodes.pop(replica_id).close()
            del self.state_machines[replica_id]
