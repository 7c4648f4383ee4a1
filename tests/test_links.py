"""Links and stores of what is shared: what every link must do, over real sockets and in memory, and
what a batch of a store must be."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import socket
from collections.abc import Callable, Sequence
from pathlib import Path

import pytest

from laurelstep.accord.errors import LinkError
from laurelstep.accord.links.memory import LATENCY_US, Faulty, MemoryNetwork
from laurelstep.accord.links.sockets import TURN_MOST, SocketLink
from laurelstep.accord.links.udp import UdpLink
from laurelstep.accord.links.unix import UnixLink
from laurelstep.accord.ports import DATAGRAM_MOST, Link
from laurelstep.accord.stores.embedded import BATCH_BYTES, EmbeddedStore
from laurelstep.accord.stores.none import NoStore
from laurelstep.store import StoreError
from laurelstep.store.manifest import segment_name
from laurelstep.testing import free_udp_port
from laurelstep.testing.disk import SimulatedDisk
from tests.fakes import ManualClock
from tests.sockets import TIMEOUT_S, run


class Heard:
    """What a link received, and an end of waiting for it."""

    def __init__(self) -> None:
        self.all: list[tuple[int, bytes]] = []
        self.came = asyncio.Event()

    def __call__(self, peer: int, data: bytes) -> None:
        self.all.append((peer, data))
        self.came.set()

    async def until(self, done: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not done():
                self.came.clear()
                await self.came.wait()


def free_ports(count: int) -> list[int]:
    """UDP ports that nobody has now."""
    return [free_udp_port() for _ in range(count)]


class Wires:
    """Links of one kind, made as a test needs them."""

    def __init__(self, kind: str, folder: Path, count: int = 3) -> None:
        self.kind = kind
        self.loop = asyncio.get_running_loop()
        self.addresses = [("127.0.0.1", port) for port in free_ports(count)]
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
def test_datagrams_come_whole_from_the_peer_that_sent_them(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        wires, heard = Wires(kind, tmp_path), [Heard(), Heard(), Heard()]
        links = [wires.link(n) for n in range(3)]
        for link, one in zip(links, heard, strict=True):
            link.open(one)
        whole = bytes(range(256))
        assert len(whole) == DATAGRAM_MOST
        links[0].send(1, whole)
        links[2].send(1, b"")
        links[1].send(0, b"back")
        await heard[1].until(lambda: len(heard[1].all) == 2)
        await heard[0].until(lambda: bool(heard[0].all))
        assert heard[1].all == [(0, whole), (2, b"")] and heard[0].all == [(1, b"back")]
        counts = links[1].counters
        assert (counts["received"], counts["received_bytes"], counts["sent_bytes"]) == (2, 256, 4)
        for link in links:
            link.close()
            link.close()
        assert not heard[2].all

    run(main())


@KINDS
def test_strangers_and_long_datagrams_are_dropped_and_counted(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        wires, heard = Wires(kind, tmp_path), Heard()
        link, peer = wires.link(0), wires.link(1)
        link.open(heard)
        peer.open(Heard())
        with wires.stranger(tmp_path) as stranger:
            stranger.sendto(b"let me in", wires.at(0))
        assert peer._socket is not None
        peer._socket.sendto(b"x" * (DATAGRAM_MOST + 1), wires.at(0))
        peer._socket.sendto(b"x" * 9000, wires.at(0))
        assert link._socket is not None
        link._socket.sendto(b"its own", wires.at(0))
        peer.send(0, b"last")
        await heard.until(lambda: bool(heard.all))
        assert heard.all == [(1, b"last")]
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
        link.open(Heard())
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
        return super().recvfrom(DATAGRAM_MOST + 1)


class RefusingLink(UdpLink):
    def _bind(self) -> socket.socket:
        with super()._bind() as plain:
            one = Refusing(fileno=os.dup(plain.fileno()))
        one.codes = []
        one.setblocking(False)
        return one


def test_what_the_kernel_does_not_take_is_counted() -> None:
    async def main() -> None:
        ports = free_ports(2)
        peers = [("127.0.0.1", port) for port in ports]
        loop = asyncio.get_running_loop()
        link, peer = RefusingLink(loop, peers[0], peers, 0), UdpLink(loop, peers[1], peers, 1)
        heard = Heard()
        link.open(heard)
        peer.open(Heard())
        assert isinstance(link._socket, Refusing)
        codes = [errno.EAGAIN, errno.ECONNREFUSED, errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM]
        link._socket.codes = list(codes)
        for _ in codes:
            link.send(1, b"x")
        assert link.counters["unsent"] == len(codes) and not link.counters["sent"]
        # The error of an earlier send, which the kernel tells the next reader.
        link._socket.codes = [errno.ECONNREFUSED]
        peer.send(0, b"it still receives")
        await heard.until(lambda: bool(heard.all))
        assert link.counters["unsent"] == len(codes) + 1
        link.close()
        peer.close()

    run(main())


@KINDS
def test_a_full_receiver_never_holds_the_sender(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        wires, heard = Wires(kind, tmp_path), Heard()
        link, peer = wires.link(0), wires.link(1)
        link.open(heard)
        peer.open(Heard())
        many = 20_000
        for _ in range(many):  # the loop does not turn: nobody reads
            peer.send(0, b"x" * 200)
        assert peer.counters["sent"] + peer.counters["unsent"] == many
        least = min(peer.counters["sent"], TURN_MOST + 1)
        await heard.until(lambda: len(heard.all) >= least)
        assert len(heard.all) < many, "the kernel's queue is bounded"
        link.close()
        peer.close()

    run(main())


@KINDS
def test_nothing_is_received_after_close_even_in_the_same_turn(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        wires, heard = Wires(kind, tmp_path), Heard()
        link, peer = wires.link(0), wires.link(1)

        def take(number: int, data: bytes) -> None:
            heard(number, data)
            link.close()

        link.open(take)
        peer.open(Heard())
        for _ in range(5):
            peer.send(0, b"x")
        await heard.until(lambda: bool(heard.all))
        await asyncio.sleep(0)
        assert len(heard.all) == 1
        peer.close()

    run(main())


@KINDS
def test_an_address_is_one_process_s_until_it_ends(kind: str, tmp_path: Path) -> None:
    async def main() -> None:
        wires, heard = Wires(kind, tmp_path), Heard()
        first, second, peer = wires.link(0), wires.link(0), wires.link(1)
        first.open(heard)
        with pytest.raises(OSError) as told:
            second.open(Heard())
        assert told.value.errno == errno.EADDRINUSE
        peer.open(Heard())
        peer.send(0, b"the first still hears")
        await heard.until(lambda: bool(heard.all))
        first.close()
        later = Heard()
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
        link.open(Heard())
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
        peers = [("::1", port) for port in free_ports(2)]
        links = [UdpLink(loop, peers[n], peers, n) for n in range(2)]
        heard = Heard()
        links[0].open(heard)
        links[1].open(Heard())
        links[1].send(0, b"six")
        await heard.until(lambda: bool(heard.all))
        assert heard.all == [(1, b"six")]
        for link in links:
            link.close()

    run(main())


# --- In memory --------------------------------------------------------------------------


def test_in_memory_what_becomes_of_a_datagram_is_the_schedule_s_word() -> None:
    clock, heard = ManualClock(), list[tuple[int, int, bytes]]()
    delays: dict[bytes, Sequence[int]] = {b"lost": (), b"late": (900,), b"twice": (100, 300), b"now": (0,)}
    network = MemoryNetwork(clock, 3, lambda sender, receiver, data: delays[data])
    links: list[Link] = [network.link(n) for n in range(3)]
    begun = clock.now()
    for link in links:
        link.open(lambda peer, data: heard.append((clock.now() - begun, peer, data)))
    for data in delays:
        links[0].send(1, data)
    clock.advance(1_000)
    assert heard == [(0, 0, b"now"), (100, 0, b"twice"), (300, 0, b"twice"), (900, 0, b"late")]


def test_in_memory_a_link_ends_and_is_made_anew() -> None:
    clock = ManualClock()
    network = MemoryNetwork(clock, 2)
    first, second, peer = network.link(0), network.link(0), network.link(1)
    heard: list[tuple[int, bytes]] = []
    first.send(1, b"not open")
    first.open(lambda *one: heard.append(one))
    peer.open(lambda *one: heard.append(one))
    with pytest.raises(OSError, match="peer 0 is open"):
        second.open(lambda *one: None)
    peer.send(0, b"under way")
    first.close()
    first.close()
    clock.advance(LATENCY_US)
    assert not heard and first.counters["unsent"] == 1
    second.open(lambda *one: heard.append(one))
    peer.send(0, b"to the second")
    clock.advance(LATENCY_US - 1)
    assert not heard
    clock.advance(1)
    assert heard == [(1, b"to the second")]
    for number, data in ((0, b""), (2, b""), (1, b"x" * 257)):
        with pytest.raises(LinkError):
            second.send(number, data)
    with pytest.raises(LinkError):
        network.link(2)


def test_in_memory_one_seed_is_one_course_of_events() -> None:
    def course(seed: int) -> list[tuple[int, int, bytes]]:
        clock, heard = ManualClock(), list[tuple[int, int, bytes]]()
        faults = Faulty(random.Random(seed), loss=0.2, double=0.3, delay_us=(100, 5_000))
        network = MemoryNetwork(clock, 4, faults)
        links = [network.link(n) for n in range(4)]
        for link in links:
            link.open(lambda peer, data: heard.append((clock.now(), peer, data)))
        for n in range(200):
            links[n % 4].send((n + 1) % 4, n.to_bytes(2))
        clock.advance(5_000)
        return heard

    one = course(7)
    assert one == course(7) and one != course(8)
    came = [data for _, _, data in one]
    assert len(set(came)) < 200 and len(came) > len(set(came)) and came != sorted(came)


def test_in_memory_a_cut_may_go_one_way_and_heals() -> None:
    clock, heard = ManualClock(), list[tuple[int, int]]()
    faults = Faulty(random.Random(1))
    network = MemoryNetwork(clock, 5, faults)
    links = [network.link(n) for n in range(5)]
    for n, link in enumerate(links):
        link.open(lambda peer, data, n=n: heard.append((peer, n)))  # type: ignore[misc]

    def all_send() -> set[tuple[int, int]]:
        heard.clear()
        for a in range(5):
            for b in range(5):
                if a != b:
                    links[a].send(b, b"x")
        clock.advance(LATENCY_US)
        return set(heard)

    everybody = all_send()
    assert len(everybody) == 20
    faults.cut = {(0, 1)}
    assert everybody - all_send() == {(0, 1)}
    faults.heal()
    faults.part((0, 1), (2, 3, 4))
    assert len(all_send()) == 2 + 6
    faults.heal()
    assert all_send() == everybody


# --- Stores -----------------------------------------------------------------------------


def test_without_a_store_nothing_lasts() -> None:
    async def main() -> None:
        store = NoStore()
        assert not store.lasting
        assert store.write({b"a": b"1"}).done()
        assert await store.load() == {}
        await store.close()

    run(main())


def test_the_embedded_store_keeps_what_was_written_in_the_order_of_calls(tmp_path: Path) -> None:
    async def main() -> None:
        folder = str(tmp_path / "accord")
        store = await EmbeddedStore.open(folder)
        assert store.lasting and await store.load() == {}
        first = store.write({b"a": b"1", b"b": b"1"})
        await asyncio.sleep(0)
        second = store.write({b"a": None, b"c": b"2"})
        third = store.write({b"b": b"3", b"d": b""})
        empty = store.write({})
        assert not first.done()
        await asyncio.gather(second, third, empty)
        assert first.done() and store.store.stats().batches == 2, "calls that wait are one batch"
        await store.write({})
        await store.close()
        await store.close()
        again = await EmbeddedStore.open(folder)
        assert await again.load() == {b"b": b"3", b"c": b"2", b"d": b""}
        with pytest.raises(StoreError, match="another process has this store open"):
            await EmbeddedStore.open(folder)
        await again.close()

    run(main())


def test_a_call_s_changes_are_found_whole_or_not_at_all_wherever_power_is_lost() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        store = await EmbeddedStore.open(disk)
        for n in range(12):
            await store.write({b"%d" % key: n.to_bytes(64) for key in range(20)})
            disk.mark("written", n)
        await store.close()
        draw = random.Random(5)
        for end in range(0, len(disk.journal), 2):
            journal = disk.journal[:end]
            least = max((one[2] for one in journal if one[0] == "mark"), default=-1)
            after = SimulatedDisk.replay(journal).lose_power(draw)
            try:
                found = await EmbeddedStore.open(after)
            except StoreError:
                # Not even the first manifest: the store was never there.
                assert least == -1
                continue
            kept = await found.load()
            await found.close()
            told = set(kept.values())
            assert len(told) <= 1 and len(kept) in (0, 20), "torn"
            assert (int.from_bytes(told.pop()) if told else -1) >= least, "lost"

    run(main())


def test_after_a_failed_write_nothing_more_is_written() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        store = await EmbeddedStore.open(disk)
        await store.write({b"a": b"1"})
        disk.fail("write", OSError(errno.ENOSPC, "No space left on device"))
        first = store.write({b"a": b"2"})
        second = store.write({b"b": b"2"})
        with pytest.raises(StoreError, match="No space left"):
            await first
        third = store.write({b"c": b"3"})
        for one in (second, third):
            with pytest.raises(StoreError, match="No space left"):
                await one
        await store.close()
        again = await EmbeddedStore.open(disk.lose_power(all_=True))
        assert await again.load() == {b"a": b"1"}
        await again.close()
        with pytest.raises(StoreError, match="closed"):
            await again.write({b"a": b"3"})

    run(main())


@pytest.mark.parametrize(
    "changes",
    [
        {b"": b"1"},
        {b"k" * 2000: b"1"},
        {b"k": b"x" * (2 << 20)},
        {b"%d" % n: b"x" * (1 << 20) for n in range(9)},
    ],
)
def test_what_can_not_be_kept_fails_the_call(changes: dict[bytes, bytes | None]) -> None:
    async def main() -> None:
        store = await EmbeddedStore.open(SimulatedDisk())
        with pytest.raises(StoreError):
            await store.write(changes)
        assert await store.load() == {}
        await store.close()

    run(main())
    assert BATCH_BYTES < 9 << 20


def test_a_damaged_store_is_told(tmp_path: Path) -> None:
    async def main() -> None:
        store = await EmbeddedStore.open(str(tmp_path))
        await store.write({b"a": b"1" * 100})
        await store.write({b"a": b"2" * 100})
        await store.close()
        path = tmp_path / segment_name(1)
        data = bytearray(path.read_bytes())
        data[40] ^= 1
        path.write_bytes(data)
        with pytest.raises(StoreError):
            await EmbeddedStore.open(str(tmp_path))

    run(main())
