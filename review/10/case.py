"""Case 10: large answers that are read slowly take a sidecar over its memory limit. See claim.txt."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-ins-2"))

from rig import (
    ROOT,
    RUN,
    CannotRunError,
    Client,
    Discovery,
    Message,
    Node,
    Rig,
    encode_answer,
    free_port,
    main,
)

MEMORY_MB, SOCKETS = 64, 512
NODES, CLIENTS = 6, SOCKETS // 3
LARGE, SMALL = 8_000_000, 32_000
# A slow client reads 160 kB a second.
PIECE, PAUSE_S = 16_384, 0.1
PLAY_S = 20.0

SETTINGS: dict[str, Any] = {
    "accounts": [],
    "ceilings": {
        "cancel": True,
        "conn-idle-us": 10_000_000,
        "connect-timeout-us": 150_000,
        "cpu-us-per-request": 0.0,
        "cpu-us-per-s": 5_000_000,
        "max-attempts": 3,
        "max-retry-after-us": 2_000_000,
        "max-streams": 1,
        "may-tell": False,
        "most-held": 100_000,
        "probes": False,
        "retry-after": True,
        "second-copies": False,
    },
    "classes": [
        {
            "aim-us": 1_500_000,
            "deadline-us": 3_000_000,
            "dedup-scope": "all",
            "late-worth": 0.0,
            "name": "view",
            "points": 1.0,
            "repeat": "retryable",
            "repeat-window-us": 5_000_000,
            "stream": False,
        }
    ],
    "clients": {"marks-retry": True},
    "discovery": "push",
    "goal": {"whole": 1.0},
    "instances": 1,
    "invariants": {
        "answer-slack-us": 8_000,
        "ask-within-us": 10_000_000,
        "cold-share": 0.13,
        "cold-us": 3_000_000,
        "drain-grace-us": 500_000,
        "overload-for-us": 1_000_000,
        "tip-multiple": 3.0,
    },
    "kind-of-service": "chain",
    "kinds": ["node"],
    "layers": ["gateway"],
    "load-report": {"fields": [], "how": "silent"},
    "locality": 0,
    "me": 0,
    "prices": {},
    "resolution-us": 2_000,
    "stage": 0,
    "weight-kind": "silent",
    "worth-by": "work",
    "zones": ["here"],
}


class Platform:
    """The platform: starts a sidecar with its limits, and kills it if it goes over the memory limit."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.most_mb = 0.0
        self.is_killed = False

    def start(self, listen: int, discovery: str) -> None:
        """Start the sidecar by the deploy file's command."""
        config = self.rig.folder / "config.json"
        described = {
            "name": "n1",
            "listen": f"127.0.0.1:{listen}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": {"generation": 0, "reset": True, "instances": []},
            "settings": SETTINGS,
        }
        config.write_text(json.dumps(described))
        environ = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environ |= {"LB_CONFIG": str(config), "TMPDIR": str(self.rig.folder)}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", RUN], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL, start_new_session=True
        )
        self.rig.processes.append(self.process)

    def anonymous_mb(self) -> float:
        """The memory of the process that holds no file, in MB: libraries are not counted."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def watch(self, until: float) -> None:
        """Look at the memory five times a second."""
        noted_mb = 0.0
        while time.monotonic() < until and not self.is_killed:
            self.most_mb = max(self.most_mb, self.anonymous_mb())
            if self.most_mb >= noted_mb + 4.0:
                noted_mb = self.most_mb
                self.rig.note(f"platform: the sidecar takes {noted_mb:.1f} MB")
            if self.most_mb > MEMORY_MB:
                self.is_killed = True
                self.rig.note(f"platform: over {MEMORY_MB} MB: killed")
                self.process.kill()
            await asyncio.sleep(0.2)


async def serve(node: Node, request: Message) -> bytes | None:
    """Answer at once."""
    return encode_answer(200, b"a" * (LARGE if node.rig.has_trouble else SMALL))


async def read(rig: Rig, name: str, listen: int, until: float) -> None:
    """Ask for answers and read them slowly, until one is cut off."""
    while time.monotonic() < until:
        request_id, received, expected = next(rig.request_ids), 0, -1
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", listen, limit=PIECE)
            head = f"GET /view HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {request_id}\r\n"
            writer.write(f"{head}X-Class: view\r\nX-Deadline-Ms: 3000\r\n\r\n".encode())
            first = (await reader.readuntil(b"\r\n\r\n")).decode()
            status = first.split()[1]
            expected = int(first.lower().partition("content-length:")[2].split()[0])
            while received < expected and time.monotonic() < until:
                data = await reader.read(PIECE)
                if not data:
                    break
                received += len(data)
                if rig.has_trouble:
                    await asyncio.sleep(PAUSE_S)
            writer.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            rig.note(f"{name}: {request_id}: {received} of {expected} bytes: {error!r}")
            return
        rig.note(f"{name}: {request_id}: {status}, {received} of {expected} bytes")
        if received < expected and time.monotonic() < until:
            return
        await asyncio.sleep(0.2)


async def play(rig: Rig) -> str:
    """Have a third of the descriptors held by clients that read slowly."""
    discovery = Discovery(rig, "discovery")
    await discovery.start()
    nodes = [Node(rig, f"n-{number}", serve) for number in range(NODES)]
    for node in nodes:
        await node.start()
    discovery.update(*(node.entry() for node in nodes))
    listen, platform = free_port(), Platform(rig)
    platform.start(listen, discovery.address)
    for _ in range(200):
        client = Client(listen)
        answer = await client.send("GET", "/health/ready", {}, timeout_s=1.0)
        client.close()
        if answer is not None and answer.start[1] == "200":
            break
        await asyncio.sleep(0.05)
    else:
        raise CannotRunError("the sidecar was not ready")
    rig.note(f"platform: ready, the sidecar takes {platform.anonymous_mb():.1f} MB of {MEMORY_MB}")
    until = time.monotonic() + PLAY_S
    reading = [read(rig, f"client {number}", listen, until) for number in range(CLIENTS)]
    await asyncio.gather(platform.watch(until), *reading)
    rig.note(f"platform: the most was {platform.most_mb:.1f} MB")
    if not platform.is_killed:
        return ""
    return f"over {MEMORY_MB} MB ({platform.most_mb:.1f}), so the platform killed the sidecar"


main(__file__, play)
