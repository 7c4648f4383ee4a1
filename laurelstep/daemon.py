"""The process of one daemon, from its first listener to the end of its last request: wiring and signals.

Rules of this module:

1. Subsystems are opened and started in the order in which they are listed, before clients are accepted. Those
   with `outlives_sockets` stop after the last connection is closed, the others before.
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
from laurelstep.reload import ReadConfig, reloaded_config, update_discovery_address
from laurelstep.settings import Config, ConfigError
from laurelstep.subsystems.base import ProcessContext, Subsystem, wait_for_any

if TYPE_CHECKING:
    from laurelstep.engine.ports import Recorder
    from laurelstep.engine.request_ids import RequestIdTable
    from laurelstep.subsystems.consensus import ConsensusSubsystem
    from laurelstep.subsystems.hot_restart import HotRestartStartup, HotRestartSubsystem
    from laurelstep.subsystems.maintenance import MaintenanceSubsystem
    from laurelstep.subsystems.outbox import OutboxSubsystem
    from laurelstep.subsystems.request_journal import RequestJournalSubsystem
    from laurelstep.workers.worker import WorkerSlot


class Daemon:
    """One daemon: its subsystems, the engine with its connections, and the server for clients."""

    def __init__(self, config: Config, environ: Mapping[str, str], startup: HotRestartStartup | None) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.context = ProcessContext(self.loop, config, environ)
        self.startup = startup
        self.lifecycle = Lifecycle()
        self.stopped = asyncio.Event()
        self.subsystems: list[Subsystem] = []  # those that are on
        self.journal: RequestJournalSubsystem | None = None
        self.outbox: OutboxSubsystem | None = None
        self.maintenance: MaintenanceSubsystem | None = None
        self.consensus: ConsensusSubsystem | None = None
        self.hot_restart: HotRestartSubsystem | None = None

    async def run(self, read_config: ReadConfig, slot: WorkerSlot | None = None) -> None:
        """Serve until a stop is complete. Raises `ConfigError` if the daemon can't start."""
        await self._open_subsystems()
        self._open_sockets()
        for subsystem in self.subsystems:
            await subsystem.start(self.assembly.engine, self.server)
        self._handle_signals(read_config)  # before listening, which may wait until this process may send
        try:
            await self._listen(shared=slot is not None)
        except OSError as error:
            raise ConfigError(f"can't listen: {error}") from None
        if slot is not None and not self.stopped.is_set():
            from laurelstep.workers.worker import join_supervisor

            await join_supervisor(self.loop, slot, self.assembly.engine, self.stop)
        await self.stopped.wait()
        await self._close()

    def stop(self) -> None:
        """Finish the open requests, then end the process. Called on SIGTERM, SIGINT and by a supervisor."""
        if self.lifecycle.phase is Phase.STARTING:  # no client has been accepted yet
            self.lifecycle.stop(self.loop.time())
            self.stopped.set()
        else:
            self.server.stop(self.stopped.set)

    # --- Wiring -------------------------------------------------------------------------

    async def _open_subsystems(self) -> None:
        """Create the subsystems that are on, open their stores, and connect them to those they depend on."""
        config, context = self.config, self.context
        if self.startup is not None:
            from laurelstep.subsystems.hot_restart import HotRestartSubsystem

            self.hot_restart = HotRestartSubsystem(context, self.startup)
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
        self.subsystems += [subsystem for subsystem in listed if subsystem is not None]

    def _open_consensus(self) -> None:
        from laurelstep.subsystems.consensus import ConsensusSubsystem

        hot_restart, maintenance = self.hot_restart, self.maintenance
        self.consensus = ConsensusSubsystem.create(
            self.context,
            None if maintenance is None else maintenance.assembly.state_machines,
            None if self.outbox is None else self.outbox.state_machines,
            None if hot_restart is None else hot_restart.inherited_state,
        )
        if maintenance is not None and self.consensus is not None:
            is_only = (lambda: True) if hot_restart is None else hot_restart.is_only_version
            maintenance.attach(self.consensus.multiplexer, is_only)

    def _open_sockets(self) -> None:
        """Start the engine with its connections to discovery and endpoints, and create the server."""
        config = self.config
        factory = None if self.maintenance is None else self.maintenance.assembly.wrap_source
        self.assembly = Assembly(
            self.loop,
            config,
            log,
            self._recorder(),
            collector=Collector(),
            create_filtering_source=factory,
            request_ids=self._request_ids(),
        )
        self.assembly.start()
        self.server = Server(
            self.loop,
            self.assembly.engine,
            config.max_side_connections,
            self.assembly.upstream.retire,
            self.lifecycle,
            self.assembly.upstream.budgets,
        )
        if self.hot_restart is not None:
            self.hot_restart.attach(self.assembly, self.consensus, self.maintenance)

    def _request_ids(self) -> RequestIdTable | None:
        """The table of claimed ids that this process shares with its successor; None without hot restart."""
        listen = self.config.listen
        if self.startup is None or listen is None:
            return None
        from laurelstep.hot_restart.shared_ids import open_shared_ids

        try:
            return open_shared_ids(listen, self.startup.rendezvous.folder)
        except OSError as error:
            log(f"request ids are not shared with other processes: {error}")
            return None

    def _recorder(self) -> Recorder | None:
        journal = None if self.journal is None else self.journal.recorder
        if self.outbox is None or self.consensus is None:
            return journal
        return self.outbox.recorder(self.consensus.multiplexer, journal)

    # --- Listening ----------------------------------------------------------------------

    async def _listen(self, shared: bool) -> None:
        config, hot_restart = self.config, self.hot_restart
        assert config.listen is not None
        # The management address answers before clients are accepted, so that a start can be observed.
        if config.management is not None:
            from laurelstep.subsystems.management import ManagementSubsystem

            others = [subsystem for subsystem in (self.maintenance, self.outbox) if subsystem is not None]
            await self._start(ManagementSubsystem(self.context, config.management, self.lifecycle, others))
        if not await self._wait_until_may_serve():
            return
        if hot_restart is None:
            await self.server.listen(*config.listen, reuse_port=shared)
        else:
            await hot_restart.listen(self.server, *config.listen)
            await self._start(hot_restart)

    async def _start(self, subsystem: Subsystem) -> None:
        self.subsystems.append(subsystem)
        await subsystem.start(self.assembly.engine, self.server)

    async def _wait_until_may_serve(self) -> bool:
        """Wait until this process may send to endpoints. Returns False if it was stopped meanwhile."""
        if self.maintenance is not None:
            events = (self.maintenance.may_send, self.stopped)
            if self.hot_restart is None:
                await wait_for_any(events)
            else:
                await self.hot_restart.wait_with_predecessor(*events)
        return not self.stopped.is_set()

    # --- Signals and shutdown -----------------------------------------------------------

    def _handle_signals(self, read_config: ReadConfig) -> None:
        self.loop.add_signal_handler(signal.SIGHUP, self._reload, read_config)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # a pending one is handled now
        self.loop.add_signal_handler(signal.SIGTERM, self.stop)
        self.loop.add_signal_handler(signal.SIGINT, self.stop)

    def _reload(self, read_config: ReadConfig) -> None:
        config = reloaded_config(dict(self.context.environ), read_config, self.config)
        if config is None:
            return
        update_discovery_address(self.assembly.source, config)
        for subsystem in self.subsystems:
            subsystem.reload(config)

    async def _close(self) -> None:
        if self.hot_restart is not None:
            self.hot_restart.is_stopping = True
        for subsystem in self.subsystems:
            if not subsystem.outlives_sockets:
                await subsystem.stop()
        self.assembly.close()
        for subsystem in reversed(self.subsystems):
            if subsystem.outlives_sockets:
                await subsystem.stop()


async def serve(
    config: Config,
    environ: Mapping[str, str],
    read_config: ReadConfig,
    slot: WorkerSlot | None = None,
    startup: HotRestartStartup | None = None,
) -> None:
    """Run one daemon on the running event loop until its stop is complete."""
    await Daemon(config, environ, startup).run(read_config, slot)
