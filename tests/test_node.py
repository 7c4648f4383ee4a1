"""The driver: what is kept before what is sent, failing stores, addresses that are another's, and
how a process gives its part to the next."""

from __future__ import annotations

import asyncio
import errno
import json
import random
import socket
from collections import Counter
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, ClassVar

import pytest

from laurelstep.accord import messages
from laurelstep.accord.core import Core
from laurelstep.accord.errors import BusyError, EntryError, KeptError, LinkError, NotLeadingError
from laurelstep.accord.links.memory import LATENCY_US, MemoryLink, MemoryNetwork
from laurelstep.accord.links.udp import UdpLink
from laurelstep.accord.node import LEAST_US, RETRY_US, WAITING_MOST, Node, Stage, node_of, nothing
from laurelstep.accord.options import AccordSettings
from laurelstep.accord.ports import Link, Store
from laurelstep.accord.stores.embedded import EmbeddedStore
from laurelstep.accord.stores.none import NoStore
from laurelstep.accord.terms import NOWHERE, PENDING_MOST, Effects, Era
from laurelstep.engine.clock import LoopClock
from laurelstep.handover.place import Place
from laurelstep.handover.state import KEPT_MOST, kept_in, state_of_accord
from laurelstep.handover.taker import Taken, take
from laurelstep.store import StoreError
from laurelstep.store.manifest import MANIFEST
from laurelstep.testing.disk import SimulatedDisk
from tests.fakes import ManualClock
from tests.sockets import SETTINGS, TIMEOUT_S, Endpoint, request, run
from tests.test_links import Heard, free_ports
from tests.upgrades import Site, Version, kill


class Blank:
    """A machine that remembers what it was told."""

    def __init__(self) -> None:
        self.applied: list[bytes] = []
        self.loaded: list[bytes] = []

    def apply(self, index: int, data: bytes) -> None:
        self.applied.append(data)

    def dump(self) -> bytes:
        return b"".join(self.applied)

    def load(self, raw: bytes) -> None:
        self.loaded.append(raw)


class PlayedCore(Core):
    """Does what a test says: `answers` are the effects of the steps to come, by their names."""

    role = "follower"
    leader = 2
    term = 3
    era: Era = NOWHERE
    committed = applied = 0
    known = True
    incarnation = 0
    counters: ClassVar[Counter[str]] = Counter(foreign=0)
    heard: Callable[[int, int, bytes], None] = nothing

    def __init__(self, incarnation: int, kept: Mapping[bytes, bytes]) -> None:
        self.due = 1 << 60
        self.incarnation = int.from_bytes(kept[b"i"]) if kept else incarnation
        self.kept = dict(kept) or {b"i": incarnation.to_bytes(8)}
        self.steps: list[tuple[Any, ...]] = []
        self.answers: dict[str, Effects | Exception] = {}
        self.retired = False

    def _step(self, *step: Any) -> Effects:
        self.steps.append(step)
        answer = self.answers.get(step[0], Effects())
        if isinstance(answer, Exception):
            raise answer
        self.kept.update({key: value for key, value in answer.keep.items() if value is not None})
        return answer

    def start(self, now: int) -> Effects:
        # As a core must that has a lasting store: who it is comes before anything it says.
        return Effects(keep=dict(self.kept), sends=[(1, b"hello")])

    def receive(self, now: int, peer: int, raw: bytes) -> Effects:
        return self._step("receive", peer, raw)

    def tick(self, now: int) -> Effects:
        self.due = now + 1_000_000
        return self._step("tick", now)

    def propose(self, now: int, data: bytes) -> Effects:
        return self._step("propose", data)

    def word(self, now: int, data: bytes, era: Era | None = None) -> Effects:
        return self._step("word", data, era)

    def in_touch(self, now: int) -> bool:
        return True

    def retire(self) -> dict[bytes, bytes]:
        self.retired = True
        return dict(self.kept)


class HeldStore:
    """A lasting one whose writes end when a test says."""

    lasting = True

    def __init__(self, found: dict[bytes, bytes] | None = None) -> None:
        self.found = found or {}
        self.writes: list[tuple[Mapping[bytes, bytes | None], asyncio.Future[None]]] = []
        self.closed = False

    async def load(self) -> dict[bytes, bytes]:
        return dict(self.found)

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.writes.append((dict(changes), done))
        return done

    async def end(self, error: Exception | None = None) -> None:
        _, done = self.writes.pop(0)
        if error is None:
            done.set_result(None)
        else:
            done.set_exception(error)
        await turn()

    async def close(self) -> None:
        self.closed = True


async def turn() -> None:
    """What is ready on the loop has run."""
    for _ in range(3):
        await asyncio.sleep(0)


class Bench:
    """One node as peer 0 of three; peers 1 and 2 are links of the test's own."""

    def __init__(self, store: Store | None = None) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock, 3)
        self.store = store or NoStore()
        self.machine = Blank()
        self.cores: list[PlayedCore] = []
        self.lines: list[str] = []
        self.heard: list[tuple[int, bytes]] = []
        self.changes = 0
        self.peers = [self.network.link(n) for n in (1, 2)]
        for peer in self.peers:
            peer.open(lambda number, data, me=peer.me: self.heard.append((me, data)))  # type: ignore[misc]
        self.node = self.make()

    def make(self, link: Callable[[], Link] | None = None) -> Node:
        def make_core(incarnation: int, kept: Mapping[bytes, bytes]) -> Core:
            self.cores.append(PlayedCore(incarnation, kept))
            return self.cores[-1]

        async def open_store() -> Store:
            return self.store

        def make_link() -> MemoryLink:
            return self.network.link(0)

        node = Node(make_core, link or make_link, open_store, self.machine, self.clock, self.lines.append)
        node.on_change = self.changed
        return node

    def changed(self) -> None:
        self.changes += 1

    @property
    def core(self) -> PlayedCore:
        return self.cores[-1]

    def arrive(self) -> list[tuple[int, bytes]]:
        """What has come to the peers by now."""
        self.clock.advance(LATENCY_US)
        found, self.heard = self.heard, []
        return found

    def receive(self, data: bytes, peer: int = 1) -> None:
        """A datagram of a peer's, at once."""
        assert self.node.link is not None
        self.network.arrive(peer, 0, data)


SAY = Effects(sends=[(1, b"said")], changed=True)


# --- Steps ------------------------------------------------------------------------------


def test_a_step_s_sends_leave_at_once_where_nothing_is_kept() -> None:
    async def main() -> None:
        bench = Bench()
        assert not bench.node.takes_part and not bench.node.known and not bench.node.in_touch
        await bench.node.start()
        assert bench.arrive() == [(1, b"hello")] and bench.changes == 1
        bench.core.answers["receive"] = SAY
        bench.receive(b"x", peer=2)
        assert bench.arrive() == [(1, b"said")] and bench.changes == 2
        assert bench.core.steps == [("receive", 2, b"x")]
        assert bench.node.takes_part and bench.node.known and bench.node.in_touch
        await bench.node.close()
        assert bench.core.retired and not bench.node.takes_part
        bench.peers[0].send(0, b"late")
        bench.clock.advance(10_000_000)
        assert len(bench.core.steps) == 1

    run(main())


def test_what_is_kept_is_durable_before_what_is_sent_and_before_the_next_step() -> None:
    async def main() -> None:
        store = HeldStore()
        bench = Bench(store)
        await bench.node.start()
        assert [changes for changes, _ in store.writes] == [{b"i": bench.core.incarnation.to_bytes(8)}]
        bench.receive(b"one")
        bench.receive(b"two")
        assert not bench.arrive() and not bench.core.steps
        bench.core.answers["receive"] = Effects(
            keep={b"k": b"1", b"gone": None}, sends=SAY.sends, changed=True
        )
        await store.end()
        assert bench.arrive() == [(1, b"hello")] and bench.core.steps == [("receive", 1, b"one")]
        assert store.writes[0][0] == {b"k": b"1", b"gone": None} and bench.changes == 1
        await store.end()
        assert bench.arrive() == [(1, b"said")] and bench.changes == 2
        assert [one[2] for one in bench.core.steps] == [b"one", b"two"]
        await bench.node.close()
        assert store.closed
        # Its write ends after the end of this process's part: nothing leaves.
        await store.end()
        assert not bench.arrive()

    run(main())


def test_a_write_of_a_former_life_says_nothing_in_the_next() -> None:
    async def main() -> None:
        store = HeldStore()
        bench = Bench(store)
        await bench.node.start()
        _, former = store.writes.pop()
        await bench.node.retire()
        await bench.node.begin_again()
        bench.receive(b"it waits for the new life's write")
        former.set_result(None)
        await turn()
        assert not bench.arrive() and not bench.core.steps
        await store.end()
        assert bench.arrive() == [(1, b"hello")] and len(bench.core.steps) == 1
        await bench.node.close()

    run(main())


def test_what_waits_for_the_disk_is_bounded() -> None:
    async def main() -> None:
        store = HeldStore()
        bench = Bench(store)
        await bench.node.start()
        bench.core.role = "leader"
        bench.node.propose(b"in its turn")
        for n in range(WAITING_MOST + 9):
            bench.receive(n.to_bytes(2))
        with pytest.raises(BusyError):
            bench.node.propose(b"one too many")
        with pytest.raises(BusyError):
            bench.node.word(b"one too many")
        bench.clock.advance(0)
        assert bench.node.counters == {"waited": WAITING_MOST, "dropped": 10, "refused": 0}
        # It has lost the lead meanwhile, as an entry's turn comes.
        bench.core.answers["propose"] = NotLeadingError(2)
        await store.end()
        assert len(bench.core.steps) == WAITING_MOST and bench.core.steps[0] == ("propose", b"in its turn")
        assert bench.node.counters["refused"] == 1
        await bench.node.close()

    run(main())


def test_a_word_that_waits_stays_one_of_the_record_it_speaks_of() -> None:
    async def main() -> None:
        store = HeldStore()
        bench = Bench(store)
        await bench.node.start()  # begins with a write
        bench.core.era = Era(1, 7)
        bench.node.word(b"of the first")
        bench.core.era = Era(2, 5)
        await store.end()
        assert bench.core.steps == [("word", b"of the first", Era(1, 7))]
        await bench.node.close()

    run(main())


def test_one_timer_follows_the_core() -> None:
    async def main() -> None:
        bench = Bench()
        await bench.node.start()
        now, core = bench.clock.now(), bench.core
        core.due = now + 5_000
        bench.receive(b"x")
        core.due = now + 9_000  # put off: the timer looks again
        bench.receive(b"x")
        bench.clock.advance(8_999)
        assert ("tick", now + 9_000) not in core.steps
        bench.clock.advance(1)
        assert core.steps[-1] == ("tick", now + 9_000)
        core.due = now + 9_001  # sooner than what the timer stands at
        bench.receive(b"x")
        core.answers["tick"] = Effects()
        bench.clock.advance(LEAST_US)
        assert core.steps[-1] == ("tick", now + 9_000 + LEAST_US)
        ticks = sum(one[0] == "tick" for one in core.steps)
        bench.clock.advance(999_999)
        assert sum(one[0] == "tick" for one in core.steps) == ticks
        await bench.node.close()

    run(main())


def test_a_core_that_is_always_due_does_not_keep_the_loop() -> None:
    async def main() -> None:
        bench = Bench()
        await bench.node.start()

        class Eager(PlayedCore):
            def tick(self, now: int) -> Effects:
                return self._step("tick", now)

        core = Eager(1, {})
        bench.node.core = core
        core.due = 0
        bench.receive(b"x")
        bench.clock.advance(10 * LEAST_US)
        assert sum(one[0] == "tick" for one in core.steps) == 10
        await bench.node.close()

    run(main())


def test_callers_hear_why_a_step_can_not_be() -> None:
    async def main() -> None:
        bench = Bench()
        with pytest.raises(NotLeadingError, match="no process leads"):
            bench.node.propose(b"x")
        bench.node.word(b"nobody takes part: it is lost")
        await bench.node.start()
        with pytest.raises(NotLeadingError, match="peer 2 leads"):
            bench.node.propose(b"x")
        bench.core.role = "leader"
        assert bench.node.leading and bench.node.leader == 2
        bench.core.answers["propose"] = BusyError(f"{PENDING_MOST} wait")
        with pytest.raises(BusyError):
            bench.node.propose(b"x")
        for call in (bench.node.propose, bench.node.word):
            with pytest.raises(EntryError):
                call(b"x" * 161)
        bench.core.answers["propose"] = SAY
        bench.node.propose(b"x" * 160)
        bench.node.word(b"w")
        assert bench.core.steps[-2:] == [("propose", b"x" * 160), ("word", b"w", NOWHERE)]
        assert (1, b"said") in bench.arrive()
        await bench.node.close()

    run(main())


def test_words_and_changes_are_told_in_a_turn_of_their_own() -> None:
    async def main() -> None:
        bench = Bench()
        await bench.node.start()
        bench.clock.advance(0)
        told: list[Any] = []

        def hears(peer: int, incarnation: int, data: bytes) -> None:
            told.append((peer, incarnation, data, bench.node._is_busy))
            bench.node.propose(b"upon it")

        bench.node.heard = hears
        bench.core.role = "leader"
        bench.core.heard(1, 7, b"word")
        bench.core.answers["receive"] = Effects(changed=True)
        for _ in range(3):
            bench.receive(b"x")
        assert not told and bench.changes == 1
        bench.clock.advance(0)
        assert told == [(1, 7, b"word", False)] and bench.changes == 2, "changes at one time are told once"
        bench.core.heard(1, 7, b"late")
        await bench.node.close()
        bench.clock.advance(0)
        assert len(told) == 1

    run(main())


def test_a_caller_within_a_step_waits_for_its_turn() -> None:
    async def main() -> None:
        bench = Bench()
        await bench.node.start()
        node, core = bench.node, bench.core
        core.role = "leader"

        class Within(dict[str, Any]):
            def get(self, name: str, default: Any = None) -> Any:
                if name == "receive":
                    node.propose(b"from within")
                    assert [one[0] for one in core.steps] == ["receive"]
                    raise NotLeadingError(None)
                return default

        core.answers = Within()
        bench.receive(b"x")
        assert [one[0] for one in core.steps] == ["receive", "propose"]
        await node.close()

    run(main())


# --- Failing ----------------------------------------------------------------------------


@pytest.mark.parametrize("at", ["open", "load", "start", "later"])
def test_a_store_that_fails_ends_this_process_s_part_with_one_line(at: str) -> None:
    async def main() -> None:
        class Failing(HeldStore):
            async def load(self) -> dict[bytes, bytes]:
                if at == "load":
                    raise StoreError("can't be\nread")
                return await super().load()

        store = Failing()
        bench = Bench(store)
        if at == "open":

            async def open_store() -> Store:
                raise StoreError("the store can't be opened: damaged")

            bench.node.open_store = open_store
        await bench.node.start()
        if at == "later":
            await store.end()
            bench.core.answers["receive"] = Effects(keep={b"k": b"1"}, sends=SAY.sends)
            bench.receive(b"x")
        if at in ("start", "later"):
            assert bench.node.takes_part
            bench.arrive()
            await store.end(StoreError("the disk fails: No space left on device"))
        await turn()
        bench.clock.advance(0)
        assert bench.node.stage is Stage.FAILED and not bench.node.takes_part and bench.changes >= 1
        assert not bench.arrive(), "what was not kept was not said"
        assert len(bench.lines) == 1 and "\n" not in bench.lines[0] and StoreError.remedy in bench.lines[0]
        assert bench.node.status()["failure"] == bench.node.failure != ""
        assert 0 not in bench.network.open, "the address is free"
        if at != "open":
            assert store.closed
        with pytest.raises(NotLeadingError):
            bench.node.propose(b"x")
        assert await bench.node.retire() == {}
        await bench.node.begin_again()
        assert bench.node.stage is Stage.FAILED
        await bench.node.close()

    run(main())


@pytest.mark.parametrize(
    "answer", [RuntimeError("a fault"), Effects(sends=[(9, b"x")]), Effects(sends=[(1, b"x" * 257)])]
)
def test_a_core_that_fails_does_not_harm_the_process(answer: Effects | Exception) -> None:
    async def main() -> None:
        bench = Bench()
        await bench.node.start()
        bench.core.answers["receive"] = answer
        bench.receive(b"x")
        await turn()
        assert bench.node.stage is Stage.FAILED and len(bench.lines) == 1
        assert 0 not in bench.network.open
        if isinstance(answer, Effects):
            assert LinkError.remedy in bench.lines[0]
        await bench.node.close()

    run(main())


def test_a_store_that_can_not_be_closed_is_told_and_left() -> None:
    async def main() -> None:
        class Stuck(HeldStore):
            async def close(self) -> None:
                raise OSError("the disk is gone")

        bench = Bench(Stuck())
        await bench.node.start()
        await bench.node.close()
        assert bench.lines == ["accord: the store was not closed: the disk is gone"]
        assert 0 not in bench.network.open

    run(main())


# --- Addresses --------------------------------------------------------------------------


def test_it_waits_for_an_address_that_another_process_has() -> None:
    async def main() -> None:
        bench = Bench()

        class Taken(MemoryLink):
            def open(self, receive: Callable[[int, bytes], None]) -> None:
                if 0 in bench.network.open:
                    raise OSError(errno.EADDRINUSE, "taken")
                super().open(receive)

        first, second = bench.node, bench.make(lambda: Taken(bench.network, 0))
        await first.start()
        await second.start()
        assert second.stage is Stage.WAITING and len(bench.cores) == 1
        for _ in range(3):
            bench.clock.advance(RETRY_US)
            await turn()
        assert len(bench.lines) == 1 and second.stage is Stage.WAITING
        await first.close()
        bench.clock.advance(RETRY_US)
        await turn()
        assert second.takes_part and bench.cores[0].incarnation != bench.cores[1].incarnation
        await second.close()
        third = bench.make(lambda: Taken(bench.network, 0))
        await first.begin_again()
        assert first.stage is Stage.CLOSED
        blocker = bench.network.link(0)
        blocker.open(lambda peer, data: None)
        await third.start()
        await third.close()
        blocker.close()
        bench.clock.advance(RETRY_US)
        await turn()
        assert not third.takes_part and not bench.network.open.get(0)

    run(main())


def test_an_address_that_can_not_be_had_at_all_is_the_caller_s_to_tell() -> None:
    async def main() -> None:
        class Nowhere(MemoryLink):
            def open(self, receive: Callable[[int, bytes], None]) -> None:
                raise OSError(errno.EADDRNOTAVAIL, "no such address here")

        bench = Bench()
        node = bench.make(lambda: Nowhere(bench.network, 0))
        with pytest.raises(OSError, match="no such address here"):
            await node.start()
        await node.close()

    run(main())


# --- Handing on -------------------------------------------------------------------------


def test_a_successor_begins_from_what_the_retired_one_gave() -> None:
    async def main() -> None:
        bench = Bench()
        await bench.node.start()
        bench.core.answers["receive"] = Effects(keep={b"log": b"1"})
        bench.receive(b"x")
        kept = await bench.node.retire()
        assert kept == bench.cores[0].kept and bench.cores[0].retired and not bench.node.takes_part
        assert await bench.node.retire() == {}
        successor = bench.make()
        await successor.start(kept)
        assert (
            bench.cores[1].incarnation == bench.cores[0].incarnation and bench.cores[1].kept[b"log"] == b"1"
        )
        await successor.close()
        # It died before it took over: the old one is another member from now on.
        await bench.node.begin_again()
        assert bench.node.takes_part and bench.cores[2].incarnation != bench.cores[0].incarnation
        assert bench.machine.loaded == [b""], "the record is learned anew"
        await bench.node.begin_again()
        assert len(bench.cores) == 3
        await bench.node.close()

    run(main())


def test_a_lasting_store_goes_before_what_was_given() -> None:
    async def main() -> None:
        bench = Bench(HeldStore({b"i": (5).to_bytes(8), b"newer": b"1"}))
        await bench.node.start({b"i": (6).to_bytes(8)})
        assert bench.core.incarnation == 5 and b"newer" in bench.core.kept
        await bench.node.close()

    run(main())


def test_what_was_given_and_can_not_be_read_is_done_without() -> None:
    async def main() -> None:
        for store in (NoStore(), HeldStore({b"i": b"?"})):
            bench = Bench(store)

            def refuse(incarnation: int, kept: Mapping[bytes, bytes], bench: Bench = bench) -> Core:
                if kept:
                    raise KeptError("of another list of peers")
                bench.cores.append(PlayedCore(incarnation, kept))
                return bench.cores[-1]

            bench.node.make_core = refuse
            await bench.node.start({b"i": b"?"})
            assert bench.node.takes_part is not store.lasting and len(bench.lines) == 1
            if store.lasting:
                # The operator's to decide: it may hold the only copy of what was agreed.
                assert KeptError.remedy in bench.lines[0]
            await bench.node.close()

    run(main())


def test_a_restart_with_a_lasting_store_keeps_the_incarnation() -> None:
    async def main() -> None:
        disk, found = SimulatedDisk(), list[int]()
        for _ in range(3):
            bench = Bench()

            async def open_store(disk: SimulatedDisk = disk) -> Store:
                return await EmbeddedStore.open(disk)

            bench.node.open_store = open_store
            await bench.node.start()
            async with asyncio.timeout(TIMEOUT_S):
                while not bench.arrive():  # said once it is durable
                    await asyncio.sleep(0)
            found.append(bench.core.incarnation)
            await bench.node.close()
            disk = disk.lose_power(random.Random(1))
        assert len(set(found)) == 1

    run(main())


def test_status_is_plain() -> None:
    async def main() -> None:
        bench = Bench()
        assert bench.node.status() == {"stage": "new", "failure": ""}
        await bench.node.start()
        status = bench.node.status()
        assert status["role"] == "follower" and status["era"] == {"generation": 0, "id": "0" * 16}
        assert status["incarnation"] == f"{bench.core.incarnation:016x}" and not status["lasting"]
        assert status["link"]["sent"] == 1 and status["counters"]["foreign"] == 0
        await bench.node.close()

    run(main())


# --- Real sockets and the real core -------------------------------------------------------

FAST = {"heartbeat_us": 20_000, "election_us": 100_000}


class Tier:
    """Nodes of one tier in this process, each on sockets of its own."""

    def __init__(self, count: int, seats: int, folder: Path | None = None, unix: bool = False) -> None:
        self.loop = asyncio.get_running_loop()
        assert folder is not None or not unix
        self.peers = tuple(
            str(folder / f"peer-{n}") if unix and folder is not None else f"127.0.0.1:{port}"
            for n, port in enumerate(free_ports(count))
        )
        self.folder = folder
        self.seats = seats
        self.unix = unix
        self.lines: list[str] = []
        self.nodes: dict[int, Node] = {}
        self.records: dict[int, Blank] = {}
        self.changed = asyncio.Event()

    async def start(self, me: int, lasting: bool = False) -> Node:
        settings = AccordSettings(
            self.peers,
            self.peers[me],
            me,
            "unix" if self.unix else "udp",
            self.seats,
            str(self.folder / f"store-{me}") if lasting and self.folder is not None else "",
            **FAST,
        )
        record = Blank()
        node = node_of(settings, record, self.loop, LoopClock(self.loop), self.lines.append)
        node.on_change = self.changed.set
        self.nodes[me], self.records[me] = node, record
        await node.start()
        return node

    async def until(self, done: Callable[[], bool]) -> None:
        """Told of changes, and a moment after what is told of by none."""
        async with asyncio.timeout(TIMEOUT_S):
            while not done():
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), 0.02)
                except TimeoutError:
                    continue

    async def all_know(self) -> Node:
        """Who leads, once all know the record."""
        await self.until(lambda: all(one.known for one in self.nodes.values()) and self._leader() is not None)
        found = self._leader()
        assert found is not None
        return found

    def _leader(self) -> Node | None:
        return next((one for one in self.nodes.values() if one.leading), None)

    async def agree(self, data: bytes) -> None:
        """The entry is applied by all that take part."""
        while True:
            node = await self.all_know()
            try:
                node.propose(data)
                break
            except (BusyError, NotLeadingError):
                continue
        await self.until(lambda: all(data in self.records[me].applied for me in self.nodes))

    async def stop(self, *numbers: int) -> None:
        for me in numbers or tuple(self.nodes):
            await self.nodes.pop(me).close()
            del self.records[me]


@pytest.mark.parametrize("unix", [False, True])
def test_processes_agree_over_sockets(unix: bool, tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(4, 3, tmp_path, unix)
        for me in range(4):
            await tier.start(me)
        for n in range(5):
            await tier.agree(b"entry %d" % n)
        orders = {tuple(one.applied) for one in tier.records.values()}
        assert len(orders) == 1
        status = tier.nodes[3].status()
        assert status["role"] == "learner" and status["known"] and status["link"]["received"]
        # The leader hears a word of a process that only learns.
        words: list[tuple[int, int, bytes]] = []
        leader = await tier.all_know()
        leader.heard = lambda *one: (words.append(one), tier.changed.set())[0]  # type: ignore[func-returns-value]
        tier.nodes[3].word(b"a word")
        await tier.until(lambda: bool(words))
        assert words[0] == (3, tier.nodes[3].incarnation, b"a word")
        await tier.stop()
        assert not tier.lines

    run(main())


def test_a_process_that_comes_from_nothing_is_another_and_learns_what_was_agreed() -> None:
    async def main() -> None:
        tier = Tier(3, 3)
        for me in range(3):
            await tier.start(me)
        await tier.agree(b"before")
        first = tier.nodes[1].incarnation
        await tier.stop(1)
        await tier.agree(b"meanwhile")
        await tier.start(1)
        await tier.agree(b"after")
        assert tier.nodes[1].incarnation != first
        assert tier.records[1].applied[-1] == b"after" and tier.nodes[1].known
        await tier.stop()

    run(main())


def test_with_a_lasting_store_it_is_the_same_and_nothing_is_lost_when_all_end(tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(3, 3, tmp_path)
        for me in range(3):
            await tier.start(me, lasting=True)
        await tier.agree(b"before")
        first = {me: node.incarnation for me, node in tier.nodes.items()}
        era = tier.nodes[0].era
        await tier.stop()
        for me in range(3):
            await tier.start(me, lasting=True)
        await tier.agree(b"after")
        assert {me: node.incarnation for me, node in tier.nodes.items()} == first
        assert tier.nodes[0].era == era and tier.nodes[0].status()["lasting"]
        assert all(b"before" in one.applied for one in tier.records.values())
        await tier.stop()
        assert not tier.lines

    run(main())


def test_a_store_that_fails_under_way_leaves_the_others_agreeing(tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(3, 3, tmp_path)
        for me in range(3):
            await tier.start(me, lasting=True)
        await tier.agree(b"before")
        failing = tier.nodes[2].store
        assert isinstance(failing, EmbeddedStore)

        def full(name: str, offset: int, data: bytes) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

        failing.store.disk.write = full  # type: ignore[method-assign]
        leader = next(node for node in tier.nodes.values() if node.leading)
        leader.propose(b"one it can't keep")
        await tier.until(lambda: tier.nodes[2].stage is Stage.FAILED)
        assert sum("takes no part any more" in line for line in tier.lines) == 1
        assert not tier.nodes[2].known and tier.nodes[2].status()["failure"]
        await tier.stop(2)
        await tier.agree(b"after")
        await tier.stop()

    run(main())


def test_garbage_and_the_future_are_dropped_counted_and_harm_nothing() -> None:
    async def main() -> None:
        tier = Tier(3, 3)
        for me in range(3):
            await tier.start(me)
        await tier.agree(b"before")
        await tier.stop(2)
        host, port = "127.0.0.1", [int(one.rpartition(":")[2]) for one in tier.peers]
        peer = UdpLink(tier.loop, (host, port[2]), [(host, one) for one in port], 2)
        peer.open(Heard())
        draw = random.Random(3)
        good = messages.encode(messages.Ask(7))
        junk = [
            b"",
            b"\x00",
            good[:-1],
            good + b"x",
            *(draw.randbytes(draw.randint(1, 256)) for _ in range(200)),
        ]
        junk = [bytes((messages.VERSION,)) + one[1:] for one in junk]
        future = [bytes((messages.VERSION + 1,)) + good[1:], bytes((255,)) + bytes(255)]
        for number in (0, 1):
            for one in (*junk, *future):
                peer.send(number, one)
                await asyncio.sleep(0)
        node = tier.nodes[0]

        def counted() -> bool:
            found = node.status()["counters"]
            return bool(found["future"] >= len(future) and found["unreadable"] >= 4)

        await tier.until(counted)
        peer.close()
        await tier.agree(b"after")
        assert not tier.lines
        await tier.stop()

    run(main())


# --- One version after the other ----------------------------------------------------------


def test_what_is_given_crosses_whole_or_not_at_all() -> None:
    kept = {b"me": bytes(range(256)), b"e\x00\xff": b""}
    state = {name: json.loads(raw) for name, raw in state_of_accord(kept).items()}
    assert kept_in(state) == kept
    assert state_of_accord({}) == {} and kept_in({}) is None
    assert state_of_accord({b"k": bytes(KEPT_MOST)}) == {}
    all_spoilt: list[Any] = [[], {}, {"a": 1}, {"?": "eA=="}, {"eA==": "x"}, {"eA==": "\xe9"}, "eA=="]
    for spoilt in all_spoilt:
        assert kept_in({"accord": spoilt}) is None


class Watcher:
    """Peer 1 of a tier whose peer 0 is a daemon: asks it who it is, as a seat may."""

    def __init__(self, ports: list[int]) -> None:
        peers = [("127.0.0.1", port) for port in ports]
        self.link = UdpLink(asyncio.get_running_loop(), peers[1], peers, 1)
        self.nonce = 0
        self.answered = asyncio.Event()
        self.incarnation = 0
        self.link.open(self._hear)

    def _hear(self, peer: int, data: bytes) -> None:
        message = messages.decode(data)
        if isinstance(message, messages.Here) and message.nonce == self.nonce:
            self.incarnation = message.incarnation
            self.answered.set()

    async def ask(self) -> int:
        """The incarnation that answers now."""
        self.nonce += 1
        self.answered.clear()
        while True:
            self.link.send(0, messages.encode(messages.Ask(self.nonce)))
            try:
                await asyncio.wait_for(self.answered.wait(), 0.05)
                return self.incarnation
            except TimeoutError:
                continue

    async def until_other(self, than: int) -> int:
        while (found := await self.ask()) == than:
            pass
        return found


def tier_of_three(folder: Path, text: str = "[accord]\n") -> tuple[list[int], dict[str, Any], dict[str, str]]:
    ports = free_ports(3)
    peers = [f"127.0.0.1:{port}" for port in ports]
    path = folder / "operator.toml"
    path.write_text(text)
    changes = {"peer_listen": peers[0], "peers": peers, "settings": {**SETTINGS, "me": 0, "instances": 3}}
    return ports, changes, {"LB_OPERATOR": str(path)}


@pytest.mark.parametrize("lasting", [False, True])
def test_a_next_version_is_the_same_member_and_a_next_process_another(lasting: bool, tmp_path: Path) -> None:
    async def main() -> None:
        text = f"[accord]\nstore_path = '{tmp_path}/store'\n" if lasting else "[accord]\n"
        ports, changes, environ = tier_of_three(tmp_path, text)
        async with Site(tmp_path, **changes) as site:

            async def version() -> Version:
                one = await site.start(**environ)
                await one.until_ready()
                return one

            watcher = Watcher(ports)
            old = await version()
            first = await watcher.ask()
            new = await version()
            assert await watcher.ask() == first, "the next version goes on as the same"
            assert b"accord" not in await old.stop()
            assert await watcher.ask() == first
            kill(new)
            await new.process.wait()
            again = await version()
            assert (await watcher.ask() == first) is lasting
            assert not await again.stop()
            watcher.link.close()

    run(main())


def test_a_successor_that_goes_away_leaves_the_old_process_as_another_member(tmp_path: Path) -> None:
    async def main() -> None:
        ports, changes, environ = tier_of_three(tmp_path)
        async with Site(tmp_path, **changes) as site:
            old = await site.start(**environ)
            await old.until_ready()
            watcher = Watcher(ports)
            first = await watcher.ask()
            place = Place(("127.0.0.1", site.port), str(tmp_path))

            def take_over() -> Taken:
                return take(place, ("127.0.0.1", site.port))

            taken = await asyncio.to_thread(take_over)
            kept = kept_in(taken.state)
            assert kept is not None and len(kept) >= 1
            # Now nobody is this member: the old one has ceased, and its address is free.
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
                free.bind(("127.0.0.1", ports[0]))
            taken.listener.close()
            taken.channel.close()
            assert await watcher.until_other(first) not in (0, first)
            watcher.link.close()
            assert not await old.stop()

    run(main())


def test_with_no_peers_it_is_off_with_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        _, changes, environ = tier_of_three(tmp_path, "[accord]\n[upkeep]\n")
        async with Site(tmp_path, **{**changes, "peers": None}) as site:
            one = await site.start(**environ)
            await one.until_ready()
            lines = (await one.stop()).decode().splitlines()
            assert len([line for line in lines if "accord: off" in line]) == len(lines) == 1

    run(main())


@pytest.mark.parametrize(
    ("text", "listen", "expected"),
    [
        ("[accord]\nstore_path = '/proc/none'\n", "", "accord.store_path: /proc/none: "),
        ("[accord]\n", "192.0.2.1:7946", "accord.peer_listen: 192.0.2.1:7946: "),
    ],
)
def test_what_can_not_be_at_the_start_is_one_line_and_exit_2(
    text: str, listen: str, expected: str, tmp_path: Path
) -> None:
    async def main() -> None:
        _, changes, environ = tier_of_three(tmp_path, text)
        changes = {**changes, "peer_listen": listen or changes["peer_listen"]}
        async with Site(tmp_path, **changes) as site:
            one = await site.start(**environ)
            _, errors = await one.process.communicate()
            assert one.process.returncode == 2 and errors.count(b"\n") == 1
            assert expected.encode() in errors and b"operator.toml" in errors and b"expected" in errors

    run(main())


def test_requests_go_on_where_the_store_is_damaged(tmp_path: Path) -> None:
    async def main() -> None:
        folder = tmp_path / "store"
        folder.mkdir()
        (folder / MANIFEST).write_bytes(b"no manifest")
        _, changes, environ = tier_of_three(tmp_path, f"[accord]\nstore_path = '{folder}'\n")
        async with Site(tmp_path, Endpoint(), **changes) as site:
            one = await site.start(**environ)
            await one.until_ready()
            assert (await site.ask(request())).status == 200
            (line,) = (await one.stop()).decode().splitlines()
            assert "accord: this process takes no part any more, requests go on" in line
            assert StoreError.remedy in line

    run(main())
