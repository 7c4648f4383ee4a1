"""A durable journal of requests with effects: no retry by a client runs one twice, even after a restart.

The intent is durable before a request is sent, and the final answer before it is delivered. A retry with the
same idempotency key gets the recorded answer, or the answer that the request may have run; it is never sent.
`records` does no I/O; `journal` connects the engine and the store.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from laurelstep.request_journal.settings import JournalClass, JournalSettings

if TYPE_CHECKING:
    from laurelstep.engine.ports import Log
    from laurelstep.request_journal.journal import RequestJournal

__all__ = ["JournalClass", "JournalSettings", "open_journal"]


async def open_journal(
    settings: JournalSettings, class_numbers: Mapping[str, int], log: Log
) -> RequestJournal:
    """Open a journal and its store. `class_numbers`: the engine's number for each request class by its name.
    Raises ConfigError if the store can't be opened. The store's library is loaded only here.
    """
    from laurelstep.settings.config import ConfigError

    try:
        from laurelstep.request_journal.journal import RequestJournal
        from laurelstep.store import StoreError
    except ImportError as error:
        raise ConfigError(f"orders: {error.name} is missing: pip install 'laurelstep[store]'") from None
    try:
        return await RequestJournal.open(settings, class_numbers, log)
    except (StoreError, OSError) as error:
        raise ConfigError(f"orders.store_path: {settings.store_path}: {error}") from None
