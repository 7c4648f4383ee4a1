"""Runs the contracts on all implementations in the repository, fakes included, and on faulty implementations
that each contract must detect."""

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
from laurelstep.consensus.ports import Store as ConsensusStore
from laurelstep.consensus.stores.embedded import EmbeddedStore
from laurelstep.consensus.stores.none import NoStore
from laurelstep.engine import Answer, Attempt, Call, Ending, LoopClock
from laurelstep.engine.ports import CallHost, Clock, MemberSink, MemberSource, Recorder
from laurelstep.engine.ports import Upstream as UpstreamPort
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


def assert_detected(contract: Contract, *cases: str) -> None:
    """Check that at least these cases of the contract fail."""
    errors = contract.failures()
    assert set(cases) <= set(errors), f"expected failures of {cases}, got {errors}"
    # A case that fails by an error in its own code shows nothing about the implementation.
    invalid = {case: error for case, error in errors.items() if isinstance(error, NameError | AttributeError)}
    assert not invalid


# --- The contracts themselves ---------------------------------------------------------------


def test_contracts_import_neither_pytest_nor_more_than_their_port() -> None:
    code = (
        "import sys, laurelstep.testing.contracts.clock as one, laurelstep.testing.contracts.members\n"
        "assert not {'pytest', 'google_crc32c', 'laurelstep.store', 'laurelstep.net'} & set(sys.modules)\n"
        "import laurelstep.testing.contracts.disk, laurelstep.testing.contracts.upstream\n"
        "import laurelstep.testing.contracts.recorder, laurelstep.testing.contracts.link\n"
        "import laurelstep.testing.contracts.store\n"
        "assert not {'pytest', '_pytest'} & set(sys.modules)"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=ROOT)


def test_raises_fails_if_the_expected_error_is_missing() -> None:
    with pytest.raises(AssertionError, match="no error raised by a refusal"), raises(OSError, "a refusal"):
        pass
    with pytest.raises(ValueError, match="another"), raises(OSError, "a refusal"):
        raise ValueError("another")


class ExampleContract(Contract):
    timeout_s = 0.01

    def new_loop(self) -> VirtualTimeLoop:
        return VirtualTimeLoop()

    def test_times_out(self) -> None:
        self.run(self.wait_for(asyncio.Event().wait(), "an event"))  # type: ignore[arg-type]

    def test_raises_in_a_callback(self) -> None:
        async def main() -> None:
            def fail() -> None:
                raise ZeroDivisionError

            asyncio.get_running_loop().call_soon(fail)
            await asyncio.sleep(0)

        self.run(main())

    def test_passes(self) -> None:
        self.run(asyncio.sleep(0))


def test_failures_returns_the_errors_by_test_name() -> None:
    errors = ExampleContract().failures()
    assert set(errors) == {"test_times_out", "test_raises_in_a_callback"}
    assert str(errors["test_times_out"]) == "timed out waiting for an event"
    assert isinstance(errors["test_raises_in_a_callback"], ZeroDivisionError)


# --- Clock ------------------------------------------------------------------------------------


@dataclass
class LoopClockHarness:
    """A clock of the running loop, whose time passes by itself."""

    clock: Clock

    async def advance_past(self, due: int) -> None:
        loop = asyncio.get_running_loop()
        # Waits until after every timer of the clock, whose resolution is one millisecond; then once more, for
        # a timer that fired early and, on a busy machine, was rearmed only now.
        for wait_s in (max(0, due - self.clock.now()) / 1e6 + 0.005, 0.005):
            passed = asyncio.Event()
            loop.call_at(loop.time() + wait_s, passed.set)
            await passed.wait()


class TestLoopClock(ClockContract):
    @contextlib.asynccontextmanager
    async def running_clock(self) -> AsyncIterator[RunningClock]:
        yield LoopClockHarness(LoopClock(asyncio.get_running_loop()))


class TestLoopClockOnUvloop(TestLoopClock):
    def new_loop(self) -> asyncio.AbstractEventLoop:
        return uvloop.new_event_loop()


class EarlyTimerLoop(VirtualTimeLoop):
    """Fires timers up to a millisecond early, as a loop that rounds times may."""

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        return super().call_later(max(0.0, delay - self.early_s()), callback, *args, context=context)

    def early_s(self) -> float:
        return 0.001


class BusyMachineLoop(EarlyTimerLoop):
    """A loop on a busy machine: iterations start late, and a stall may follow each reading of the time."""

    stall_probability = 0.05
    max_stall_us = 20_000

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        super().__init__()

    def advance(self, span_s: float) -> None:
        super().advance(span_s)
        self.stall()

    def now(self) -> int:
        now = super().now()
        self.stall()
        return now

    def early_s(self) -> float:
        return self.rng.choice((0.0, 0.0004, 0.001))

    def stall(self) -> None:
        if self.rng.random() < self.stall_probability:
            self.now_us += self.rng.randrange(self.max_stall_us)


class TestLoopClockWithEarlyTimers(TestLoopClock):
    seed: ClassVar[int | None] = None

    def new_loop(self) -> VirtualTimeLoop:
        return EarlyTimerLoop() if self.seed is None else BusyMachineLoop(self.seed)

    @contextlib.asynccontextmanager
    async def running_clock(self) -> AsyncIterator[RunningClock]:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        with mock.patch.object(time, "monotonic_ns", lambda: loop.now() * 1000):
            yield LoopClockHarness(LoopClock(loop))


@pytest.mark.parametrize("seed", range(60))
def test_the_loop_clock_fulfils_the_contract_on_a_busy_machine(seed: int) -> None:
    class Busy(TestLoopClockWithEarlyTimers):
        pass

    Busy.seed = seed
    assert Busy().failures() == {}


@dataclass
class ManualClockHarness:
    manual: ManualClock
    clock: Clock

    async def advance_past(self, due: int) -> None:
        self.manual.advance(max(0, due - self.manual.time))


class TestManualClock(ClockContract):
    implementation: ClassVar[type[ManualClock]] = ManualClock

    @contextlib.asynccontextmanager
    async def running_clock(self) -> AsyncIterator[RunningClock]:
        clock = self.implementation()
        yield ManualClockHarness(clock, clock)


class EarlyClock(ManualClock):
    def at(self, due: int, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        return super().at(due - 1, callback, *args)


class UncancellableClock(ManualClock):
    """Ignores cancellation of its calls."""

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        super().at(due, callback, *args)
        return ScheduledCall(callback, args)


class SynchronousClock(ManualClock):
    def at(self, due: int, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        if due <= self.time:
            callback(*args)
            return ScheduledCall(callback, args)
        return super().at(due, callback, *args)


class DuplicatingClock(ManualClock):
    def at(self, due: int, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        handle = super().at(due, callback, *args)
        self.due.append((self.due[-1][0], self.scheduled_count + 1_000_000, handle))
        return handle


class BackwardClock(ManualClock):
    def now(self) -> int:
        self.time -= 1
        return self.time


class MillisecondWallClock(ManualClock):
    def wall(self) -> int:
        return super().wall() // 1000


@pytest.mark.parametrize(
    ("implementation", "case"),
    [
        (EarlyClock, "test_calls_run_once_and_not_before_they_are_due"),
        (UncancellableClock, "test_a_cancelled_call_never_runs"),
        (SynchronousClock, "test_an_overdue_call_runs_soon_but_not_inside_at"),
        (DuplicatingClock, "test_calls_run_once_and_not_before_they_are_due"),
        (BackwardClock, "test_now_never_decreases"),
        (MillisecondWallClock, "test_wall_is_unix_time_in_microseconds"),
    ],
)
def test_a_faulty_clock_is_detected(implementation: type[ManualClock], case: str) -> None:
    class Faulty(TestManualClock):
        timeout_s = 0.2

    Faulty.implementation = implementation
    assert_detected(Faulty(), case)


class RearmingClock:
    """Rearms a timer that fired early, but leaves its handle on the old timer."""

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


def test_a_clock_that_loses_the_handle_of_a_rearmed_timer_is_detected() -> None:
    class Faulty(TestLoopClockWithEarlyTimers):
        @contextlib.asynccontextmanager
        async def running_clock(self) -> AsyncIterator[RunningClock]:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualTimeLoop)
            yield LoopClockHarness(RearmingClock(loop))

    assert_detected(Faulty(), "test_a_call_cancelled_shortly_before_it_is_due_never_runs")


# --- Disk -------------------------------------------------------------------------------------


class TestFolderDisk(DiskContract):
    implementation: ClassVar[type[FolderDisk]] = FolderDisk

    @contextlib.contextmanager
    def empty_folder(self) -> Iterator[Callable[[], Disk]]:
        with tempfile.TemporaryDirectory() as folder:
            yield lambda: self.implementation(folder)


class TestSimulatedDisk(DiskContract):
    """A power loss drops everything that was not synced."""

    implementation: ClassVar[type[SimulatedDisk]] = SimulatedDisk

    @contextlib.contextmanager
    def empty_folder(self) -> Iterator[Callable[[], Disk]]:
        yield self.implementation().open_again

    def after_power_loss(self, disk: Disk, opener: Callable[[], Disk]) -> Disk:
        assert isinstance(disk, SimulatedDisk)
        return disk.lose_power()


class TestSimulatedDiskThatLosesNothing(TestSimulatedDisk):
    def after_power_loss(self, disk: Disk, opener: Callable[[], Disk]) -> Disk:
        assert isinstance(disk, SimulatedDisk)
        return disk.lose_power(keeps_all=True)


@pytest.mark.parametrize("seed", range(20))
def test_a_simulated_disk_with_random_losses_fulfils_the_contract(seed: int) -> None:
    rng = random.Random(seed)

    class LosesParts(TestSimulatedDisk):
        def after_power_loss(self, disk: Disk, opener: Callable[[], Disk]) -> Disk:
            assert isinstance(disk, SimulatedDisk)
            return disk.lose_power(rng)

    assert LosesParts().failures() == {}


class IgnoresSync(SimulatedDisk):
    def sync(self, name: str) -> None: ...


class IgnoresFolderSync(SimulatedDisk):
    def sync_folder(self) -> None: ...


class UnsyncedTruncate(SimulatedDisk):
    def truncate(self, name: str, size: int) -> None:
        data = self.read(name)[:size]
        super().create(name, data)


class IgnoresLock(SimulatedDisk):
    def lock(self) -> None: ...


class UnlocksOnAnyClose(SimulatedDisk):
    """Unlocks the folder also when closed by a disk that is not the owner."""

    def close(self) -> None:
        self.owners.clear()


class CreatesInTwoSteps(SimulatedDisk):
    def create(self, name: str, data: bytes) -> None:
        super().create(name, data[:1])
        self.durable_names[name] = self.names[name]
        self.write(name, 0, data)


class RaisesKeyError(SimulatedDisk):
    """Raises KeyError, not OSError, for a missing file."""

    def truncate(self, name: str, size: int) -> None:
        if name not in self.names:
            raise KeyError(name)
        super().truncate(name, size)


class WritesAtTheEnd(SimulatedDisk):
    def write(self, name: str, offset: int, data: bytes) -> None:
        super().write(name, max(offset, self.files().get(name, 0)), data)


@pytest.mark.parametrize(
    ("implementation", "case"),
    [
        (IgnoresSync, "test_synced_bytes_survive_power_loss"),
        (IgnoresFolderSync, "test_a_created_file_survives_power_loss_after_sync_folder"),
        (IgnoresFolderSync, "test_a_rename_and_a_deletion_survive_power_loss_after_sync_folder"),
        (UnsyncedTruncate, "test_a_truncation_survives_power_loss"),
        (IgnoresLock, "test_a_second_owner_is_refused_until_the_first_has_closed"),
        (UnlocksOnAnyClose, "test_a_second_owner_is_refused_until_the_first_has_closed"),
        (CreatesInTwoSteps, "test_a_created_file_is_complete_or_missing_after_power_loss"),
        (RaisesKeyError, "test_calls_on_a_missing_file_raise_os_error"),
        (WritesAtTheEnd, "test_write_replaces_bytes_at_its_offset"),
    ],
)
def test_a_faulty_disk_is_detected(implementation: type[SimulatedDisk], case: str) -> None:
    class Faulty(TestSimulatedDisk):
        pass

    Faulty.implementation = implementation
    assert_detected(Faulty(), case)


class KeepsStaleDescriptors(FolderDisk):
    """Reads a renamed or deleted file by its old descriptor."""

    def _close_file(self, name: str) -> None: ...

    def close(self) -> None:
        for name in list(self._open_files):
            super()._close_file(name)
        super().close()


def test_a_disk_with_stale_descriptors_is_detected() -> None:
    class Faulty(TestFolderDisk):
        implementation = KeepsStaleDescriptors

    assert_detected(
        Faulty(),
        "test_rename_replaces_the_file_of_the_new_name",
        "test_a_deleted_file_is_missing_and_can_be_created_again",
    )


# --- Upstream -----------------------------------------------------------------------------------


class LoopbackEnvironment:
    """The upstream, with two endpoints on loopback."""

    def __init__(self, upstream: Upstream, clock: LoopClock) -> None:
        self.upstream: UpstreamPort = upstream
        self.clock = clock
        self.closed = asyncio.Semaphore(0)
        self.request_held = asyncio.Event()
        self.executed_requests: dict[str, list[bytes]] = {}
        self.endpoints = [Endpoint(closed=self.closed) for _ in range(2)]
        self.addresses = ("", "")
        self.closed_address = f"127.0.0.1:{free_port()}"
        self.behaviour = EndpointBehaviour.SERVE

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        for endpoint in self.endpoints:
            await stack.enter_async_context(endpoint)
            endpoint.handler = self.handler
        first, second = (f"127.0.0.1:{endpoint.port}" for endpoint in self.endpoints)
        self.addresses = (first, second)

    def now(self) -> int:
        return self.clock.now()

    def set_behaviour(self, behaviour: EndpointBehaviour) -> None:
        self.behaviour = behaviour

    async def handler(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        behaviour = self.behaviour
        if behaviour not in (EndpointBehaviour.REJECT, EndpointBehaviour.FAIL):
            request_id = message.headers["x-request-id"].encode()
            self.executed_requests.setdefault(f"127.0.0.1:{endpoint.port}", []).append(request_id)
        if behaviour is EndpointBehaviour.SERVE:
            writer.write(answer(200, b"ok"))
        elif behaviour is EndpointBehaviour.REJECT:
            writer.write(answer(503, headers="X-Not-Run: 1\r\n"))
        elif behaviour is EndpointBehaviour.FAIL:
            writer.write(answer(500))
        elif behaviour is EndpointBehaviour.RESET:
            reset_connection(writer)
        else:
            self.request_held.set()

    async def wait_sent(self) -> None:
        if self.behaviour is EndpointBehaviour.HOLD:
            await self.request_held.wait()

    async def wait_cancel_noticed(self) -> None:
        await self.closed.acquire()

    def executed(self, address: str) -> list[bytes]:
        return self.executed_requests.get(address, [])


class TestUpstream(UpstreamContract):
    @contextlib.asynccontextmanager
    async def environment(self) -> AsyncIterator[UpstreamEnvironment]:
        loop = asyncio.get_running_loop()
        clock = LoopClock(loop)
        upstream = Upstream(loop, clock.now, 0, 0, 64)
        async with contextlib.AsyncExitStack() as stack:
            environment = LoopbackEnvironment(upstream, clock)
            await environment.start(stack)
            try:
                yield environment
            finally:
                upstream.close()
                await upstream.wait_closed()


class TestUpstreamOnUvloop(TestUpstream):
    def new_loop(self) -> asyncio.AbstractEventLoop:
        return uvloop.new_event_loop()


class FakeUpstreamEnvironment:
    """The fake upstream. `wait_sent` ends its attempts according to the behaviour."""

    addresses = ("127.0.0.1:1001", "127.0.0.1:1002")
    closed_address = "127.0.0.1:1003"

    def __init__(self, upstream: FakeUpstream, address_by_endpoint: dict[int, str]) -> None:
        self.fake = upstream
        self.upstream: UpstreamPort = upstream
        self.address_by_endpoint = address_by_endpoint
        self.behaviour = EndpointBehaviour.SERVE
        self.held: list[Attempt] = []
        self.executed_requests: dict[str, list[bytes]] = {}

    def now(self) -> int:
        return self.fake.clock.now()

    def set_behaviour(self, behaviour: EndpointBehaviour) -> None:
        self.behaviour = behaviour

    async def wait_sent(self) -> None:
        for sent in list(self.fake.in_flight.values()):
            address = self.address_by_endpoint[sent.attempt.endpoint]
            if address == self.closed_address:
                self.fake.answer(sent, NO_CONNECT)
                continue
            self.fake.write(
                sent, runs=self.behaviour not in (EndpointBehaviour.REJECT, EndpointBehaviour.FAIL)
            )
            if sent.attempt not in self.fake.in_flight:
                continue
            if sent.has_run:
                self.executed_requests.setdefault(address, []).append(sent.attempt.call.client_request_id)
            if self.behaviour is EndpointBehaviour.HOLD:
                self.held.append(sent.attempt)
            else:
                outcomes = {
                    EndpointBehaviour.SERVE: OK,
                    EndpointBehaviour.REJECT: FULL,
                    EndpointBehaviour.FAIL: ERROR,
                    EndpointBehaviour.RESET: RESET,
                }
                self.fake.answer(sent, outcomes[self.behaviour])

    async def wait_cancel_noticed(self) -> None:
        assert not [attempt for attempt in self.held if attempt in self.fake.in_flight]

    def executed(self, address: str) -> list[bytes]:
        return self.executed_requests.get(address, [])


class TestFakeUpstream(UpstreamContract):
    implementation: ClassVar[type[FakeUpstream]] = FakeUpstream

    @contextlib.asynccontextmanager
    async def environment(self) -> AsyncIterator[UpstreamEnvironment]:
        address_by_endpoint: dict[int, str] = {}

        class AddressRecordingUpstream(self.implementation):  # type: ignore[misc, name-defined]
            def set_address(self, endpoint: int, address: str) -> None:
                super().set_address(endpoint, address)
                address_by_endpoint[endpoint] = address

        yield FakeUpstreamEnvironment(AddressRecordingUpstream(ManualClock()), address_by_endpoint)


class EndsTwice(FakeUpstream):
    def answer(self, sent: SentAttempt, outcome: int) -> None:
        super().answer(sent, outcome)
        sent.attempt.end(outcome)


class SkipsMayStart(FakeUpstream):
    def write(self, sent: SentAttempt, runs: bool) -> None:
        sent.is_written, sent.has_run = True, runs
        sent.attempt.on_written()


class ReportsCancelled(FakeUpstream):
    """Reports an outcome also for a cancelled attempt."""

    def cancel(self, attempt: Attempt) -> None:
        super().cancel(attempt)
        attempt.end(RESET)


class IgnoresCancel(FakeUpstream):
    """Continues a cancelled attempt."""

    def cancel(self, attempt: Attempt) -> None: ...


class Resends(FakeUpstream):
    """Sends an attempt again after a reset."""

    def answer(self, sent: SentAttempt, outcome: int) -> None:
        if outcome == RESET:
            sent.attempt.may_start(self.clock.now())
            sent.attempt.on_written()
        super().answer(sent, outcome)


class ReportsResetAsNoConnect(FakeUpstream):
    """Reports a reset after the attempt was written as NO_CONNECT."""

    def answer(self, sent: SentAttempt, outcome: int) -> None:
        if outcome == RESET:
            del self.in_flight[sent.attempt]
            sent.attempt.end(NO_CONNECT)
        else:
            super().answer(sent, outcome)


class IgnoresRemove(FakeUpstream):
    """Sends to an endpoint that was removed."""

    def remove(self, endpoint: int) -> None: ...


@pytest.mark.parametrize(
    ("implementation", "case"),
    [
        (EndsTwice, "test_a_served_attempt_ends_with_its_answer"),
        (SkipsMayStart, "test_an_attempt_that_may_not_start_is_not_sent"),
        (ReportsCancelled, "test_a_cancelled_attempt_has_no_outcome_and_the_endpoint_notices"),
        (IgnoresCancel, "test_a_cancelled_attempt_has_no_outcome_and_the_endpoint_notices"),
        (Resends, "test_each_failure_has_its_outcome_and_is_sent_once"),
        (ReportsResetAsNoConnect, "test_each_failure_has_its_outcome_and_is_sent_once"),
        (IgnoresRemove, "test_an_endpoint_without_an_address_ends_as_no_connect"),
    ],
)
def test_a_faulty_upstream_is_detected(implementation: type[FakeUpstream], case: str) -> None:
    class Faulty(TestFakeUpstream):
        timeout_s = 0.2

    Faulty.implementation = implementation
    assert_detected(Faulty(), case)


def test_an_upstream_that_ignores_a_new_address_is_detected() -> None:
    class Faulty(TestUpstream):
        @contextlib.asynccontextmanager
        async def environment(self) -> AsyncIterator[UpstreamEnvironment]:
            async with super().environment() as environment:
                environment.upstream = KeepsFirstAddress(environment.upstream)
                yield environment

    assert_detected(Faulty(), "test_a_moved_endpoint_gets_nothing_at_its_old_address")


class KeepsFirstAddress:
    """Wraps an upstream, and passes on only the first address of each endpoint."""

    def __init__(self, real: UpstreamPort) -> None:
        self.real = real
        self.placed: set[int] = set()
        self.remove, self.close_idle = real.remove, real.close_idle
        self.send, self.cancel = real.send, real.cancel

    @property
    def idle_us(self) -> int:
        return self.real.idle_us

    def set_address(self, endpoint: int, address: str) -> None:
        if endpoint not in self.placed:
            self.placed.add(endpoint)
            self.real.set_address(endpoint, address)


# --- Members ------------------------------------------------------------------------------------


def merged(entries: Entries, changes: Entries) -> Entries:
    return list({entry["instanceId"]: entry for entry in (*entries, *changes)}.values())


class StaticEnvironment:
    def __init__(self, members: StaticMembers) -> None:
        self.members = members
        self.source: MemberSource = members
        self.entries: Entries = []

    async def set_list(self, generation: int, entries: Entries) -> None:
        with contextlib.suppress(ValueError):  # refused: `replace_list` raises the sink's error
            self.members.replace_list(entries)
            self.entries = entries

    async def change_entries(self, generation: int, entries: Entries) -> None:
        await self.set_list(generation, merged(self.entries, entries))


class TestStaticMembers(MemberSourceContract):
    implementation: ClassVar[type[StaticMembers]] = StaticMembers

    @contextlib.asynccontextmanager
    async def environment(self) -> AsyncIterator[SourceEnvironment]:
        members = self.implementation()
        yield StaticEnvironment(members)
        members.close()


@dataclass(eq=False)
class ListServer(Listener):
    """The server of discovery: a list, its watches, and answers to requests."""

    generation: int = 0
    entries: Entries = field(default_factory=list)
    is_failing: bool = False
    watches: set[Writer] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def wait_changed(self) -> None:
        """Wait until a watch has started, or an answer has ended."""
        self.changed.clear()
        await self.changed.wait()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            message = await read_message(reader)
            if not self.is_failing:
                watch = "watch=1" in message.start_line
                await self._answer(reader, writer, watch)
        self.watches.discard(writer)
        writer.close()
        self.changed.set()

    async def _answer(self, reader: Reader, writer: Writer, watch: bool) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        push(writer, self.generation, True, *self.entries)
        if watch:
            self.watches.add(writer)
            self.changed.set()
        else:
            writer.write(b"0\r\n\r\n")
        await reader.read()

    def push_to_watches(self, is_full: bool, entries: Entries) -> None:
        for writer in self.watches:
            push(writer, self.generation, is_full, *entries)


class DiscoveryEnvironment:
    def __init__(self, discovery: Discovery, server: ListServer) -> None:
        self.discovery = discovery
        self.source: MemberSource = discovery
        self.server = server

    async def _wait_idle(self) -> None:
        """Wait until all requests are answered, and the watch, if there is one, has arrived."""
        while any(not stream.is_watch for stream in self.discovery.streams):
            await self.server.wait_changed()
        while (
            (watch := self.discovery.stream) is not None and not watch.is_closed and not self.server.watches
        ):
            await self.server.wait_changed()

    async def set_list(self, generation: int, entries: Entries) -> None:
        await self._wait_idle()
        self.server.generation, self.server.entries = generation, entries
        self.server.push_to_watches(True, entries)

    async def change_entries(self, generation: int, entries: Entries) -> None:
        await self._wait_idle()
        self.server.generation, self.server.entries = generation, merged(self.server.entries, entries)
        self.server.push_to_watches(False, entries)

    def stop_answering(self) -> None:
        self.server.is_failing = True

    def resume_answering(self) -> None:
        self.server.is_failing = False


class DiscoveryMixin:
    is_pushed: ClassVar[bool]

    @contextlib.asynccontextmanager
    async def environment(self) -> AsyncIterator[FaultySourceEnvironment]:
        server = ListServer()
        asyncio_server = await server.start()
        loop = asyncio.get_running_loop()
        source = Discovery(loop, f"127.0.0.1:{server.port}", "/registry", self.is_pushed, lambda line: None)
        try:
            yield DiscoveryEnvironment(source, server)
        finally:
            source.close()
            for stream in list(source.streams):
                stream.stop()
            await source.wait_closed()
            asyncio_server.close()


class TestPushedDiscovery(DiscoveryMixin, MemberSourceContract):
    is_pushed = True


class TestPolledDiscovery(DiscoveryMixin, PolledSourceContract):
    is_pushed = False


class TestPolledDiscoveryOnUvloop(TestPolledDiscovery):
    def new_loop(self) -> asyncio.AbstractEventLoop:
        return uvloop.new_event_loop()


class SendsAtStart(StaticMembers):
    def start(self, sink: MemberSink, generation: int) -> None:
        super().start(sink, generation)
        self.fetch()


class IgnoresFetch(StaticMembers):
    def fetch(self) -> None: ...


class DropsTheLastEntry(StaticMembers):
    def fetch(self) -> None:
        if self.sink is not None:
            self.sink.on_list(self.generation, True, self.entries[:-1])


class DecreasesTheGeneration(StaticMembers):
    def replace_list(self, entries: Sequence[Any]) -> None:
        self.generation -= 2
        super().replace_list(entries)


class StopsAfterARefusal(StaticMembers):
    """Sends no more lists after one was refused."""

    def replace_list(self, entries: Sequence[Any]) -> None:
        try:
            super().replace_list(entries)
        except ValueError:
            self.sink = None
            raise


class AltersEntries(StaticMembers):
    def replace_list(self, entries: Sequence[Any]) -> None:
        super().replace_list([{**entry, "weight": 1.0} for entry in entries])


@pytest.mark.parametrize(
    ("implementation", "case"),
    [
        (SendsAtStart, "test_the_current_list_arrives_complete"),
        (IgnoresFetch, "test_each_fetch_delivers_the_current_list"),
        (DropsTheLastEntry, "test_the_current_list_arrives_complete"),
        (DecreasesTheGeneration, "test_changes_arrive_while_the_source_is_watched"),
        (StopsAfterARefusal, "test_a_refused_list_does_not_affect_later_lists"),
        (AltersEntries, "test_the_current_list_arrives_complete"),
    ],
)
def test_a_faulty_source_is_detected(implementation: type[StaticMembers], case: str) -> None:
    class Faulty(TestStaticMembers):
        timeout_s = 0.1

    Faulty.implementation = implementation
    assert_detected(Faulty(), case)


class OvertakesLongLists(Discovery):
    """Passes on further lists while a long one is being applied."""

    def on_object(self, raw: bytearray, stream: Any, received_at: int | None) -> None:
        super().on_object(raw, stream, received_at)
        self.is_applying_list = False


class IgnoresLostStreams(Discovery):
    """Does not report that a list did not arrive."""

    def on_stream_lost(self, stream: Any, is_stalled: bool) -> None: ...


@pytest.mark.parametrize(
    ("implementation", "case"),
    [
        (OvertakesLongLists, "test_a_long_list_arrives_complete_and_before_later_changes"),
        (IgnoresLostStreams, "test_each_failed_fetch_is_reported_once"),
    ],
)
def test_a_faulty_discovery_is_detected(
    implementation: type[Discovery], case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Faulty(TestPolledDiscovery):
        timeout_s = 0.3

    monkeypatch.setitem(globals(), "Discovery", implementation)
    assert_detected(Faulty(), case)


# --- Recorder -----------------------------------------------------------------------------------

ORDER_CLASS = JournalClass(header=b"x-order-id", retention_ms=60_000)


def io_error() -> OSError:
    """Create a new error for each use: a raised error keeps references to the frames that it passed."""
    return OSError(errno.EIO, "Input/output error")


class IgnoringFrontend:
    def on_answer(self, call: Call, answer: Answer) -> None: ...


class JournalIncarnations:
    """A request journal on a simulated disk."""

    def __init__(self, implementation: type[RequestJournal], unavailable: Any) -> None:
        self.implementation = implementation
        self.settings = JournalSettings("", {"pay": ORDER_CLASS}, unavailable)
        self.disk = SimulatedDisk()
        self.call_numbers = itertools.count()
        self.journal: RequestJournal
        self.recorder: Recorder

    async def start(self) -> None:
        store = await Store.open(self.disk, StoreOptions())
        self.recorder = self.journal = self.implementation(
            store, self.settings, {"pay": 2}, lambda line: None
        )

    def recorded_call(self, order: str) -> Call:
        return self._call(order.encode())

    def unrecorded_call(self) -> Call:
        return self._call(b"")

    def _call(self, order: bytes) -> Call:
        request_id = b"%d" % next(self.call_numbers)
        return Call(2, 1 << 60, b"POST /pay", b"", b"sum", IgnoringFrontend(), request_id, order_id=order)

    async def restart(self) -> None:
        await self.journal.close()
        await self.start()

    def fail_writes(self) -> None:
        for operation in ("create", "write", "sync"):
            self.disk.fail(operation, *(io_error() for _ in range(1_000)))


class TestRequestJournal(RecorderContract):
    unavailable: ClassVar[str] = "fail"
    implementation: ClassVar[type[RequestJournal]] = RequestJournal

    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[RecorderIncarnations]:
        harness = JournalIncarnations(self.implementation, self.unavailable)
        await harness.start()
        try:
            yield harness
        finally:
            await harness.journal.close()


class TestRequestJournalThatPasses(TestRequestJournal):
    unavailable = "pass"


class TakesAllCalls(RequestJournal):
    def begin(self, call: Call, engine: CallHost) -> bool:
        return super().begin(call, engine) or True


class AdmitsAtOnce(RequestJournal):
    """Admits without waiting for the intent, or for another request of the same order."""

    def begin(self, call: Call, engine: CallHost) -> bool:
        if call.order_id:
            engine.admit(call)
        return bool(call.order_id)

    def finish(self, call: Call, answer: Answer, engine: CallHost) -> None:
        engine.deliver(call, answer)


class ForgetsFollowers(RequestJournal):
    """Does not answer waiting requests of the same order."""

    def _settle_all(self, request: JournaledRequest, answer: Answer, engine: CallHost) -> None:
        request.followers.clear()
        super()._settle_all(request, answer, engine)


class WithholdsFailures(RequestJournal):
    """Does not deliver answers that need no record."""

    def finish(self, call: Call, answer: Answer, engine: CallHost) -> None:
        if answer.ending is not Ending.FAILED:
            super().finish(call, answer, engine)


class DeletesFinishedOrders(RequestJournal):
    """Deletes the record of a finished order."""

    async def _finish(self, request: JournaledRequest, answer: Answer, engine: CallHost) -> None:
        await super()._finish(request, answer, engine)
        await self.store.delete(request.store_key)


class IgnoresStoreErrors(RequestJournal):
    """Does not handle errors of its store."""

    async def _finish(self, request: JournaledRequest, answer: Answer, engine: CallHost) -> None:
        await self.store.put(request.store_key, b"", request.retention_ms)
        await super()._finish(request, answer, engine)


@pytest.mark.parametrize(
    ("implementation", "case"),
    [
        (TakesAllCalls, "test_a_call_not_taken_is_neither_admitted_nor_settled"),
        (AdmitsAtOnce, "test_one_call_of_an_order_at_a_time_is_admitted"),
        (AdmitsAtOnce, "test_an_unfinished_order_is_not_admitted_after_a_restart"),
        (ForgetsFollowers, "test_waiting_calls_are_answered_if_the_first_client_disconnects"),
        (WithholdsFailures, "test_each_ending_is_delivered"),
        (DeletesFinishedOrders, "test_a_served_order_is_not_admitted_again"),
        (IgnoresStoreErrors, "test_every_call_is_answered_while_writes_fail"),
    ],
)
def test_a_faulty_recorder_is_detected(implementation: type[RequestJournal], case: str) -> None:
    class Faulty(TestRequestJournal):
        timeout_s = 0.2

    Faulty.implementation = implementation
    assert_detected(Faulty(), case)


# --- Link ---------------------------------------------------------------------------------------


class MemoryLinks:
    def __init__(self, implementation: type[MemoryLink]) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock, 3)
        self.implementation = implementation
        self.links: Sequence[Link] = [self.restart(n) for n in range(3)]

    def restart(self, number: int) -> Link:
        return self.implementation(self.network, number)

    async def wait_delivery(self) -> None:
        self.clock.advance(LATENCY_US)


class TestMemoryLink(LinkContract):
    implementation: ClassVar[type[MemoryLink]] = MemoryLink

    @contextlib.asynccontextmanager
    async def connected_links(self) -> AsyncIterator[ConnectedLinks]:
        yield MemoryLinks(self.implementation)


class SocketLinks:
    """Links on sockets of the system, which deliver by themselves."""

    def __init__(
        self, create_link: Callable[[int], SocketLink], unlisted: socket.socket, addresses: list[Any]
    ) -> None:
        self.create_link = create_link
        self.addresses = addresses
        self.unlisted = unlisted
        self.created: list[SocketLink] = []
        self.links: Sequence[Link] = [self.restart(n) for n in range(3)]

    def restart(self, number: int) -> Link:
        self.created.append(self.create_link(number))
        return self.created[-1]

    async def wait_delivery(self) -> None:
        # A datagram has reached a loopback socket once it is sent. The loop reads it in a later iteration, a
        # limited number of datagrams in each.
        for _ in range(20):
            await asyncio.sleep(0)

    def send_from_unlisted_address(self, number: int, data: bytes) -> None:
        self.unlisted.sendto(data, self.addresses[number])

    def close(self) -> None:
        for link in self.created:
            link.close()
        self.unlisted.close()


def free_addresses(count: int) -> list[tuple[str, int]]:
    """Return UDP addresses that are not in use."""
    return [("127.0.0.1", free_udp_port()) for _ in range(count)]


class TestUdpLink(ReachableLinkContract):
    implementation: ClassVar[type[UdpLink]] = UdpLink

    @contextlib.asynccontextmanager
    async def connected_links(self) -> AsyncIterator[ExposedLinks]:
        loop, addresses = asyncio.get_running_loop(), free_addresses(3)
        unlisted = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        unlisted.bind(("127.0.0.1", 0))
        links = SocketLinks(
            lambda n: self.implementation(loop, addresses[n], addresses, n), unlisted, addresses
        )
        with contextlib.closing(links):
            yield links


class TestUdpLinkOnUvloop(TestUdpLink):
    def new_loop(self) -> asyncio.AbstractEventLoop:
        return uvloop.new_event_loop()


class TestUnixLink(ReachableLinkContract):
    @contextlib.asynccontextmanager
    async def connected_links(self) -> AsyncIterator[ExposedLinks]:
        loop = asyncio.get_running_loop()
        unlisted = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        with tempfile.TemporaryDirectory() as folder:
            paths = [f"{folder}/{n}" for n in range(3)]
            with contextlib.closing(
                SocketLinks(lambda n: UnixLink(loop, paths, n), unlisted, paths)
            ) as links:
                yield links


class ReportsWrongSender(MemoryLink):
    def deliver(self, sender: int, data: bytes) -> None:
        super().deliver((sender + 1) % 3, data)


class TruncatesDatagrams(MemoryLink):
    def send(self, peer: int, data: bytes) -> None:
        super().send(peer, data[:200])


class SplitsOversized(MemoryLink):
    def send(self, peer: int, data: bytes) -> None:
        for start in range(0, len(data), MAX_DATAGRAM_BYTES):
            super().send(peer, data[start : start + MAX_DATAGRAM_BYTES])


class WrapsPeerNumbers(MemoryLink):
    """Takes peer numbers modulo 3, so that -1 is the last peer."""

    def send(self, peer: int, data: bytes) -> None:
        super().send(peer % 3, data)


class RaisesIfNotOpen(MemoryLink):
    """Raises if the peer is not open, as a connected socket does."""

    def send(self, peer: int, data: bytes) -> None:
        super().send(peer, data)
        if peer not in self.network.open_links:
            raise ConnectionRefusedError


class RaisesIfFull(MemoryLink):
    """Raises if the send buffer is full."""

    def send(self, peer: int, data: bytes) -> None:
        if self.counters["sent"] > 500:
            raise BlockingIOError
        super().send(peer, data)


class IgnoresClose(MemoryLink):
    """Still receives after `close`."""

    def close(self) -> None:
        if self.replica_id != 1:
            super().close()


class Broadcasts(MemoryLink):
    def send(self, peer: int, data: bytes) -> None:
        super().send(peer, data)
        for other in {0, 1, 2} - {self.replica_id, peer}:
            super().send(other, data)


@pytest.mark.parametrize(
    ("implementation", "case"),
    [
        (ReportsWrongSender, "test_each_pair_exchanges_complete_datagrams"),
        (TruncatesDatagrams, "test_each_pair_exchanges_complete_datagrams"),
        (Broadcasts, "test_each_pair_exchanges_complete_datagrams"),
        (SplitsOversized, "test_an_oversized_datagram_or_unknown_peer_raises_and_sends_nothing"),
        (WrapsPeerNumbers, "test_an_oversized_datagram_or_unknown_peer_raises_and_sends_nothing"),
        (RaisesIfNotOpen, "test_sending_to_an_unopened_or_closed_peer_raises_nothing"),
        (RaisesIfFull, "test_a_burst_may_lose_datagrams_but_raises_nothing"),
        (IgnoresClose, "test_after_close_nothing_is_received"),
        (IgnoresClose, "test_a_restarted_peer_keeps_its_number"),
    ],
)
def test_a_faulty_link_is_detected(implementation: type[MemoryLink], case: str) -> None:
    class Faulty(TestMemoryLink):
        timeout_s = 0.1

    Faulty.implementation = implementation
    assert_detected(Faulty(), case)


class AcceptsUnlistedSenders(UdpLink):
    """Reports an unlisted sender as the first peer of the list."""

    def _deliver(self, data: bytes, address: Any) -> None:
        is_listed = self._normalize(address) in self.peer_by_address
        super()._deliver(data, address if is_listed else self.peers[0])


def test_a_link_that_accepts_unlisted_senders_is_detected() -> None:
    class Faulty(TestUdpLink):
        implementation = AcceptsUnlistedSenders

    assert_detected(Faulty(), "test_datagrams_from_unlisted_senders_are_dropped")


# --- The Store of consensus ---------------------------------------------------------------------


class NoStoreIncarnations:
    def __init__(self) -> None:
        self.store: ConsensusStore = NoStore()

    async def restart(self) -> None:
        await self.store.close()
        self.store = NoStore()

    async def crash(self) -> None:
        self.store = NoStore()


class TestNoStore(StoreContract):
    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[StoreIncarnations]:
        yield NoStoreIncarnations()


class EmbeddedStoreIncarnations:
    """The embedded store. Each process has the disk that the process before left."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.embedded: EmbeddedStore
        self.store: ConsensusStore

    async def start(self) -> None:
        self.store = self.embedded = await EmbeddedStore.open(self.disk)

    async def restart(self) -> None:
        await self.embedded.close()
        await self.start()

    async def crash(self) -> None:
        await self.restart()


class PowerLossIncarnations(EmbeddedStoreIncarnations):
    disk: SimulatedDisk

    def __init__(self, seed: int) -> None:
        super().__init__(SimulatedDisk())
        self.replayed_disk = SimulatedDisk()  # the state of `disk` before the calls in its journal
        self.rng = random.Random(seed)

    async def crash(self) -> None:
        # Replays the calls on a copy: the store's thread may still be using `disk`.
        for name, *args in list(self.disk.journal):
            getattr(self.replayed_disk, name)(*args)
        self.disk = self.replayed_disk.lose_power(self.rng)
        self.replayed_disk = copy.deepcopy(self.disk)
        await self.embedded.close()
        await self.start()

    def fail_writes(self) -> None:
        for operation in ("create", "write", "sync"):
            self.disk.fail(operation, *(io_error() for _ in range(100)))


class TestEmbeddedStore(StoreContract):
    """On files of the system."""

    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[StoreIncarnations]:
        with tempfile.TemporaryDirectory() as folder:
            harness = EmbeddedStoreIncarnations(FolderDisk(folder))
            await harness.start()
            yield harness
            await harness.embedded.close()


class TestEmbeddedStoreWithPowerLosses(DurableStoreContract):
    seed: ClassVar[int] = 1

    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[FaultyStoreIncarnations]:
        harness = PowerLossIncarnations(self.seed)
        await harness.start()
        yield harness
        await harness.embedded.close()


@pytest.mark.parametrize("seed", range(2, 8))
def test_the_embedded_store_with_power_losses_fulfils_the_contract(seed: int) -> None:
    class OtherSeed(TestEmbeddedStoreWithPowerLosses):
        pass

    OtherSeed.seed = seed
    assert OtherSeed().failures() == {}


class ModelStore:
    """A store in memory. Each write becomes durable after `write_iterations` iterations of the event loop."""

    is_durable = True
    write_iterations = 3

    def __init__(self, durable: dict[bytes, bytes]) -> None:
        self.durable = durable
        self.initial = dict(durable)
        self.pending: list[tuple[dict[bytes, bytes | None], asyncio.Future[None]]] = []
        self.task: asyncio.Task[None] | None = None
        self.is_failing = False
        self.is_crashed = False

    async def load(self) -> dict[bytes, bytes]:
        return dict(self.initial)

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.pending.append((dict(changes), done))
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self.run())
        return done

    async def run(self) -> None:
        while self.pending and not self.is_crashed:
            changes, done = self.next_write()
            for _ in range(self.write_iterations):
                await asyncio.sleep(0)
            if self.is_failing:
                self.fail(done)
            elif not self.is_crashed:
                await self.apply(changes)
                if not done.done():
                    done.set_result(None)
        self.task = None

    def next_write(self) -> tuple[dict[bytes, bytes | None], asyncio.Future[None]]:
        return self.pending.pop(0)

    def fail(self, done: asyncio.Future[None]) -> None:
        done.set_exception(StoreError("the disk has failed"))

    async def apply(self, changes: dict[bytes, bytes | None]) -> None:
        for key, value in changes.items():
            self.apply_change(key, value)

    def apply_change(self, key: bytes, value: bytes | None) -> None:
        if self.is_crashed:
            return
        if value is None:
            self.durable.pop(key, None)
        else:
            self.durable[key] = value

    async def close(self) -> None:
        if self.task is not None:
            await self.task


class ModelIncarnations:
    def __init__(self, implementation: type[ModelStore]) -> None:
        self.implementation = implementation
        self.durable: dict[bytes, bytes] = {}
        self.model = implementation(self.durable)
        self.store: ConsensusStore = self.model

    async def restart(self) -> None:
        await self.model.close()
        await self.crash()

    async def crash(self) -> None:
        self.model.is_crashed = True
        self.durable = dict(self.durable)
        self.store = self.model = self.implementation(self.durable)

    def fail_writes(self) -> None:
        self.model.is_failing = True


class TestModelStore(DurableStoreContract):
    """Shows that the model without faults fulfils the contract."""

    implementation: ClassVar[type[ModelStore]] = ModelStore

    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[FaultyStoreIncarnations]:
        harness = ModelIncarnations(self.implementation)
        yield harness
        await harness.model.close()


class AppliesInSteps(ModelStore):
    async def apply(self, changes: dict[bytes, bytes | None]) -> None:
        for key, value in changes.items():
            self.apply_change(key, value)
            await asyncio.sleep(0)


class ReportsTooEarly(ModelStore):
    """Reports a write as done before it is durable."""

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        done = super().write(changes)
        done.set_result(None)
        return done

    def fail(self, done: asyncio.Future[None]) -> None: ...


class LastWriteFirst(ModelStore):
    def next_write(self) -> tuple[dict[bytes, bytes | None], asyncio.Future[None]]:
        return self.pending.pop()


class IgnoresDeletes(ModelStore):
    def apply_change(self, key: bytes, value: bytes | None) -> None:
        if value is not None:
            super().apply_change(key, value)


class ReportsFailuresAsDone(ModelStore):
    def fail(self, done: asyncio.Future[None]) -> None:
        done.set_result(None)


class RaisesOSError(ModelStore):
    """Reports a failed write with OSError, not StoreError."""

    def fail(self, done: asyncio.Future[None]) -> None:
        done.set_exception(io_error())


class ReportsNoFailures(ModelStore):
    def fail(self, done: asyncio.Future[None]) -> None: ...


class ClearsOnFailure(ModelStore):
    """Loses all records when a write fails."""

    def fail(self, done: asyncio.Future[None]) -> None:
        self.durable.clear()
        super().fail(done)


class RefusesMissingKeys(ModelStore):
    """Raises KeyError when a missing key is deleted."""

    def apply_change(self, key: bytes, value: bytes | None) -> None:
        if value is None and not self.is_crashed:
            del self.durable[key]
        else:
            super().apply_change(key, value)


@pytest.mark.parametrize(
    ("implementation", "case"),
    [
        (AppliesInSteps, "test_changes_of_a_write_are_found_all_or_none"),
        (ReportsTooEarly, "test_reported_writes_survive_a_crash"),
        (LastWriteFirst, "test_no_write_is_found_without_earlier_ones"),
        (LastWriteFirst, "test_the_last_write_wins"),
        (IgnoresDeletes, "test_written_keys_are_found_and_deleted_ones_are_not"),
        (ReportsFailuresAsDone, "test_a_failing_write_raises_and_loses_nothing_reported"),
        (RaisesOSError, "test_a_failing_write_raises_and_loses_nothing_reported"),
        (ReportsNoFailures, "test_a_failing_write_raises_and_loses_nothing_reported"),
        (ClearsOnFailure, "test_a_failing_write_raises_and_loses_nothing_reported"),
        (RefusesMissingKeys, "test_written_keys_are_found_and_deleted_ones_are_not"),
    ],
)
def test_a_faulty_store_is_detected(implementation: type[ModelStore], case: str) -> None:
    class Faulty(TestModelStore):
        timeout_s = 0.1

    Faulty.implementation = implementation
    assert_detected(Faulty(), case)


class LateNoStore(NoStore):
    """Completes writes after `write` has returned."""

    def write(self, changes: Mapping[bytes, bytes | None]) -> asyncio.Future[None]:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_soon(done.set_result, None)
        return done


def test_a_non_durable_store_that_completes_late_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(globals(), "NoStore", LateNoStore)
    assert_detected(TestNoStore(), "test_a_non_durable_write_is_done_when_write_returns")
