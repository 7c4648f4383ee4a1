"""Case 9: an unsafe upload is sent and runs long after its client has closed. See claim.txt."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-ins-2"))

from rig import Discovery, Message, Node, Rig, encode_answer, free_port, main

NODES = 3
SIZES = (60_000, 1_500_000, 2_500_000, 3_000_000, 3_500_000, 4_000_000, 4_500_000, 5_000_000)
LEAVE_S, LISTED_S = 0.4, 1.2
# An attempt may begin 0.1 s after the close; each time limit is 50 ms longer on sockets.
GRACE_S = 0.15

OPERATOR = """
[deployment]
listen = "127.0.0.1:{listen}"
discovery = "127.0.0.1:{discovery}"

[[deployment.classes]]
name = "upload"
effect = "unsafe"
aim_ms = 2500
deadline_ms = 6000
"""


class WatchedNode(Node):
    """A node that notes when the first and the last byte of a request have come."""

    begun: dict[str, float]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = head.decode("latin-1").split("\r\n")
                parts = [line.partition(":") for line in lines]
                fields = {name.lower(): value.strip() for name, _, value in parts}
                request_id = fields["x-request-id"]
                self.begun[request_id] = time.monotonic()
                self.rig.note(f"{self.name}: {request_id}: the head has come")
                await reader.readexactly(int(fields.get("content-length", "0")))
                self.rig.note(f"{self.name}: {request_id}: RUN")
                writer.write(encode_answer(200, b"done " + request_id.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def unused(node: Node, request: Message) -> bytes | None:
    """Stand in for the answers that `WatchedNode` makes itself."""
    return None


async def upload(rig: Rig, listen: int, size: int) -> tuple[str, float]:
    """Send a whole upload, and close the connection 0.4 s later; returns its id, and when it was closed."""
    loop, request_id = asyncio.get_running_loop(), next(rig.request_ids)
    connection = socket.socket()
    connection.setblocking(False)
    await loop.sock_connect(connection, ("127.0.0.1", listen))
    head = f"POST /upload HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {request_id}\r\n"
    head += f"X-Class: upload\r\nX-Deadline-Ms: 6000\r\nContent-Length: {size}\r\n\r\n"
    sending = asyncio.ensure_future(loop.sock_sendall(connection, head.encode() + b"p" * size))
    await asyncio.sleep(LEAVE_S)
    rig.note(f"client: {request_id}: {size} bytes, written whole: {sending.done()}")
    if not rig.has_trouble:
        await sending
        answer = await asyncio.wait_for(loop.sock_recv(connection, 4096), 8.0)
        rig.note(f"client: {request_id}: answered {answer.split(b' ')[1].decode()}")
    sending.cancel()
    connection.close()
    rig.note(f"client: {request_id}: has closed its connection")
    return request_id, time.monotonic()


async def play(rig: Rig) -> str:
    """Let clients leave while no node is listed yet, then list the nodes."""
    discovery = Discovery(rig, "discovery")
    await discovery.start()
    nodes = [WatchedNode(rig, f"n-{number}", unused) for number in range(NODES)]
    begun: dict[str, float] = {}
    for node in nodes:
        node.begun = begun
        await node.start()
    listen = free_port()
    sidecar = rig.sidecar("sidecar", OPERATOR.format(listen=listen, discovery=discovery.port), listen)
    sidecar.start()
    await sidecar.wait_ready()
    loop = asyncio.get_running_loop()
    loop.call_later(LISTED_S, lambda: discovery.update(*(node.entry() for node in nodes)))
    closed = await asyncio.gather(*[upload(rig, listen, size) for size in SIZES])
    await asyncio.sleep(4.0)
    late = [
        f"{request_id} was sent {begun[request_id] - closed_at:.2f} s after its client had gone"
        for request_id, closed_at in closed
        if request_id in begun and begun[request_id] - closed_at > GRACE_S
    ]
    return "; ".join(late)


main(__file__, play)
