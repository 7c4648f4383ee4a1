"""What tests of the request journal share: a client with a journal, its requests, and what is answered."""

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

ORDER = JournalClass(header=b"x-order-id", retention_ms=60_000)


def journal_settings(
    folder: Path, unavailable: Any = "fail", settings: JournalClass = ORDER
) -> JournalSettings:
    return JournalSettings(str(folder), {"pay": settings}, unavailable)


@contextlib.asynccontextmanager
async def client_with_journal(folder: Path, *endpoints: Endpoint, **options: Any) -> AsyncIterator[Client]:
    """A client that records the class `pay`; the endpoints are up already."""
    raw = {"seed": "1", "settings": SETTINGS, "limits": {"sockets": 1024}}
    config = config_from(raw, "test", journal_settings(folder, **options))
    members = [member(one, f"s-{n}") for n, one in enumerate(endpoints)]
    async with asyncio.timeout(60), Client.open(config, members) as client:
        yield client


def pay(name: str = "o-1", body: bytes = b"sum", deadline_s: float = 4.0, rid: str | None = None) -> Request:
    headers = {"X-Order-Id": name}
    return Request("pay", "/pay", "POST", body=body, deadline_s=deadline_s, headers=headers, id=rid)


def said(reply: Reply) -> tuple[str, int, bool, bool]:
    headers = dict(reply.headers)
    return reply.outcome, reply.status, "x-may-have-run" in headers, "x-from-record" in headers


SERVED = ("served", 200, False, False)
AGAIN = ("served", 200, False, True)
MAY_HAVE_RUN = ("failed", 502, True, False)


async def recorded(
    disk: Disk,
    endpoint: Endpoint,
    unavailable: str,
    folder: Path,
    stack: contextlib.AsyncExitStack,
    options: StoreOptions | None = None,
    clocks: StoreClocks = SYSTEM_CLOCKS,
) -> tuple[Client, Store]:
    """A client whose store is on a disk that the test breaks."""
    client = await stack.enter_async_context(client_with_journal(folder, endpoint, unavailable=unavailable))
    store = await Store.open(disk, options, clocks=clocks)
    recorder = client.engine.recorder
    assert isinstance(recorder, RequestJournal)
    await recorder.store.close()
    recorder.store = store
    return client, store
