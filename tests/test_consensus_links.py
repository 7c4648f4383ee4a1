"""What every link of consensus must do, over real sockets and in memory."""

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


class Wires:
    """Links of one kind, made as a test needs them."""

    def __init__(self, kind: str, folder: Path, count: int = 3) -> None:
        self.kind = kind
        self.loop = asyncio.get_running_loop()
        self.addresses = [("127.0.0.1", port) for port in free_udp_ports(count)]
        self.paths = [str(folder / f"peer-{n}") for n in range(count)]

    def link(self, me: int) -> SocketLink:
        if self.kind == "udp":
            return UdpLink(self.loop, self.addresses[me], self.addresses, me)
        return UnixLink(self.loop, self.paths, me)

    def stranger(self, folder: Path) -> socket.socket:
        """A socket that is no peer's."""
        if self.kind == "udp":
            one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            one.bind(("127.0.0.1", 0))
        else:
            one = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            one.bind(str(folder / "stranger"))
        return one

    def at(self, me: int) -> str | tuple[str, int]:
        return self.addresses[me] if self.kind == "udp" else self.paths[me]


KINDS = pytest.mark.parametrize("kind", ["udp", "unix"])


@KINDS
def test_datagrams_arrive_complete_from_the_peer_that_sent_them(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        wires, received = (
            Wires(kind, tmp_path),
            [ReceivedDatagrams(), ReceivedDatagrams(), ReceivedDatagrams()],
        )
        links = [wires.link(n) for n in range(3)]
        for link, one in zip(links, received, strict=True):
            link.open(one)
        whole = bytes(range(256))
        assert len(whole) == MAX_DATAGRAM_BYTES
        links[0].send(1, whole)
        links[2].send(1, b"")
        links[1].send(0, b"back")
        await received[1].until(lambda: len(received[1].all) == 2)
        await received[0].until(lambda: bool(received[0].all))
        assert received[1].all == [(0, whole), (2, b"")] and received[0].all == [(1, b"back")]
        counts = links[1].counters
        assert (counts["received"], counts["received_bytes"], counts["sent_bytes"]) == (2, 256, 4)
        for link in links:
            link.close()
            link.close()
        assert not received[2].all

    run(main())


@KINDS
def test_strangers_and_long_datagrams_are_dropped_and_counted(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        wires, received = Wires(kind, tmp_path), ReceivedDatagrams()
        link, peer = wires.link(0), wires.link(1)
        link.open(received)
        peer.open(ReceivedDatagrams())
        with wires.stranger(tmp_path) as stranger:
            stranger.sendto(b"let me in", wires.at(0))
        assert peer._socket is not None
        peer._socket.sendto(b"x" * (MAX_DATAGRAM_BYTES + 1), wires.at(0))
        peer._socket.sendto(b"x" * 9000, wires.at(0))
        assert link._socket is not None
        link._socket.sendto(b"its own", wires.at(0))
        peer.send(0, b"last")
        await received.until(lambda: bool(received.all))
        assert received.all == [(1, b"last")]
        assert (link.counters["foreign"], link.counters["oversize"]) == (2, 2)
        link.close()
        peer.close()

    run(main())


@KINDS
def test_sending_to_nobody_is_a_loss_and_no_error(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        wires = Wires(kind, tmp_path)
        link = wires.link(0)
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


class Refusing(socket.socket):
    """Fails as the kernel may."""

    codes: list[int]

    def sendto(self, *args: object) -> int:
        raise OSError(self.codes.pop(), "")

    def recvfrom(self, *args: object) -> tuple[bytes, object]:
        if self.codes:
            raise OSError(self.codes.pop(), "")
        return super().recvfrom(MAX_DATAGRAM_BYTES + 1)


class RefusingLink(UdpLink):
    def _bind(self) -> socket.socket:
        with super()._bind() as plain:
            one = Refusing(fileno=os.dup(plain.fileno()))
        one.codes = []
        one.setblocking(False)
        return one


def test_what_the_kernel_does_not_take_is_counted() -> None:
    async def main() -> None:
        ports = free_udp_ports(2)
        peers = [("127.0.0.1", port) for port in ports]
        loop = asyncio.get_running_loop()
        link, peer = RefusingLink(loop, peers[0], peers, 0), UdpLink(loop, peers[1], peers, 1)
        received = ReceivedDatagrams()
        link.open(received)
        peer.open(ReceivedDatagrams())
        assert isinstance(link._socket, Refusing)
        codes = [errno.EAGAIN, errno.ECONNREFUSED, errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM]
        codes += [errno.EADDRNOTAVAIL, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENOMEM]
        link._socket.codes = list(codes)
        for _ in codes:
            link.send(1, b"x")
        assert link.counters["unsent"] == len(codes) and not link.counters["sent"]
        # The error of an earlier send, which the kernel tells the next reader.
        earlier = [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENOBUFS, errno.ENOMEM]
        link._socket.codes = list(earlier)
        peer.send(0, b"it still receives")
        await received.until(lambda: bool(received.all))
        assert link.counters["unsent"] == len(codes) + len(earlier)
        link.close()
        peer.close()

    run(main())


@KINDS
def test_a_full_receiver_never_holds_the_sender(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        wires, received = Wires(kind, tmp_path), ReceivedDatagrams()
        link, peer = wires.link(0), wires.link(1)
        link.open(received)
        peer.open(ReceivedDatagrams())
        many = 20_000
        for _ in range(many):  # the loop does not turn: nobody reads
            peer.send(0, b"x" * 200)
        assert peer.counters["sent"] + peer.counters["unsent"] == many
        least = min(peer.counters["sent"], MAX_DATAGRAMS_PER_TURN + 1)
        await received.until(lambda: len(received.all) >= least)
        assert len(received.all) < many, "the kernel's queue is bounded"
        link.close()
        peer.close()

    run(main())


@KINDS
def test_nothing_is_received_after_close_even_in_the_same_turn(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        wires, received = Wires(kind, tmp_path), ReceivedDatagrams()
        link, peer = wires.link(0), wires.link(1)

        def take(number: int, data: bytes) -> None:
            received(number, data)
            link.close()

        link.open(take)
        peer.open(ReceivedDatagrams())
        for _ in range(5):
            peer.send(0, b"x")
        await received.until(lambda: bool(received.all))
        await asyncio.sleep(0)
        assert len(received.all) == 1
        peer.close()

    run(main())


@KINDS
def test_an_address_is_one_process_s_until_it_ends(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        wires, received = Wires(kind, tmp_path), ReceivedDatagrams()
        first, second, peer = wires.link(0), wires.link(0), wires.link(1)
        first.open(received)
        with pytest.raises(OSError) as raised:
            second.open(ReceivedDatagrams())
        assert raised.value.errno == errno.EADDRINUSE
        peer.open(ReceivedDatagrams())
        peer.send(0, b"the first still hears")
        await received.until(lambda: bool(received.all))
        first.close()
        later = ReceivedDatagrams()
        second.open(later)
        peer.send(0, b"and now the second")
        await later.until(lambda: bool(later.all))
        second.close()
        peer.close()

    run(main())


def test_a_socket_file_that_a_dead_process_left_is_replaced(tmp_path: Path) -> None:
    async def main() -> None:
        wires = Wires("unix", tmp_path)
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as dead:
            dead.bind(wires.paths[0])
        link = wires.link(0)
        link.open(ReceivedDatagrams())
        assert os.stat(wires.paths[0]).st_mode & 0o777 == 0o600
        link.close()
        assert not os.path.exists(wires.paths[0])

    run(main())


def test_udp_by_ipv6(tmp_path: Path) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        try:
            with socket.socket(socket.AF_INET6, socket.SOCK_DGRAM) as one:
                one.bind(("::1", 0))
        except OSError:
            pytest.skip("no IPv6 here")
        peers = [("::1", port) for port in free_udp_ports(2)]
        links = [UdpLink(loop, peers[n], peers, n) for n in range(2)]
        received = ReceivedDatagrams()
        links[0].open(received)
        links[1].open(ReceivedDatagrams())
        links[1].send(0, b"six")
        await received.until(lambda: bool(received.all))
        assert received.all == [(1, b"six")]
        for link in links:
            link.close()

    run(main())


# --- In memory --------------------------------------------------------------------------


def test_in_memory_the_schedule_decides_what_becomes_of_a_datagram() -> None:
    clock, received = ManualClock(), list[tuple[int, int, bytes]]()
    delays: dict[bytes, Sequence[int]] = {b"lost": (), b"late": (900,), b"twice": (100, 300), b"now": (0,)}
    network = MemoryNetwork(clock, 3, lambda sender, receiver, data: delays[data])
    links: list[Link] = [network.link(n) for n in range(3)]
    begun = clock.now()
    for link in links:
        link.open(lambda peer, data: received.append((clock.now() - begun, peer, data)))
    for data in delays:
        links[0].send(1, data)
    clock.advance(1_000)
    assert received == [(0, 0, b"now"), (100, 0, b"twice"), (300, 0, b"twice"), (900, 0, b"late")]


def test_in_memory_a_link_ends_and_is_made_anew() -> None:
    clock = ManualClock()
    network = MemoryNetwork(clock, 2)
    first, second, peer = network.link(0), network.link(0), network.link(1)
    received: list[tuple[int, bytes]] = []
    first.send(1, b"not open")
    first.open(lambda *one: received.append(one))
    peer.open(lambda *one: received.append(one))
    with pytest.raises(OSError, match="another link of peer 0 is open"):
        second.open(lambda *one: None)
    peer.send(0, b"under way")
    first.close()
    first.close()
    clock.advance(LATENCY_US)
    assert not received and first.counters["unsent"] == 1
    second.open(lambda *one: received.append(one))
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


def test_in_memory_one_seed_is_one_course_of_events() -> None:
    def course(seed: int) -> list[tuple[int, int, bytes]]:
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

    one = course(7)
    assert one == course(7) and one != course(8)
    came = [data for _, _, data in one]
    assert len(set(came)) < 200 and len(came) > len(set(came)) and came != sorted(came)


def test_in_memory_a_cut_may_go_one_way_and_heals() -> None:
    clock, received = ManualClock(), list[tuple[int, int]]()
    faults = FaultSchedule(random.Random(1))
    network = MemoryNetwork(clock, 5, faults)
    links = [network.link(n) for n in range(5)]
    for n, link in enumerate(links):
        link.open(lambda peer, data, n=n: received.append((peer, n)))  # type: ignore[misc]

    def all_send() -> set[tuple[int, int]]:
        received.clear()
        for a in range(5):
            for b in range(5):
                if a != b:
                    links[a].send(b, b"x")
        clock.advance(LATENCY_US)
        return set(received)

    everybody = all_send()
    assert len(everybody) == 20
    faults.cut_routes = {(0, 1)}
    assert everybody - all_send() == {(0, 1)}
    faults.heal()
    faults.partition((0, 1), (2, 3, 4))
    assert len(all_send()) == 2 + 6
    faults.heal()
    assert all_send() == everybody
