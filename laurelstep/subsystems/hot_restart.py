"""Hot restart as a subsystem: this process follows one version, and hands over to the next."""

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
from laurelstep.subsystems.base import ProcessContext, Subsystem, first_of

if TYPE_CHECKING:
    from laurelstep.engine import Engine
    from laurelstep.hot_restart.predecessor import HotRestartServer
    from laurelstep.hot_restart.rendezvous import RendezvousPoint
    from laurelstep.hot_restart.successor import PredecessorHandle
    from laurelstep.net.assembly import Assembly
    from laurelstep.net.server import Server
    from laurelstep.subsystems.consensus import ConsensusSubsystem
    from laurelstep.subsystems.maintenance import MaintenanceSubsystem

Give = Callable[[dict[str, bytes]], None]


class Arrival:
    """How a process starts: alone, or beside one that serves at the same addresses."""

    def __init__(
        self, rendezvous: RendezvousPoint, has_others: bool, predecessor: PredecessorHandle | None
    ) -> None:
        self.rendezvous = rendezvous
        self.has_others = has_others
        self.predecessor = predecessor

    def config(self, config: Config) -> Config:
        """With the endpoint list that the other process had, where there is one."""
        from laurelstep.hot_restart.state import config_with_state

        return config if self.predecessor is None else config_with_state(config, self.predecessor.state)


def prepare_hot_restart(config: Config, environ: Mapping[str, str]) -> Arrival | None:
    """None where no process can take over: without a second address, which tells one version
    from the next, or with a request journal or an outbox, whose stores have one owner.
    """
    has_store = config.orders is not None or config.outbox is not None
    if config.management is None or config.listen is None or has_store:
        return None
    from laurelstep.hot_restart.messages import HotRestartError
    from laurelstep.hot_restart.rendezvous import RendezvousPoint
    from laurelstep.hot_restart.successor import take_over

    try:
        rendezvous = RendezvousPoint(config.listen, environ.get("TMPDIR") or "/tmp")
        has_others = rendezvous.register()
    except OSError as error:
        log(f"no hot restart: {error}")
        return None
    try:
        predecessor = take_over(rendezvous, config.listen) if has_others else None
        return Arrival(rendezvous, has_others, predecessor)
    except HotRestartError as error:
        log(f"no hot restart, the address is shared: {error}")
        return Arrival(rendezvous, has_others, None)


def check_address_free(host: str, port: int) -> None:
    """OSError if somebody listens there. Guards against another daemon's callers: the address is
    then bound so that a next version may share it, and so would anybody's daemon.
    """
    if port == 0:
        return
    family, kind, _, _, found = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
    with socket.socket(family, kind) as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind(found)


class HotRestartSubsystem(Subsystem):
    """Started once the server listens. While two processes serve they share one sidecar's descriptors."""

    def __init__(self, context: ProcessContext, arrival: Arrival) -> None:
        self.context = context
        self.arrival = arrival
        self.slices = CooperativeTask(context.loop)
        self.sockets: Assembly | None = None
        self.consensus: ConsensusSubsystem | None = None
        self.maintenance: MaintenanceSubsystem | None = None
        self.server: Server | None = None
        self.restart_server: HotRestartServer | None = None
        self.has_predecessor = arrival.predecessor is not None
        self.was_alone = not arrival.has_others
        self.stopping = False
        self.tasks: set[asyncio.Task[None]] = set()

    # --- The version before -------------------------------------------------------------

    @property
    def inherited_state(self) -> Mapping[str, Any] | None:
        """What the predecessor handed over."""
        return None if self.arrival.predecessor is None else self.arrival.predecessor.state

    def is_only_version(self) -> bool:
        """Whether no process of the version before sends to endpoints any more. Asked at the lock:
        one that has given this process up may live on.
        """
        if self.has_predecessor:
            return False
        if not self.was_alone:
            self.was_alone = not self.arrival.rendezvous.register()
        return self.was_alone

    async def wait_while_followed(self, *events: asyncio.Event) -> None:
        """Until one of the events, of which one tells that this process may send. `ConfigError` if the
        predecessor did not wait as long, and serves on: two of them would take clients.
        """
        predecessor = self.arrival.predecessor
        if predecessor is None:
            await first_of(events)
            return
        given_up = asyncio.Event()
        self.context.loop.add_reader(
            predecessor.channel.fileno(), given_up.set
        )  # nothing else is said there yet
        await first_of((*events, given_up))
        self.context.loop.remove_reader(predecessor.channel.fileno())
        if not given_up.is_set():
            return
        if self.arrival.rendezvous.register():
            raise ConfigError(
                f"{self.context.error_prefix}upkeep.start_alone: what is out was not known in time, "
                "the version before serves on: start this one again once a majority of the seats is up"
            )
        await first_of(events)  # it has ended: there is nobody to come after

    def _on_predecessor_ended(self, predecessor: PredecessorHandle) -> None:
        self.context.loop.remove_reader(predecessor.channel.fileno())
        predecessor.channel.close()
        self.has_predecessor = False
        self._share_descriptors()

    def join(
        self,
        sockets: Assembly,
        consensus: ConsensusSubsystem | None,
        maintenance: MaintenanceSubsystem | None,
    ) -> None:
        """What of this process the next one takes over."""
        self.sockets, self.consensus, self.maintenance = sockets, consensus, maintenance

    # --- Listening, and the version after -------------------------------------------------

    async def listen(self, server: Server, host: str, port: int) -> None:
        """Serve at the address: at the predecessor's listener where it was handed over."""
        if self.arrival.predecessor is not None:
            await server.listen(host, port, inherited_listener=self.arrival.predecessor.listener)
            return
        if not self.arrival.has_others:
            check_address_free(host, port)
        # Shared with the process that comes next, should that not get the listener.
        await server.listen(host, port, reuse_port=True)

    async def start(self, engine: Engine, server: Server) -> None:
        """Tell the process before this one that this one serves, and wait for the one after it."""
        from laurelstep.hot_restart.predecessor import HotRestartServer

        self.server = server
        loop, arrival = self.context.loop, self.arrival
        if arrival.predecessor is not None:
            self.has_predecessor = True
            loop.add_reader(
                arrival.predecessor.channel.fileno(), self._on_predecessor_ended, arrival.predecessor
            )
            arrival.predecessor.report_ready()
        listener: Any = server.listener
        try:
            self.restart_server = HotRestartServer(
                loop, arrival.rendezvous, listener.sockets[0], self._collect, self._on_progress, log
            )
        except OSError as error:
            log(f"no hot restart to a next version: {error}")
        else:
            server.shutdown.has_successor = self._is_taken_over
        self._share_descriptors()

    async def stop(self) -> None:
        """No process can follow this one any more."""
        self.slices.close()
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
        alone = not self.has_predecessor and has_no_successor
        most = config.max_side_connections if alone else config.max_shared_side_connections
        assert self.server is not None and self.sockets is not None
        self.server.max_connections = self.sockets.upstream.max_connections = most

    # --- What is handed over --------------------------------------------------------------

    def _collect(self, give: Give) -> None:
        """What the next process would have to learn anew."""
        from laurelstep.hot_restart.state import collect_state

        assert self.sockets is not None
        source, known = self.sockets.source, list[bytes]()
        generation = source.generation if isinstance(source, Discovery) else 0

        def on_end(error: Exception | None) -> None:
            state = {} if error is not None else collect_state(self.context.config, source, known[0])
            if self.consensus is None:
                give(state)
            else:
                self._spawn(self._retire(self.consensus, state, give))

        if self.maintenance is not None and self.maintenance.assembly.source is not None:
            # What is held back is not in the engine's list, and is the next process's all the same.
            steps = self.maintenance.assembly.source.dump_in_steps(generation, known)
        else:
            steps = dump_in_steps(self.sockets.engine.endpoints, generation, known)
        self.slices.run(steps, on_end)

    async def _retire(self, consensus: ConsensusSubsystem, state: dict[str, bytes], give: Give) -> None:
        """The next process is the same member of the tier: this one ceases to be one, then tells."""
        from laurelstep.hot_restart.state import encode_replica

        memory = await consensus.node.retire()
        give({**state, **encode_replica(memory)})
        self._rejoin_consensus()  # if it went away meanwhile

    def _rejoin_consensus(self) -> None:
        """Nobody follows any more: take part again, if this process has given up its part."""
        server = self.restart_server
        if (
            self.consensus is not None
            and server is not None
            and server.progress.is_alone
            and not self.stopping
        ):
            self._spawn(self.consensus.node.restart())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.context.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
