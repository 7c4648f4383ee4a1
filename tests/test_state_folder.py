"""Persistent folders on disks that fail for a while, and under killed processes.

The matrix of docs/design/state-folder.md: the store, the request journal, the outbox and the consensus state,
each with ENOSPC and EIO at writes and syncs, a failed sync followed by a successful one, and a kill at every
byte of a write."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import functools
import itertools
import random
from collections.abc import AsyncIterator, Iterator, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from laurelstep.consensus.effects import StepEffects
from laurelstep.consensus.node import MAX_REOPEN_DELAY_US, MIN_REOPEN_DELAY_US, NodeStage
from laurelstep.consensus.ports import Store as StateStore
from laurelstep.consensus.stores import embedded
from laurelstep.consensus.stores.embedded import EmbeddedStore, StateFaultError
from laurelstep.engine import Ending
from laurelstep.library import Request
from laurelstep.outbox.queue_store import FailedToKeepError, QueueStore
from laurelstep.outbox.records import FINAL, StateChange, WriteState
from laurelstep.request_journal.records import ResponseRecord, decode_record, store_key
from laurelstep.store import Store, StoreError, StoreOptions, StoreUnavailableError
from laurelstep.store.availability import MAX_BACKOFF_S
from laurelstep.store.manifest import MANIFEST, segment_name
from laurelstep.testing import Endpoint, refuse, serve
from laurelstep.testing.contracts.outbox import write_with_body
from laurelstep.testing.disk import Op, SimulatedDisk

from tests.consensus_nodes import SEND_AND_NOTIFY, NodeHarness, run_ready_callbacks
from tests.journals import FROM_RECORD, MAY_HAVE_RUN, SERVED, client_with_store, pay_request, summary
from tests.stores import SMALL, Machine, State, open_store, recovered_state

NO_SPACE = OSError(errno.ENOSPC, "No space left on device")
IO_ERROR = OSError(errno.EIO, "Input/output error")
FAULTS = [NO_SPACE, IO_ERROR]
WRITING = ("write", "create", "truncate", "rename")
SYNCING = ("sync", "sync_folder")
# Longer than the longest backoff.
PAST_BACKOFF_S = 60.0


def run(test: Any) -> None:
    async def limited() -> None:
        async with asyncio.timeout(60):
            await test

    asyncio.run(limited())


def crashed_disks(disk: SimulatedDisk, seed: int) -> Iterator[SimulatedDisk]:
    """Yield disks as the next process may find them: after a kill, and after power losses that keep none,
    all or some of the unsynced writes."""
    rng = random.Random(seed)
    yield disk.kill()
    yield disk.lose_power()
    yield disk.lose_power(keeps_all=True)
    yield disk.lose_power(rng)


def cut_writes(journal: list[Op]) -> Iterator[tuple[list[Op], SimulatedDisk]]:
    """Cut each write and file creation of a journal at every byte by a kill, and yield the calls before it
    and the remaining disk. Preallocated zeros are cut only near their ends."""
    disk = SimulatedDisk()
    for index, (name, *args) in enumerate(journal):
        if name in ("write", "create"):
            data = args[-1]
            sizes = range(len(data) + 1) if any(data) else (0, 1, len(data))
            for size in sizes:
                remaining = disk.kill()
                if name == "write":
                    remaining.write(args[0], args[1], data[:size])
                else:
                    remaining.create(args[0], data[:size])
                yield journal[:index], remaining
        if name != "mark":
            getattr(disk, name)(*args)
    yield journal, disk.kill()


def marks(journal: list[Op], label: str) -> list[Any]:
    return [op[2] for op in journal if op[:2] == ("mark", label)]


# --- The store -----------------------------------------------------------------------------


@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
def test_the_next_process_does_not_trust_a_batch_whose_sync_failed(error: OSError) -> None:
    """Its bytes can be read from the page cache, but a later successful sync does not write them."""

    async def main() -> None:
        disk = SimulatedDisk()
        async with open_store(disk, StoreOptions()) as store:
            await store.put(b"told", b"1")
            disk.fail("sync", error)
            with pytest.raises(StoreUnavailableError):
                await store.put(b"untold", b"2")
            killed = disk.kill()
        assert recovered_state(killed.kill()) in ({b"told": b"1"}, {b"told": b"1", b"untold": b"2"})
        async with open_store(killed, StoreOptions()) as store:
            values = {key: await store.get(key) for key in (b"told", b"untold")}
            await store.put(b"later", b"3")
        for after in crashed_disks(killed, 1):
            state = recovered_state(after)
            assert state == {**{k: v for k, v in values.items() if v is not None}, b"later": b"3"}

    run(main())


@pytest.mark.parametrize("failing", [1, 2], ids=["segment's name", "manifest's name"])
def test_a_failed_folder_sync_during_a_roll_loses_nothing(failing: int) -> None:
    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with open_store(disk, StoreOptions(segment_bytes=300), machine) as store:
            for n in range(4):
                await store.put(b"k%d" % n, b"x" * 40)
            fail_nth_folder_sync(disk, failing)
            with pytest.raises(StoreUnavailableError):
                await store.put(b"untold", b"x" * 200)
            killed = disk.kill()
            machine.monotonic_s += PAST_BACKOFF_S
            await store.put(b"later", b"3")
            listed = {MANIFEST, *(segment_name(entry.number) for entry in store.segments.manifest.segments)}
            assert set(disk.files()) == listed, "files not in use are deleted"
        for after in crashed_disks(disk, 2):
            state = recovered_state(after)
            assert state[b"later"] == b"3" and len(state) == 5, "without the failed write"
        async with open_store(killed, StoreOptions(segment_bytes=300)) as store:
            await store.put(b"next life", b"4")
        for after in crashed_disks(killed, 3):
            assert {b"k0", b"k1", b"k2", b"k3", b"next life"} <= set(recovered_state(after))

    run(main())


def fail_nth_folder_sync(disk: SimulatedDisk, nth: int) -> None:
    """Make the n-th folder sync from now fail once."""
    sync, count = disk.sync_folder, itertools.count(1)

    def sync_folder() -> None:
        if next(count) == nth:
            disk.fail("sync_folder", IO_ERROR)
        sync()

    vars(disk)["sync_folder"] = sync_folder


@pytest.mark.parametrize("operation", ["rename", "sync_folder"])
def test_a_compaction_with_an_unsure_manifest_deletes_no_listed_file(operation: str) -> None:
    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with open_store(disk, machine=machine) as store:
            for n in range(20):
                await store.put(b"k%d" % (n % 5), b"v%d" % n)
            await store.segments.roll()
            folder_syncs = sum(op[0] == "sync_folder" for op in await compaction_calls(disk))
            if operation == "rename":
                disk.fail("rename", IO_ERROR)
            else:
                fail_nth_folder_sync(disk, folder_syncs)
            with pytest.raises(OSError, match="Input/output error"):
                await store.compactor.compact_sealed()
            await store.put(b"k0", b"after")
            expected = {b"k0": b"after", **{b"k%d" % n: b"v%d" % (15 + n) for n in range(1, 5)}}
            for after in crashed_disks(disk, 4):
                assert recovered_state(after) == expected
            await store.compactor.compact_sealed()
            await store.put(b"k1", b"again")
            expected[b"k1"] = b"again"
            for after in crashed_disks(disk, 5):
                assert recovered_state(after) == expected
            listed = {MANIFEST, *(segment_name(entry.number) for entry in store.segments.manifest.segments)}
            assert set(disk.files()) == listed, "files not in use are deleted"

    run(main())


async def compaction_calls(disk: SimulatedDisk) -> list[Op]:
    """Return the disk calls that a compaction of this disk's store makes."""
    copy = disk.kill()
    async with open_store(copy) as store:
        copy.journal.clear()
        await store.compactor.compact_sealed()
        return [*copy.journal]


def test_a_store_on_a_full_disk_opens_reads_and_deletes_nothing() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with open_store(disk) as store:
            await store.put(b"told", b"1")
        disk.create(segment_name(99), b"left over")
        disk.fail_always(NO_SPACE, "create", "write")
        async with open_store(disk) as store:
            assert await store.get(b"told") == b"1" and segment_name(99) in disk.files()
            with pytest.raises(StoreUnavailableError):
                await store.put(b"untold", b"2")
        disk.clear_errors()
        async with open_store(disk):
            assert segment_name(99) not in disk.files()

    run(main())


@pytest.mark.parametrize("operation", ["sync", "create", "rename", "sync_folder"])
def test_a_store_whose_disk_fails_during_opening_can_be_opened_later(operation: str) -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with open_store(disk) as store:
            await store.put(b"told", b"1")
        disk.fail_always(IO_ERROR, operation)
        with pytest.raises(StoreError, match="Input/output error"):
            await Store.open(disk)
        disk.clear_errors()
        async with open_store(disk) as store:
            assert await store.get(b"told") == b"1"

    run(main())


def test_writing_stops_if_compaction_may_have_sealed_the_active_segment() -> None:
    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with open_store(disk, StoreOptions(), machine) as store:
            await store.put(b"k0", b"1")
            fail_nth_folder_sync(disk, 2)
            with pytest.raises(OSError, match="Input/output error"):
                await store.compact()
            with pytest.raises(StoreUnavailableError):
                await store.put(b"k1", b"untold")
            assert recovered_state(disk.kill()) == {b"k0": b"1"}
            machine.monotonic_s += PAST_BACKOFF_S
            await store.put(b"k2", b"3")
            for after in crashed_disks(disk, 6):
                assert recovered_state(after) == {b"k0": b"1", b"k2": b"3"}

    run(main())


def test_writes_are_not_lost_while_compaction_seals_the_active_segment() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with open_store(disk, StoreOptions()) as store:
            await store.put(b"k0", b"1")
            compacting = asyncio.ensure_future(store.compact())
            for n in range(1, 6):
                await store.put(b"k%d" % n, b"told")
            await compacting
        assert recovered_state(disk.lose_power()) == {
            b"k0": b"1",
            **{b"k%d" % n: b"told" for n in range(1, 6)},
        }

    run(main())


class Workload:
    """Random writes over several processes, and the values of each key that a process may find."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.allowed: dict[bytes, set[bytes | None]] = {}
        self.reported = self.refused = 0

    async def write(self, store: Store) -> None:
        key = b"k%d" % self.rng.randrange(6)
        value = self.rng.randbytes(self.rng.randrange(60)) if self.rng.random() < 0.8 else None
        try:
            await (store.delete(key) if value is None else store.put(key, value))
        except StoreUnavailableError:
            self.refused += 1
            self.allowed.setdefault(key, {None}).add(value)
        else:
            self.reported += 1
            self.allowed[key] = {value}

    def check(self, state: State) -> None:
        for key, values in self.allowed.items():
            assert state.get(key) in values, key

    def on_opened(self, state: State) -> None:
        """Check the state that a process found; later processes must find the same."""
        self.check(state)
        self.allowed = {key: {state.get(key)} for key in self.allowed}


@pytest.mark.parametrize("operations", [WRITING, SYNCING], ids=["at writes", "at syncs"])
@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("seed", range(8))
def test_a_store_on_a_disk_that_fails_for_a_while_loses_no_reported_write(
    error: OSError, operations: tuple[str, ...], seed: int
) -> None:
    async def main() -> None:
        disk, machine, workload = SimulatedDisk(), Machine(), Workload(seed)
        for process in range(6):
            async with open_store(disk, SMALL, machine) as store:
                workload.on_opened({key: value async for key, value in store.scan(b"k")})
                for phase in range(6):
                    if phase % 2:
                        disk.fail_always(
                            error,
                            *workload.rng.sample(operations, workload.rng.randint(1, len(operations))),
                        )
                    else:
                        disk.clear_errors()
                        machine.monotonic_s += MAX_BACKOFF_S
                        before = workload.reported
                        await workload.write(store)
                        assert workload.reported == before + 1, "writes succeed again once the disk works"
                    for _ in range(workload.rng.randrange(8)):
                        await workload.write(store)
                        machine.monotonic_s += workload.rng.random() * 3
                        for after in crashed_disks(disk, workload.rng.randrange(1 << 30)):
                            after.clear_errors()
                            workload.check(recovered_state(after))
                    if phase == 3:
                        with contextlib.suppress(OSError):
                            await store.compact()
                after = workload.rng.choice([*crashed_disks(disk, seed * 100 + process)])
            after.clear_errors()
            disk = after
        assert workload.reported > 20 and workload.refused > 5

    run(main())


# --- The request journal -------------------------------------------------------------------


def recorded_order(disk: SimulatedDisk, name: str) -> bytes | None:
    return recovered_state(disk).get(store_key("pay", name.encode()))


@pytest.mark.parametrize("operations", [WRITING, SYNCING], ids=["at writes", "at syncs"])
@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
def test_a_journal_on_a_disk_that_fails_for_a_while(
    tmp_path: Path, error: OSError, operations: tuple[str, ...]
) -> None:
    """While it fails, requests fail at once and never run; afterwards they are recorded again."""

    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with Endpoint() as endpoint, contextlib.AsyncExitStack() as stack:
            clocks = machine.clocks()
            client, _ = await client_with_store(disk, endpoint, "fail", tmp_path, stack, clocks=clocks)
            assert summary(await client.send(order_request("before"))) == SERVED
            disk.fail_always(error, *operations)
            for n in range(4):
                assert summary(await client.send(order_request(f"while-{n}"))) == MAY_HAVE_RUN
                assert (await client.send(Request("page", "/page"))).outcome is Ending.SERVED
                machine.monotonic_s += MAX_BACKOFF_S / 3
            assert summary(await client.send(order_request("before"))) == FROM_RECORD, (
                "recorded answers are still given"
            )
            assert orders_run(endpoint) == ["before"], "no request runs without a durable intent"
            disk.clear_errors()
            machine.monotonic_s += MAX_BACKOFF_S
            assert summary(await client.send(order_request("after"))) == SERVED
            assert summary(await client.send(order_request("while-0"))) == SERVED, (
                "the repeat runs, for the first time"
            )
            assert orders_run(endpoint) == ["before", "after", "while-0"]
        for after in crashed_disks(disk, 7):
            for name in orders_run(endpoint):
                record = recorded_order(after, name)
                assert record is not None and isinstance(decode_record(record), ResponseRecord)

    run(main())


def orders_run(endpoint: Endpoint) -> list[str]:
    return [message.body.decode() for message in endpoint.requests if message.body]


def order_request(name: str) -> Request:
    return pay_request(name, name.encode())


def test_an_intent_whose_sync_failed_is_either_kept_or_lost_for_good(tmp_path: Path) -> None:
    """The next process answers from it, writes more, and loses power: its answers stay the same."""

    async def main() -> None:
        disk = SimulatedDisk()
        async with Endpoint() as endpoint, contextlib.AsyncExitStack() as stack:
            client, _ = await client_with_store(disk, endpoint, "fail", tmp_path / "1", stack)
            disk.fail("sync", IO_ERROR)
            assert summary(await client.send(order_request("unsure"))) == MAY_HAVE_RUN
            disk = disk.kill()
            client, _ = await client_with_store(disk, endpoint, "fail", tmp_path / "2", stack)
            first = summary(await client.send(order_request("unsure")))
            assert summary(await client.send(order_request("sure"))) == SERVED
            disk = disk.lose_power()
            client, _ = await client_with_store(disk, endpoint, "fail", tmp_path / "3", stack)
            assert summary(await client.send(order_request("sure"))) == FROM_RECORD
            repeat = summary(await client.send(order_request("unsure")))
            assert repeat == (MAY_HAVE_RUN if first == MAY_HAVE_RUN else FROM_RECORD)
            assert orders_run(endpoint).count("sure") == 1 and orders_run(endpoint).count("unsure") <= 1

    run(main())


def test_a_kill_at_any_byte_of_the_journal_lets_no_request_run_twice(tmp_path: Path) -> None:
    async def main() -> None:
        disk = SimulatedDisk()

        async def handler(endpoint: Endpoint, message: Any, writer: Any) -> None:
            name = message.body.decode()
            disk.mark("sent", name)
            reply = refuse() if name.startswith("refused") else serve(name.encode())
            await reply(endpoint, message, writer)

        async with Endpoint(handler) as endpoint, contextlib.AsyncExitStack() as stack:
            small = StoreOptions(preallocated_bytes=64, segment_bytes=700)
            client, _ = await client_with_store(disk, endpoint, "fail", tmp_path, stack, small)
            for n in range(6):
                name = f"refused-{n}" if n == 3 else f"order-{n}"
                reply = await client.send(order_request(name))
                disk.mark(reply.outcome.value, name)
        checked = 0
        for before, remaining in cut_writes(disk.journal):
            state = recovered_state(remaining)
            served, refused = marks(before, "served"), marks(before, "refused")
            for name in marks(before, "sent"):
                record = state.get(store_key("pay", name.encode()))
                if name in served:
                    assert record is not None and isinstance(decode_record(record), ResponseRecord)
                elif name not in refused and not name.startswith("refused"):
                    assert record is not None, "it may have run, and its repeat is told so"
            checked += 1
        assert checked > 1_000 and len(marks(disk.journal, "served")) == 5

    run(main())


# --- The outbox ----------------------------------------------------------------------------

MAX_BYTES = 64 << 20


@pytest.fixture
def small_preallocation(monkeypatch: pytest.MonkeyPatch) -> None:
    """Preallocate few zeros, so that cutting the log at every byte is fast."""
    monkeypatch.setattr(
        "laurelstep.outbox.queue_store.StoreOptions", functools.partial(StoreOptions, preallocated_bytes=64)
    )
    monkeypatch.setattr(
        embedded, "OPTIONS", replace(embedded.OPTIONS, preallocated_bytes=64, segment_bytes=1_000)
    )


@contextlib.asynccontextmanager
async def open_queue(disk: SimulatedDisk, machine: Machine | None = None) -> AsyncIterator[QueueStore]:
    store = await QueueStore.open(disk, MAX_BYTES, clocks=(machine or Machine()).clocks())
    try:
        yield store
    finally:
        await store.close()


@pytest.mark.parametrize("operations", [WRITING, SYNCING], ids=["at writes", "at syncs"])
@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
def test_an_outbox_on_a_disk_that_fails_for_a_while(error: OSError, operations: tuple[str, ...]) -> None:
    """Queued writes stay queued, later ones are refused while it fails, and queued again afterwards."""

    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with open_queue(disk, machine) as store:
            await store.load()
            queued = [write_with_body(1, 100), write_with_body(2, 200_000)]
            for write in queued:
                await store.put_write(*write)
            await store.put_state(StateChange(queued[0][0].write_id, WriteState.OUT))
            disk.fail_always(error, *operations)
            for n in (3, 4):
                with pytest.raises(FailedToKeepError):
                    await store.put_write(*write_with_body(n, 200_000))
                with pytest.raises(StoreError):
                    await store.put_state(StateChange(queued[0][0].write_id, WriteState.DONE))
                assert not await store.delete_write(queued[1][0].write_id, queued[1][0].size)
                machine.monotonic_s += MAX_BACKOFF_S / 3
            during = disk.kill()
            disk.clear_errors()
            machine.monotonic_s += MAX_BACKOFF_S
            await store.put_write(*write_with_body(5, 70_000))
            queued.append(write_with_body(5, 70_000))
            for write in queued:
                assert await store.read(write[0].write_id) == write
        for after in crashed_disks(disk, 8):
            assert await read_queued(after) == [*queued]
        during.clear_errors()
        loaded = await read_queued(during)
        assert loaded[:2] == queued[:2] and all(
            write in (write_with_body(3, 200_000), write_with_body(4, 200_000)) for write in loaded[2:]
        )
        assert await read_queued(during.lose_power()) == loaded, "the next process finds the same"

    run(main())


async def read_queued(disk: SimulatedDisk) -> list[Any]:
    """Return the queued writes with their bodies, as the next process finds them."""
    async with open_queue(disk) as store:
        return [await store.read(write.write_id) for write, _ in (await store.load()).writes]


@pytest.mark.usefixtures("small_preallocation")
def test_a_kill_at_any_byte_of_the_outbox_keeps_what_was_reported() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with open_queue(disk) as store:
            await store.load()
            for n in range(1, 4):
                await store.put_write(*write_with_body(n, 30 * n))
                disk.mark("kept", write_with_body(n, 0)[0].write_id)
            for n in (1, 2):
                for state in (WriteState.OUT, WriteState.DONE):
                    await store.put_state(StateChange(write_with_body(n, 0)[0].write_id, state))
                    disk.mark(state.name, write_with_body(n, 0)[0].write_id)
            disk.mark("forgetting", write_with_body(1, 0)[0].write_id)
            assert await store.delete_write(write_with_body(1, 0)[0].write_id, 0)
            disk.mark("forgotten", write_with_body(1, 0)[0].write_id)
        checked = 0
        for before, remaining in cut_writes(disk.journal):
            async with open_queue(remaining) as store:
                writes = {write.write_id: change for write, change in (await store.load()).writes}
            for write_id in marks(before, "kept"):
                if write_id in marks(before, "forgotten"):
                    assert write_id not in writes
                elif write_id not in marks(before, "forgetting"):
                    assert write_id in writes
                if write_id in writes and write_id in marks(before, "OUT"):
                    assert writes[write_id] is not None, "it was sent, so it must not count as never sent"
                if write_id in writes and write_id in marks(before, "DONE"):
                    change = writes[write_id]
                    assert change is not None and change.state in FINAL
            checked += 1
        assert checked > 800

    run(main())


def test_deleting_a_write_never_leaves_its_record_without_its_state() -> None:
    """Otherwise the next process would consider it never sent, and send it again."""

    async def main() -> None:
        disk = SimulatedDisk()
        async with open_queue(disk) as store:
            await store.load()
            write, body = write_with_body(1, 10)
            await store.put_write(write, body)
            await store.put_state(StateChange(write.write_id, WriteState.DONE))
            writer = store.store.writer
            writer.options = replace(writer.options, batch_records=1)  # each change in its own batch
            call_count = len(disk.journal)
            assert await store.delete_write(write.write_id, 0)
            calls = disk.journal
        for end in range(call_count, len(calls)):
            async with open_queue(SimulatedDisk.replay(calls[:end]).lose_power(keeps_all=True)) as store:
                for _, change in (await store.load()).writes:
                    assert change is not None and change.state is WriteState.DONE

    run(main())


# --- The consensus state ---------------------------------------------------------------------


def step_changes(n: int) -> Mapping[bytes, bytes | None]:
    """The changes of one step of the core: a vote, a new entry, and the deletion of an old one."""
    deleted: dict[bytes, bytes | None] = {b"e%d" % (n - 3): None} if n > 3 else {}
    return {b"vote": b"%d" % n, b"e%d" % n: b"x" * n, **deleted}


def state_after(n: int) -> dict[bytes, bytes]:
    state: dict[bytes, bytes | None] = {}
    for number in range(1, n + 1):
        state.update(step_changes(number))
    return {key: value for key, value in state.items() if value is not None}


async def load_state(disk: SimulatedDisk) -> dict[bytes, bytes]:
    store = await EmbeddedStore.open(disk)
    try:
        return await store.load()
    finally:
        await store.close()


@pytest.mark.parametrize("operations", [WRITING, SYNCING], ids=["at writes", "at syncs"])
@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
def test_the_consensus_state_on_a_failing_disk_has_only_complete_steps(
    error: OSError, operations: tuple[str, ...]
) -> None:
    """It has the last acknowledged step or the one after it, and the next process finds the same."""

    async def main() -> None:
        disk, acknowledged = SimulatedDisk(), 0
        for process in range(5):
            store = await EmbeddedStore.open(disk)
            state = await store.load()
            acknowledged = max(n for n in (acknowledged, acknowledged + 1) if state_after(n) == state)
            for _ in range(3):
                acknowledged += 1
                await store.write(step_changes(acknowledged))
            disk.fail_always(error, *operations)
            with pytest.raises(StateFaultError):
                await store.write(step_changes(acknowledged + 1))
            with pytest.raises(StateFaultError):
                await store.write(step_changes(acknowledged + 2))
            remaining = [*crashed_disks(disk, process)]
            await store.close()
            for after in remaining:
                after.clear_errors()
                first = await load_state(after)
                assert first in (state_after(acknowledged), state_after(acknowledged + 1))
                assert await load_state(after.lose_power()) == first
            disk = remaining[process % len(remaining)]

    run(main())


@pytest.mark.usefixtures("small_preallocation")
def test_a_kill_at_any_byte_of_the_consensus_state_leaves_complete_steps() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        store = await EmbeddedStore.open(disk)
        for n in range(1, 12):
            await store.write(step_changes(n))
            disk.mark("acknowledged", n)
        await store.close()
        checked = 0
        for before, remaining in cut_writes(disk.journal):
            n = max(marks(before, "acknowledged"), default=0)
            assert await load_state(remaining) in (state_after(n), state_after(n + 1))
            checked += 1
        assert checked > 800

    run(main())


class ReopeningNode:
    """A node on a simulated disk, whose store can be opened any number of times."""

    def __init__(self) -> None:
        self.disk = SimulatedDisk()
        self.harness = NodeHarness()
        self.harness.node.open_store = self.open
        self.open_count = 0

    async def open(self) -> StateStore:
        self.open_count += 1
        return await EmbeddedStore.open(self.disk)

    async def settle(self) -> None:
        """Wait until the node has no work in progress."""
        node = self.harness.node
        while node._tasks or (node.runner is not None and node.runner.is_busy):
            await asyncio.sleep(0)
        await run_ready_callbacks()

    async def wait(self, us: int) -> None:
        self.harness.clock.advance(us)
        await self.settle()


@pytest.mark.parametrize("operations", [WRITING, SYNCING], ids=["at writes", "at syncs"])
@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
def test_a_node_resumes_once_its_disk_works_again(error: OSError, operations: tuple[str, ...]) -> None:
    async def main() -> None:
        world = ReopeningNode()
        harness, node = world.harness, world.harness.node
        await node.start()
        await world.settle()
        harness.core.answers["receive"] = StepEffects(
            persist={b"vote": b"1"}, outgoing=SEND_AND_NOTIFY.outgoing
        )
        harness.receive(b"x")
        await world.settle()
        assert (1, b"said") in harness.take_delivered(), "acknowledged"
        world.disk.fail_always(error, *operations)
        harness.core.answers["receive"] = StepEffects(
            persist={b"vote": b"2"}, outgoing=SEND_AND_NOTIFY.outgoing
        )
        harness.receive(b"x")
        await world.settle()
        assert node.stage is NodeStage.FAILED and not harness.take_delivered(), (
            "nothing is sent that is not durable"
        )
        for _ in range(4):
            await world.wait(MAX_REOPEN_DELAY_US)
        assert node.stage is NodeStage.FAILED and world.open_count > 3
        assert len(harness.log_lines) == 1 and StateFaultError.remedy in harness.log_lines[0]
        world.disk.clear_errors()
        await world.wait(MAX_REOPEN_DELAY_US)
        assert node.is_running and node.status()["stage"] == "takes part" and not node.failure
        assert harness.core.records[b"vote"] in (b"1", b"2"), "an acknowledged vote is kept"
        assert harness.log_lines[1:] == ["accord: the disk accepts writes again; this process takes part"]
        await node.close()

    run(main())


def test_a_node_that_waits_for_its_disk_can_retire_for_a_successor() -> None:
    async def main() -> None:
        world = ReopeningNode()
        harness, node = world.harness, world.harness.node
        await node.start()
        await world.settle()
        world.disk.fail_always(IO_ERROR, "sync")
        harness.core.answers["receive"] = StepEffects(persist={b"vote": b"2"})
        harness.receive(b"x")
        await world.settle()
        assert await node.retire() == {} and node.stage is NodeStage.RETIRED
        count_before = world.open_count
        await world.wait(10 * MIN_REOPEN_DELAY_US)
        assert world.open_count == count_before and not world.disk.owners, (
            "folder and address are free for the successor"
        )
        assert 0 not in harness.network.open_links
        world.disk.clear_errors()
        await node.restart()
        await world.settle()
        assert node.is_running and not node.failure
        await node.close()

    run(main())


def test_a_permanent_failure_is_logged_while_a_node_waits_for_its_disk() -> None:
    async def damaged() -> StateStore:
        raise StoreError("damaged at byte 7")

    async def main() -> None:
        world = ReopeningNode()
        harness, node = world.harness, world.harness.node
        await node.start()
        await world.settle()
        world.disk.fail_always(IO_ERROR, "sync")
        harness.core.answers["receive"] = StepEffects(persist={b"vote": b"2"})
        harness.receive(b"x")
        await world.settle()
        await world.wait(MAX_REOPEN_DELAY_US)
        assert len(harness.log_lines) == 1, "the disk's fault is logged once"
        node.open_store = damaged
        await world.wait(MAX_REOPEN_DELAY_US)
        assert (
            node.stage is NodeStage.FAILED
            and len(harness.log_lines) == 2
            and "damaged" in harness.log_lines[1]
        )
        count_before = world.open_count
        await world.wait(10 * MAX_REOPEN_DELAY_US)
        assert world.open_count == count_before and len(harness.log_lines) == 2
        await node.close()

    run(main())
