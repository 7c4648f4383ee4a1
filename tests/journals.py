"""Shared by the request journal's tests: a client with a journal, its requests and summaries of replies."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from laurelstep.library import Client, Reply, Request
from laurelstep.request_journal import JournalClass, JournalSettings
from laurelstep.request_journal.journal import RequestJournal
from laurelstep.settings import config_from
from laurelstep.store import SYSTEM_CLOCKS, Store, StoreClocks, StoreOptions
from laurelstep.store.disk import Disk
from laurelstep.testing import Endpoint

from tests.sockets import SETTINGS
from tests.test_library import member

ORDER_CLASS = JournalClass(header=b"x-order-id", retention_ms=60_000)


def journal_settings(
    folder: Path, unavailable: Any = "fail", settings: JournalClass = ORDER_CLASS
) -> JournalSettings:
    return JournalSettings(str(folder), {"pay": settings}, unavailable)


@contextlib.asynccontextmanager
async def client_with_journal(folder: Path, *endpoints: Endpoint, **options: Any) -> AsyncIterator[Client]:
    """A client that journals requests of class `pay`; the endpoints must be running."""
    raw = {"seed": "1", "settings": SETTINGS, "limits": {"sockets": 1024}}
    config = config_from(raw, "test", journal_settings(folder, **options))
    members = [member(endpoint, f"s-{n}") for n, endpoint in enumerate(endpoints)]
    async with asyncio.timeout(60), Client.open(config, members) as client:
        yield client


def pay_request(
    order_id: str = "o-1", body: bytes = b"sum", deadline_s: float = 4.0, request_id: str | None = None
) -> Request:
    headers = {"X-Order-Id": order_id}
    return Request("pay", "/pay", "POST", body=body, deadline_s=deadline_s, headers=headers, id=request_id)


def summary(reply: Reply) -> tuple[str, int, bool, bool]:
    """Outcome, status, whether the request may have run, and whether the answer is a recorded one."""
    headers = dict(reply.headers)
    return reply.outcome, reply.status, "x-may-have-run" in headers, "x-from-record" in headers


SERVED = ("served", 200, False, False)
FROM_RECORD = ("served", 200, False, True)
MAY_HAVE_RUN = ("failed", 502, True, False)


async def client_with_store(
    disk: Disk,
    endpoint: Endpoint,
    unavailable: str,
    folder: Path,
    stack: contextlib.AsyncExitStack,
    options: StoreOptions | None = None,
    clocks: StoreClocks = SYSTEM_CLOCKS,
) -> tuple[Client, Store]:
    """A client whose journal uses a store on `disk`, so that the test can inject faults."""
    client = await stack.enter_async_context(client_with_journal(folder, endpoint, unavailable=unavailable))
    store = await Store.open(disk, options, clocks=clocks)
    recorder = client.engine.recorder
    assert isinstance(recorder, RequestJournal)
    await recorder.store.close()
    recorder.store = store
    return client, store
