"""One daemon's process, from the first listener to the end of the last request: wiring and signals.

Rules that everything here serves:

1. Subsystems open and start in the order in which they are listed, before a client can come. Those that
   `outlives_sockets` stop once the last connection is closed, the others before.
2. A subsystem that is off is not imported.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Mapping
from typing import TYPE_CHECKING

from laurelstep.lifecycle import Lifecycle, Phase
from laurelstep.net.assembly import Assembly
from laurelstep.net.collector import Collector
from laurelstep.net.log import log
from laurelstep.net.server import Server
from laurelstep.reload import ReadConfig, move_discovery, reloaded_config
from laurelstep.settings import Config, ConfigError
from laurelstep.subsystems.base import ProcessContext, Subsystem, first_of

if TYPE_CHECKING:
    from laurelstep.engine.ports import Recorder
    from laurelstep.subsystems.consensus import ConsensusSubsystem
    from laurelstep.subsystems.hot_restart import Arrival, HotRestartSubsystem
    from laurelstep.subsystems.maintenance import MaintenanceSubsystem
    from laurelstep.subsystems.outbox import OutboxSubsystem
    from laurelstep.subsystems.request_journal import RequestJournalSubsystem
    from laurelstep.workers.worker import WorkerSlot


class Daemon:
    """Runs until a stop is over."""

    def __init__(self, config: Config, environ: Mapping[str, str], arrival: Arrival | None) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.context = ProcessContext(self.loop, config, environ)
        self.arrival = arrival
        self.lifecycle = Lifecycle()
        self.ended = asyncio.Event()
        self.subsystems: list[Subsystem] = []  # those that are on
        self.journal: RequestJournalSubsystem | None = None
        self.outbox: OutboxSubsystem | None = None
        self.maintenance: MaintenanceSubsystem | None = None
        self.consensus: ConsensusSubsystem | None = None
        self.hot_restart: HotRestartSubsystem | None = None

    async def run(self, read_config: ReadConfig, slot: WorkerSlot | None = None) -> None:
        """Until a stop is over. `ConfigError` if it can't begin."""
        await self._open_subsystems()
        self._open_sockets()
        for subsystem in self.subsystems:
            await subsystem.start(self.sockets.engine, self.server)
        self._handle_signals(read_config)  # from here on a client may come, and a start may have to wait
        try:
            await self._listen(shared=slot is not None)
        except OSError as error:
            raise ConfigError(f"can't listen: {error}") from None
        if slot is not None and not self.ended.is_set():
            from laurelstep.workers.worker import join_supervisor

            await join_supervisor(self.loop, slot, self.sockets.engine, self.stop)
        await self.ended.wait()
        await self._close()

    def stop(self) -> None:
        """SIGTERM: finish what was taken, then end."""
        if self.lifecycle.phase is Phase.STARTING:  # no client was taken yet
            self.lifecycle.stop(self.loop.time())
            self.ended.set()
        else:
            self.server.stop(self.ended.set)

    # --- Wiring -------------------------------------------------------------------------

    async def _open_subsystems(self) -> None:
        """Those that are on, each in hand of its store, and joined with those that it rests on."""
        config, context = self.config, self.context
        if self.arrival is not None:
            from laurelstep.subsystems.hot_restart import HotRestartSubsystem

            self.hot_restart = HotRestartSubsystem(context, self.arrival)
        if config.orders is not None:
            from laurelstep.subsystems.request_journal import RequestJournalSubsystem

            self.journal = await RequestJournalSubsystem.open(context)
        if config.outbox is not None:
            from laurelstep.subsystems.outbox import OutboxSubsystem

            self.outbox = await OutboxSubsystem.open(context)
        if config.maintenance is not None:
            from laurelstep.subsystems.maintenance import MaintenanceSubsystem

            self.maintenance = MaintenanceSubsystem.create(context)
        if config.accord is not None:
            self._open_consensus()
        listed = (self.journal, self.outbox, self.consensus, self.maintenance)
        self.subsystems += [one for one in listed if one is not None]

    def _open_consensus(self) -> None:
        from laurelstep.subsystems.consensus import ConsensusSubsystem

        hot_restart, maintenance = self.hot_restart, self.maintenance
        self.consensus = ConsensusSubsystem.create(
            self.context,
            None if maintenance is None else maintenance.assembly.state_machines,
            None if self.outbox is None else self.outbox.machines,
            None if hot_restart is None else hot_restart.inherited_state,
        )
        if maintenance is not None and self.consensus is not None:
            alone = (lambda: True) if hot_restart is None else hot_restart.is_only_version
            maintenance.join(self.consensus.multiplexer, alone)

    def _open_sockets(self) -> None:
        """The engine with its discovery and its connections to endpoints; the server does not listen yet."""
        config = self.config
        holding = None if self.maintenance is None else self.maintenance.assembly.wrap_source
        self.sockets = Assembly(
            self.loop, config, log, self._recorder(), collector=Collector(), create_filtering_source=holding
        )
        self.sockets.start()
        self.server = Server(
            self.loop,
            self.sockets.engine,
            config.max_side_connections,
            self.sockets.upstream.retire,
            self.lifecycle,
            config.memory_mb,
        )
        if self.hot_restart is not None:
            self.hot_restart.join(self.sockets, self.consensus, self.maintenance)

    def _recorder(self) -> Recorder | None:
        journal = None if self.journal is None else self.journal.recorder
        if self.outbox is None or self.consensus is None:
            return journal
        return self.outbox.recorder(self.consensus.multiplexer, journal)

    # --- Listening ----------------------------------------------------------------------

    async def _listen(self, shared: bool) -> None:
        config, hot_restart = self.config, self.hot_restart
        assert config.listen is not None
        # The second address answers before clients are taken: a start can be watched.
        if config.management is not None:
            from laurelstep.subsystems.management import ManagementSubsystem

            asked = [one for one in (self.maintenance, self.outbox) if one is not None]
            await self._start(ManagementSubsystem(self.context, config.management, self.lifecycle, asked))
        if not await self._may_serve():
            return
        if hot_restart is None:
            await self.server.listen(*config.listen, reuse_port=shared)
        else:
            await hot_restart.listen(self.server, *config.listen)
            await self._start(hot_restart)

    async def _start(self, subsystem: Subsystem) -> None:
        self.subsystems.append(subsystem)
        await subsystem.start(self.sockets.engine, self.server)

    async def _may_serve(self) -> bool:
        """Wait until this process may send; False if it was stopped meanwhile."""
        if self.maintenance is not None:
            events = (self.maintenance.may_send, self.ended)
            if self.hot_restart is None:
                await first_of(events)
            else:
                await self.hot_restart.wait_while_followed(*events)
        return not self.ended.is_set()

    # --- Signals and the end ------------------------------------------------------------

    def _handle_signals(self, read_config: ReadConfig) -> None:
        self.loop.add_signal_handler(signal.SIGHUP, self._reload, read_config)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # one that waited is handled now
        self.loop.add_signal_handler(signal.SIGTERM, self.stop)
        self.loop.add_signal_handler(signal.SIGINT, self.stop)

    def _reload(self, read_config: ReadConfig) -> None:
        config = reloaded_config(dict(self.context.environ), read_config, self.config)
        if config is None:
            return
        move_discovery(self.sockets.source, config)
        for subsystem in self.subsystems:
            subsystem.reload(config)

    async def _close(self) -> None:
        if self.hot_restart is not None:
            self.hot_restart.stopping = True
        for subsystem in self.subsystems:
            if not subsystem.outlives_sockets:
                await subsystem.stop()
        self.sockets.close()
        for subsystem in reversed(self.subsystems):
            if subsystem.outlives_sockets:
                await subsystem.stop()


async def serve(
    config: Config,
    environ: Mapping[str, str],
    read_config: ReadConfig,
    slot: WorkerSlot | None = None,
    arrival: Arrival | None = None,
) -> None:
    """Run one daemon on the running loop until its stop is over."""
    await Daemon(config, environ, arrival).run(read_config, slot)
