"""Relays on loopback, between two processes or between a process and a server.

Each pair of peers has two relay sockets. Peer i sends datagrams for peer j to the socket that is configured
as j at i, and they leave from the socket that is configured as i at j. So they arrive from the sender's
address in `peers`, as on the platform.

Connections are relayed as byte streams. While a direction is blocked its bytes are kept, as TCP retransmits
them until the network is back: they may arrive long after their sender has timed out. Unlike in a partitioned
network, a new connection is accepted while blocked, so a client cannot rule out that a request written to
it was executed. This is the harder case; `StreamRelay.refuse` gives the other one.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import re
import socket
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import Final, Literal, cast

from laurelstep.testing.endpoints import reset_connection
from laurelstep.testing.messages import Reader, Writer, free_port, limit_receive_buffer
from laurelstep.testing.processes.faults import Datagram, Route, RouteTable

Address = tuple[str, int]
HOST: Final = "127.0.0.1"
# The platform carries no longer datagrams between sidecars.
MAX_DATAGRAM_BYTES: Final = 256


def now_us() -> int:
    """Return the time of the system's monotonic clock, µs, which all processes of a machine share."""
    return time.monotonic_ns() // 1000


# --- Datagrams --------------------------------------------------------------------------


class _RelaySocket(asyncio.DatagramProtocol):
    """The socket that `sender` has as the address of `receiver`."""

    def __init__(self, relay: DatagramRelay, sender: int, receiver: int) -> None:
        self.relay, self.sender, self.receiver = relay, sender, receiver
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send from this socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass the datagram to the relay."""
        self.relay.receive(self.sender, self.receiver, data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the peer is down, and datagrams to it are lost as on a network."""


class DatagramRelay:
    """Relays datagrams between all peers, with the faults of `route_table`.

    `foreign_count` counts datagrams from an unexpected address, `oversized_count` those longer than
    `MAX_DATAGRAM_BYTES`; both are dropped.
    """

    def __init__(self, peer_addresses: Sequence[Address], seed: int = 1) -> None:
        self.peer_addresses = list(peer_addresses)  # where peers listen and send from
        self.route_table = RouteTable(len(peer_addresses), seed)
        self.foreign_count = self.oversized_count = 0
        self.delivered_bytes = [0] * len(peer_addresses)  # by receiver
        self._sockets: dict[tuple[int, int], _RelaySocket] = {}
        self._delayed: dict[int, asyncio.TimerHandle] = {}  # by number, until delivered
        self._numbers = itertools.count()

    async def start(self) -> None:
        """Open the sockets for all pairs of peers."""
        loop = asyncio.get_running_loop()
        for sender, receiver in self.route_table.routes:
            make_protocol = partial(_RelaySocket, self, sender, receiver)
            _, relay_socket = await loop.create_datagram_endpoint(make_protocol, local_addr=(HOST, 0))
            self._sockets[sender, receiver] = relay_socket

    def peers_of(self, peer: int) -> list[str]:
        """Return the `peers` of a peer's configuration: the addresses of all peers, its own included."""
        addresses = []
        for other in range(len(self.peer_addresses)):
            host, port = self.peer_addresses[peer] if other == peer else self._address(peer, other)
            addresses.append(f"{host}:{port}")
        return addresses

    def _address(self, sender: int, receiver: int) -> Address:
        transport = self._sockets[sender, receiver].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    def receive(self, sender: int, receiver: int, data: bytes, address: Address) -> None:
        """Send a datagram that arrived from `address` over its route."""
        if tuple(address[:2]) != self.peer_addresses[sender]:
            self.foreign_count += 1
        elif len(data) > MAX_DATAGRAM_BYTES:
            self.oversized_count += 1
        else:
            self._schedule_delivery(
                sender, receiver, self.route_table.routes[sender, receiver].transmit(data)
            )

    def release(self, sender: int, receiver: int, reverse: bool = False) -> None:
        """Deliver the datagrams that the route holds, the last one first if `reverse`."""
        self._schedule_delivery(sender, receiver, self.route_table.routes[sender, receiver].release(reverse))

    def _schedule_delivery(self, sender: int, receiver: int, datagrams: Sequence[Datagram]) -> None:
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
        """Return the route from `sender` to `receiver`."""
        return self.route_table.routes[sender, receiver]

    def close(self) -> None:
        """Drop delayed datagrams and close the sockets."""
        for handle in self._delayed.values():
            handle.cancel()
        for relay_socket in self._sockets.values():
            if relay_socket.transport is not None:
                relay_socket.transport.close()


# --- Connections ------------------------------------------------------------------------

Direction = Literal["requests", "responses", "both"]
_REQUEST_ID: Final = re.compile(rb"\r\nX-Request-Id: *([^\r\n]+)\r\n", re.IGNORECASE)
MAX_HEADER_BYTES: Final = 128  # a header up to this length is found even if it is split across reads


class RelayDirection:
    """One direction of all connections of a relay: open, or blocked."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.delay_us = (0, 0)  # range of the delay of each chunk; chunks keep their order
        self.unblocked = asyncio.Event()
        self.unblocked.set()

    async def wait_to_pass(self) -> None:
        """Wait until the next chunk may be forwarded."""
        min_us, max_us = self.delay_us
        if max_us:
            await asyncio.sleep(self.rng.uniform(min_us, max_us) / 1e6)
        await self.unblocked.wait()


class RelayedConnection:
    """A connection from a process and the relay's connection to the server for it."""

    def __init__(self, client: Writer, server: Writer) -> None:
        self.client, self.server = client, server
        self.returned_bytes = 0  # written to the process's socket
        self.withheld = b""  # received from the server and kept while blocked

    @property
    def server_side_port(self) -> int:
        """The port from which the server sees the connection."""
        return int(self.server.get_extra_info("sockname")[1])

    def is_read(self) -> bool:
        """Whether the process has read all that was returned to it, so that no byte is buffered here or in a
        socket. Linux only.
        """
        if self.client.transport.is_closing() or self.client.transport.get_write_buffer_size():
            return False
        near_port, far_port = (self.client.get_extra_info(name)[1] for name in ("sockname", "peername"))
        queues = _queue_sizes(near_port, far_port)
        return queues is not None and not any(queues)


def _queue_sizes(near_port: int, far_port: int) -> tuple[int, int] | None:
    """Return the unacknowledged bytes from the near to the far port, and the unread bytes at the far port.

    None if the loopback connection is gone. The numbers are from `/proc/net/tcp`, see proc(5).
    """
    unacknowledged = unread = None
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            _, local, remote, _, sizes = line.split(maxsplit=5)[:5]
            ports = int(local[-4:], 16), int(remote[-4:], 16)
            if ports == (near_port, far_port):
                unacknowledged = int(sizes.partition(":")[0], 16)
            elif ports == (far_port, near_port):
                unread = int(sizes.partition(":")[2], 16)
    return None if unacknowledged is None or unread is None else (unacknowledged, unread)


def _end_sending(writer: Writer) -> None:
    if not writer.transport.is_closing():
        writer.write_eof()


class StreamRelay:
    """Relays connections from one process to one server.

    `on_request` is called with the id of each request that the process sends and the time at which the relay
    has read it, µs, also while the relay is blocked.
    """

    def __init__(
        self,
        target: Address,
        seed: int = 1,
        on_request: Callable[[str, int], None] | None = None,
        buffer_bytes: int = 0,
    ) -> None:
        """`buffer_bytes`: what the kernel may hold of requests on each side of the relay; 0: its default."""
        self.target = target
        self.on_request = on_request
        self.buffer_bytes = buffer_bytes
        self.requests = RelayDirection(random.Random(f"{seed} requests"))
        self.responses = RelayDirection(random.Random(f"{seed} responses"))
        self.connections: set[RelayedConnection] = set()
        self.port = 0
        self._listener: asyncio.Server | None = None
        self._refusal_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a port of `free_port`, and on the same one after `refuse`.

        The system does not assign these ports: another process's listener that got the port while the relay
        refuses would answer in place of the relay's target.
        """
        self.port = self.port or free_port()
        self._listener = await asyncio.start_server(self._serve, HOST, self.port, backlog=1024)
        if self.buffer_bytes:
            limit_receive_buffer(self._listener, self.buffer_bytes)

    @property
    def address(self) -> str:
        """Host and port to which the process connects."""
        return f"{HOST}:{self.port}"

    # --- Commands -------------------------------------------------------------------

    def block(self, direction: Direction = "both") -> None:
        """Keep the bytes of this direction until `unblock`."""
        for relay_direction in self._directions(direction):
            relay_direction.unblocked.clear()

    def unblock(self, direction: Direction = "both") -> None:
        """Forward the kept bytes of this direction, and later ones."""
        for relay_direction in self._directions(direction):
            relay_direction.unblocked.set()

    def delay(self, min_us: int, max_us: int, direction: Direction = "both") -> None:
        """Delay each chunk by a random time from this range."""
        for relay_direction in self._directions(direction):
            relay_direction.delay_us = min_us, max_us

    def _directions(self, direction: Direction) -> tuple[RelayDirection, ...]:
        return {
            "requests": (self.requests,),
            "responses": (self.responses,),
            "both": (self.requests, self.responses),
        }[direction]

    def reset(self) -> None:
        """Reset the open connections on both sides."""
        for connection in list(self.connections):
            reset_connection(connection.client)
            reset_connection(connection.server)

    def refuse(self) -> None:
        """Reset the open connections and refuse new ones until `accept`."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._refusal_count += 1
        self.reset()

    async def accept(self) -> None:
        """Listen again after `refuse`."""
        if self._listener is None:
            await self.start()

    def close(self) -> None:
        """Reset the open connections and stop."""
        self.refuse()
        for task in self._tasks:
            task.cancel()

    # --- Relaying -------------------------------------------------------------------

    def connection_on_port(self, server_side_port: int) -> RelayedConnection | None:
        """Return the connection that the server sees from this port; None if it has ended."""
        return next(
            (relayed for relayed in self.connections if relayed.server_side_port == server_side_port), None
        )

    async def _serve(self, reader: Reader, client: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, client)
        except OSError:
            reset_connection(client)  # the server does not listen
        except asyncio.CancelledError:
            # Not raised again: the callback that asyncio adds to this task fails for a cancelled one.
            return
        finally:
            self._tasks.discard(task)
            client.close()

    async def _relay(self, reader: Reader, client: Writer) -> None:
        refusal_count = self._refusal_count
        server_reader, server = await asyncio.open_connection(*self.target)
        if self.buffer_bytes:
            server_socket = server.get_extra_info("socket")
            server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.buffer_bytes)
        if self._refusal_count != refusal_count or self._listener is None:
            # The relay refused meanwhile, and this connection was not yet among the open ones.
            reset_connection(client)
            server.transport.abort()
            return
        connection = RelayedConnection(client, server)
        self.connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._relay_requests(reader, server))
                group.create_task(self._relay_responses(server_reader, connection))
        finally:
            self.connections.discard(connection)
            server.transport.abort()

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
        client = connection.client
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                connection.withheld = data
                await self.responses.wait_to_pass()
                connection.withheld = b""
                if client.transport.is_closing():
                    return
                client.write(data)
                await client.drain()
                connection.returned_bytes += len(data)
            await self.responses.wait_to_pass()
            _end_sending(client)
            return
        reset_connection(client)

    def _report_requests(self, tail: bytes, data: bytes) -> bytes:
        """Report each request whose id header `data` completes; return the tail to pass to the next call."""
        if self.on_request is None:
            return b""
        text, end = tail + data, 0
        for match in _REQUEST_ID.finditer(text):
            end = match.end() - 2
            self.on_request(match[1].decode("latin-1"), now_us())
        return text[max(end, len(text) - MAX_HEADER_BYTES) :]
