"""Restarts of the process under load, with client connections that stay open."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from laurelstep.testing import Reader, Writer

from tests.sockets import (
    Endpoint,
    Registry,
    connect_until_up,
    free_port,
    read_message,
    request,
    run,
    start_daemon,
    write_config,
)

RESTARTS, CLIENTS = 20, 5


class PersistentClient:
    """Sends requests on one connection until it is closed."""

    def __init__(self, name: str, reader: Reader, writer: Writer) -> None:
        self.name = name
        self.reader, self.writer = reader, writer
        self.answered: list[str] = []
        self.unanswered: list[str] = []  # requests for which the connection ended instead of an answer
        self.is_told_to_close = False
        # Set once several requests were answered on this connection, or it was closed.
        self.warmed_up = asyncio.Event()

    async def send_until_closed(self) -> None:
        while not self.is_told_to_close and not self.unanswered:
            rid = f"{self.name}-{len(self.answered)}"
            try:
                self.writer.write(request("pay", rid=rid))
                back = await read_message(self.reader)
            except (OSError, RuntimeError, asyncio.IncompleteReadError):
                self.unanswered.append(rid)
            else:
                assert (back.status, back.body) == (200, b"ok"), rid
                self.answered.append(rid)
                self.is_told_to_close = back.headers.get("connection", "") == "close"
            if len(self.answered) >= 3 or self.unanswered or self.is_told_to_close:
                self.warmed_up.set()
        self.writer.close()


async def run_process(environ: dict[str, str], port: int, number: int) -> list[PersistentClient]:
    """Run one process from its start to its end, with clients that keep sending after SIGTERM."""
    process = await start_daemon(environ)
    streams = [await connect_until_up(port) for _ in range(CLIENTS)]
    clients = [PersistentClient(f"r{number}c{n}", *connection) for n, connection in enumerate(streams)]
    tasks = [asyncio.create_task(client.send_until_closed()) for client in clients]
    for client in clients:
        await client.warmed_up.wait()
        assert not client.unanswered and not client.is_told_to_close, "the process was not stopped yet"
    process.send_signal(signal.SIGTERM)
    await asyncio.gather(*tasks)
    _, errors = await process.communicate()
    assert (process.returncode, errors) == (0, b"")
    return clients


def test_after_twenty_restarts_under_load_every_request_that_ran_has_its_answer(tmp_path: Path) -> None:
    """Requests on a connection that stays open after SIGTERM are answered. Only the close of an idle
    connection may cross a request. Such a request was never read, so retrying it is safe."""

    async def main() -> None:
        endpoint, registry = Endpoint(), Registry()
        async with await endpoint.start(), await registry.start():
            port = free_port()
            environ = {**write_config(tmp_path, registry, endpoint), "LB_LISTEN": f"127.0.0.1:{port}"}
            for number in range(RESTARTS):
                for client in await run_process(environ, port, number):
                    assert len(client.answered) >= 3
                    for rid in client.answered:
                        assert endpoint.effects.by_id[rid] == 1
                    for rid in client.unanswered:
                        assert endpoint.effects.by_id[rid] == 0, "it ran, and its client got no answer"
            assert not endpoint.effects.executed_twice()

    run(main())
