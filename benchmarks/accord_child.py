"""The processes of `accord`: nodes of one tier over UDP on loopback.

`python -m benchmarks.accord_child PLAN`, a JSON object: `peers` (their addresses), `seats`, and `here`, the
numbers that this process plays. Each line that comes is a command, each answer one JSON object: `status`;
`agree N`, in the process that leads: N entries one after the other, and how long each took.
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

LOOK_S = 0.002


class Record:
    """A machine that knows what was applied last, and who waits for it."""

    def __init__(self) -> None:
        self.count = 0
        self.awaited: dict[bytes, asyncio.Event] = {}

    def apply(self, index: int, data: bytes) -> None:
        self.count += 1
        if (event := self.awaited.get(data)) is not None:
            event.set()

    def dump(self) -> bytes:
        return self.count.to_bytes(8)

    def load(self, raw: bytes) -> None:
        self.count = int.from_bytes(raw)


class Host:
    def __init__(self, peers: list[str], seats: int, here: list[int]) -> None:
        loop = asyncio.get_running_loop()
        self.records = {me: Record() for me in here}
        self.nodes: dict[int, ConsensusNode] = {}
        self.led_at: float | None = None  # when a node here began to lead, as last seen
        self.agreed_at: float | None = None  # when its first entry was agreed
        self.asked = 0
        for me in here:
            settings = ConsensusSettings(tuple(peers), peers[me], me, seats=seats)
            self.nodes[me] = build_node(settings, self.records[me], loop, LoopClock(loop), self.log)

    def log(self, line: str) -> None:
        sys.stderr.write(line + "\n")

    def leading(self) -> int | None:
        return next((me for me, node in self.nodes.items() if node.is_leader), None)

    async def watch(self) -> None:
        """Notes when a node here begins to lead, and when it has got an entry agreed."""
        led = None
        while True:
            await asyncio.sleep(LOOK_S)
            if (me := self.leading()) != led:
                led, self.led_at, self.agreed_at = me, time.monotonic(), None
                if me is not None:
                    with contextlib.suppress(TimeoutError):  # it leads no more
                        await self.agree_one(me)
                        self.agreed_at = time.monotonic()

    async def agree_one(self, me: int) -> float:
        """How long until an entry is applied here, s."""
        self.asked += 1
        data = b"%d.%d" % (self.nodes[me].incarnation, self.asked)
        event = self.records[me].awaited[data] = asyncio.Event()
        began = time.perf_counter()
        try:
            while not event.is_set():
                try:
                    self.nodes[me].propose(data)
                except ConsensusError:
                    await asyncio.sleep(LOOK_S)
                    continue
                await asyncio.wait_for(event.wait(), 5.0)
            return time.perf_counter() - began
        finally:
            del self.records[me].awaited[data]

    def status(self) -> dict[str, Any]:
        me = self.leading()
        core = None if me is None else self.nodes[me].core
        return {
            "known": all(node.is_caught_up for node in self.nodes.values()),
            "leading": me,
            "voters": 0 if core is None else len(core.members),
            "led_at": self.led_at,
            "agreed_at": self.agreed_at,
            "links": {str(me): node.status().get("link", {}) for me, node in self.nodes.items()},
        }

    async def answer(self, line: str) -> dict[str, Any]:
        word, _, rest = line.partition(" ")
        if word == "status":
            return self.status()
        me = self.leading()
        assert word == "agree" and me is not None
        return {"took_s": [await self.agree_one(me) for _ in range(int(rest))]}


async def main(plan: dict[str, Any]) -> None:
    loop = asyncio.get_running_loop()
    host = Host(plan["peers"], plan["seats"], plan["here"])
    for node in host.nodes.values():
        await node.start()
    watching = loop.create_task(host.watch()) if plan["watch"] else None
    print("up", flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        print(json.dumps(await host.answer(line.strip())), flush=True)
    if watching is not None:
        watching.cancel()


if __name__ == "__main__":
    uvloop.run(main(json.loads(sys.argv[1])))
