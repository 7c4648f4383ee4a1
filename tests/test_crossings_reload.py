"""Reloads while a process starts: a change announced by SIGHUP must take effect in the end."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest
from laurelstep.testing import Listener

from tests.sockets import (
    Endpoint,
    Reader,
    Registry,
    Writer,
    connect_until_up,
    free_port,
    push,
    read_message,
    request,
    run,
    start_daemon,
    write_config,
)

# A daemon that pauses until it reads a line from standard input: before the first of its longer imports, when
# it has read no configuration, or right after it has read its configuration.
PAUSED_DAEMON = """
import runpy, sys
import laurelstep.settings.platform as platform

def wait():
    print(".", flush=True)
    sys.stdin.readline()

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "laurelstep.daemon":
            wait()

def load_json(path):
    platform.load_json = real
    found = real(path)
    wait()
    return found

real = platform.load_json
if sys.argv.pop() == "import":
    sys.meta_path.insert(0, Finder())
else:
    platform.load_json = load_json
runpy.run_module("laurelstep", run_name="__main__")
"""


async def start_paused(environ: dict[str, str], stage: str) -> asyncio.subprocess.Process:
    """Start a daemon that pauses at the stage "import" or "read", and wait until it has."""
    pipe = asyncio.subprocess.PIPE
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", PAUSED_DAEMON, stage, env=environ, stdin=pipe, stdout=pipe, stderr=pipe
    )
    assert process.stdout is not None
    assert await process.stdout.readline() == b".\n"
    return process


@pytest.mark.parametrize("stage", ["import", "read"])
def test_a_sighup_during_a_start_neither_ends_the_process_nor_is_lost(tmp_path: Path, stage: str) -> None:
    async def main() -> None:
        old, new = Registry(), Registry()
        async with asyncio.timeout(60), await old.start(), await new.start():
            environ = {**write_config(tmp_path, old), "LB_LISTEN": f"127.0.0.1:{free_port()}"}
            environ["LB_DISCOVERY"] = f"127.0.0.1:{old.port}"
            environ["PYTHONPATH"] = os.getcwd()
            process = await start_paused(environ, stage)
            path = Path(environ["LB_CONFIG"])
            path.write_text(
                json.dumps({**json.loads(path.read_text()), "discovery": f"127.0.0.1:{new.port}"})
            )
            process.send_signal(signal.SIGHUP)
            assert process.stdin is not None
            process.stdin.write(b"\n")
            target, _ = await new.watches.get()
            assert "from=0 " in target
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
            assert (process.returncode, errors) == (0, b"")

    run(main())


def test_a_reload_logs_one_line_with_the_keys_it_does_not_apply(tmp_path: Path) -> None:
    async def main() -> None:
        old, new = Registry(), Registry()
        async with asyncio.timeout(60), await old.start(), await new.start():
            environ = {**write_config(tmp_path, old), "LB_LISTEN": f"127.0.0.1:{free_port()}"}
            process = await start_daemon(environ)
            await old.watches.get()
            path = Path(environ["LB_CONFIG"])
            raw = json.loads(path.read_text())
            first, *rest = raw["settings"]["classes"]
            first = {**first, "name": "view", "deadline-us": 3_000_000}
            raw["settings"] = {
                **raw["settings"],
                "classes": [first, *rest],
                "invariants": {"drain-grace-us": 250_000},
            }
            raw = {**raw, "discovery": f"127.0.0.1:{new.port}", "limits": {"sockets": 512}, "seed": "77"}
            path.write_text(json.dumps(raw))
            _, writer = await connect_until_up(int(environ["LB_LISTEN"].rpartition(":")[2]))
            writer.close()
            process.send_signal(signal.SIGHUP)
            await new.watches.get()
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
            assert process.returncode == 0
            assert errors.decode() == (
                "laurelstep: reloaded: discovery only; for the next start: sockets, drain_grace_us, "
                "settings.classes, names of classes\n"
            )

    run(main())


# --- Starts -------------------------------------------------------------------------------


@dataclass(eq=False)
class FaultyDiscovery(Listener):
    """A discovery service that accepts connections, writes `output` and nothing more; None resets them."""

    output: bytes | None = None

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        if self.output is None:
            writer.transport.abort()
            return
        writer.write(self.output)
        await reader.read()
        writer.close()


FAULTS = {
    "refuses": None,
    "resets": FaultyDiscovery(),
    "silent": FaultyDiscovery(output=b""),
    "half-a-head": FaultyDiscovery(output=b"HTTP/1.1 200 OK\r\nTransfer-"),
    "head-only": FaultyDiscovery(output=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
    "unavailable": FaultyDiscovery(output=b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_start_does_not_wait_for_discovery_and_uses_its_list_once_it_recovers(
    tmp_path: Path, fault: str
) -> None:
    """The process is ready and serves with the list of its configuration, later with that of discovery."""

    async def main() -> None:
        known, listed, registry = Endpoint(), Endpoint(), Registry()
        faulty, discovery_port, port = FAULTS[fault], free_port(), free_port()
        registry.port = discovery_port
        async with await known.start(), await listed.start():
            listener = await faulty.start(discovery_port) if faulty is not None else None
            process = await start_daemon(
                {**write_config(tmp_path, registry, known), "LB_LISTEN": f"127.0.0.1:{port}"}
            )
            reader, writer = await connect_until_up(port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await read_message(reader)).status == 200
            writer.write(request())
            assert (await read_message(reader)).body == b"ok" and len(known.requests) == 1
            if listener is not None:
                listener.close()
            async with await registry.start(discovery_port):
                _, watch = await registry.watches.get()
                push(watch, 7, True, listed.entry("s-9"))
                while not listed.requests:
                    writer.write(request())
                    assert (await read_message(reader)).body == b"ok"
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
            writer.close()

    run(main())
