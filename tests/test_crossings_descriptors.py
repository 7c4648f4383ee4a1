"""Callers that come all at once, and stay: the process's descriptors under the system's own limit."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.sockets import (
    Endpoint,
    Registry,
    Writer,
    connect_until_up,
    free_port,
    push,
    read_message,
    request,
    run,
    write_config,
)

# What the platform allows. Where the system's own limit is the same, one too many is an EMFILE; where
# that is higher, nothing but the process's own shares keeps it within.
SOCKETS = 64
CROWD = 3 * SOCKETS


def limited(environ: dict[str, str], most: int) -> subprocess.Popen[bytes]:
    """A daemon that the system itself holds to its descriptors."""
    code = (
        f"import resource, runpy; resource.setrlimit(resource.RLIMIT_NOFILE, ({most}, {most}));"
        "runpy.run_module('laurelstep', run_name='__main__')"
    )
    environ = {**environ, "PYTHONPATH": os.getcwd()}
    return subprocess.Popen([sys.executable, "-c", code], env=environ, stderr=subprocess.PIPE)


@pytest.mark.parametrize("most", [SOCKETS, 4 * SOCKETS])
def test_a_crowd_of_idle_callers_leaves_discovery_and_endpoints_their_descriptors(
    tmp_path: Path, most: int
) -> None:
    """They fill them while discovery is away; its list still comes, and a request is served by it."""
    assert resource.getrlimit(resource.RLIMIT_NOFILE)[0] > 2 * CROWD

    async def main() -> None:
        registry, drains, stays = Registry(), Endpoint(), Endpoint()
        async with asyncio.timeout(60), await drains.start(), await stays.start():
            away = free_port()
            port = free_port()
            changes = {"limits": {"sockets": SOCKETS}, "discovery": f"127.0.0.1:{away}"}
            async with await registry.start():
                environ = {
                    **write_config(tmp_path, registry, drains, **changes),
                    "LB_LISTEN": f"127.0.0.1:{port}",
                }
                process = limited(environ, most)
                try:
                    crowd: list[Writer] = [(await connect_until_up(port))[1] for _ in range(CROWD)]
                    server = await asyncio.start_server(registry._serve, "127.0.0.1", away)
                    async with server:
                        _, watch = await registry.asked.get()
                        assert len(os.listdir(f"/proc/{process.pid}/fd")) <= SOCKETS
                        push(watch, 2, True, stays.entry("s-2"))
                        back = b""
                        while back != b"ok" or not stays.got:
                            reader, writer = await connect_until_up(port)
                            crowd.append(writer)
                            writer.write(request("pay", rid=f"r{len(crowd)}"))
                            back = (await read_message(reader)).body
                    process.send_signal(signal.SIGTERM)
                    for writer in crowd:
                        writer.close()
                except BaseException:
                    process.kill()
                    raise
                finally:
                    _, errors = await asyncio.to_thread(process.communicate)
                assert (process.returncode, errors) == (0, b"")

    run(main())
