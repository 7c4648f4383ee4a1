"""Case 6: after a large body a connection is not read again; its next request is lost. See claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-ins-2"))

from rig import Client, Message, Node, Rig, encode_answer, free_port, main

NODES, CLIENTS, ROUNDS = 3, 12, 8
LARGEST, STEP, SMALL = 9_000_000, 50_000, 32_000
# The node reads a body in pieces of this size, with a pause after each: 10 MB a second.
PIECE, PAUSE_S = 200_000, 0.02

OPERATOR = """
[deployment]
listen = "127.0.0.1:{listen}"

[[deployment.classes]]
name = "upload"
effect = "keyed"
aim_ms = 2500
deadline_ms = 6000
window_ms = 10000

[[deployment.classes]]
name = "view"
effect = "safe"
aim_ms = 1000
deadline_ms = 2000
"""
MEMBER = """
[[deployment.members]]
id = "{name}"
address = "127.0.0.1:{port}"
"""


class SlowNode(Node):
    """A node that reads the bodies of requests slowly."""

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = head.decode("latin-1").split("\r\n")
                fields = {
                    name.lower(): value.strip() for name, _, value in (ln.partition(":") for ln in lines)
                }
                left = int(fields.get("content-length", "0"))
                while left:
                    left -= len(await reader.readexactly(min(left, PIECE)))
                    if self.rig.has_trouble:
                        await asyncio.sleep(PAUSE_S)
                self.rig.note(f"{self.name}: ran {fields['x-request-id']}")
                writer.write(encode_answer(200, b"done " + fields["x-request-id"].encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def unused(node: Node, request: Message) -> bytes | None:
    """Stand in for the answers that `SlowNode` makes itself."""
    return None


async def use(rig: Rig, number: int, listen: int) -> list[str]:
    """Send uploads, and after each a view on the same connection; returns the requests that got no answer."""
    name, lost, client = f"client {number}", [], Client(listen)
    for turn in range(ROUNDS):
        size = LARGEST - (number * ROUNDS + turn) * STEP if rig.has_trouble else SMALL
        upload, view = next(rig.request_ids), next(rig.request_ids)
        headers = {"X-Request-Id": upload, "X-Class": "upload", "Idempotency-Key": upload}
        headers["X-Deadline-Ms"] = "6000"
        answer = await client.send("POST", "/upload", headers, b"p" * size, timeout_s=20.0)
        rig.note(f"{name}: upload {upload} of {size} bytes: {describe(answer)}")
        if answer is None:
            lost.append(f"{name}: the upload {upload} got no answer")
        if client.writer is None:
            rig.note(f"{name}: the connection was closed after the upload")
            continue
        await asyncio.sleep(0.05)
        headers = {"X-Request-Id": view, "X-Class": "view", "X-Deadline-Ms": "2000"}
        rig.note(f"{name}: sends the view {view} on the same connection")
        # The deadline is 2 s, and half a second later an answer would still be one.
        answer = await client.send("GET", "/view", headers, timeout_s=4.0)
        rig.note(f"{name}: view {view}: {describe(answer)}")
        if answer is None and not client.was_ended:
            lost.append(f"{name}: the view {view} got no answer, and its connection stayed open")
    return lost


def describe(answer: Message | None) -> str:
    """Return an answer's status in words."""
    return "no answer" if answer is None else f"answered {answer.start[1]}"


async def play(rig: Rig) -> str:
    """Let some clients use one connection each."""
    nodes = [SlowNode(rig, f"n-{number}", unused) for number in range(NODES)]
    for node in nodes:
        await node.start()
    listen = free_port()
    members = "".join([MEMBER.format(name=node.name, port=node.port) for node in nodes])
    sidecar = rig.sidecar("sidecar", OPERATOR.format(listen=listen) + members, listen)
    sidecar.start()
    await sidecar.wait_ready()
    plays = [use(rig, number, listen) for number in range(CLIENTS)]
    return "; ".join([text for lost in await asyncio.gather(*plays) for text in lost])


main(__file__, play)
