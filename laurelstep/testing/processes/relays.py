"""Relays on loopback, between two processes or between a process and a server.

A datagram of peer i for peer j goes to the socket that i knows as j, and leaves from the socket that
j knows as i: it arrives from the sender's address in `peers`, as on the platform.

A connection is relayed as bytes. While it is blocked the bytes are kept, as TCP sends them again until
the network is back: nothing sent before is lost for good, and it may arrive when its sender has long given
up. One thing differs from a partitioned network: a new connection comes up, and is silent, so that a
request written into it may have run for all that its sender can tell. That is the harder case;
`StreamRelay.refuse` is the other one.
"""

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
from laurelstep.testing.messages import Reader, Writer, free_port
from laurelstep.testing.processes.faults import Datagram, Route, RouteTable

Address = tuple[str, int]
HOST: Final = "127.0.0.1"
# The platform carries no longer ones between sidecars.
MAX_DATAGRAM_BYTES: Final = 256


def now_us() -> int:
    """The system's monotonic time, µs: one clock for all processes of a machine."""
    return time.monotonic_ns() // 1000


# --- Datagrams --------------------------------------------------------------------------


class _RelaySocket(asyncio.DatagramProtocol):
    """The socket that the sender knows as the receiver."""

    def __init__(self, relay: DatagramRelay, sender: int, receiver: int) -> None:
        self.relay, self.sender, self.receiver = relay, sender, receiver
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, for datagrams that leave from here."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass the datagram to the relay."""
        self.relay.receive(self.sender, self.receiver, data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore it: the peer is down, and what was sent to it is lost as on a network."""


class DatagramRelay:
    """Relays datagrams between all peers; `route_table` takes the test's commands.

    `foreign_count` counts datagrams from another address than their sender's, `oversized_count` those longer
    than `MAX_DATAGRAM_BYTES`; both are dropped.
    """

    def __init__(self, peer_addresses: Sequence[Address], seed: int = 1) -> None:
        self.peer_addresses = list(peer_addresses)  # where peers listen and send from
        self.route_table = RouteTable(len(peer_addresses), seed)
        self.foreign_count = self.oversized_count = 0
        self.delivered_bytes = [0] * len(peer_addresses)  # by receiver
        self._sockets: dict[tuple[int, int], _RelaySocket] = {}
        self._delayed: dict[int, asyncio.TimerHandle] = {}  # by number, until it is delivered
        self._numbers = itertools.count()

    async def start(self) -> None:
        """Open the sockets between all peers."""
        loop = asyncio.get_running_loop()
        for sender, receiver in self.route_table.routes:
            make_protocol = partial(_RelaySocket, self, sender, receiver)
            _, relay_socket = await loop.create_datagram_endpoint(make_protocol, local_addr=(HOST, 0))
            self._sockets[sender, receiver] = relay_socket

    def peers_of(self, peer: int) -> list[str]:
        """The `peers` of a peer's configuration: all addresses by number, its own among them."""
        found = []
        for other in range(len(self.peer_addresses)):
            host, port = self.peer_addresses[peer] if other == peer else self._address(peer, other)
            found.append(f"{host}:{port}")
        return found

    def _address(self, sender: int, receiver: int) -> Address:
        transport = self._sockets[sender, receiver].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    def receive(self, sender: int, receiver: int, data: bytes, address: Address) -> None:
        """Carry a datagram that came from this address over its route."""
        if tuple(address[:2]) != self.peer_addresses[sender]:
            self.foreign_count += 1
        elif len(data) > MAX_DATAGRAM_BYTES:
            self.oversized_count += 1
        else:
            self._carry(sender, receiver, self.route_table.routes[sender, receiver].carry(data))

    def release(self, sender: int, receiver: int, reverse: bool = False) -> None:
        """Deliver what the route was told to hold, the last datagram first if `reverse`."""
        self._carry(sender, receiver, self.route_table.routes[sender, receiver].release(reverse))

    def _carry(self, sender: int, receiver: int, datagrams: Sequence[Datagram]) -> None:
        loop = asyncio.get_running_loop()
        for datagram in datagrams:
            if datagram.delay_us:
                number, delay_s = next(self._numbers), datagram.delay_us / 1e6
                self._delayed[number] = loop.call_later(
                    delay_s, self._deliver_delayed, number, sender, receiver, datagram.data
                )
            else:
                self._deliver(sender, receiver, datagram.data)

    def _deliver_delayed(self, number: int, sender: int, receiver: int, data: bytes) -> None:
        del self._delayed[number]
        self._deliver(sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self._sockets[receiver, sender].transport
        if transport is not None and not transport.is_closing():
            self.delivered_bytes[receiver] += len(data)
            transport.sendto(data, self.peer_addresses[receiver])

    def route(self, sender: int, receiver: int) -> Route:
        """The route of one direction between two peers."""
        return self.route_table.routes[sender, receiver]

    def close(self) -> None:
        """Drop what is delayed, and close the sockets."""
        for handle in self._delayed.values():
            handle.cancel()
        for relay_socket in self._sockets.values():
            if relay_socket.transport is not None:
                relay_socket.transport.close()


# --- Connections ------------------------------------------------------------------------

Direction = Literal["requests", "responses", "both"]
_REQUEST_ID: Final = re.compile(rb"\r\nX-Request-Id: *([^\r\n]+)\r\n", re.IGNORECASE)
MAX_HEADER_BYTES: Final = 128  # a header of this length is found also where reads cut through it


class RelayDirection:
    """One direction of all connections of a relay: open, or blocked."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.delay_us = (0, 0)  # range of the delay of each piece; pieces keep their order
        self.unblocked = asyncio.Event()
        self.unblocked.set()

    async def wait_to_pass(self) -> None:
        """Wait until a piece may go on."""
        least, most = self.delay_us
        if most:
            await asyncio.sleep(self.rng.uniform(least, most) / 1e6)
        await self.unblocked.wait()


class RelayedConnection:
    """A connection from a process, and the one that the relay opened to the server for it."""

    def __init__(self, client: Writer, server: Writer) -> None:
        self.client, self.server = client, server
        self.returned_bytes = 0  # given to the process's socket
        self.withheld = b""  # sent by the server, and kept while blocked

    @property
    def server_side_port(self) -> int:
        """The port from which the server sees the connection."""
        return int(self.server.get_extra_info("sockname")[1])

    def is_read(self) -> bool:
        """Whether the process has read all that was returned to it: no byte waits here or in a socket's
        queue. Linux only.
        """
        if self.client.transport.is_closing() or self.client.transport.get_write_buffer_size():
            return False
        near_port, far_port = (self.client.get_extra_info(name)[1] for name in ("sockname", "peername"))
        queues = _queue_sizes(near_port, far_port)
        return queues is not None and not any(queues)


def _queue_sizes(near_port: int, far_port: int) -> tuple[int, int] | None:
    """Bytes of a loopback connection that were not acknowledged, and bytes that the far process has not
    read; None if the connection is gone (proc(5), `/proc/net/tcp`).
    """
    ours = theirs = None
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            _, local, remote, _, sizes = line.split(maxsplit=5)[:5]
            ports = int(local[-4:], 16), int(remote[-4:], 16)
            if ports == (near_port, far_port):
                ours = int(sizes.partition(":")[0], 16)
            elif ports == (far_port, near_port):
                theirs = int(sizes.partition(":")[2], 16)
    return None if ours is None or theirs is None else (ours, theirs)


def _end_sending(writer: Writer) -> None:
    if not writer.transport.is_closing():
        writer.write_eof()


class StreamRelay:
    """Relays connections from one process to one server.

    `on_request` is called for each request that the process has sent, with its id and the time it was read
    here, µs, also while a block keeps it from the server.
    """

    def __init__(
        self, target: Address, seed: int = 1, on_request: Callable[[str, int], None] | None = None
    ) -> None:
        self.target = target
        self.on_request = on_request
        self.requests = RelayDirection(random.Random(f"{seed} requests"))
        self.responses = RelayDirection(random.Random(f"{seed} responses"))
        self.connections: set[RelayedConnection] = set()
        self.port = 0
        self._listener: asyncio.Server | None = None
        self._refusals = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a reserved port, the same one again after `refuse`.

        Guards against another process's listener that gets this port from the system while the relay
        refuses: it would answer in place of the relay's target.
        """
        self.port = self.port or free_port()
        self._listener = await asyncio.start_server(self._serve, HOST, self.port, backlog=1024)

    @property
    def address(self) -> str:
        """Host and port at which the process connects."""
        return f"{HOST}:{self.port}"

    # --- Commands -------------------------------------------------------------------

    def block(self, direction: Direction = "both") -> None:
        """Keep the bytes of this direction until `unblock`."""
        for relayed in self._directions(direction):
            relayed.unblocked.clear()

    def unblock(self, direction: Direction = "both") -> None:
        """Pass on what was kept, and what comes."""
        for relayed in self._directions(direction):
            relayed.unblocked.set()

    def delay(self, least_us: int, most_us: int, direction: Direction = "both") -> None:
        """Delay each piece by a time drawn from this range."""
        for relayed in self._directions(direction):
            relayed.delay_us = least_us, most_us

    def _directions(self, direction: Direction) -> tuple[RelayDirection, ...]:
        return {
            "requests": (self.requests,),
            "responses": (self.responses,),
            "both": (self.requests, self.responses),
        }[direction]

    def reset(self) -> None:
        """Reset the open connections, towards both sides."""
        for connection in list(self.connections):
            reset_connection(connection.client)
            reset_connection(connection.server)

    def refuse(self) -> None:
        """Reset the open connections, and refuse new ones until `accept`."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._refusals += 1
        self.reset()

    async def accept(self) -> None:
        """Listen again after `refuse`."""
        if self._listener is None:
            await self.start()

    def close(self) -> None:
        """Reset the open connections, and stop."""
        self.refuse()
        for task in self._tasks:
            task.cancel()

    # --- Relaying -------------------------------------------------------------------

    def connection_on_port(self, server_side_port: int) -> RelayedConnection | None:
        """The connection that the server sees from this port; None if it has ended."""
        return next((one for one in self.connections if one.server_side_port == server_side_port), None)

    async def _serve(self, reader: Reader, client: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, client)
        except OSError:
            reset_connection(client)  # nobody listens there
        except asyncio.CancelledError:
            # Guards against asyncio's own callback, which fails on a cancelled task.
            return
        finally:
            self._tasks.discard(task)
            client.close()

    async def _relay(self, reader: Reader, client: Writer) -> None:
        refusals = self._refusals
        far_reader, far = await asyncio.open_connection(*self.target)
        if self._refusals != refusals or self._listener is None:
            # It was accepted before the relay refused, and was none of those that were open.
            reset_connection(client)
            far.transport.abort()
            return
        connection = RelayedConnection(client, far)
        self.connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._relay_requests(reader, far))
                group.create_task(self._relay_responses(far_reader, connection))
        finally:
            self.connections.discard(connection)
            far.transport.abort()

    async def _relay_requests(self, reader: Reader, server: Writer) -> None:
        tail = b""
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                tail = self._report_requests(tail, data)
                await self.requests.wait_to_pass()
                if server.transport.is_closing():
                    return  # reset meanwhile
                server.write(data)
                await server.drain()
            await self.requests.wait_to_pass()
            _end_sending(server)
            return
        server.transport.abort()

    async def _relay_responses(self, reader: Reader, connection: RelayedConnection) -> None:
        near = connection.client
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                connection.withheld = data
                await self.responses.wait_to_pass()
                connection.withheld = b""
                if near.transport.is_closing():
                    return
                near.write(data)
                await near.drain()
                connection.returned_bytes += len(data)
            await self.responses.wait_to_pass()
            _end_sending(near)
            return
        reset_connection(near)

    def _report_requests(self, tail: bytes, data: bytes) -> bytes:
        """Report the requests whose id is complete with `data`; what to keep for the next call."""
        if self.on_request is None:
            return b""
        text, end = tail + data, 0
        for found in _REQUEST_ID.finditer(text):
            end = found.end() - 2
            self.on_request(found[1].decode("latin-1"), now_us())
        return text[max(end, len(text) - MAX_HEADER_BYTES) :]
