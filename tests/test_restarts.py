"""Restarts of the process under load, with callers' connections that stay open."""

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

RESTARTS, CALLERS = 20, 5


class Asker:
    """Asks on one connection, again and again, until it ends."""

    def __init__(self, name: str, reader: Reader, writer: Writer) -> None:
        self.name = name
        self.reader, self.writer = reader, writer
        self.answered: list[str] = []
        self.unread: list[str] = []  # the connection ended in place of an answer
        self.told_to_close = False
        self.warm = asyncio.Event()  # it has asked more than once on this connection

    async def ask_on(self) -> None:
        while not self.told_to_close and not self.unread:
            rid = f"{self.name}-{len(self.answered)}"
            try:
                self.writer.write(request("pay", rid=rid))
                back = await read_message(self.reader)
            except (OSError, RuntimeError, asyncio.IncompleteReadError):
                self.unread.append(rid)
            else:
                assert (back.status, back.body) == (200, b"ok"), rid
                self.answered.append(rid)
                self.told_to_close = back.headers.get("connection", "") == "close"
            if len(self.answered) >= 3 or self.unread or self.told_to_close:
                self.warm.set()
        self.writer.close()


async def life(environ: dict[str, str], port: int, number: int) -> list[Asker]:
    """One process from its start to its end, asked on while it is told to stop."""
    process = await start_daemon(environ)
    streams = [await connect_until_up(port) for _ in range(CALLERS)]
    askers = [Asker(f"r{number}c{n}", *one) for n, one in enumerate(streams)]
    asking = [asyncio.create_task(one.ask_on()) for one in askers]
    for one in askers:
        await one.warm.wait()
        assert not one.unread and not one.told_to_close, "nobody said stop yet"
    process.send_signal(signal.SIGTERM)
    await asyncio.gather(*asking)
    _, errors = await process.communicate()
    assert (process.returncode, errors) == (0, b"")
    return askers


def test_twenty_restarts_under_load_leave_no_request_that_ran_without_its_answer(tmp_path: Path) -> None:
    """What comes on a connection that stays open after SIGTERM is answered. Only a close between two
    requests may cross one, and that one was never read: to send it again is harmless."""

    async def main() -> None:
        endpoint, registry = Endpoint(), Registry()
        async with await endpoint.start(), await registry.start():
            port = free_port()
            environ = {**write_config(tmp_path, registry, endpoint), "LB_LISTEN": f"127.0.0.1:{port}"}
            for number in range(RESTARTS):
                for one in await life(environ, port, number):
                    assert len(one.answered) >= 3
                    for rid in one.answered:
                        assert endpoint.effects.by_id[rid] == 1
                    for rid in one.unread:
                        assert endpoint.effects.by_id[rid] == 0, "it ran, and its caller was not told"
            assert not endpoint.effects.twice()

    run(main())
