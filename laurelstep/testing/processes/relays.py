"""Relays on loopback: what stands between two processes, or between one and a server.

A datagram of peer i for peer j goes to the socket that i knows as j, and leaves from the socket that
j knows as i: what arrives comes from the sender's address in `peers`, as the platform has it.

A connection is passed on as bytes. A cut keeps them: the systems send them again until the network is
back, so nothing that was sent before a cut is lost for good, and it may arrive when its sender has long
given up. One thing differs from a network that is cut: a new connection comes up, and is silent; a
request written into it may have run, for all that its sender can tell. That is the harder case.
`refuse` is the other one."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import re
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import Final, Literal, cast

from laurelstep.testing.endpoints import reset_connection
from laurelstep.testing.messages import Reader, Writer
from laurelstep.testing.processes.faults import Parcel, Way, Ways

Address = tuple[str, int]
HOST: Final = "127.0.0.1"
# What the platform carries between sidecars.
DATAGRAM_MOST: Final = 256


def now_us() -> int:
    """The system's monotonic time: one clock for all processes of a machine."""
    return time.monotonic_ns() // 1000


# --- Datagrams --------------------------------------------------------------------------


class _Stop(asyncio.DatagramProtocol):
    """The socket that peer `one` knows as peer `other`."""

    def __init__(self, relay: DatagramRelay, one: int, other: int) -> None:
        self.relay, self.one, self.other = relay, one, other
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.relay.take(self.one, self.other, data, addr)

    def error_received(self, exc: Exception) -> None:
        """The peer is down: what was sent to it is lost, as on a network."""


class DatagramRelay:
    """Between all peers; `ways` takes the test's orders."""

    def __init__(self, real: Sequence[Address], seed: int = 1) -> None:
        self.real = list(real)  # where peers listen, and send from
        self.ways = Ways(len(real), seed)
        self.foreign = self.too_long = 0
        self.arrived = [0] * len(real)  # bytes, by receiver
        self._stops: dict[tuple[int, int], _Stop] = {}
        self._later: dict[int, asyncio.TimerHandle] = {}  # by number, until it is delivered
        self._numbers = itertools.count()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for one, other in self.ways.by_pair:
            make = partial(_Stop, self, one, other)
            _, stop = await loop.create_datagram_endpoint(make, local_addr=(HOST, 0))
            self._stops[one, other] = stop

    def peers_of(self, one: int) -> list[str]:
        """The `peers` of one's configuration: by number, its own among them."""
        found = []
        for other in range(len(self.real)):
            host, port = self.real[one] if other == one else self._address(one, other)
            found.append(f"{host}:{port}")
        return found

    def _address(self, one: int, other: int) -> Address:
        transport = self._stops[one, other].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    def take(self, one: int, other: int, data: bytes, address: Address) -> None:
        if tuple(address[:2]) != self.real[one]:
            self.foreign += 1
        elif len(data) > DATAGRAM_MOST:
            self.too_long += 1
        else:
            self._carry(one, other, self.ways.by_pair[one, other].carry(data))

    def release(self, one: int, other: int, turned: bool = False) -> None:
        """What the way from one to the other was told to hold."""
        self._carry(one, other, self.ways.by_pair[one, other].release(turned))

    def _carry(self, one: int, other: int, parcels: Sequence[Parcel]) -> None:
        loop = asyncio.get_running_loop()
        for parcel in parcels:
            if parcel.after_us:
                number, after_s = next(self._numbers), parcel.after_us / 1e6
                self._later[number] = loop.call_later(
                    after_s, self._deliver_late, number, one, other, parcel.data
                )
            else:
                self._deliver(one, other, parcel.data)

    def _deliver_late(self, number: int, one: int, other: int, data: bytes) -> None:
        del self._later[number]
        self._deliver(one, other, data)

    def _deliver(self, one: int, other: int, data: bytes) -> None:
        transport = self._stops[other, one].transport
        if transport is not None and not transport.is_closing():
            self.arrived[other] += len(data)
            transport.sendto(data, self.real[other])

    def way(self, one: int, other: int) -> Way:
        return self.ways.by_pair[one, other]

    def close(self) -> None:
        for handle in self._later.values():
            handle.cancel()
        for stop in self._stops.values():
            if stop.transport is not None:
                stop.transport.close()


# --- Connections ------------------------------------------------------------------------

Direction = Literal["there", "back", "both"]
_REQUEST_ID: Final = re.compile(rb"\r\nX-Request-Id: *([^\r\n]+)\r\n", re.IGNORECASE)
_TAIL: Final = 128  # a header of this length is found also where reads cut through it


class Pipe:
    """One direction of all connections of a relay: open, or cut."""

    def __init__(self, draw: random.Random) -> None:
        self.draw = draw
        self.delay_us = (0, 0)  # of each piece, which keep their order
        self.open = asyncio.Event()
        self.open.set()

    async def pass_on(self) -> None:
        """Until a piece may go on."""
        least, most = self.delay_us
        if most:
            await asyncio.sleep(self.draw.uniform(least, most) / 1e6)
        await self.open.wait()


class Connection:
    """One that a process opened, and the one that the relay opened for it."""

    def __init__(self, near: Writer, far: Writer) -> None:
        self.near, self.far = near, far
        self.passed_back = 0  # bytes that were handed to the process's system
        self.waiting = b""  # what the server has sent and a cut keeps

    @property
    def far_port(self) -> int:
        """By which the server knows the connection."""
        return int(self.far.get_extra_info("sockname")[1])

    def is_read(self) -> bool:
        """Whether the process has read all that was passed back to it: nothing waits here, on the
        way, or with its system. Linux only."""
        if self.near.transport.is_closing() or self.near.transport.get_write_buffer_size():
            return False
        here, there = (self.near.get_extra_info(name)[1] for name in ("sockname", "peername"))
        queues = _queues(here, there)
        return queues is not None and not any(queues)


def _queues(here: int, there: int) -> tuple[int, int] | None:
    """Bytes of a loopback connection that the other side's system has not confirmed, and those
    that its process has not read; None if it is gone (proc(5), `/proc/net/tcp`)."""
    ours = theirs = None
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            _, local, remote, _, sizes = line.split(maxsplit=5)[:5]
            ports = int(local[-4:], 16), int(remote[-4:], 16)
            if ports == (here, there):
                ours = int(sizes.partition(":")[0], 16)
            elif ports == (there, here):
                theirs = int(sizes.partition(":")[2], 16)
    return None if ours is None or theirs is None else (ours, theirs)


def _end(writer: Writer) -> None:
    if not writer.transport.is_closing():
        writer.write_eof()


class StreamRelay:
    """From one process to one server. `seen` hears of each request that the process has sent: its id
    and when it was read here, also if a cut keeps it from the server."""

    def __init__(
        self, target: Address, seed: int = 1, seen: Callable[[str, int], None] | None = None
    ) -> None:
        self.target = target
        self.seen = seen
        self.there = Pipe(random.Random(f"{seed} there"))
        self.back = Pipe(random.Random(f"{seed} back"))
        self.connections: set[Connection] = set()
        self.port = 0
        self._listener: asyncio.Server | None = None
        self._refusals = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._listener = await asyncio.start_server(self._serve, HOST, self.port, backlog=1024)
        self.port = self._listener.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    # --- Orders ---------------------------------------------------------------------

    def cut(self, direction: Direction = "both") -> None:
        for pipe in self._pipes(direction):
            pipe.open.clear()

    def heal(self, direction: Direction = "both") -> None:
        for pipe in self._pipes(direction):
            pipe.open.set()

    def delay(self, least_us: int, most_us: int, direction: Direction = "both") -> None:
        for pipe in self._pipes(direction):
            pipe.delay_us = least_us, most_us

    def _pipes(self, direction: Direction) -> tuple[Pipe, ...]:
        return {"there": (self.there,), "back": (self.back,), "both": (self.there, self.back)}[direction]

    def reset(self) -> None:
        """Reset what is open, towards both sides."""
        for connection in list(self.connections):
            reset_connection(connection.near)
            reset_connection(connection.far)

    def refuse(self) -> None:
        """Reset what is open, and refuse what comes, until `admit`."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._refusals += 1
        self.reset()

    async def admit(self) -> None:
        if self._listener is None:
            await self.start()

    def close(self) -> None:
        self.refuse()
        for task in self._tasks:
            task.cancel()

    # --- What passes ----------------------------------------------------------------

    def connection_from(self, far_port: int) -> Connection | None:
        """The one that the server knows by this port."""
        return next((one for one in self.connections if one.far_port == far_port), None)

    async def _serve(self, reader: Reader, near: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._join(reader, near)
        except OSError:
            reset_connection(near)  # nobody listens there
        except asyncio.CancelledError:
            # Guards against asyncio's own callback, which fails on a cancelled task.
            return
        finally:
            self._tasks.discard(task)
            near.close()

    async def _join(self, reader: Reader, near: Writer) -> None:
        refusals = self._refusals
        far_reader, far = await asyncio.open_connection(*self.target)
        if self._refusals != refusals or self._listener is None:
            # It was accepted before the relay refused, and was none of those that were open.
            reset_connection(near)
            far.transport.abort()
            return
        connection = Connection(near, far)
        self.connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump_there(reader, far))
                group.create_task(self._pump_back(far_reader, connection))
        finally:
            self.connections.discard(connection)
            far.transport.abort()

    async def _pump_there(self, reader: Reader, far: Writer) -> None:
        tail = b""
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                tail = self._look(tail, data)
                await self.there.pass_on()
                if far.transport.is_closing():
                    return  # reset meanwhile
                far.write(data)
                await far.drain()
            await self.there.pass_on()
            _end(far)
            return
        far.transport.abort()

    async def _pump_back(self, reader: Reader, connection: Connection) -> None:
        near = connection.near
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                connection.waiting = data
                await self.back.pass_on()
                connection.waiting = b""
                if near.transport.is_closing():
                    return
                near.write(data)
                await near.drain()
                connection.passed_back += len(data)
            await self.back.pass_on()
            _end(near)
            return
        reset_connection(near)

    def _look(self, tail: bytes, data: bytes) -> bytes:
        """Tell of the requests whose id is whole with `data`; what to keep for the next look."""
        if self.seen is None:
            return b""
        text, end = tail + data, 0
        for found in _REQUEST_ID.finditer(text):
            end = found.end() - 2
            self.seen(found[1].decode("latin-1"), now_us())
        return text[max(end, len(text) - _TAIL) :]
