"""The behaviour of all links of consensus, over real sockets and in memory."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import socket
from collections.abc import Sequence
from pathlib import Path

import pytest
from laurelstep.consensus.errors import LinkError
from laurelstep.consensus.links.memory import LATENCY_US, FaultSchedule, MemoryNetwork
from laurelstep.consensus.links.sockets import MAX_DATAGRAMS_PER_TURN, SocketLink
from laurelstep.consensus.links.udp import UdpLink
from laurelstep.consensus.links.unix import UnixLink
from laurelstep.consensus.ports import MAX_DATAGRAM_BYTES, Link

from tests.datagrams import ReceivedDatagrams, free_udp_ports
from tests.fakes import ManualClock
from tests.sockets import run


class LinkFactory:
    """Creates links of one kind for a tier, and knows their addresses."""

    def __init__(self, kind: str, folder: Path, count: int = 3) -> None:
        self.kind = kind
        self.loop = asyncio.get_running_loop()
        self.addresses = [("127.0.0.1", port) for port in free_udp_ports(count)]
        self.paths = [str(folder / f"peer-{n}") for n in range(count)]

    def link(self, peer: int) -> SocketLink:
        if self.kind == "udp":
            return UdpLink(self.loop, self.addresses[peer], self.addresses, peer)
        return UnixLink(self.loop, self.paths, peer)

    def open_unknown_sender(self, folder: Path) -> socket.socket:
        """Return a socket whose address is not a peer's."""
        if self.kind == "udp":
            unknown_sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            unknown_sender.bind(("127.0.0.1", 0))
        else:
            unknown_sender = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            unknown_sender.bind(str(folder / "stranger"))
        return unknown_sender

    def address_of(self, peer: int) -> str | tuple[str, int]:
        return self.addresses[peer] if self.kind == "udp" else self.paths[peer]


KINDS = pytest.mark.parametrize("kind", ["udp", "unix"])


@KINDS
def test_datagrams_arrive_complete_from_the_peer_that_sent_them(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        factory, received = (
            LinkFactory(kind, tmp_path),
            [ReceivedDatagrams(), ReceivedDatagrams(), ReceivedDatagrams()],
        )
        links = [factory.link(n) for n in range(3)]
        for link, datagrams in zip(links, received, strict=True):
            link.open(datagrams)
        longest = bytes(range(256))
        assert len(longest) == MAX_DATAGRAM_BYTES
        links[0].send(1, longest)
        links[2].send(1, b"")
        links[1].send(0, b"back")
        await received[1].wait_until(lambda: len(received[1].all) == 2)
        await received[0].wait_until(lambda: bool(received[0].all))
        assert received[1].all == [(0, longest), (2, b"")] and received[0].all == [(1, b"back")]
        counts = links[1].counters
        assert (counts["received"], counts["received_bytes"], counts["sent_bytes"]) == (2, 256, 4)
        for link in links:
            link.close()
            link.close()
        assert not received[2].all

    run(main())


@KINDS
def test_datagrams_that_are_too_long_or_not_from_a_peer_are_dropped_and_counted(
    kind: str, tmp_path: Path
) -> None:
    async def main() -> None:
        factory, received = LinkFactory(kind, tmp_path), ReceivedDatagrams()
        link, peer = factory.link(0), factory.link(1)
        link.open(received)
        peer.open(ReceivedDatagrams())
        with factory.open_unknown_sender(tmp_path) as unknown_sender:
            unknown_sender.sendto(b"let me in", factory.address_of(0))
        assert peer._socket is not None
        peer._socket.sendto(b"x" * (MAX_DATAGRAM_BYTES + 1), factory.address_of(0))
        peer._socket.sendto(b"x" * 9000, factory.address_of(0))
        assert link._socket is not None
        link._socket.sendto(b"its own", factory.address_of(0))
        peer.send(0, b"last")
        await received.wait_until(lambda: bool(received.all))
        assert received.all == [(1, b"last")]
        assert (link.counters["foreign"], link.counters["oversize"]) == (2, 2)
        link.close()
        peer.close()

    run(main())


@KINDS
def test_sending_without_a_receiver_counts_as_a_loss_and_raises_nothing(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        factory = LinkFactory(kind, tmp_path)
        link = factory.link(0)
        link.send(1, b"before it is open")
        link.open(ReceivedDatagrams())
        for _ in range(3):
            link.send(1, b"nobody")
        assert link.counters["unsent"] + link.counters["sent"] == 4
        if kind == "unix":
            assert link.counters["unsent"] == 4
        for peer, data in ((3, b""), (-1, b""), (0, b""), (1, b"x" * 257)):
            with pytest.raises(LinkError):
                link.send(peer, data)
        link.close()
        link.send(1, b"after")
        assert link.counters["unsent"] >= 2

    run(main())


class FailingSocket(socket.socket):
    """A socket whose calls fail with the errors that the kernel may return."""

    error_codes: list[int]

    def sendto(self, *args: object) -> int:
        raise OSError(self.error_codes.pop(), "")

    def recvfrom(self, *args: object) -> tuple[bytes, object]:
        if self.error_codes:
            raise OSError(self.error_codes.pop(), "")
        return super().recvfrom(MAX_DATAGRAM_BYTES + 1)


class FailingSocketLink(UdpLink):
    def _bind(self) -> socket.socket:
        with super()._bind() as plain:
            failing = FailingSocket(fileno=os.dup(plain.fileno()))
        failing.error_codes = []
        failing.setblocking(False)
        return failing


def test_datagrams_that_the_kernel_rejects_are_counted() -> None:
    async def main() -> None:
        ports = free_udp_ports(2)
        peers = [("127.0.0.1", port) for port in ports]
        loop = asyncio.get_running_loop()
        link, peer = FailingSocketLink(loop, peers[0], peers, 0), UdpLink(loop, peers[1], peers, 1)
        received = ReceivedDatagrams()
        link.open(received)
        peer.open(ReceivedDatagrams())
        assert isinstance(link._socket, FailingSocket)
        error_codes = [errno.EAGAIN, errno.ECONNREFUSED, errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM]
        error_codes += [errno.EADDRNOTAVAIL, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENOMEM]
        link._socket.error_codes = list(error_codes)
        for _ in error_codes:
            link.send(1, b"x")
        assert link.counters["unsent"] == len(error_codes) and not link.counters["sent"]
        # The kernel reports the error of an earlier send to the next call that receives.
        receive_error_codes = [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENOBUFS, errno.ENOMEM]
        link._socket.error_codes = list(receive_error_codes)
        peer.send(0, b"it still receives")
        await received.wait_until(lambda: bool(received.all))
        assert link.counters["unsent"] == len(error_codes) + len(receive_error_codes)
        link.close()
        peer.close()

    run(main())


@KINDS
def test_a_receiver_with_a_full_queue_never_blocks_the_sender(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        factory, received = LinkFactory(kind, tmp_path), ReceivedDatagrams()
        link, peer = factory.link(0), factory.link(1)
        link.open(received)
        peer.open(ReceivedDatagrams())
        datagram_count = 20_000
        for _ in range(datagram_count):  # without an await, so nothing is received meanwhile
            peer.send(0, b"x" * 200)
        assert peer.counters["sent"] + peer.counters["unsent"] == datagram_count
        expected_count = min(peer.counters["sent"], MAX_DATAGRAMS_PER_TURN + 1)
        await received.wait_until(lambda: len(received.all) >= expected_count)
        assert len(received.all) < datagram_count, "the kernel's queue must be bounded for this test"
        link.close()
        peer.close()

    run(main())


@KINDS
def test_nothing_is_received_after_close_even_in_the_same_loop_iteration(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        factory, received = LinkFactory(kind, tmp_path), ReceivedDatagrams()
        link, peer = factory.link(0), factory.link(1)

        def receive_and_close(number: int, data: bytes) -> None:
            received(number, data)
            link.close()

        link.open(receive_and_close)
        peer.open(ReceivedDatagrams())
        for _ in range(5):
            peer.send(0, b"x")
        await received.wait_until(lambda: bool(received.all))
        await asyncio.sleep(0)
        assert len(received.all) == 1
        peer.close()

    run(main())


@KINDS
def test_an_address_belongs_to_one_process_until_it_closes_the_link(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        factory, received = LinkFactory(kind, tmp_path), ReceivedDatagrams()
        first, second, peer = factory.link(0), factory.link(0), factory.link(1)
        first.open(received)
        with pytest.raises(OSError) as raised:
            second.open(ReceivedDatagrams())
        assert raised.value.errno == errno.EADDRINUSE
        peer.open(ReceivedDatagrams())
        peer.send(0, b"the first still hears")
        await received.wait_until(lambda: bool(received.all))
        first.close()
        received_by_second = ReceivedDatagrams()
        second.open(received_by_second)
        peer.send(0, b"and now the second")
        await received_by_second.wait_until(lambda: bool(received_by_second.all))
        second.close()
        peer.close()

    run(main())


def test_a_socket_file_that_a_dead_process_left_is_replaced(tmp_path: Path) -> None:
    async def main() -> None:
        factory = LinkFactory("unix", tmp_path)
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as dead:
            dead.bind(factory.paths[0])
        link = factory.link(0)
        link.open(ReceivedDatagrams())
        assert os.stat(factory.paths[0]).st_mode & 0o777 == 0o600
        link.close()
        assert not os.path.exists(factory.paths[0])

    run(main())


def test_udp_over_ipv6(tmp_path: Path) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        try:
            with socket.socket(socket.AF_INET6, socket.SOCK_DGRAM) as probe:
                probe.bind(("::1", 0))
        except OSError:
            pytest.skip("no IPv6 here")
        peers = [("::1", port) for port in free_udp_ports(2)]
        links = [UdpLink(loop, peers[n], peers, n) for n in range(2)]
        received = ReceivedDatagrams()
        links[0].open(received)
        links[1].open(ReceivedDatagrams())
        links[1].send(0, b"six")
        await received.wait_until(lambda: bool(received.all))
        assert received.all == [(1, b"six")]
        for link in links:
            link.close()

    run(main())


# In-memory links


def test_in_memory_the_schedule_decides_when_and_whether_a_datagram_arrives() -> None:
    clock, received = ManualClock(), list[tuple[int, int, bytes]]()
    delays: dict[bytes, Sequence[int]] = {b"lost": (), b"late": (900,), b"twice": (100, 300), b"now": (0,)}
    network = MemoryNetwork(clock, 3, lambda sender, receiver, data: delays[data])
    links: list[Link] = [network.link(n) for n in range(3)]
    started_us = clock.now()
    for link in links:
        link.open(lambda peer, data: received.append((clock.now() - started_us, peer, data)))
    for data in delays:
        links[0].send(1, data)
    clock.advance(1_000)
    assert received == [(0, 0, b"now"), (100, 0, b"twice"), (300, 0, b"twice"), (900, 0, b"late")]


def test_in_memory_a_closed_link_can_be_replaced_by_a_new_one() -> None:
    clock = ManualClock()
    network = MemoryNetwork(clock, 2)
    first, second, peer = network.link(0), network.link(0), network.link(1)
    received: list[tuple[int, bytes]] = []
    first.send(1, b"not open")
    first.open(lambda *datagram: received.append(datagram))
    peer.open(lambda *datagram: received.append(datagram))
    with pytest.raises(OSError, match="another link of peer 0 is open"):
        second.open(lambda *datagram: None)
    peer.send(0, b"under way")
    first.close()
    first.close()
    clock.advance(LATENCY_US)
    assert not received and first.counters["unsent"] == 1
    second.open(lambda *datagram: received.append(datagram))
    peer.send(0, b"to the second")
    clock.advance(LATENCY_US - 1)
    assert not received
    clock.advance(1)
    assert received == [(1, b"to the second")]
    for number, data in ((0, b""), (2, b""), (1, b"x" * 257)):
        with pytest.raises(LinkError):
            second.send(number, data)
    with pytest.raises(LinkError):
        network.link(2)


def test_in_memory_equal_seeds_give_equal_sequences_of_events() -> None:
    def play(seed: int) -> list[tuple[int, int, bytes]]:
        clock, received = ManualClock(), list[tuple[int, int, bytes]]()
        faults = FaultSchedule(random.Random(seed), loss=0.2, duplication=0.3, delay_us=(100, 5_000))
        network = MemoryNetwork(clock, 4, faults)
        links = [network.link(n) for n in range(4)]
        for link in links:
            link.open(lambda peer, data: received.append((clock.now(), peer, data)))
        for n in range(200):
            links[n % 4].send((n + 1) % 4, n.to_bytes(2))
        clock.advance(5_000)
        return received

    events = play(7)
    assert events == play(7) and events != play(8)
    arrived = [data for _, _, data in events]
    assert len(set(arrived)) < 200 and len(arrived) > len(set(arrived)) and arrived != sorted(arrived)


def test_in_memory_a_route_may_be_cut_in_one_direction_and_healed() -> None:
    clock, received = ManualClock(), list[tuple[int, int]]()
    faults = FaultSchedule(random.Random(1))
    network = MemoryNetwork(clock, 5, faults)
    links = [network.link(n) for n in range(5)]
    for n, link in enumerate(links):
        link.open(lambda peer, data, n=n: received.append((peer, n)))  # type: ignore[misc]

    def send_on_all_routes() -> set[tuple[int, int]]:
        received.clear()
        for sender in range(5):
            for receiver in range(5):
                if sender != receiver:
                    links[sender].send(receiver, b"x")
        clock.advance(LATENCY_US)
        return set(received)

    all_routes = send_on_all_routes()
    assert len(all_routes) == 20
    faults.cut_routes = {(0, 1)}
    assert all_routes - send_on_all_routes() == {(0, 1)}
    faults.heal()
    faults.partition((0, 1), (2, 3, 4))
    assert len(send_on_all_routes()) == 2 + 6
    faults.heal()
    assert send_on_all_routes() == all_routes
