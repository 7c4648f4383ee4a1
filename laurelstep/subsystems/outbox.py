"""The outbox as a subsystem: writes queued at an edge, and the state of these writes that copies share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laurelstep.net.log import log
from laurelstep.net.message import MAX_STREAMED_BODY_BYTES
from laurelstep.settings import ConfigError
from laurelstep.subsystems.base import ProcessContext, Subsystem

if TYPE_CHECKING:
    from laurelstep.consensus.multiplexer import ConsensusMultiplexer
    from laurelstep.consensus.ports import StateMachine
    from laurelstep.engine import Engine
    from laurelstep.engine.ports import Recorder
    from laurelstep.management.calls import Reply
    from laurelstep.net.server import Server
    from laurelstep.outbox.driver import OutboxDriver
    from laurelstep.outbox.shared.assembly import SharedOutbox


class OutboxSubsystem(Subsystem):
    """The outbox driver. `shared` is the part that is replicated in the tier; None if sharing is off."""

    def __init__(self, driver: OutboxDriver, shared: SharedOutbox | None) -> None:
        self.driver = driver
        self.shared = shared
        # Whether a request journal behind the replay gate keeps bodies in memory, so that its limit applies.
        self.journal_holds_bodies = False

    @classmethod
    async def open(cls, context: ProcessContext) -> OutboxSubsystem | None:
        """Open the store, with the writes that earlier processes queued; None if the outbox is off.

        Raises `ConfigError` if the store can't be read.
        """
        settings, names = context.config.outbox, context.config.names
        if settings is None:
            return None
        shared = None
        if settings.shared:
            try:
                from laurelstep.outbox.shared.assembly import SharedOutbox
            except ImportError as error:
                raise _missing_library(context, "outbox.shared", error) from None
            shared = SharedOutbox(context.loop, context.config, log)
        try:
            from laurelstep.outbox.driver import open_driver
        except ImportError as error:
            raise _missing_library(context, "outbox", error) from None
        version_vector = None if shared is None else shared.version_vector
        driver = await open_driver(
            settings, names.classes, names.tenants, log, context.error_prefix, version_vector
        )
        return cls(driver, shared)

    @property
    def state_machines(self) -> dict[int, StateMachine] | None:
        """The replicated state machines of the outbox; None if sharing is off."""
        return None if self.shared is None else self.shared.state_machines

    def recorder(self, multiplexer: ConsensusMultiplexer, journal: Recorder | None) -> Recorder | None:
        """The replay gate, which wraps the journal if there is one; the journal alone if sharing is off."""
        if self.shared is None:
            return journal
        from laurelstep.outbox.shared.entries import KIND

        self.journal_holds_bodies = journal is not None
        return self.shared.join(multiplexer.channel(KIND), self.driver, journal)

    async def start(self, engine: Engine, server: Server) -> None:
        """Start queuing and replaying writes, and answering edges' queries."""
        self.driver.begin(engine)
        server.on_receipt_query = self.driver.ask
        if self.shared is None or self.shared.replay_gate is None:
            return
        if not self.journal_holds_bodies:
            server.max_body_bytes = MAX_STREAMED_BODY_BYTES
        server.on_shared_query = self.shared.replay_gate.on_query
        self.shared.begin()

    async def stop(self) -> None:
        """Stop replaying and close the store; replays in flight may still be answered for a while."""
        await self.driver.close()
        if self.shared is not None:
            await self.shared.close()

    def reply(self, method: bytes, target: bytes) -> Reply | None:
        """Answer an operator's call that queries queued writes or resolves one."""
        from laurelstep.outbox.api import LogClaimApi, reply_about

        claimer = self.shared or (self.driver if isinstance(self.driver, LogClaimApi) else None)
        return reply_about(method, target, outbox=self.driver, shared=self.shared, claimer=claimer)


def _missing_library(context: ProcessContext, key: str, error: ImportError) -> ConfigError:
    return ConfigError(
        f"{context.error_prefix}{key}: {error.name} is missing: pip install 'laurelstep[store]'"
    )
