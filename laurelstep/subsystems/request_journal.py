"""The request journal as a subsystem: `[orders]` in the operator's file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laurelstep.net.log import log
from laurelstep.request_journal import open_journal
from laurelstep.subsystems.base import ProcessContext, Subsystem

if TYPE_CHECKING:
    from laurelstep.request_journal.journal import RequestJournal


class RequestJournalSubsystem(Subsystem):
    """The engine's recorder and its store."""

    outlives_sockets = True

    def __init__(self, recorder: RequestJournal) -> None:
        self.recorder = recorder

    @classmethod
    async def open(cls, context: ProcessContext) -> RequestJournalSubsystem | None:
        """Open the journal; None if it is off. Raises `ConfigError` if its store can't be opened."""
        settings = context.config.orders
        if settings is None:
            return None
        return cls(await open_journal(settings, context.config.names.classes, log))

    async def stop(self) -> None:
        """Close the store after pending writes."""
        await self.recorder.close()
