"""One daemon's process: its parts wired, from the first listener to the end of the last request."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import fields
from functools import partial
from typing import TYPE_CHECKING, Any

from laurelstep.engine.listing import dump_in_steps
from laurelstep.engine.ports import MemberSource
from laurelstep.interface import Settings
from laurelstep.lifecycle import Lifecycle, Phase
from laurelstep.net.assembly import Assembly
from laurelstep.net.collector import Collector
from laurelstep.net.discovery import Discovery
from laurelstep.net.message import LARGE_MAX, log
from laurelstep.net.server import Server
from laurelstep.net.slices import Slices
from laurelstep.orders import open_recorder
from laurelstep.settings import Config, ConfigError

if TYPE_CHECKING:
    from laurelstep.accord.node import Node
    from laurelstep.accord.parts import Parts
    from laurelstep.accord.ports import Machine
    from laurelstep.engine.ports import Recorder
    from laurelstep.handover.giver import Giver
    from laurelstep.handover.place import Place
    from laurelstep.handover.taker import Taken
    from laurelstep.management.server import Management
    from laurelstep.outbox.driver import OutboxDriver
    from laurelstep.outbox.shared.assembly import SharedOutbox
    from laurelstep.outbox.shared.carried_ledger import CarriedLedger
    from laurelstep.upkeep.assembly import Upkeep
    from laurelstep.workers.child import Seat

ReadConfig = Callable[[dict[str, str]], Config]


class Arrival:
    """How a process comes: alone, or beside one that serves at the same addresses."""

    def __init__(self, place: Place, others: bool, taken: Taken | None) -> None:
        self.place = place
        self.others = others
        self.taken = taken

    def config(self, config: Config) -> Config:
        """With the list that the other process had, where there is one."""
        from laurelstep.handover.state import with_state

        return config if self.taken is None else with_state(config, self.taken.state)


def arrive(config: Config, environ: Mapping[str, str]) -> Arrival | None:
    """None where no process can take over: without a second address, which tells one version
    from the next, or with a record of orders or an outbox, whose stores have one owner."""
    has_store = config.orders is not None or config.outbox is not None
    if config.management is None or config.listen is None or has_store:
        return None
    from laurelstep.handover.messages import HandoverError
    from laurelstep.handover.place import Place
    from laurelstep.handover.taker import take

    try:
        place = Place(config.listen, environ.get("TMPDIR") or "/tmp")
        others = place.enter()
    except OSError as error:
        log(f"no handover: {error}")
        return None
    try:
        return Arrival(place, others, take(place, config.listen) if others else None)
    except HandoverError as error:
        log(f"no handover, the address is shared: {error}")
        return Arrival(place, others, None)


class Daemon:
    def __init__(self, config: Config, environ: Mapping[str, str], arrival: Arrival | None) -> None:
        self.config = config
        self.environ = environ
        self.arrival = arrival
        self.loop = asyncio.get_running_loop()
        self.lifecycle = Lifecycle()
        self.slices = Slices(self.loop)
        self.ended = asyncio.Event()
        self.management: Management | None = None
        self.giver: Giver | None = None
        self.has_predecessor = arrival is not None and arrival.taken is not None
        self.was_alone = arrival is None or not arrival.others
        self.node: Node | None = None
        self.upkeep: Upkeep | None = None
        self.outbox: OutboxDriver | None = None
        self.shared: SharedOutbox | None = None  # what copies share of kept writes
        self.carried: CarriedLedger | None = None  # the same, where this copy does not
        self.node_parts: Parts | None = None
        self.leaving = False
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, read_config: ReadConfig, seat: Seat | None = None) -> None:
        """Until a stop is over. `ConfigError` if it can't begin."""
        config = self.config
        orders = None
        if config.orders is not None:
            orders = await open_recorder(config.orders, config.names.classes, log)
        self.shared = self._outbox_shared()
        self.outbox = await self._outbox()
        self.upkeep = self._upkeep()
        self.node = self._accord_node()
        recorder = self._recorder(orders)
        holding = None if self.upkeep is None else self.upkeep.hold
        self.parts = Assembly(self.loop, config, log, recorder, collector=Collector(), holding=holding)
        self.parts.start()
        self.server = Server(
            self.loop,
            self.parts.engine,
            config.side_sockets,
            self.parts.upstream.retire,
            self.lifecycle,
            config.memory_mb,
        )
        if self.outbox is not None:
            self.outbox.begin(self.parts.engine)
            self.server.receipts = self.outbox.ask
        self._begin_sharing(alone=orders is None)
        await self._take_part()
        self._heed_signals(read_config)  # from here on a caller may come, and a start may have to wait
        try:
            await self._listen(shared=seat is not None)
        except OSError as error:
            raise ConfigError(f"can't listen: {error}") from None
        if seat is not None and not self.ended.is_set():
            from laurelstep.workers.child import join

            await join(self.loop, seat, self.parts.engine, self.stop)
        await self.ended.wait()
        self.leaving = True
        if self.outbox is not None:
            await self.outbox.close()  # what is out may still be answered
        if self.shared is not None:
            await self.shared.close()
        self._close()
        if self.node is not None:
            await self.node.close()
        if orders is not None:
            await orders.close()

    def stop(self) -> None:
        if self.lifecycle.phase is Phase.STARTING:  # nobody was taken yet
            self.lifecycle.stop(self.loop.time())
            self.ended.set()
        else:
            self.server.stop(self.ended.set)

    def _heed_signals(self, read_config: ReadConfig) -> None:
        self.loop.add_signal_handler(
            signal.SIGHUP, reload, dict(self.environ), self.parts.source, read_config, self.config
        )
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # one that waited is heeded now
        self.loop.add_signal_handler(signal.SIGTERM, self.stop)
        self.loop.add_signal_handler(signal.SIGINT, self.stop)

    def _close(self) -> None:
        self.slices.close()
        if self.upkeep is not None:
            self.upkeep.close()
        self.parts.close()
        if self.giver is not None:
            self.giver.close()
        if self.management is not None:
            self.management.close()

    # --- What the copies of the tier share ----------------------------------------------

    def _accord_node(self) -> Node | None:
        """This process's part in it, not yet begun, with all that rests on it; None where it is off."""
        settings = self.config.accord
        if settings is None:
            return None
        if not settings.is_linked:
            log("accord: off, and what rests on it: the configuration has no peers and peer_listen")
            return None
        # Imported where it is on.
        from laurelstep.accord.machines import Machines
        from laurelstep.accord.node import check_folder, node_of
        from laurelstep.accord.parts import Parts
        from laurelstep.engine.clock import LoopClock
        from laurelstep.outbox.shared.entries import KIND as KEPT_WRITES
        from laurelstep.upkeep.assembly import carried

        try:
            check_folder(settings.store_path)
            clock = LoopClock(self.loop)
            upkeep = carried() if self.upkeep is None else self.upkeep.machines
            node = node_of(settings, Machines(upkeep | self._machines()), self.loop, clock, log)
            self.node_parts = Parts(node)
            if self.carried is not None:
                self.carried.join(self.node_parts.part(KEPT_WRITES), clock)
            return node
        except ImportError as error:
            problem = f"{error.name} is missing: pip install 'laurelstep[store]'"
        except OSError as error:
            problem = f"{settings.store_path}: {error.strerror}: expected a folder that this user may write"
        raise ConfigError(f"{self._file}accord.store_path: {problem}")

    async def _take_part(self) -> None:
        if self.node is None:
            return
        from laurelstep.handover.state import kept_in

        taken = None if self.arrival is None else self.arrival.taken
        try:
            await self.node.start(None if taken is None else kept_in(taken.state))
        except OSError as error:
            listen = self.config.accord.listen if self.config.accord is not None else ""
            problem = f"{listen}: {error.strerror}: expected where this process may listen, on this machine"
            raise ConfigError(f"{self._file}accord.peer_listen: {problem}") from None
        if self.upkeep is not None and self.node_parts is not None:
            from laurelstep.upkeep.entries import KIND

            self.upkeep.begin(self.node_parts.part(KIND), self.parts.engine, self._is_alone)

    def _outbox_shared(self) -> SharedOutbox | None:
        """What upstream's copies share of edges' kept writes, not yet begun; None where it is off."""
        if self.config.outbox is None or not self.config.outbox.shared:
            return None
        # Imported where it is on.
        try:
            from laurelstep.outbox.shared.assembly import SharedOutbox
        except ImportError as error:
            missing = f"{error.name} is missing: pip install 'laurelstep[store]'"
            raise ConfigError(f"{self._file}outbox.shared: {missing}") from None
        return SharedOutbox(self.loop, self.config, log)

    def _machines(self) -> dict[int, Machine]:
        """The record's part of kept writes: every copy that takes part carries it."""
        if self.shared is not None:
            return self.shared.machines
        from laurelstep.outbox.shared.carried_ledger import CarriedLedger

        self.carried = CarriedLedger()
        return self.carried.machines

    def _recorder(self, orders: Recorder | None) -> Recorder | None:
        """That of `[orders]`, behind the gate for edges' replays where there is one."""
        if self.shared is None or self.outbox is None or self.node_parts is None:
            return orders
        from laurelstep.outbox.shared.entries import KIND

        return self.shared.join(self.node_parts.part(KIND), self.outbox, orders)

    def _begin_sharing(self, alone: bool) -> None:
        if self.shared is None or self.shared.gate is None:
            return
        if alone:
            self.server.body_most = LARGE_MAX  # the gate holds no bodies
        self.server.shared = self.shared.gate.ask
        self.shared.begin()

    async def _outbox(self) -> OutboxDriver | None:
        """The writes kept by earlier lives; None where it is off. `ConfigError` if they can't be read."""
        settings, names = self.config.outbox, self.config.names
        if settings is None:
            return None
        # Imported where it is on.
        try:
            from laurelstep.outbox.driver import open_driver
        except ImportError as error:
            missing = f"{error.name} is missing: pip install 'laurelstep[store]'"
            raise ConfigError(f"{self._file}outbox: {missing}") from None
        version_vector = None if self.shared is None else self.shared.version_vector
        return await open_driver(settings, names.classes, names.tenants, log, self._file, version_vector)

    def _upkeep(self) -> Upkeep | None:
        """Machines out for work, not yet begun; None where it is off, or has nothing to rest on."""
        settings, accord = self.config.upkeep, self.config.accord
        if settings is None or accord is None or not accord.is_linked:
            return None
        # Imported where it is on.
        from laurelstep.upkeep.assembly import Upkeep

        return Upkeep(self.loop, self.config, settings, log)

    def _is_alone(self) -> bool:
        """Whether no process of the version before sends to endpoints any more. Asked at the lock:
        one that has given this process up may live on."""
        if self.has_predecessor:
            return False
        if not self.was_alone:
            self.was_alone = self.arrival is None or not self.arrival.place.enter()
        return self.was_alone

    async def _know(self) -> bool:
        """Wait until this process may send: False if it was stopped meanwhile. `ConfigError` if the
        one before it did not wait as long, and serves on: two of them would take callers."""
        if self.upkeep is None:
            return not self.ended.is_set()
        taken = None if self.arrival is None else self.arrival.taken
        given_up = asyncio.Event()
        if taken is not None:
            self.loop.add_reader(taken.channel.fileno(), given_up.set)  # nothing else is said there yet
        while True:
            events = [self.upkeep.opened, self.ended, *([] if taken is None else [given_up])]
            waits = [self.loop.create_task(one.wait()) for one in events]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            for one in waits:
                one.cancel()
            if taken is not None:
                self.loop.remove_reader(taken.channel.fileno())
            if taken is None or not given_up.is_set():
                return not self.ended.is_set()
            if self.arrival is not None and self.arrival.place.enter():
                raise ConfigError(
                    f"{self._file}upkeep.start_alone: what is out was not known in time, the version before "
                    "serves on: start this one again once a majority of the seats is up"
                )
            taken = None  # it has ended: there is nobody to come after

    @property
    def _file(self) -> str:
        """The operator's, where there is one, to begin a line with."""
        path = self.environ.get("LB_OPERATOR")
        return f"{path}: " if path else ""

    def _begin_again(self) -> None:
        """Nobody follows any more: take part again, if this process has given up its part."""
        giver = self.giver
        if self.node is not None and giver is not None and giver.is_alone and not self.leaving:
            self._spawn(self.node.begin_again())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # --- Listening ------------------------------------------------------------------

    async def _listen(self, shared: bool) -> None:
        config, arrival = self.config, self.arrival
        assert config.listen is not None
        # The second address answers before callers are taken: a start can be watched.
        if config.management is not None:
            await self._manage(*config.management)
        if not await self._know():
            return
        if arrival is None:
            await self.server.listen(*config.listen, shared=shared)
            return
        if arrival.taken is not None:
            await self.server.listen(*config.listen, handed=arrival.taken.listener)
        else:
            if not arrival.others:
                check_free(*config.listen)
            # Shared with the process that comes next, should that not get the listener.
            await self.server.listen(*config.listen, shared=True)
        self._be_succeeded(arrival)

    async def _manage(self, host: str, port: int) -> None:
        # Imported where it is on, as all that a plain daemon does without.
        from laurelstep.management.calls import MoreCalls, Reply, reply_to
        from laurelstep.management.server import Management
        from laurelstep.management.telemetry import figures

        subsystems: list[MoreCalls] = []
        if self.upkeep is not None:
            subsystems.append(self.upkeep.reply)
        if self.outbox is not None:
            from laurelstep.outbox.api import LogClaimApi, reply_about

            claimer = self.shared or (self.outbox if isinstance(self.outbox, LogClaimApi) else None)
            subsystems.append(partial(reply_about, desk=self.outbox, shared=self.shared, claimer=claimer))

        def more(method: bytes, target: bytes) -> Reply | None:
            found = (one(method, target) for one in subsystems)
            return next((reply for reply in found if reply is not None), None)

        def asked(method: bytes, target: bytes) -> Reply:
            now = self.loop.time()
            return reply_to(method, target, self.lifecycle, now, lambda: figures(self.parts.engine), more)

        self.management = Management(self.loop, asked)
        await self.management.listen(host, port)

    # --- One version after the other ------------------------------------------------

    def _be_succeeded(self, arrival: Arrival) -> None:
        """Serving: tell the process before this one, and wait for the one after it."""
        from laurelstep.handover.giver import Giver

        if arrival.taken is not None:
            self.has_predecessor = True
            self.loop.add_reader(arrival.taken.channel.fileno(), self._predecessor_ended, arrival.taken)
            arrival.taken.say_ready()
        listener: Any = self.server.listener
        try:
            self.giver = Giver(
                self.loop, arrival.place, listener.sockets[0], self._collect, self._changed, log
            )
        except OSError as error:
            log(f"no handover to a next version: {error}")
        else:
            self.server.shutdown.succeeded = lambda: self.giver is not None and self.giver.handover.taken
        self._share()

    def _predecessor_ended(self, taken: Taken) -> None:
        self.loop.remove_reader(taken.channel.fileno())
        taken.channel.close()
        self.has_predecessor = False
        self._share()

    def _changed(self) -> None:
        """A handover has come further, or to nothing."""
        self._share()
        self._begin_again()

    def _share(self) -> None:
        """Two processes have one sidecar's descriptors."""
        alone = not self.has_predecessor and (self.giver is None or self.giver.handover.share == 1.0)
        most = self.config.side_sockets if alone else self.config.shared_side_sockets
        self.server.most = self.parts.upstream.most = most

    def _collect(self, give: Callable[[dict[str, bytes]], None]) -> None:
        """What the next process would have to learn anew."""
        from laurelstep.handover.state import state_of

        source, known = self.parts.source, list[bytes]()
        generation = source.generation if isinstance(source, Discovery) else 0

        def ended(error: Exception | None) -> None:
            state = {} if error is not None else state_of(self.config, source, known[0])
            if self.node is None:
                give(state)
            else:
                self._spawn(self._retire(self.node, state, give))

        if self.upkeep is not None and self.upkeep.source is not None:
            # What is held back is not in the engine's list, and is the next process's all the same.
            steps = self.upkeep.source.dump_in_steps(generation, known)
        else:
            steps = dump_in_steps(self.parts.engine.members, generation, known)
        self.slices.run(steps, ended)

    async def _retire(
        self, node: Node, state: dict[str, bytes], give: Callable[[dict[str, bytes]], None]
    ) -> None:
        """The next process is the same member of the tier: this one ceases to be one, then tells."""
        from laurelstep.handover.state import state_of_accord

        kept = await node.retire()
        give({**state, **state_of_accord(kept)})
        self._begin_again()  # if it went away meanwhile


def check_free(host: str, port: int) -> None:
    """OSError if somebody listens there. Guards against another daemon's callers: the address is
    then bound so that a next version may share it, and so would anybody's daemon."""
    if port == 0:
        return
    family, kind, _, _, found = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
    with socket.socket(family, kind) as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind(found)


def changed_keys(old: Config, new: Config) -> list[str]:
    """What a new configuration says otherwise and a reload leaves as it is. `seed` and `known` are
    for a start, and new with each."""
    apart = ("discovery", "seed", "known", "names", "settings")
    own = [one.name for one in fields(Config) if one.name not in apart]
    rules = [one.name for one in fields(Settings)]
    named = ["classes", "tenants", "zones", "kinds"]
    return [
        *(name for name in own if getattr(old, name) != getattr(new, name)),
        *(f"settings.{name}" for name in rules if getattr(old.settings, name) != getattr(new.settings, name)),
        *(f"names of {name}" for name in named if getattr(old.names, name) != getattr(new.names, name)),
    ]


def reload(
    environ: dict[str, str], source: MemberSource, read_config: ReadConfig, running: Config | None = None
) -> None:
    """SIGHUP: what the file now says of discovery holds, also against the
    environment of the start; a file that can't be used changes nothing. All else stays as it is
    until the next start, which a line says: requests under way keep the rules they came under."""
    try:
        config = read_config({name: value for name, value in environ.items() if name != "LB_DISCOVERY"})
    except ConfigError as error:
        log(f"not reloaded: {error}")
    else:
        if running is not None and (ignored := changed_keys(running, config)):
            log(f"reloaded: discovery only; for the next start: {', '.join(ignored)}")
        if isinstance(source, Discovery) and config.discovery is not None:
            source.move(config.discovery)


async def serve(
    config: Config,
    environ: Mapping[str, str],
    read_config: ReadConfig,
    seat: Seat | None = None,
    arrival: Arrival | None = None,
) -> None:
    await Daemon(config, environ, arrival).run(read_config, seat)
