"""Hot restart as a subsystem: this process takes over from a predecessor, and hands over to a successor."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine, Mapping
from typing import TYPE_CHECKING, Any

from laurelstep.engine.list_updates import dump_in_steps
from laurelstep.net.cooperative_task import CooperativeTask
from laurelstep.net.discovery import Discovery
from laurelstep.net.log import log
from laurelstep.settings import Config, ConfigError
from laurelstep.subsystems.base import ProcessContext, Subsystem, wait_for_any

if TYPE_CHECKING:
    from laurelstep.engine import Engine
    from laurelstep.hot_restart.predecessor import HotRestartServer
    from laurelstep.hot_restart.rendezvous import RendezvousPoint
    from laurelstep.hot_restart.successor import PredecessorHandle
    from laurelstep.net.assembly import Assembly
    from laurelstep.net.server import Server
    from laurelstep.subsystems.consensus import ConsensusSubsystem
    from laurelstep.subsystems.maintenance import MaintenanceSubsystem

SendState = Callable[[dict[str, bytes]], None]


class HotRestartStartup:
    """The state of a hot restart at the start of a process: its rendezvous point, whether other processes are
    registered there, and the predecessor that handed over; None if there is none or it could not hand over.
    """

    def __init__(
        self, rendezvous: RendezvousPoint, has_other_processes: bool, predecessor: PredecessorHandle | None
    ) -> None:
        self.rendezvous = rendezvous
        self.has_other_processes = has_other_processes
        self.predecessor = predecessor

    def config_with_list(self, config: Config) -> Config:
        """The configuration with the predecessor's endpoint list, if there is a predecessor."""
        from laurelstep.hot_restart.state import config_with_state

        return config if self.predecessor is None else config_with_state(config, self.predecessor.state)


def prepare_hot_restart(config: Config, environ: Mapping[str, str]) -> HotRestartStartup | None:
    """Register this process, and take over from its predecessor if there is one.

    Returns None if hot restart is off or the rendezvous point can't be used. It is off without a management
    address, by which operators tell two versions apart, and with a request journal or an outbox, because only
    one process may own a store.
    """
    has_store = config.orders is not None or config.outbox is not None
    if config.management is None or config.listen is None or has_store:
        return None
    from laurelstep.hot_restart.messages import HotRestartError
    from laurelstep.hot_restart.rendezvous import RendezvousPoint
    from laurelstep.hot_restart.successor import take_over

    try:
        rendezvous = RendezvousPoint(config.listen, environ.get("TMPDIR") or "/tmp")
        has_other_processes = rendezvous.register()
    except OSError as error:
        log(f"no hot restart: {error}")
        return None
    try:
        predecessor = take_over(rendezvous, config.listen) if has_other_processes else None
        return HotRestartStartup(rendezvous, has_other_processes, predecessor)
    except HotRestartError as error:
        log(f"no hot restart, the address is shared with the other process: {error}")
        return HotRestartStartup(rendezvous, has_other_processes, None)


def check_address_free(host: str, port: int) -> None:
    """Raise OSError if another process listens at the address.

    This process binds it with SO_REUSEPORT, so that its successor can share it. Without the check, it would
    also share the address of an unrelated daemon that binds it in this way, and take some of its clients.
    """
    if port == 0:
        return
    family, kind, _, _, address = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
    with socket.socket(family, kind) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(address)


class HotRestartSubsystem(Subsystem):
    """Started once the server listens. While two processes serve, they share the limit on descriptors."""

    def __init__(self, context: ProcessContext, startup: HotRestartStartup) -> None:
        self.context = context
        self.startup = startup
        self.collect_task = CooperativeTask(context.loop)
        self.assembly: Assembly | None = None
        self.consensus: ConsensusSubsystem | None = None
        self.maintenance: MaintenanceSubsystem | None = None
        self.server: Server | None = None
        self.restart_server: HotRestartServer | None = None
        self.has_predecessor = startup.predecessor is not None
        self.is_only_process = not startup.has_other_processes
        self.is_stopping = False
        self.tasks: set[asyncio.Task[None]] = set()

    # --- Predecessor --------------------------------------------------------------------

    @property
    def inherited_state(self) -> Mapping[str, Any] | None:
        """The state that the predecessor handed over; None without a predecessor."""
        return None if self.startup.predecessor is None else self.startup.predecessor.state

    def is_only_version(self) -> bool:
        """Whether no process of an earlier version sends to endpoints any more.

        Checked with the rendezvous lock, not only the channel: a predecessor that has closed the channel to
        this process may still be running.
        """
        if self.has_predecessor:
            return False
        if not self.is_only_process:
            self.is_only_process = not self.startup.rendezvous.register()
        return self.is_only_process

    async def wait_with_predecessor(self, *events: asyncio.Event) -> None:
        """Wait until one of the events is set, among them the one that allows this process to send.

        Raises `ConfigError` if the predecessor gave up waiting for this process and continues to serve: both
        would accept clients.
        """
        predecessor = self.startup.predecessor
        if predecessor is None:
            await wait_for_any(events)
            return
        channel_closed = asyncio.Event()
        # At this stage the channel becomes readable only if the predecessor rejects this process, or exits.
        self.context.loop.add_reader(predecessor.channel.fileno(), channel_closed.set)
        await wait_for_any((*events, channel_closed))
        self.context.loop.remove_reader(predecessor.channel.fileno())
        if not channel_closed.is_set():
            return
        if self.startup.rendezvous.register():
            raise ConfigError(
                f"{self.context.error_prefix}upkeep.start_alone: the machines out of service were not known "
                "in time, and the previous version continues to serve: start this one again once a majority "
                "of the seats is up"
            )
        await wait_for_any(events)  # the predecessor has exited, and this process is alone

    def _on_predecessor_ended(self, predecessor: PredecessorHandle) -> None:
        self.context.loop.remove_reader(predecessor.channel.fileno())
        predecessor.channel.close()
        self.has_predecessor = False
        self._share_descriptors()

    def attach(
        self,
        assembly: Assembly,
        consensus: ConsensusSubsystem | None,
        maintenance: MaintenanceSubsystem | None,
    ) -> None:
        """Set the parts of this process whose state a successor takes over."""
        self.assembly, self.consensus, self.maintenance = assembly, consensus, maintenance

    # --- Listening and successor ------------------------------------------------------------

    async def listen(self, server: Server, host: str, port: int) -> None:
        """Accept clients at the address, with the predecessor's listener if that was handed over."""
        if self.startup.predecessor is not None:
            await server.listen(host, port, inherited_listener=self.startup.predecessor.listener)
            return
        if not self.startup.has_other_processes:
            check_address_free(host, port)
        # Lets a successor bind the address as well, if handing over the listener fails.
        await server.listen(host, port, reuse_port=True)

    async def start(self, engine: Engine, server: Server) -> None:
        """Report to the predecessor that this process serves, and accept a successor."""
        from laurelstep.hot_restart.predecessor import HotRestartServer

        self.server = server
        loop, startup = self.context.loop, self.startup
        if startup.predecessor is not None:
            self.has_predecessor = True
            loop.add_reader(
                startup.predecessor.channel.fileno(), self._on_predecessor_ended, startup.predecessor
            )
            startup.predecessor.report_ready()
        listener: Any = server.listener
        try:
            self.restart_server = HotRestartServer(
                loop, startup.rendezvous, listener.sockets[0], self._collect_state, self._on_progress, log
            )
        except OSError as error:
            log(f"no hot restart to a later version is possible: {error}")
        else:
            server.shutdown.has_successor = self._is_taken_over
        self._share_descriptors()

    async def stop(self) -> None:
        """Stop accepting a successor, and cancel the collection of the state."""
        self.collect_task.close()
        if self.restart_server is not None:
            self.restart_server.close()

    def _is_taken_over(self) -> bool:
        return self.restart_server is not None and self.restart_server.progress.is_taken_over

    def _on_progress(self) -> None:
        self._share_descriptors()
        self._rejoin_consensus()

    def _share_descriptors(self) -> None:
        config = self.context.config
        has_no_successor = self.restart_server is None or self.restart_server.progress.is_alone
        is_alone = not self.has_predecessor and has_no_successor
        limit = config.max_side_connections if is_alone else config.max_shared_side_connections
        assert self.server is not None and self.assembly is not None
        self.server.max_connections = self.assembly.upstream.max_connections = limit

    # --- State transfer -------------------------------------------------------------------

    def _collect_state(self, send_state: SendState) -> None:
        """Collect the state that a successor would otherwise have to learn again, and send it.

        The state is empty if the endpoint list can't be encoded.
        """
        from laurelstep.hot_restart.state import collect_state

        assert self.assembly is not None
        source, endpoint_lists = self.assembly.source, list[bytes]()
        generation = source.generation if isinstance(source, Discovery) else 0

        def on_end(error: Exception | None) -> None:
            state = {} if error is not None else collect_state(self.context.config, source, endpoint_lists[0])
            if self.consensus is None:
                send_state(state)
            else:
                self._spawn(self._retire(self.consensus, state, send_state))

        if self.maintenance is not None and self.maintenance.assembly.source is not None:
            # The successor also needs the endpoints that maintenance removes from the engine's list.
            steps = self.maintenance.assembly.source.dump_in_steps(generation, endpoint_lists)
        else:
            steps = dump_in_steps(self.assembly.engine.endpoints, generation, endpoint_lists)
        self.collect_task.run(steps, on_end)

    async def _retire(
        self, consensus: ConsensusSubsystem, state: dict[str, bytes], send_state: SendState
    ) -> None:
        """Stop this process's replica, then send the state: the successor becomes the same peer."""
        from laurelstep.hot_restart.state import encode_replica

        replica_state = await consensus.node.retire()
        send_state({**state, **encode_replica(replica_state)})
        self._rejoin_consensus()  # in case the successor has disconnected meanwhile

    def _rejoin_consensus(self) -> None:
        """Restart this process's replica, if it was stopped for a successor that has disconnected."""
        server = self.restart_server
        if (
            self.consensus is not None
            and server is not None
            and server.progress.is_alone
            and not self.is_stopping
        ):
            self._spawn(self.consensus.node.restart())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.context.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
