"""The outbox as a subsystem: writes queued at an edge, and what copies share of them."""

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
    """The driver of queued writes; `shared` where this copy takes part in what copies share of them."""

    def __init__(self, driver: OutboxDriver, shared: SharedOutbox | None) -> None:
        self.driver = driver
        self.shared = shared
        self.holds_bodies = False  # a recorder behind the gate does: they are bounded by its own limit

    @classmethod
    async def open(cls, context: ProcessContext) -> OutboxSubsystem | None:
        """With the writes that earlier processes queued; None where it is off. `ConfigError` if they
        can't be read.
        """
        settings, names = context.config.outbox, context.config.names
        if settings is None:
            return None
        shared = None
        if settings.shared:
            try:
                from laurelstep.outbox.shared.assembly import SharedOutbox
            except ImportError as error:
                raise _missing(context, "outbox.shared", error) from None
            shared = SharedOutbox(context.loop, context.config, log)
        try:
            from laurelstep.outbox.driver import open_driver
        except ImportError as error:
            raise _missing(context, "outbox", error) from None
        version_vector = None if shared is None else shared.version_vector
        driver = await open_driver(
            settings, names.classes, names.tenants, log, context.error_prefix, version_vector
        )
        return cls(driver, shared)

    @property
    def machines(self) -> dict[int, StateMachine] | None:
        """Its part of the replicated state; None where copies share nothing."""
        return None if self.shared is None else self.shared.state_machines

    def recorder(self, multiplexer: ConsensusMultiplexer, journal: Recorder | None) -> Recorder | None:
        """The gate for edges' replays, in front of the request journal's recorder where there is one."""
        if self.shared is None:
            return journal
        from laurelstep.outbox.shared.entries import KIND

        self.holds_bodies = journal is not None
        return self.shared.join(multiplexer.channel(KIND), self.driver, journal)

    async def start(self, engine: Engine, server: Server) -> None:
        """Queue and replay from now on; take part in what copies share."""
        self.driver.begin(engine)
        server.on_receipt_query = self.driver.ask
        if self.shared is None or self.shared.replay_gate is None:
            return
        if not self.holds_bodies:
            server.max_body_bytes = MAX_STREAMED_BODY_BYTES
        server.on_shared_query = self.shared.replay_gate.on_query
        self.shared.begin()

    async def stop(self) -> None:
        """What is out may still be answered."""
        await self.driver.close()
        if self.shared is not None:
            await self.shared.close()

    def reply(self, method: bytes, target: bytes) -> Reply | None:
        """To an operator who asks about queued writes, or resolves one."""
        from laurelstep.outbox.api import LogClaimApi, reply_about

        claimer = self.shared or (self.driver if isinstance(self.driver, LogClaimApi) else None)
        return reply_about(method, target, outbox=self.driver, shared=self.shared, claimer=claimer)


def _missing(context: ProcessContext, key: str, error: ImportError) -> ConfigError:
    return ConfigError(
        f"{context.error_prefix}{key}: {error.name} is missing: pip install 'laurelstep[store]'"
    )
