"""One run of the demo: a daemon in a separate process, endpoints, discovery, clients, and two faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Iterator
from pathlib import Path

from laurelstep.demo.endpoints import DemoEndpoint, make_endpoints
from laurelstep.demo.settings import (
    DEADLINE_MS,
    DRAIN_GRACE_S,
    DRAIN_TOLERANCE_S,
    DRAINED_ENDPOINT,
    MAX_OPEN_REQUESTS,
    REQUEST_MIX,
    SETTINGS,
    STALLED_ENDPOINT,
)
from laurelstep.demo.statistics import RequestStatistics, Summary, quantile
from laurelstep.testing import Caller, DiscoveryServer, Effects, free_port, request

HOST = "127.0.0.1"
READY_POLL_S = 0.02
VIEW_INTERVAL_S = 0.1
OUTCOMES = {200: "served", 429: "refused", 503: "refused"}

OnView = Callable[[], None]


class DemoRun:
    """One run of the demo; the view reads its state."""

    def __init__(self, seconds: float, rate: float, seed: int) -> None:
        """`rate` is in requests a second; `seed` determines arrival and work times."""
        self.seconds = seconds
        self.rate = rate
        self.draw = random.Random(seed)
        self.effects = Effects()
        self.endpoints: list[DemoEndpoint] = []
        self.statistics = RequestStatistics()
        self.event = "no fault yet"
        self.idle_clients: list[Caller] = []
        self._started_at_s = 0.0
        self._drained_at_s = 0.0

    def elapsed_s(self) -> float:
        """Time since the daemon was ready, s; 0 before."""
        return time.monotonic() - self._started_at_s if self._started_at_s else 0.0

    async def run(self, on_view: OnView | None = None) -> Summary:
        """Run to the end; `on_view` is called ten times a second. Raises RuntimeError if the daemon exits
        before it is ready.
        """
        async with contextlib.AsyncExitStack() as stack:
            self.endpoints = make_endpoints(self.draw, self.effects)
            for endpoint in self.endpoints:
                await stack.enter_async_context(endpoint)
            entries = [endpoint.discovery_entry() for endpoint in self.endpoints]
            discovery = await stack.enter_async_context(DiscoveryServer(entries))
            port = await stack.enter_async_context(running_daemon(discovery))
            stack.callback(self._close_clients)
            stack.callback(self.endpoint(STALLED_ENDPOINT).unstalled.set)
            self._started_at_s = time.monotonic()
            await asyncio.gather(
                self._send_requests(port), self._play_events(discovery), self._refresh_view(on_view)
            )
        return self.summary()

    def summary(self) -> Summary:
        """Return the counts so far."""
        counts, durations_s = self.statistics.counts, self.statistics.durations_s
        last_allowed_s = self._drained_at_s + DRAIN_GRACE_S + DRAIN_TOLERANCE_S
        is_late = self._drained_at_s > 0.0 and self.endpoint(DRAINED_ENDPOINT).last_request_s > last_allowed_s
        return Summary(
            seconds=round(self.elapsed_s(), 1),
            asked=counts["asked"],
            served=counts["served"],
            refused=counts["refused"],
            failed=counts["failed"],
            unanswered=counts["unanswered"],
            p50_ms=round(1000 * quantile(durations_s, 0.5), 1),
            p99_ms=round(1000 * quantile(durations_s, 0.99), 1),
            orders_run_twice=len(self.effects.executed_twice()),
            sends_past_the_grace=int(is_late),
            by_endpoint={endpoint.name: endpoint.served for endpoint in self.endpoints},
        )

    def endpoint(self, name: str) -> DemoEndpoint:
        """Return the endpoint with this name."""
        return next(endpoint for endpoint in self.endpoints if endpoint.name == name)

    # --- Events -------------------------------------------------------------------

    async def _play_events(self, discovery: DiscoveryServer) -> None:
        """One endpoint stalls from a third to a half of the time, another drains at two thirds."""
        await self._sleep_until(self.seconds / 3)
        stalled = self.endpoint(STALLED_ENDPOINT)
        stalled.unstalled.clear()
        stalled.state, self.event = "stalled", f"{stalled.name} accepts requests and answers none"

        await self._sleep_until(self.seconds / 2)
        stalled.unstalled.set()
        stalled.state, self.event = "ready", f"{stalled.name} answers again"

        await self._sleep_until(self.seconds * 2 / 3)
        drained = self.endpoint(DRAINED_ENDPOINT)
        discovery.publish(drained.discovery_entry(lifecycle="draining"))
        self._drained_at_s = time.monotonic()
        drained.state, self.event = "draining", f"discovery lists {drained.name} as draining"

    async def _refresh_view(self, on_view: OnView | None) -> None:
        while on_view is not None and self.elapsed_s() < self.seconds:
            on_view()
            await asyncio.sleep(VIEW_INTERVAL_S)

    async def _sleep_until(self, time_s: float) -> None:
        await asyncio.sleep(max(0.0, time_s - self.elapsed_s()))

    # --- Clients ------------------------------------------------------------------

    async def _send_requests(self, port: int) -> None:
        """Send requests at the run's rate, whether or not earlier ones are answered."""
        tasks: set[asyncio.Task[None]] = set()
        due_s = self.draw.expovariate(self.rate)
        while due_s < self.seconds:
            if due_s > self.elapsed_s():
                await self._sleep_until(due_s)
            if len(tasks) < MAX_OPEN_REQUESTS:
                task = asyncio.create_task(self.send_request(port))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            due_s += self.draw.expovariate(self.rate)
        if tasks:
            await asyncio.wait(tasks)

    async def send_request(self, port: int) -> None:
        """Send one request of a random class, without retries, and count its outcome."""
        counts = self.statistics.counts
        counts["asked"] += 1
        raw = self._draw_request(counts["asked"])
        client = (
            self.idle_clients.pop() if self.idle_clients else Caller(HOST, port, resends_after_close=True)
        )
        started_at_s = time.monotonic()
        try:
            response = await client.send(raw)
        except (OSError, asyncio.IncompleteReadError):
            counts["unanswered"] += 1
            return
        self.idle_clients.append(client)
        self.statistics.record(OUTCOMES.get(response.status, "failed"), time.monotonic() - started_at_s)

    def _draw_request(self, number: int) -> bytes:
        classes, shares = [entry.cls for entry in REQUEST_MIX], [entry.share for entry in REQUEST_MIX]
        cls = self.draw.choices(classes, shares)[0]
        key = f"k{number}" if cls == "upload" else None
        body = b"" if cls == "view" else b"album"
        return request(cls, body, rid=f"demo-{number}", key=key, deadline_ms=DEADLINE_MS)

    def _close_clients(self) -> None:
        for client in self.idle_clients:
            client.close()


# --- The daemon ---------------------------------------------------------------------------


@contextlib.asynccontextmanager
async def running_daemon(discovery: DiscoveryServer) -> AsyncIterator[int]:
    """Run a daemon with this discovery during the block; yields its port. RuntimeError if it exits early."""
    port = free_port()
    with _configuration(port, discovery) as environ:
        daemon = await asyncio.create_subprocess_exec(sys.executable, "-m", "laurelstep", env=environ)
        try:
            await _wait_ready(port, daemon)
            yield port
        finally:
            if daemon.returncode is None:
                daemon.terminate()
            await daemon.wait()


@contextlib.contextmanager
def _configuration(port: int, discovery: DiscoveryServer) -> Iterator[dict[str, str]]:
    """Yield the environment of a daemon, with its configuration in a temporary file."""
    with tempfile.TemporaryDirectory(prefix="laurelstep-") as folder:
        raw = {
            "listen": f"{HOST}:{port}", "discovery": discovery.address, "seed": "1",
            "limits": {"sockets": 1024}, "settings": SETTINGS, "known": discovery.whole_list(),
        }  # fmt: skip
        path = Path(folder, "config.json")
        path.write_text(json.dumps(raw))
        environ = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        yield {**environ, "LB_CONFIG": str(path)}


async def _wait_ready(port: int, daemon: asyncio.subprocess.Process) -> None:
    """Wait until the daemon reports that it is ready. Raises RuntimeError if it exits instead."""
    while daemon.returncode is None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with Caller(HOST, port) as client:
                response = await client.send(b"GET /health/ready HTTP/1.1\r\nHost: demo\r\n\r\n")
                if response.status == 200:
                    return
        await asyncio.sleep(READY_POLL_S)
    raise RuntimeError(f"the daemon exited with status {daemon.returncode}")
