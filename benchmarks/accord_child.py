"""The child processes of `accord`: nodes of one tier, connected by UDP on loopback.

`python -m benchmarks.accord_child PLAN`, a JSON object: `peers` (the addresses), `seats`, `nodes` (the
numbers of the nodes in this process) and `watch_leader`. Each input line is a command, each output line a
JSON object. Commands are `status` and, in the leader's process, `agree N`: propose N entries one after the
other, and return the time that each took, s.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from typing import Any

import uvloop
from laurelstep.consensus.assembly import build_node
from laurelstep.consensus.errors import ConsensusError
from laurelstep.consensus.node import ConsensusNode
from laurelstep.consensus.options import ConsensusSettings
from laurelstep.engine.clock import LoopClock

POLL_INTERVAL_S = 0.002


class CountingMachine:
    """A state machine that counts the applied entries and sets the event of an entry that is waited for."""

    def __init__(self) -> None:
        self.count = 0
        self.applied_events: dict[bytes, asyncio.Event] = {}

    def apply(self, index: int, data: bytes) -> None:
        self.count += 1
        if (event := self.applied_events.get(data)) is not None:
            event.set()

    def dump(self) -> bytes:
        return self.count.to_bytes(8)

    def load(self, raw: bytes) -> None:
        self.count = int.from_bytes(raw)


class NodeHost:
    def __init__(self, peers: list[str], seats: int, node_numbers: list[int]) -> None:
        loop = asyncio.get_running_loop()
        self.machines = {me: CountingMachine() for me in node_numbers}
        self.nodes: dict[int, ConsensusNode] = {}
        self.elected_at: float | None = None  # when a node of this process was last seen to become leader
        self.agreed_at: float | None = None  # when the first entry of this leader was agreed
        self.proposal_count = 0
        for me in node_numbers:
            settings = ConsensusSettings(tuple(peers), peers[me], me, seats=seats)
            self.nodes[me] = build_node(settings, self.machines[me], loop, LoopClock(loop), self.log)

    def log(self, line: str) -> None:
        sys.stderr.write(line + "\n")

    def leading_node(self) -> int | None:
        return next((me for me, node in self.nodes.items() if node.is_leader), None)

    async def watch_leader(self) -> None:
        """Record when a node of this process becomes leader, and when its first entry is agreed."""
        last_leader = None
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if (me := self.leading_node()) != last_leader:
                last_leader, self.elected_at, self.agreed_at = me, time.monotonic(), None
                if me is not None:
                    with contextlib.suppress(TimeoutError):  # it is no longer the leader
                        await self.propose_and_wait(me)
                        self.agreed_at = time.monotonic()

    async def propose_and_wait(self, me: int) -> float:
        """Propose an entry. Returns the time until this node has applied it, s."""
        self.proposal_count += 1
        data = b"%d.%d" % (self.nodes[me].incarnation, self.proposal_count)
        event = self.machines[me].applied_events[data] = asyncio.Event()
        began = time.perf_counter()
        try:
            while not event.is_set():
                try:
                    self.nodes[me].propose(data)
                except ConsensusError:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
                await asyncio.wait_for(event.wait(), 5.0)
            return time.perf_counter() - began
        finally:
            del self.machines[me].applied_events[data]

    def status(self) -> dict[str, Any]:
        me = self.leading_node()
        core = None if me is None else self.nodes[me].core
        return {
            "caught_up": all(node.is_caught_up for node in self.nodes.values()),
            "leader": me,
            "voters": 0 if core is None else len(core.members),
            "elected_at": self.elected_at,
            "agreed_at": self.agreed_at,
            "links": {str(me): node.status().get("link", {}) for me, node in self.nodes.items()},
        }

    async def execute(self, line: str) -> dict[str, Any]:
        verb, _, argument = line.partition(" ")
        if verb == "status":
            return self.status()
        me = self.leading_node()
        assert verb == "agree" and me is not None
        return {"took_s": [await self.propose_and_wait(me) for _ in range(int(argument))]}


async def main(plan: dict[str, Any]) -> None:
    loop = asyncio.get_running_loop()
    host = NodeHost(plan["peers"], plan["seats"], plan["nodes"])
    for node in host.nodes.values():
        await node.start()
    watching = loop.create_task(host.watch_leader()) if plan["watch_leader"] else None
    print("up", flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        print(json.dumps(await host.execute(line.strip())), flush=True)
    if watching is not None:
        watching.cancel()


if __name__ == "__main__":
    uvloop.run(main(json.loads(sys.argv[1])))
