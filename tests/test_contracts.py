"""Every implementation in the repository, the fakes too, through the contracts; and, for each contract,
faulty ones that it catches."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import errno
import itertools
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ClassVar
from unittest import mock

import pytest
import uvloop
from laurelstep.balancing.events import ERROR, FULL, NO_CONNECT, OK, RESET
from laurelstep.consensus.links.memory import LATENCY_US, MemoryLink, MemoryNetwork
from laurelstep.consensus.links.sockets import SocketLink
from laurelstep.consensus.links.udp import UdpLink
from laurelstep.consensus.links.unix import UnixLink
from laurelstep.consensus.ports import MAX_DATAGRAM_BYTES, Link
from laurelstep.consensus.ports import Store as RecordStore
from laurelstep.consensus.stores.embedded import EmbeddedStore
from laurelstep.consensus.stores.none import NoStore
from laurelstep.engine import Answer, Attempt, Call, Ending, LoopClock
from laurelstep.engine.ports import CallHost, Clock, MemberSink, MemberSource, Recorder
from laurelstep.engine.ports import Upstream as UpstreamSide
from laurelstep.engine.static_members import StaticMembers
from laurelstep.net.discovery import Discovery
from laurelstep.net.upstream import Upstream
from laurelstep.request_journal import JournalClass, JournalSettings
from laurelstep.request_journal.journal import JournaledRequest, RequestJournal
from laurelstep.store import FolderDisk, Store, StoreError, StoreOptions
from laurelstep.store.disk import Disk
from laurelstep.testing import (
    Endpoint,
    Message,
    Reader,
    Writer,
    answer,
    free_port,
    free_udp_port,
    push,
    read_message,
)
from laurelstep.testing.contracts.base import Contract, raises
from laurelstep.testing.contracts.clock import ClockContract, RunningClock
from laurelstep.testing.contracts.disk import DiskContract
from laurelstep.testing.contracts.link import (
    ConnectedLinks,
    ExposedLinks,
    LinkContract,
    ReachableLinkContract,
)
from laurelstep.testing.contracts.members import (
    Entries,
    FaultySourceEnvironment,
    MemberSourceContract,
    PolledSourceContract,
    SourceEnvironment,
)
from laurelstep.testing.contracts.recorder import RecorderContract, RecorderIncarnations
from laurelstep.testing.contracts.store import (
    DurableStoreContract,
    FaultyStoreIncarnations,
    StoreContract,
    StoreIncarnations,
)
from laurelstep.testing.contracts.upstream import EndpointBehaviour, UpstreamContract, UpstreamEnvironment
from laurelstep.testing.disk import SimulatedDisk
from laurelstep.testing.endpoints import Listener, reset_connection

from tests.event_loops import VirtualTimeLoop
from tests.fakes import FakeUpstream, ManualClock, ScheduledCall, SentAttempt

ROOT = Path(__file__).parent.parent


def caught(contract: Contract, *names: str) -> None:
    """The contract fails, and in these tests among others."""
    found = contract.failures()
    assert set(names) <= set(found), f"expected {names}, found {found}"
    # A test that fails by its own fault says nothing of the implementation.
    wrong = {name: error for name, error in found.items() if isinstance(error, NameError | AttributeError)}
    assert not wrong


# --- The contracts themselves ---------------------------------------------------------------


def test_the_contracts_do_not_import_pytest_nor_more_than_their_side() -> None:
    code = (
        "import sys, laurelstep.testing.contracts.clock as one, laurelstep.testing.contracts.members\n"
        "assert not {'pytest', 'google_crc32c', 'laurelstep.store', 'laurelstep.net'} & set(sys.modules)\n"
        "import laurelstep.testing.contracts.disk, laurelstep.testing.contracts.upstream\n"
        "import laurelstep.testing.contracts.recorder, laurelstep.testing.contracts.link\n"
        "import laurelstep.testing.contracts.store\n"
        "assert not {'pytest', '_pytest'} & set(sys.modules)"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=ROOT)


def test_an_error_that_does_not_come_is_told() -> None:
    with (
        pytest.raises(AssertionError, match="no error was raised by a refusal"),
        raises(OSError, "a refusal"),
    ):
        pass
    with pytest.raises(ValueError, match="another"), raises(OSError, "a refusal"):
        raise ValueError("another")


class Waits(Contract):
    timeout_s = 0.01

    def new_loop(self) -> VirtualTimeLoop:
        return VirtualTimeLoop()

    def test_waits(self) -> None:
        self.run(self.wait_for(asyncio.Event().wait(), "an event"))  # type: ignore[arg-type]

    def test_raises_in_a_callback(self) -> None:
        async def main() -> None:
            def fail() -> None:
                raise ZeroDivisionError

            asyncio.get_running_loop().call_soon(fail)
            await asyncio.sleep(0)

        self.run(main())

    def test_holds(self) -> None:
        self.run(asyncio.sleep(0))


def test_failures_tells_what_failed_and_why() -> None:
    found = Waits().failures()
    assert set(found) == {"test_waits", "test_raises_in_a_callback"}
    assert str(found["test_waits"]) == "timed out waiting for an event"
    assert isinstance(found["test_raises_in_a_callback"], ZeroDivisionError)


# --- Clock ------------------------------------------------------------------------------------


@dataclass
class Passing:
    """A loop's clock: its time passes by itself."""

    clock: Clock

    async def advance_past(self, due: int) -> None:
        loop = asyncio.get_running_loop()
        # Behind every timer of the clock, which counts in whole milliseconds; and once more, for one that
        # woke early and, on a busy machine, was set anew only now.
        for wait_s in (max(0, due - self.clock.now()) / 1e6 + 0.005, 0.005):
            passed = asyncio.Event()
            loop.call_at(loop.time() + wait_s, passed.set)
            await passed.wait()


class TestLoopClock(ClockContract):
    @contextlib.asynccontextmanager
    async def running_clock(self) -> AsyncIterator[RunningClock]:
        yield Passing(LoopClock(asyncio.get_running_loop()))


class TestLoopClockOnUvloop(TestLoopClock):
    def new_loop(self) -> asyncio.AbstractEventLoop:
        return uvloop.new_event_loop()


class EarlyLoop(VirtualTimeLoop):
    """Its timers come up to a millisecond early, as those of a loop that rounds may."""

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        return super().call_later(max(0.0, delay - self.early_s()), callback, *args, context=context)

    def early_s(self) -> float:
        return 0.001


class BusyLoop(EarlyLoop):
    """On a machine that is busy: its turns begin late, and whoever has read the time may stand for long."""

    often = 0.05
    longest_us = 20_000

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        super().__init__()

    def advance(self, span_s: float) -> None:
        super().advance(span_s)
        self.stand()

    def now(self) -> int:
        read = super().now()
        self.stand()
        return read

    def early_s(self) -> float:
        return self.draw.choice((0.0, 0.0004, 0.001))

    def stand(self) -> None:
        if self.draw.random() < self.often:
            self.now_us += self.draw.randrange(self.longest_us)


class TestLoopClockWokenEarly(TestLoopClock):
    seed: ClassVar[int | None] = None

    def new_loop(self) -> VirtualTimeLoop:
        return EarlyLoop() if self.seed is None else BusyLoop(self.seed)

    @contextlib.asynccontextmanager
    async def running_clock(self) -> AsyncIterator[RunningClock]:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        with mock.patch.object(time, "monotonic_ns", lambda: loop.now() * 1000):
            yield Passing(LoopClock(loop))


@pytest.mark.parametrize("seed", range(60))
def test_a_clock_on_a_busy_machine_holds(seed: int) -> None:
    class Busy(TestLoopClockWokenEarly):
        pass

    Busy.seed = seed
    assert Busy().failures() == {}


@dataclass
class Moved:
    manual: ManualClock
    clock: Clock

    async def advance_past(self, due: int) -> None:
        self.manual.advance(max(0, due - self.manual.time))


class TestManualClock(ClockContract):
    kind: ClassVar[type[ManualClock]] = ManualClock

    @contextlib.asynccontextmanager
    async def running_clock(self) -> AsyncIterator[RunningClock]:
        one = self.kind()
        yield Moved(one, one)


class EarlyClock(ManualClock):
    def at(self, due: int, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        return super().at(due - 1, callback, *args)


class DeafClock(ManualClock):
    """Its calls can't be cancelled."""

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        super().at(due, callback, *args)
        return ScheduledCall(callback, args)


class HastyClock(ManualClock):
    def at(self, due: int, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        if due <= self.time:
            callback(*args)
            return ScheduledCall(callback, args)
        return super().at(due, callback, *args)


class TwiceClock(ManualClock):
    def at(self, due: int, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        handle = super().at(due, callback, *args)
        self.due.append((self.due[-1][0], self.scheduled_count + 1_000_000, handle))
        return handle


class BackwardClock(ManualClock):
    def now(self) -> int:
        self.time -= 1
        return self.time


class MillisecondClock(ManualClock):
    def wall(self) -> int:
        return super().wall() // 1000


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        (EarlyClock, "test_calls_run_once_and_not_before_they_are_due"),
        (DeafClock, "test_a_cancelled_call_never_runs"),
        (HastyClock, "test_an_overdue_call_runs_soon_but_not_inside_at"),
        (TwiceClock, "test_calls_run_once_and_not_before_they_are_due"),
        (BackwardClock, "test_now_never_decreases"),
        (MillisecondClock, "test_wall_is_unix_time_in_microseconds"),
    ],
)
def test_a_faulty_clock_is_caught(kind: type[ManualClock], name: str) -> None:
    class Faulty(TestManualClock):
        timeout_s = 0.2

    Faulty.kind = kind
    caught(Faulty(), name)


class RearmingClock:
    """Sets a timer that woke early anew, and leaves its handle behind."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.loop = loop
        self.now, self.wall = loop.now, LoopClock(loop).wall

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
        delay = max(0, due - self.now() + 999) // 1000 / 1000
        return self.loop.call_later(delay, self._due, due, callback, args)

    def _due(self, due: int, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.now() < due:
            self.at(due, callback, *args)
        else:
            callback(*args)


def test_a_clock_that_loses_the_handle_of_a_timer_set_anew_is_caught() -> None:
    class Faulty(TestLoopClockWokenEarly):
        @contextlib.asynccontextmanager
        async def running_clock(self) -> AsyncIterator[RunningClock]:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualTimeLoop)
            yield Passing(RearmingClock(loop))

    caught(Faulty(), "test_a_call_cancelled_shortly_before_it_is_due_never_runs")


# --- Disk -------------------------------------------------------------------------------------


class TestFolderDisk(DiskContract):
    kind: ClassVar[type[FolderDisk]] = FolderDisk

    @contextlib.contextmanager
    def empty_folder(self) -> Iterator[Callable[[], Disk]]:
        with tempfile.TemporaryDirectory() as folder:
            yield lambda: self.kind(folder)


class TestSimulatedDisk(DiskContract):
    """Loses all that was not synced."""

    kind: ClassVar[type[SimulatedDisk]] = SimulatedDisk

    @contextlib.contextmanager
    def empty_folder(self) -> Iterator[Callable[[], Disk]]:
        yield self.kind().open_again

    def after_power_loss(self, disk: Disk, opener: Callable[[], Disk]) -> Disk:
        assert isinstance(disk, SimulatedDisk)
        return disk.lose_power()


class TestSimulatedDiskThatLosesNothing(TestSimulatedDisk):
    def after_power_loss(self, disk: Disk, opener: Callable[[], Disk]) -> Disk:
        assert isinstance(disk, SimulatedDisk)
        return disk.lose_power(keeps_all=True)


@pytest.mark.parametrize("seed", range(20))
def test_a_simulated_disk_that_loses_parts(seed: int) -> None:
    draw = random.Random(seed)

    class Parts(TestSimulatedDisk):
        def after_power_loss(self, disk: Disk, opener: Callable[[], Disk]) -> Disk:
            assert isinstance(disk, SimulatedDisk)
            return disk.lose_power(draw)

    assert Parts().failures() == {}


class Unsynced(SimulatedDisk):
    def sync(self, name: str) -> None: ...


class UnsyncedFolder(SimulatedDisk):
    def sync_folder(self) -> None: ...


class UnsyncedCut(SimulatedDisk):
    def truncate(self, name: str, size: int) -> None:
        data = self.read(name)[:size]
        super().create(name, data)


class Unowned(SimulatedDisk):
    def lock(self) -> None: ...


class Careless(SimulatedDisk):
    """Whoever closes it unlocks it."""

    def close(self) -> None:
        self.owners.clear()


class Torn(SimulatedDisk):
    def create(self, name: str, data: bytes) -> None:
        super().create(name, data[:1])
        self.durable_names[name] = self.names[name]
        self.write(name, 0, data)


class Strange(SimulatedDisk):
    """Its errors are not the system's."""

    def truncate(self, name: str, size: int) -> None:
        if name not in self.names:
            raise KeyError(name)
        super().truncate(name, size)


class Appending(SimulatedDisk):
    def write(self, name: str, offset: int, data: bytes) -> None:
        super().write(name, max(offset, self.files().get(name, 0)), data)


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        (Unsynced, "test_synced_bytes_survive_power_loss"),
        (UnsyncedFolder, "test_a_created_file_survives_power_loss_after_sync_folder"),
        (UnsyncedFolder, "test_a_rename_and_a_deletion_survive_power_loss_after_sync_folder"),
        (UnsyncedCut, "test_a_truncation_survives_power_loss"),
        (Unowned, "test_a_second_owner_is_refused_until_the_first_has_closed"),
        (Careless, "test_a_second_owner_is_refused_until_the_first_has_closed"),
        (Torn, "test_a_created_file_is_complete_or_missing_after_power_loss"),
        (Strange, "test_calls_on_a_missing_file_raise_os_error"),
        (Appending, "test_write_replaces_bytes_at_its_offset"),
    ],
)
def test_a_faulty_disk_is_caught(kind: type[SimulatedDisk], name: str) -> None:
    class Faulty(TestSimulatedDisk):
        pass

    Faulty.kind = kind
    caught(Faulty(), name)


class Stale(FolderDisk):
    """Reads a file that was renamed away, or deleted, by its old descriptor."""

    def _close_file(self, name: str) -> None: ...

    def close(self) -> None:
        for name in list(self._open_files):
            super()._close_file(name)
        super().close()


def test_a_disk_with_stale_descriptors_is_caught() -> None:
    class Faulty(TestFolderDisk):
        kind = Stale

    caught(
        Faulty(),
        "test_rename_replaces_the_file_of_the_new_name",
        "test_a_deleted_file_is_missing_and_can_be_created_again",
    )


# --- Upstream -----------------------------------------------------------------------------------


class Beyonds:
    """Two endpoints on loopback."""

    def __init__(self, upstream: Upstream, clock: LoopClock) -> None:
        self.upstream: UpstreamSide = upstream
        self.clock = clock
        self.closed = asyncio.Semaphore(0)
        self.reached = asyncio.Event()
        self.runs: dict[str, list[bytes]] = {}
        self.endpoints = [Endpoint(closed=self.closed) for _ in range(2)]
        self.addresses = ("", "")
        self.closed_address = f"127.0.0.1:{free_port()}"
        self.way = EndpointBehaviour.SERVE

    async def begin(self, stack: contextlib.AsyncExitStack) -> None:
        for one in self.endpoints:
            await stack.enter_async_context(one)
            one.handler = self.handler
        first, second = (f"127.0.0.1:{one.port}" for one in self.endpoints)
        self.addresses = (first, second)

    def now(self) -> int:
        return self.clock.now()

    def set_behaviour(self, behaviour: EndpointBehaviour) -> None:
        self.way = behaviour

    async def handler(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        way = self.way
        if way not in (EndpointBehaviour.REJECT, EndpointBehaviour.FAIL):
            name = message.headers["x-request-id"].encode()
            self.runs.setdefault(f"127.0.0.1:{endpoint.port}", []).append(name)
        if way is EndpointBehaviour.SERVE:
            writer.write(answer(200, b"ok"))
        elif way is EndpointBehaviour.REJECT:
            writer.write(answer(503, headers="X-Not-Run: 1\r\n"))
        elif way is EndpointBehaviour.FAIL:
            writer.write(answer(500))
        elif way is EndpointBehaviour.RESET:
            reset_connection(writer)
        else:
            self.reached.set()

    async def wait_sent(self) -> None:
        if self.way is EndpointBehaviour.HOLD:
            await self.reached.wait()

    async def wait_cancel_noticed(self) -> None:
        await self.closed.acquire()

    def executed(self, address: str) -> list[bytes]:
        return self.runs.get(address, [])


class TestUpstream(UpstreamContract):
    @contextlib.asynccontextmanager
    async def environment(self) -> AsyncIterator[UpstreamEnvironment]:
        loop = asyncio.get_running_loop()
        clock = LoopClock(loop)
        upstream = Upstream(loop, clock.now, 0, 0, 64)
        async with contextlib.AsyncExitStack() as stack:
            one = Beyonds(upstream, clock)
            await one.begin(stack)
            try:
                yield one
            finally:
                upstream.close()
                await upstream.wait_closed()


class TestUpstreamOnUvloop(TestUpstream):
    def new_loop(self) -> asyncio.AbstractEventLoop:
        return uvloop.new_event_loop()


class Played:
    """The fake, with a test's hand on it."""

    addresses = ("127.0.0.1:1001", "127.0.0.1:1002")
    closed_address = "127.0.0.1:1003"

    def __init__(self, upstream: FakeUpstream, places: dict[int, str]) -> None:
        self.played = upstream
        self.upstream: UpstreamSide = upstream
        self.places = places
        self.way = EndpointBehaviour.SERVE
        self.held: list[Attempt] = []
        self.runs: dict[str, list[bytes]] = {}

    def now(self) -> int:
        return self.played.clock.now()

    def set_behaviour(self, behaviour: EndpointBehaviour) -> None:
        self.way = behaviour

    async def wait_sent(self) -> None:
        for sent in list(self.played.in_flight.values()):
            address = self.places[sent.attempt.endpoint]
            if address == self.closed_address:
                self.played.answer(sent, NO_CONNECT)
                continue
            self.played.write(sent, runs=self.way not in (EndpointBehaviour.REJECT, EndpointBehaviour.FAIL))
            if sent.attempt not in self.played.in_flight:
                continue
            if sent.has_run:
                self.runs.setdefault(address, []).append(sent.attempt.call.client_request_id)
            if self.way is EndpointBehaviour.HOLD:
                self.held.append(sent.attempt)
            else:
                told = {
                    EndpointBehaviour.SERVE: OK,
                    EndpointBehaviour.REJECT: FULL,
                    EndpointBehaviour.FAIL: ERROR,
                    EndpointBehaviour.RESET: RESET,
                }
                self.played.answer(sent, told[self.way])

    async def wait_cancel_noticed(self) -> None:
        assert not [one for one in self.held if one in self.played.in_flight]

    def executed(self, address: str) -> list[bytes]:
        return self.runs.get(address, [])


class TestPlayedUpstream(UpstreamContract):
    kind: ClassVar[type[FakeUpstream]] = FakeUpstream

    @contextlib.asynccontextmanager
    async def environment(self) -> AsyncIterator[UpstreamEnvironment]:
        places: dict[int, str] = {}

        class Placed(self.kind):  # type: ignore[misc, name-defined]
            def set_address(self, endpoint: int, address: str) -> None:
                super().set_address(endpoint, address)
                places[endpoint] = address

        yield Played(Placed(ManualClock()), places)


class EndsTwice(FakeUpstream):
    def answer(self, sent: SentAttempt, outcome: int) -> None:
        super().answer(sent, outcome)
        sent.attempt.end(outcome)


class NeverAsks(FakeUpstream):
    def write(self, sent: SentAttempt, runs: bool) -> None:
        sent.is_written, sent.has_run = True, runs
        sent.attempt.on_written()


class Tells(FakeUpstream):
    """Of what was cancelled, too."""

    def cancel(self, attempt: Attempt) -> None:
        super().cancel(attempt)
        attempt.end(RESET)


class Clings(FakeUpstream):
    """Cancelled, it goes on."""

    def cancel(self, attempt: Attempt) -> None: ...


class Repeats(FakeUpstream):
    """A connection that dies is tried again."""

    def answer(self, sent: SentAttempt, outcome: int) -> None:
        if outcome == RESET:
            sent.attempt.may_start(self.clock.now())
            sent.attempt.on_written()
        super().answer(sent, outcome)


class Excuses(FakeUpstream):
    """What died after it was written was never connected, it says."""

    def answer(self, sent: SentAttempt, outcome: int) -> None:
        if outcome == RESET:
            del self.in_flight[sent.attempt]
            sent.attempt.end(NO_CONNECT)
        else:
            super().answer(sent, outcome)


class Anywhere(FakeUpstream):
    """Sends to a place that was removed."""

    def remove(self, endpoint: int) -> None: ...


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        (EndsTwice, "test_a_served_attempt_ends_with_its_answer"),
        (NeverAsks, "test_an_attempt_that_may_not_start_is_not_sent"),
        (Tells, "test_a_cancelled_attempt_has_no_outcome_and_the_endpoint_notices"),
        (Clings, "test_a_cancelled_attempt_has_no_outcome_and_the_endpoint_notices"),
        (Repeats, "test_each_failure_has_its_outcome_and_is_sent_once"),
        (Excuses, "test_each_failure_has_its_outcome_and_is_sent_once"),
        (Anywhere, "test_an_endpoint_without_an_address_ends_as_no_connect"),
    ],
)
def test_a_faulty_upstream_is_caught(kind: type[FakeUpstream], name: str) -> None:
    class Faulty(TestPlayedUpstream):
        timeout_s = 0.2

    Faulty.kind = kind
    caught(Faulty(), name)


def test_an_upstream_that_keeps_connections_to_a_place_set_anew_is_caught() -> None:
    class Faulty(TestUpstream):
        @contextlib.asynccontextmanager
        async def environment(self) -> AsyncIterator[UpstreamEnvironment]:
            async with super().environment() as stage:
                stage.upstream = KeepsFirst(stage.upstream)
                yield stage

    caught(Faulty(), "test_a_moved_endpoint_gets_nothing_at_its_old_address")


class KeepsFirst:
    """An upstream for which a place is where it was first told to be."""

    def __init__(self, real: UpstreamSide) -> None:
        self.real = real
        self.known: set[int] = set()
        self.remove, self.close_idle = real.remove, real.close_idle
        self.send, self.cancel = real.send, real.cancel

    @property
    def idle_us(self) -> int:
        return self.real.idle_us

    def set_address(self, endpoint: int, address: str) -> None:
        if endpoint not in self.known:
            self.known.add(endpoint)
            self.real.set_address(endpoint, address)


# --- Members ------------------------------------------------------------------------------------


def merged(entries: Entries, changes: Entries) -> Entries:
    return list({one["instanceId"]: one for one in (*entries, *changes)}.values())


class StaticEnvironment:
    def __init__(self, given: StaticMembers) -> None:
        self.given = given
        self.source: MemberSource = given
        self.entries: Entries = []

    async def set_list(self, version: int, entries: Entries) -> None:
        with contextlib.suppress(ValueError):  # refused: the one who gave it hears so
            self.given.replace_list(entries)
            self.entries = entries

    async def change_entries(self, version: int, entries: Entries) -> None:
        await self.set_list(version, merged(self.entries, entries))


class TestGivenMembers(MemberSourceContract):
    kind: ClassVar[type[StaticMembers]] = StaticMembers

    @contextlib.asynccontextmanager
    async def environment(self) -> AsyncIterator[SourceEnvironment]:
        given = self.kind()
        yield StaticEnvironment(given)
        given.close()


@dataclass(eq=False)
class Lists(Listener):
    """Discovery itself: the list, its watches, and answers to questions."""

    version: int = 0
    entries: Entries = field(default_factory=list)
    broken: bool = False
    watches: set[Writer] = field(default_factory=set)
    happened: asyncio.Event = field(default_factory=asyncio.Event)

    async def news(self) -> None:
        """A watch has begun, or an answer has ended."""
        self.happened.clear()
        await self.happened.wait()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            message = await read_message(reader)
            if not self.broken:
                watch = "watch=1" in message.start_line
                await self._answer(reader, writer, watch)
        self.watches.discard(writer)
        writer.close()
        self.happened.set()

    async def _answer(self, reader: Reader, writer: Writer, watch: bool) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        push(writer, self.version, True, *self.entries)
        if watch:
            self.watches.add(writer)
            self.happened.set()
        else:
            writer.write(b"0\r\n\r\n")
        await reader.read()

    def tell(self, whole: bool, entries: Entries) -> None:
        for writer in self.watches:
            push(writer, self.version, whole, *entries)


class DiscoveryEnvironment:
    def __init__(self, discovery: Discovery, lists: Lists) -> None:
        self.discovery = discovery
        self.source: MemberSource = discovery
        self.lists = lists

    async def _quiet(self) -> None:
        """What was asked has been answered, and who watches is there."""
        while any(not one.watch for one in self.discovery.streams):
            await self.lists.news()
        while (watch := self.discovery.stream) is not None and not watch.is_closed and not self.lists.watches:
            await self.lists.news()

    async def set_list(self, version: int, entries: Entries) -> None:
        await self._quiet()
        self.lists.version, self.lists.entries = version, entries
        self.lists.tell(True, entries)

    async def change_entries(self, version: int, entries: Entries) -> None:
        await self._quiet()
        self.lists.version, self.lists.entries = version, merged(self.lists.entries, entries)
        self.lists.tell(False, entries)

    def stop_answering(self) -> None:
        self.lists.broken = True

    def resume_answering(self) -> None:
        self.lists.broken = False


class DiscoveryMixin:
    pushed: ClassVar[bool]

    @contextlib.asynccontextmanager
    async def environment(self) -> AsyncIterator[FaultySourceEnvironment]:
        lists = Lists()
        server = await lists.start()
        loop = asyncio.get_running_loop()
        source = Discovery(loop, f"127.0.0.1:{lists.port}", "/registry", self.pushed, lambda line: None)
        try:
            yield DiscoveryEnvironment(source, lists)
        finally:
            source.close()
            for stream in list(source.streams):
                stream.stop()
            await source.wait_closed()
            server.close()


class TestPushedDiscovery(DiscoveryMixin, MemberSourceContract):
    pushed = True


class TestAskedDiscovery(DiscoveryMixin, PolledSourceContract):
    pushed = False


class TestAskedDiscoveryOnUvloop(TestAskedDiscovery):
    def new_loop(self) -> asyncio.AbstractEventLoop:
        return uvloop.new_event_loop()


class TellsAtStart(StaticMembers):
    def start(self, sink: MemberSink, generation: int) -> None:
        super().start(sink, generation)
        self.fetch()


class TellsChangesOnly(StaticMembers):
    def fetch(self) -> None: ...


class LosesTheLast(StaticMembers):
    def fetch(self) -> None:
        if self.sink is not None:
            self.sink.on_list(self.generation, True, self.entries[:-1])


class Ages(StaticMembers):
    """Its versions fall."""

    def replace_list(self, entries: Sequence[Any]) -> None:
        self.generation -= 2
        super().replace_list(entries)


class Sulks(StaticMembers):
    """Refused once, it says no more."""

    def replace_list(self, entries: Sequence[Any]) -> None:
        try:
            super().replace_list(entries)
        except ValueError:
            self.sink = None
            raise


class Rewords(StaticMembers):
    def replace_list(self, entries: Sequence[Any]) -> None:
        super().replace_list([{**one, "weight": 1.0} for one in entries])


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        (TellsAtStart, "test_the_current_list_arrives_complete"),
        (TellsChangesOnly, "test_each_fetch_delivers_the_current_list"),
        (LosesTheLast, "test_the_current_list_arrives_complete"),
        (Ages, "test_changes_arrive_while_the_source_is_watched"),
        (Sulks, "test_a_refused_list_does_not_affect_later_lists"),
        (Rewords, "test_the_current_list_arrives_complete"),
    ],
)
def test_a_faulty_source_is_caught(kind: type[StaticMembers], name: str) -> None:
    class Faulty(TestGivenMembers):
        timeout_s = 0.1

    Faulty.kind = kind
    caught(Faulty(), name)


class Overtaking(Discovery):
    """Reads on while a long list is applied."""

    def on_object(self, raw: bytearray, stream: Any, told_at: int | None) -> None:
        super().on_object(raw, stream, told_at)
        self.is_applying_list = False


class Silent(Discovery):
    """Doesn't say that a list did not come."""

    def on_stream_lost(self, stream: Any, is_stalled: bool) -> None: ...


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        (Overtaking, "test_a_long_list_arrives_complete_and_before_later_changes"),
        (Silent, "test_each_failed_fetch_is_reported_once"),
    ],
)
def test_a_faulty_discovery_is_caught(
    kind: type[Discovery], name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Faulty(TestAskedDiscovery):
        timeout_s = 0.3

    monkeypatch.setitem(globals(), "Discovery", kind)
    caught(Faulty(), name)


# --- Recorder -----------------------------------------------------------------------------------

ORDER = JournalClass(header=b"x-order-id", retention_ms=60_000)


def broken() -> OSError:
    """Anew each time: one that was raised holds what it came through."""
    return OSError(errno.EIO, "Input/output error")


class Nobody:
    def on_answer(self, call: Call, answer: Answer) -> None: ...


class JournalIncarnations:
    """A journal on a disk in memory."""

    def __init__(self, kind: type[RequestJournal], unavailable: Any) -> None:
        self.kind = kind
        self.settings = JournalSettings("", {"pay": ORDER}, unavailable)
        self.disk = SimulatedDisk()
        self.names = itertools.count()
        self.own: RequestJournal
        self.recorder: Recorder

    async def begin(self) -> None:
        store = await Store.open(self.disk, StoreOptions())
        self.recorder = self.own = self.kind(store, self.settings, {"pay": 2}, lambda line: None)

    def recorded_call(self, order: str) -> Call:
        return self._call(order.encode())

    def unrecorded_call(self) -> Call:
        return self._call(b"")

    def _call(self, order: bytes) -> Call:
        name = b"%d" % next(self.names)
        return Call(2, 1 << 60, b"POST /pay", b"", b"sum", Nobody(), name, order_id=order)

    async def restart(self) -> None:
        await self.own.close()
        await self.begin()

    def fail_writes(self) -> None:
        for operation in ("create", "write", "sync"):
            self.disk.fail(operation, *(broken() for _ in range(1_000)))


class TestRequestJournal(RecorderContract):
    unavailable: ClassVar[str] = "fail"
    kind: ClassVar[type[RequestJournal]] = RequestJournal

    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[RecorderIncarnations]:
        one = JournalIncarnations(self.kind, self.unavailable)
        await one.begin()
        try:
            yield one
        finally:
            await one.own.close()


class TestRequestJournalThatPasses(TestRequestJournal):
    unavailable = "pass"


class TakesAll(RequestJournal):
    def begin(self, call: Call, engine: CallHost) -> bool:
        return super().begin(call, engine) or True


class Admits(RequestJournal):
    """Does not wait for the intent, nor for another request of the same order."""

    def begin(self, call: Call, engine: CallHost) -> bool:
        if call.order_id:
            engine.admit(call)
        return bool(call.order_id)

    def finish(self, call: Call, answer: Answer, engine: CallHost) -> None:
        engine.deliver(call, answer)


class Forgets(RequestJournal):
    """Those that wait hear nothing."""

    def _settle_all(self, request: JournaledRequest, answer: Answer, engine: CallHost) -> None:
        request.followers.clear()
        super()._settle_all(request, answer, engine)


class KeepsFailures(RequestJournal):
    """Does not deliver what it need not keep."""

    def finish(self, call: Call, answer: Answer, engine: CallHost) -> None:
        if answer.ending is not Ending.FAILED:
            super().finish(call, answer, engine)


class Clears(RequestJournal):
    """Deletes the record of an order that is over."""

    async def _finish(self, request: JournaledRequest, answer: Answer, engine: CallHost) -> None:
        await super()._finish(request, answer, engine)
        await self.store.delete(request.store_key)


class Dies(RequestJournal):
    """Does not expect that its store fails."""

    async def _finish(self, request: JournaledRequest, answer: Answer, engine: CallHost) -> None:
        await self.store.put(request.store_key, b"", request.retention_ms)
        await super()._finish(request, answer, engine)


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        (TakesAll, "test_a_call_not_taken_is_neither_admitted_nor_settled"),
        (Admits, "test_one_call_of_an_order_at_a_time_is_admitted"),
        (Admits, "test_an_unfinished_order_is_not_admitted_after_a_restart"),
        (Forgets, "test_waiting_calls_are_answered_if_the_first_client_disconnects"),
        (KeepsFailures, "test_each_ending_is_delivered"),
        (Clears, "test_a_served_order_is_not_admitted_again"),
        (Dies, "test_every_call_is_answered_while_writes_fail"),
    ],
)
def test_a_faulty_recorder_is_caught(kind: type[RequestJournal], name: str) -> None:
    class Faulty(TestRequestJournal):
        timeout_s = 0.2

    Faulty.kind = kind
    caught(Faulty(), name)


# --- Link ---------------------------------------------------------------------------------------


class InMemory:
    def __init__(self, kind: type[MemoryLink]) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock, 3)
        self.kind = kind
        self.links: Sequence[Link] = [self.restart(n) for n in range(3)]

    def restart(self, number: int) -> Link:
        return self.kind(self.network, number)

    async def wait_delivery(self) -> None:
        self.clock.advance(LATENCY_US)


class TestMemoryLink(LinkContract):
    kind: ClassVar[type[MemoryLink]] = MemoryLink

    @contextlib.asynccontextmanager
    async def connected_links(self) -> AsyncIterator[ConnectedLinks]:
        yield InMemory(self.kind)


class OnSockets:
    """Carries by itself."""

    def __init__(self, make: Callable[[int], SocketLink], stranger: socket.socket, places: list[Any]) -> None:
        self.make = make
        self.places = places
        self.stranger = stranger
        self.made: list[SocketLink] = []
        self.links: Sequence[Link] = [self.restart(n) for n in range(3)]

    def restart(self, number: int) -> Link:
        self.made.append(self.make(number))
        return self.made[-1]

    async def wait_delivery(self) -> None:
        # To a loopback socket a datagram has come when it was sent; the loop reads it in its next turn,
        # at most so many at once.
        for _ in range(20):
            await asyncio.sleep(0)

    def send_from_unlisted_address(self, number: int, data: bytes) -> None:
        self.stranger.sendto(data, self.places[number])

    def close(self) -> None:
        for link in self.made:
            link.close()
        self.stranger.close()


def free_addresses(count: int) -> list[tuple[str, int]]:
    """UDP addresses that nobody has now."""
    return [("127.0.0.1", free_udp_port()) for _ in range(count)]


class TestUdpLink(ReachableLinkContract):
    kind: ClassVar[type[UdpLink]] = UdpLink

    @contextlib.asynccontextmanager
    async def connected_links(self) -> AsyncIterator[ExposedLinks]:
        loop, addresses = asyncio.get_running_loop(), free_addresses(3)
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stranger.bind(("127.0.0.1", 0))
        one = OnSockets(lambda me: self.kind(loop, addresses[me], addresses, me), stranger, addresses)
        with contextlib.closing(one):
            yield one


class TestUdpLinkOnUvloop(TestUdpLink):
    def new_loop(self) -> asyncio.AbstractEventLoop:
        return uvloop.new_event_loop()


class TestUnixLink(ReachableLinkContract):
    @contextlib.asynccontextmanager
    async def connected_links(self) -> AsyncIterator[ExposedLinks]:
        loop = asyncio.get_running_loop()
        stranger = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        with tempfile.TemporaryDirectory() as folder:
            paths = [f"{folder}/{n}" for n in range(3)]
            with contextlib.closing(OnSockets(lambda me: UnixLink(loop, paths, me), stranger, paths)) as one:
                yield one


class Misnaming(MemoryLink):
    def deliver(self, sender: int, data: bytes) -> None:
        super().deliver((sender + 1) % 3, data)


class Shortening(MemoryLink):
    def send(self, peer: int, data: bytes) -> None:
        super().send(peer, data[:200])


class Unlimited(MemoryLink):
    def send(self, peer: int, data: bytes) -> None:
        for at in range(0, len(data), MAX_DATAGRAM_BYTES):
            super().send(peer, data[at : at + MAX_DATAGRAM_BYTES])


class Wrapping(MemoryLink):
    """The last one is number -1, as in a list."""

    def send(self, peer: int, data: bytes) -> None:
        super().send(peer % 3, data)


class Refused(MemoryLink):
    """Raises where nobody is there, as a connected socket does."""

    def send(self, peer: int, data: bytes) -> None:
        super().send(peer, data)
        if peer not in self.network.open_links:
            raise ConnectionRefusedError


class Full(MemoryLink):
    """Raises where a buffer is full."""

    def send(self, peer: int, data: bytes) -> None:
        if self.counters["sent"] > 500:
            raise BlockingIOError
        super().send(peer, data)


class Lingering(MemoryLink):
    """Closed, it still receives."""

    def close(self) -> None:
        if self.replica_id != 1:
            super().close()


class Broadcasting(MemoryLink):
    def send(self, peer: int, data: bytes) -> None:
        super().send(peer, data)
        for other in {0, 1, 2} - {self.replica_id, peer}:
            super().send(other, data)


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        (Misnaming, "test_each_pair_exchanges_complete_datagrams"),
        (Shortening, "test_each_pair_exchanges_complete_datagrams"),
        (Broadcasting, "test_each_pair_exchanges_complete_datagrams"),
        (Unlimited, "test_an_oversized_datagram_or_unknown_peer_raises_and_sends_nothing"),
        (Wrapping, "test_an_oversized_datagram_or_unknown_peer_raises_and_sends_nothing"),
        (Refused, "test_sending_to_an_unopened_or_closed_peer_raises_nothing"),
        (Full, "test_a_burst_may_lose_datagrams_but_raises_nothing"),
        (Lingering, "test_after_close_nothing_is_received"),
        (Lingering, "test_a_restarted_peer_keeps_its_number"),
    ],
)
def test_a_faulty_link_is_caught(kind: type[MemoryLink], name: str) -> None:
    class Faulty(TestMemoryLink):
        timeout_s = 0.1

    Faulty.kind = kind
    caught(Faulty(), name)


class Trusting(UdpLink):
    """Whoever is not known is the first of the list."""

    def _deliver(self, data: bytes, address: Any) -> None:
        is_listed = self._normalize(address) in self.peer_by_address
        super()._deliver(data, address if is_listed else self.peers[0])


def test_a_link_that_trusts_strangers_is_caught() -> None:
    class Faulty(TestUdpLink):
        kind = Trusting

    caught(Faulty(), "test_datagrams_from_unlisted_senders_are_dropped")


# --- The Store of consensus ---------------------------------------------------------------------


class Nothing:
    def __init__(self) -> None:
        self.store: RecordStore = NoStore()

    async def restart(self) -> None:
        await self.store.close()
        self.store = NoStore()

    async def crash(self) -> None:
        self.store = NoStore()


class TestNoStore(StoreContract):
    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[StoreIncarnations]:
        yield Nothing()


class OnDisk:
    """The embedded store; each life's disk is what the one before left."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.own: EmbeddedStore
        self.store: RecordStore

    async def begin(self) -> None:
        self.store = self.own = await EmbeddedStore.open(self.disk)

    async def restart(self) -> None:
        await self.own.close()
        await self.begin()

    async def crash(self) -> None:
        await self.restart()


class OnSimulatedDisk(OnDisk):
    disk: SimulatedDisk

    def __init__(self, seed: int) -> None:
        super().__init__(SimulatedDisk())
        self.first = SimulatedDisk()  # as the disk was before the calls of its journal
        self.draw = random.Random(seed)

    async def crash(self) -> None:
        # The calls so far, played again: the store's thread may go on with this disk.
        for name, *args in list(self.disk.journal):
            getattr(self.first, name)(*args)
        self.disk = self.first.lose_power(self.draw)
        self.first = copy.deepcopy(self.disk)
        await self.own.close()
        await self.begin()

    def fail_writes(self) -> None:
        for operation in ("create", "write", "sync"):
            self.disk.fail(operation, *(broken() for _ in range(100)))


class TestEmbeddedStore(StoreContract):
    """On real files."""

    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[StoreIncarnations]:
        with tempfile.TemporaryDirectory() as folder:
            one = OnDisk(FolderDisk(folder))
            await one.begin()
            yield one
            await one.own.close()


class TestEmbeddedStoreThatLosesPower(DurableStoreContract):
    seed: ClassVar[int] = 1

    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[FaultyStoreIncarnations]:
        one = OnSimulatedDisk(self.seed)
        await one.begin()
        yield one
        await one.own.close()


@pytest.mark.parametrize("seed", range(2, 8))
def test_the_embedded_store_that_loses_power(seed: int) -> None:
    class Other(TestEmbeddedStoreThatLosesPower):
        pass

    Other.seed = seed
    assert Other().failures() == {}


class Sheet:
    """A store of a test's own. Each call is durable some turns of the loop after it was made."""

    is_durable = True
    after_turns = 3

    def __init__(self, kept: dict[bytes, bytes]) -> None:
        self.kept = kept
        self.begun = dict(kept)
        self.waiting: list[tuple[dict[bytes, bytes | None], asyncio.Future[None]]] = []
        self.task: asyncio.Task[None] | None = None
        self.broken = False
        self.dead = False

    async def load(self) -> dict[bytes, bytes]:
        return dict(self.begun)

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append((dict(changes), done))
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self.work())
        return done

    async def work(self) -> None:
        while self.waiting and not self.dead:
            changes, done = self.next()
            for _ in range(self.after_turns):
                await asyncio.sleep(0)
            if self.broken:
                self.fail(done)
            elif not self.dead:
                await self.apply(changes)
                if not done.done():
                    done.set_result(None)
        self.task = None

    def next(self) -> tuple[dict[bytes, bytes | None], asyncio.Future[None]]:
        return self.waiting.pop(0)

    def fail(self, done: asyncio.Future[None]) -> None:
        done.set_exception(StoreError("it is broken"))

    async def apply(self, changes: dict[bytes, bytes | None]) -> None:
        for key, value in changes.items():
            self.change(key, value)

    def change(self, key: bytes, value: bytes | None) -> None:
        if self.dead:
            return
        if value is None:
            self.kept.pop(key, None)
        else:
            self.kept[key] = value

    async def close(self) -> None:
        if self.task is not None:
            await self.task


class OnSheet:
    def __init__(self, kind: type[Sheet]) -> None:
        self.kind = kind
        self.kept: dict[bytes, bytes] = {}
        self.own = kind(self.kept)
        self.store: RecordStore = self.own

    async def restart(self) -> None:
        await self.own.close()
        await self.crash()

    async def crash(self) -> None:
        self.own.dead = True
        self.kept = dict(self.kept)
        self.store = self.own = self.kind(self.kept)

    def fail_writes(self) -> None:
        self.own.broken = True


class TestSheet(DurableStoreContract):
    """That the faults below are what is caught."""

    kind: ClassVar[type[Sheet]] = Sheet

    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[FaultyStoreIncarnations]:
        one = OnSheet(self.kind)
        yield one
        await one.own.close()


class TornSheet(Sheet):
    async def apply(self, changes: dict[bytes, bytes | None]) -> None:
        for key, value in changes.items():
            self.change(key, value)
            await asyncio.sleep(0)


class EagerSheet(Sheet):
    """Says that it is done before it is."""

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        done = super().write(changes)
        done.set_result(None)
        return done

    def fail(self, done: asyncio.Future[None]) -> None: ...


class StackedSheet(Sheet):
    """The last call first."""

    def next(self) -> tuple[dict[bytes, bytes | None], asyncio.Future[None]]:
        return self.waiting.pop()


class HoardingSheet(Sheet):
    """Deletes nothing."""

    def change(self, key: bytes, value: bytes | None) -> None:
        if value is not None:
            super().change(key, value)


class ProudSheet(Sheet):
    """Does not tell that it can't write."""

    def fail(self, done: asyncio.Future[None]) -> None:
        done.set_result(None)


class RawSheet(Sheet):
    """Tells it in its own way."""

    def fail(self, done: asyncio.Future[None]) -> None:
        done.set_exception(broken())


class SilentSheet(Sheet):
    def fail(self, done: asyncio.Future[None]) -> None: ...


class ForgetfulSheet(Sheet):
    """Loses what it held where it can't write."""

    def fail(self, done: asyncio.Future[None]) -> None:
        self.kept.clear()
        super().fail(done)


class StrictSheet(Sheet):
    """What is not there can't be deleted."""

    def change(self, key: bytes, value: bytes | None) -> None:
        if value is None and not self.dead:
            del self.kept[key]
        else:
            super().change(key, value)


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        (TornSheet, "test_changes_of_a_write_are_found_all_or_none"),
        (EagerSheet, "test_reported_writes_survive_a_crash"),
        (StackedSheet, "test_no_write_is_found_without_earlier_ones"),
        (StackedSheet, "test_the_last_write_wins"),
        (HoardingSheet, "test_written_keys_are_found_and_deleted_ones_are_not"),
        (ProudSheet, "test_a_failing_write_raises_and_loses_nothing_reported"),
        (RawSheet, "test_a_failing_write_raises_and_loses_nothing_reported"),
        (SilentSheet, "test_a_failing_write_raises_and_loses_nothing_reported"),
        (ForgetfulSheet, "test_a_failing_write_raises_and_loses_nothing_reported"),
        (StrictSheet, "test_written_keys_are_found_and_deleted_ones_are_not"),
    ],
)
def test_a_faulty_store_is_caught(kind: type[Sheet], name: str) -> None:
    class Faulty(TestSheet):
        timeout_s = 0.1

    Faulty.kind = kind
    caught(Faulty(), name)


class LateNoStore(NoStore):
    """Keeps nothing, and takes its time over it."""

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_soon(done.set_result, None)
        return done


def test_a_store_of_nothing_that_is_late_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(globals(), "NoStore", LateNoStore)
    caught(TestNoStore(), "test_a_non_durable_write_is_done_when_write_returns")
