"""Case 8: an answer that a client reads at 64 kB a second is cut off after 10 s. See claim.txt."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-ins-2"))

from rig import Message, Node, Rig, encode_answer, free_port, main

NODES, CLIENTS = 3, 4
SIZE = 5_000_000
# A slow client reads a little faster than 64 kB a second, and has a small receive buffer.
PIECE, RATE, RECEIVE_BUFFER = 6_400, 66_000.0, 16_384

OPERATOR = """
[deployment]
listen = "127.0.0.1:{listen}"

[[deployment.classes]]
name = "view"
effect = "safe"
aim_ms = 1000
deadline_ms = 3000
"""
MEMBER = """
[[deployment.members]]
id = "{name}"
address = "127.0.0.1:{port}"
"""


async def serve(node: Node, request: Message) -> bytes | None:
    """Answer with a large body at once."""
    node.rig.note(f"{node.name}: answers {request.headers['x-request-id']} with {SIZE} bytes")
    return encode_answer(200, b"a" * SIZE)


async def use(rig: Rig, name: str, listen: int) -> list[str]:
    """Ask for a large answer, and read it slowly; returns what was wrong with it."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    connection.setblocking(False)
    request_id, began = next(rig.request_ids), time.monotonic()
    received, expected, gap_s = 0, -1, 0.0
    try:
        await loop.sock_connect(connection, ("127.0.0.1", listen))
        head = f"GET /view HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {request_id}\r\n"
        await loop.sock_sendall(connection, f"{head}X-Class: view\r\nX-Deadline-Ms: 3000\r\n\r\n".encode())
        buffer = b""
        while received != expected:
            asked = time.monotonic()
            data = await asyncio.wait_for(loop.sock_recv(connection, PIECE), 20.0)
            gap_s = max(gap_s, time.monotonic() - asked)
            if not data:
                break
            if expected < 0:
                buffer += data
                head, end, data = buffer.partition(b"\r\n\r\n")
                if not end:
                    continue
                rig.note(f"{name}: {request_id}: the first bytes after {time.monotonic() - began:.2f} s")
                expected = int(head.lower().partition(b"content-length:")[2].split()[0])
            received += len(data)
            if rig.has_trouble:
                await asyncio.sleep(max(0.0, began + received / RATE - time.monotonic()))
    except (OSError, TimeoutError) as error:
        rig.note(f"{name}: {request_id}: {error!r}")
    finally:
        connection.close()
    took_s = time.monotonic() - began
    rig.note(
        f"{name}: {request_id}: {received} of {expected} bytes in {took_s:.1f} s, "
        f"{received / took_s / 1000:.1f} kB a second, longest wait for bytes {gap_s:.2f} s"
    )
    return (
        []
        if received == expected
        else [f"{name}: {received} of {expected} bytes, ended after {took_s:.1f} s"]
    )


async def play(rig: Rig) -> str:
    """Let some clients ask for one answer each."""
    nodes = [Node(rig, f"n-{number}", serve) for number in range(NODES)]
    for node in nodes:
        await node.start()
    listen = free_port()
    members = "".join([MEMBER.format(name=node.name, port=node.port) for node in nodes])
    sidecar = rig.sidecar("sidecar", OPERATOR.format(listen=listen) + members, listen)
    sidecar.start()
    await sidecar.wait_ready()
    plays = [use(rig, f"client {number}", listen) for number in range(CLIENTS)]
    return "; ".join([text for wrong in await asyncio.gather(*plays) for text in wrong])


main(__file__, play)
