"""The world of one run: the program as a real process, endpoints behind relays, discovery, and monitors."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import signal
import tempfile
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

from laurelstep.testing.processes.discovery import ProcessDiscovery
from laurelstep.testing.processes.history import History
from laurelstep.testing.processes.program import ProgramRunner
from laurelstep.testing.processes.relays import HOST, StreamRelay, now_us
from laurelstep.testing.soak.endpoint import RECEIVE_BUFFER_BYTES, ScriptedEndpoint
from laurelstep.testing.soak.plan import KILL_AFTER_STOP_S
from laurelstep.testing.soak.records import MemorySample, RunRecord

SOCKETS: Final = 1024
ENDPOINTS: Final = 5
SAMPLE_INTERVAL_S: Final = 0.05
SETTINGS: Final[dict[str, Any]] = {
    "classes": [
        {"name": "view", "aim-us": 1_000_000, "deadline-us": 2_500_000, "repeat": "retryable"},
        {
            "name": "upload", "aim-us": 1_000_000, "deadline-us": 2_500_000, "repeat": "dedup",
            "dedup-scope": "all", "repeat-window-us": 10_000_000,
        },
        {"name": "order", "aim-us": 1_000_000, "deadline-us": 2_500_000, "repeat": "fragile"},
    ],
    "ceilings": {
        "cancel": True, "second-copies": False, "max-attempts": 3, "max-streams": 1,
        "conn-idle-us": 10_000_000, "connect-timeout-us": 300_000, "retry-after": True,
    },
    "invariants": {"drain-grace-us": 500_000},
    "discovery": "push", "kinds": ["node"], "stage": 0, "zones": ["here"],
}  # fmt: skip


def resident_mb(pid: int) -> float:
    """The memory of a process that maps no file, in MB; 0 if it has ended."""
    total_kb = 0
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(("RssAnon:", "RssShmem:")):
                total_kb += int(line.split()[1])
    return total_kb / 1024


class SoakWorld:
    """Runs the program and records what it does. All of it ends with the block."""

    def __init__(self, seed: int, memory_mb: int, shares_descriptors: bool = False) -> None:
        """`shares_descriptors`: a crowd, or a second process, takes a part of the descriptors."""
        self.seed, self.memory_mb, self.shares_descriptors = seed, memory_mb, shares_descriptors
        self.rng = random.Random(f"{seed} soak")
        self.record = RunRecord()
        self.loop = asyncio.get_running_loop()
        self.numbers = itertools.count(1)
        self.endpoints: list[ScriptedEndpoint] = []
        self.paths: list[StreamRelay] = []
        self.entries: list[dict[str, Any]] = []
        self.expects_end = False  # the process was told to end, or killed
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        async with self._stack:
            folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory(prefix="soak-")))
            for _ in range(ENDPOINTS):
                await self.add_endpoint()
            self.discovery = ProcessDiscovery(lambda: list(self.entries), lambda entries, at_us: None)
            self._stack.callback(self.discovery.close)
            relay = await self.discovery.open()
            self.program = ProgramRunner(0, folder, History(now_us), self.seed)
            self._stack.push_async_callback(self.program.close)
            self.program.write(self._platform(relay.address), {})
            await self.program.start()
            await self.program.wait_ready()
            monitor = asyncio.create_task(self._monitor())
            self._stack.callback(monitor.cancel)
            self._stack = self._stack.pop_all()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.expects_end = True
        await self._stack.aclose()

    def _platform(self, discovery: str) -> dict[str, Any]:
        return {
            "listen": f"{HOST}:{self.program.listen[1]}",
            "discovery": discovery,
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": SOCKETS},
            "known": {"generation": 1, "reset": True, "instances": list(self.entries)},
            "settings": SETTINGS,
        }

    @property
    def port(self) -> int:
        """The clients' port."""
        return self.program.listen[1]

    def next_id(self) -> str:
        """A request id that was not used in this run."""
        return f"s{self.seed}-{next(self.numbers)}"

    # --- Endpoints ------------------------------------------------------------------

    async def add_endpoint(self) -> int:
        """Start another endpoint behind a relay of its own; returns its number."""
        endpoint = ScriptedEndpoint(self.record)
        await endpoint.open()
        self._stack.callback(endpoint.stop)
        seed = self.rng.randrange(1 << 30)
        path = StreamRelay((HOST, endpoint.port), seed, buffer_bytes=RECEIVE_BUFFER_BYTES)
        self._stack.callback(path.close)
        await path.start()
        self.endpoints.append(endpoint)
        self.paths.append(path)
        self.entries.append(self._entry(f"s-{len(self.entries)}", path.port, 0))
        return len(self.endpoints) - 1

    def _entry(self, name: str, port: int, started_ms: int) -> dict[str, Any]:
        return {
            "instanceId": name, "hostPort": f"{HOST}:{port}", "zone": "here", "machineType": "node",
            "cell": 0, "lifecycle": "ready", "weight": 1.0, "startedAtMs": started_ms,
        }  # fmt: skip

    def publish(self, number: int, **changes: Any) -> None:
        """Change an endpoint's entry, and push it to the process."""
        self.entries[number] = {**self.entries[number], **changes}
        self.discovery.push(self.entries[number])

    # --- The process ----------------------------------------------------------------

    async def upgrade(self) -> None:
        """Start a successor; the predecessor gets SIGTERM, and SIGKILL at the earliest time allowed."""
        predecessor = self.program.process
        assert predecessor is not None
        self.expects_end = True
        replacing = asyncio.create_task(self.program.replace())
        await asyncio.wait({replacing}, timeout=KILL_AFTER_STOP_S + 6.0)
        if not replacing.done() or predecessor.returncode is None:
            self.record.kills.append(self.loop.time())
            with contextlib.suppress(ProcessLookupError):
                predecessor.kill()
        await replacing
        self.expects_end = False

    async def restart(self) -> None:
        """SIGTERM, SIGKILL at the earliest time allowed if the process is still there, and a new start."""
        self.expects_end = True
        self.record.stops.append(self.loop.time())
        stopping = asyncio.create_task(self.program.stop())
        await asyncio.wait({stopping}, timeout=KILL_AFTER_STOP_S)
        began = self.loop.time()
        if not stopping.done():
            self.record.kills.append(began)
            await self.program.kill()
        await stopping
        await self._start(began)

    async def kill(self, pause_s: float) -> None:
        """SIGKILL, and a new start after a pause."""
        self.expects_end = True
        began = self.loop.time()
        self.record.kills.append(began)
        await self.program.kill()
        await asyncio.sleep(pause_s)
        await self._start(began)

    async def _start(self, down_since: float) -> None:
        await self.program.start()
        self.expects_end = False
        await self.program.wait_ready()
        self.record.down.append((down_since, self.loop.time()))

    def reload(self) -> None:
        """SIGHUP with a configuration that says the same."""
        path = self.program.folder / "config.json"
        path.write_text(json.dumps(json.loads(path.read_text())))
        assert self.program.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.program.process.send_signal(signal.SIGHUP)

    # --- Monitors -------------------------------------------------------------------

    async def _monitor(self) -> None:
        """Sample the memory of all processes together, and note a process that ends by itself."""
        while True:
            total = sum(resident_mb(pid) for pid in self.program.running_pids)
            self.record.memory.append(MemorySample(self.loop.time(), total))
            if not self.expects_end and not self.program.is_running:
                self.record.unexpected_ends.append(f"{self.program.log_lines[-3:]}")
                self.expects_end = True
            await asyncio.sleep(SAMPLE_INTERVAL_S)
