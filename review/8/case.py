"""Case 8: a kept write of a keyed class runs in two pods. See claim.txt."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-ins-2"))

from rig import Client, Discovery, Message, Node, Rig, encode_answer, free_port, main

PODS, NODES_PER_POD = 5, 2
WRITES = 24
WINDOW_S = 10.0
# A fifth of the nodes loses its answers, for 6 s from the moment at which the nodes are listed.
BAD_NODES = ("n-0", "n-2")
TROUBLE_S = 6.0

OPERATOR = """
[deployment]
listen = "127.0.0.1:{listen}"
discovery = "127.0.0.1:{discovery}"

[[deployment.classes]]
name = "upload"
effect = "keyed"
scope = "cell"
aim_ms = 1000
deadline_ms = 2000
window_ms = 10000

[outbox]
store_path = "{folder}/outbox"
edge = "studio-1"
cut_ms = 500
back_ms = 200

[[outbox.classes]]
name = "upload"
keep = "keyed"
"""


class Pods:
    """The nodes' work: the nodes of one pod drop a repeat of a key for 10 s."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.remembered: dict[tuple[int, str], float] = {}
        self.runs: dict[str, list[str]] = {}
        self.trouble_until = 0.0

    async def serve(self, node: Node, request: Message) -> bytes | None:
        """Run an upload, or drop it as a repeat; then answer, unless the answer gets lost."""
        key = request.headers["idempotency-key"]
        await asyncio.sleep(0.02)
        now = time.monotonic()
        ran_at = self.remembered.get((node.cell, key))
        if ran_at is not None and now - ran_at < WINDOW_S:
            self.rig.note(f"{node.name} (pod {node.cell}): {key}: a repeat, dropped")
        else:
            self.remembered[node.cell, key] = now
            self.runs.setdefault(key, []).append(f"{node.name} in pod {node.cell}")
            self.rig.note(f"{node.name} (pod {node.cell}): {key}: RUN")
        if self.rig.has_trouble and node.name in BAD_NODES and now < self.trouble_until:
            self.rig.note(f"{node.name} (pod {node.cell}): {key}: its answer is lost")
            await asyncio.sleep(3600)
        return encode_answer(200, b"stored\n")


async def play(rig: Rig) -> str:
    """Have uploads kept while no node is listed, then list the nodes."""
    pods = Pods(rig)
    nodes = [Node(rig, f"n-{number}", pods.serve, number // NODES_PER_POD) for number in range(10)]
    discovery = Discovery(rig, "discovery")
    await discovery.start()
    for node in nodes:
        await node.start()
    listen = free_port()
    operator = OPERATOR.format(listen=listen, discovery=discovery.port, folder=rig.folder)
    sidecar = rig.sidecar("sidecar", operator, listen)
    sidecar.start()
    await sidecar.wait_ready()
    await asyncio.sleep(1.2)  # the list has been empty for longer than cut_ms: writes are kept at once
    client = Client(listen)
    receipts = {}
    for number in range(WRITES):
        key, request_id = f"photo-{number:02d}", next(rig.request_ids)
        headers = {"X-Request-Id": request_id, "X-Class": "upload", "X-Deadline-Ms": "2000"}
        headers["Idempotency-Key"] = key
        answer = await client.send("POST", f"/upload?obj={number + 1:x}", headers, b"a photo " + key.encode())
        status = "no answer" if answer is None else answer.start[1]
        rig.note(f"client: {key}: answered {status}")
        if answer is not None and status == "202":
            receipts[key] = answer.headers["location"]
    pods.trouble_until = time.monotonic() + TROUBLE_S
    discovery.update(*(node.entry() for node in nodes))
    states: dict[str, str] = {}
    for _ in range(30):
        await asyncio.sleep(0.5)
        for key, location in receipts.items():
            answer = await client.send("GET", location, {})
            states[key] = "?" if answer is None else str(json.loads(answer.body).get("state"))
        if all(state in ("done", "parked") for state in states.values()):
            break
    for key in receipts:
        rig.note(f"{key}: receipt {states[key]}, ran at: {', '.join(pods.runs.get(key, ()))}")
    twice = {key: places for key, places in pods.runs.items() if len(places) > 1}
    return "; ".join(f"{key} ran at {' and '.join(places)}" for key, places in twice.items())


main(__file__, play)
