"""The folders that last, on a disk that fails for a while and processes that are killed.

The matrix of docs/design/state-folder.md: the store, the record of orders, the outbox and the consensus
state, each against ENOSPC and EIO at writes and syncs, a failed sync that a good one follows, and a kill
at every byte of a write."""

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
# Beyond the longest backoff.
LONG_S = 60.0


def run(test: Any) -> None:
    async def limited() -> None:
        async with asyncio.timeout(60):
            await test

    asyncio.run(limited())


def deaths(disk: SimulatedDisk, seed: int) -> Iterator[SimulatedDisk]:
    """What the next life may find: after a kill, after a loss of power, and after one upon the other."""
    draw = random.Random(seed)
    yield disk.kill()
    yield disk.lose_power()
    yield disk.lose_power(keeps_all=True)
    yield disk.lose_power(draw)


def cuts(journal: list[Op]) -> Iterator[tuple[list[Op], SimulatedDisk]]:
    """Each write and each new file of a journal, broken off at every byte by a kill: what was called
    before it, and the disk that is left. Of zeros written ahead the ends stand for all."""
    disk = SimulatedDisk()
    for at, (name, *args) in enumerate(journal):
        if name in ("write", "create"):
            data = args[-1]
            sizes = range(len(data) + 1) if any(data) else (0, 1, len(data))
            for size in sizes:
                broken = disk.kill()
                if name == "write":
                    broken.write(args[0], args[1], data[:size])
                else:
                    broken.create(args[0], data[:size])
                yield journal[:at], broken
        if name != "mark":
            getattr(disk, name)(*args)
    yield journal, disk.kill()


def marks(journal: list[Op], word: str) -> list[Any]:
    return [op[2] for op in journal if op[:2] == ("mark", word)]


# --- The store -----------------------------------------------------------------------------


@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
def test_a_batch_whose_sync_failed_is_not_taken_for_durable_by_the_next_life(error: OSError) -> None:
    """Its bytes are read from the page cache, and a sync that succeeds says nothing of them."""

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
            found = {key: await store.get(key) for key in (b"told", b"untold")}
            await store.put(b"later", b"3")
        for after in deaths(killed, 1):
            state = recovered_state(after)
            assert state == {**{k: v for k, v in found.items() if v is not None}, b"later": b"3"}

    run(main())


@pytest.mark.parametrize("failing", [1, 2], ids=["segment's name", "manifest's name"])
def test_a_folder_whose_sync_failed_as_the_log_rolled_on_loses_nothing(failing: int) -> None:
    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with open_store(disk, StoreOptions(segment_bytes=300), machine) as store:
            for n in range(4):
                await store.put(b"k%d" % n, b"x" * 40)
            fail_nth_folder_sync(disk, failing)
            with pytest.raises(StoreUnavailableError):
                await store.put(b"untold", b"x" * 200)
            killed = disk.kill()
            machine.monotonic_s += LONG_S
            await store.put(b"later", b"3")
            named = {MANIFEST, *(segment_name(one.number) for one in store.segments.manifest.segments)}
            assert set(disk.files()) == named, "what is not in use is deleted"
        for after in deaths(disk, 2):
            state = recovered_state(after)
            assert state[b"later"] == b"3" and len(state) == 5, "the one that failed is not there"
        async with open_store(killed, StoreOptions(segment_bytes=300)) as store:
            await store.put(b"next life", b"4")
        for after in deaths(killed, 3):
            assert {b"k0", b"k1", b"k2", b"k3", b"next life"} <= set(recovered_state(after))

    run(main())


def fail_nth_folder_sync(disk: SimulatedDisk, nth: int) -> None:
    """The n-th from now fails, once."""
    real, count = disk.sync_folder, itertools.count(1)

    def sync_folder() -> None:
        if next(count) == nth:
            disk.fail("sync_folder", IO_ERROR)
        real()

    vars(disk)["sync_folder"] = sync_folder


@pytest.mark.parametrize("operation", ["rename", "sync_folder"])
def test_a_compaction_whose_manifest_is_unsure_deletes_nothing_that_it_may_name(operation: str) -> None:
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
            for after in deaths(disk, 4):
                assert recovered_state(after) == expected
            await store.compactor.compact_sealed()
            await store.put(b"k1", b"again")
            expected[b"k1"] = b"again"
            for after in deaths(disk, 5):
                assert recovered_state(after) == expected
            named = {MANIFEST, *(segment_name(one.number) for one in store.segments.manifest.segments)}
            assert set(disk.files()) == named, "what is not in use is deleted"

    run(main())


async def compaction_calls(disk: SimulatedDisk) -> list[Op]:
    """What a compaction of this disk's store does to it."""
    copy = disk.kill()
    async with open_store(copy) as store:
        copy.journal.clear()
        await store.compactor.compact_sealed()
        return [*copy.journal]


def test_a_store_on_a_full_disk_opens_and_reads_and_deletes_nothing() -> None:
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
def test_a_store_whose_disk_fails_as_it_is_opened_is_refused_and_may_be_opened_later(operation: str) -> None:
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


def test_writing_ends_where_compaction_left_the_active_segment_perhaps_sealed() -> None:
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
            machine.monotonic_s += LONG_S
            await store.put(b"k2", b"3")
            for after in deaths(disk, 6):
                assert recovered_state(after) == {b"k0": b"1", b"k2": b"3"}

    run(main())


def test_a_write_that_comes_as_compaction_seals_the_active_segment_is_not_lost() -> None:
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


class Course:
    """Writes over several lives, and which values of each key a life may find."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.allowed: dict[bytes, set[bytes | None]] = {}
        self.told = self.refused = 0

    async def write(self, store: Store) -> None:
        key = b"k%d" % self.draw.randrange(6)
        value = self.draw.randbytes(self.draw.randrange(60)) if self.draw.random() < 0.8 else None
        try:
            await (store.delete(key) if value is None else store.put(key, value))
        except StoreUnavailableError:
            self.refused += 1
            self.allowed.setdefault(key, {None}).add(value)
        else:
            self.told += 1
            self.allowed[key] = {value}

    def check(self, state: State) -> None:
        for key, values in self.allowed.items():
            assert state.get(key) in values, key

    def found(self, state: State) -> None:
        """By a life, which may tell it: it is so from now on."""
        self.check(state)
        self.allowed = {key: {state.get(key)} for key in self.allowed}


@pytest.mark.parametrize("operations", [WRITING, SYNCING], ids=["at writes", "at syncs"])
@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
@pytest.mark.parametrize("seed", range(8))
def test_a_store_on_a_disk_that_fails_for_a_while_loses_nothing_told(
    error: OSError, operations: tuple[str, ...], seed: int
) -> None:
    async def main() -> None:
        disk, machine, course = SimulatedDisk(), Machine(), Course(seed)
        for life in range(6):
            async with open_store(disk, SMALL, machine) as store:
                course.found({key: value async for key, value in store.scan(b"k")})
                for phase in range(6):
                    if phase % 2:
                        disk.fail_always(
                            error, *course.draw.sample(operations, course.draw.randint(1, len(operations)))
                        )
                    else:
                        disk.clear_errors()
                        machine.monotonic_s += MAX_BACKOFF_S
                        before = course.told
                        await course.write(store)
                        assert course.told == before + 1, "it writes again once the disk does"
                    for _ in range(course.draw.randrange(8)):
                        await course.write(store)
                        machine.monotonic_s += course.draw.random() * 3
                        for after in deaths(disk, course.draw.randrange(1 << 30)):
                            after.clear_errors()
                            course.check(recovered_state(after))
                    if phase == 3:
                        with contextlib.suppress(OSError):
                            await store.compact()
                after = course.draw.choice([*deaths(disk, seed * 100 + life)])
            after.clear_errors()
            disk = after
        assert course.told > 20 and course.refused > 5

    run(main())


# --- The record of orders ------------------------------------------------------------------


def record_of(disk: SimulatedDisk, name: str) -> bytes | None:
    return recovered_state(disk).get(store_key("pay", name.encode()))


@pytest.mark.parametrize("operations", [WRITING, SYNCING], ids=["at writes", "at syncs"])
@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
def test_orders_on_a_disk_that_fails_for_a_while(
    tmp_path: Path, error: OSError, operations: tuple[str, ...]
) -> None:
    """Refused at once and never run while it fails; recorded again by itself once it does not."""

    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with Endpoint() as endpoint, contextlib.AsyncExitStack() as stack:
            clocks = machine.clocks()
            client, _ = await client_with_store(disk, endpoint, "fail", tmp_path, stack, clocks=clocks)
            assert summary(await client.send(order("before"))) == SERVED
            disk.fail_always(error, *operations)
            for n in range(4):
                assert summary(await client.send(order(f"while-{n}"))) == MAY_HAVE_RUN
                assert (await client.send(Request("page", "/page"))).outcome is Ending.SERVED
                machine.monotonic_s += MAX_BACKOFF_S / 3
            assert summary(await client.send(order("before"))) == FROM_RECORD, (
                "what was told before is told again"
            )
            assert ran(endpoint) == ["before"], "nothing runs whose intent is not kept"
            disk.clear_errors()
            machine.monotonic_s += MAX_BACKOFF_S
            assert summary(await client.send(order("after"))) == SERVED
            assert summary(await client.send(order("while-0"))) == SERVED, (
                "its repeat runs, for the first time"
            )
            assert ran(endpoint) == ["before", "after", "while-0"]
        for after in deaths(disk, 7):
            for name in ran(endpoint):
                found = record_of(after, name)
                assert found is not None and isinstance(decode_record(found), ResponseRecord)

    run(main())


def ran(endpoint: Endpoint) -> list[str]:
    return [one.body.decode() for one in endpoint.requests if one.body]


def order(name: str) -> Request:
    return pay_request(name, name.encode())


def test_an_intent_whose_sync_failed_is_kept_by_the_next_life_or_gone(tmp_path: Path) -> None:
    """The next life answers from it, writes on, and loses power: nothing that it told is lost."""

    async def main() -> None:
        disk = SimulatedDisk()
        async with Endpoint() as endpoint, contextlib.AsyncExitStack() as stack:
            client, _ = await client_with_store(disk, endpoint, "fail", tmp_path / "1", stack)
            disk.fail("sync", IO_ERROR)
            assert summary(await client.send(order("unsure"))) == MAY_HAVE_RUN
            disk = disk.kill()
            client, _ = await client_with_store(disk, endpoint, "fail", tmp_path / "2", stack)
            first = summary(await client.send(order("unsure")))
            assert summary(await client.send(order("sure"))) == SERVED
            disk = disk.lose_power()
            client, _ = await client_with_store(disk, endpoint, "fail", tmp_path / "3", stack)
            assert summary(await client.send(order("sure"))) == FROM_RECORD
            again = summary(await client.send(order("unsure")))
            assert again == (MAY_HAVE_RUN if first == MAY_HAVE_RUN else FROM_RECORD)
            assert ran(endpoint).count("sure") == 1 and ran(endpoint).count("unsure") <= 1

    run(main())


def test_a_kill_at_every_byte_that_the_record_writes_lets_no_order_run_twice(tmp_path: Path) -> None:
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
                reply = await client.send(order(name))
                disk.mark(reply.outcome.value, name)
        seen = 0
        for before, broken in cuts(disk.journal):
            state = recovered_state(broken)
            served, refused = marks(before, "served"), marks(before, "refused")
            for name in marks(before, "sent"):
                record = state.get(store_key("pay", name.encode()))
                if name in served:
                    assert record is not None and isinstance(decode_record(record), ResponseRecord)
                elif name not in refused and not name.startswith("refused"):
                    assert record is not None, "it may have run, and its repeat hears so"
            seen += 1
        assert seen > 1_000 and len(marks(disk.journal, "served")) == 5

    run(main())


# --- The outbox ----------------------------------------------------------------------------

MOST = 64 << 20


@pytest.fixture
def short_ahead(monkeypatch: pytest.MonkeyPatch) -> None:
    """A log whose every byte can be cut in a moment: few zeros ahead of its end."""
    monkeypatch.setattr(
        "laurelstep.outbox.queue_store.StoreOptions", functools.partial(StoreOptions, preallocated_bytes=64)
    )
    monkeypatch.setattr(
        embedded, "OPTIONS", replace(embedded.OPTIONS, preallocated_bytes=64, segment_bytes=1_000)
    )


@contextlib.asynccontextmanager
async def kept_store(disk: SimulatedDisk, machine: Machine | None = None) -> AsyncIterator[QueueStore]:
    store = await QueueStore.open(disk, MOST, clocks=(machine or Machine()).clocks())
    try:
        yield store
    finally:
        await store.close()


@pytest.mark.parametrize("operations", [WRITING, SYNCING], ids=["at writes", "at syncs"])
@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
def test_an_outbox_on_a_disk_that_fails_for_a_while(error: OSError, operations: tuple[str, ...]) -> None:
    """What was kept stays owed, what was refused is told so, and what comes after is kept again."""

    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with kept_store(disk, machine) as store:
            await store.load()
            kept = [write_with_body(1, 100), write_with_body(2, 200_000)]
            for one in kept:
                await store.put_write(*one)
            await store.put_state(StateChange(kept[0][0].write_id, WriteState.OUT))
            disk.fail_always(error, *operations)
            for n in (3, 4):
                with pytest.raises(FailedToKeepError):
                    await store.put_write(*write_with_body(n, 200_000))
                with pytest.raises(StoreError):
                    await store.put_state(StateChange(kept[0][0].write_id, WriteState.DONE))
                assert not await store.delete_write(kept[1][0].write_id, kept[1][0].size)
                machine.monotonic_s += MAX_BACKOFF_S / 3
            during = disk.kill()
            disk.clear_errors()
            machine.monotonic_s += MAX_BACKOFF_S
            await store.put_write(*write_with_body(5, 70_000))
            kept.append(write_with_body(5, 70_000))
            for one in kept:
                assert await store.read(one[0].write_id) == one
        for after in deaths(disk, 8):
            assert await read_kept(after) == [*kept]
        during.clear_errors()
        found = await read_kept(during)
        assert found[:2] == kept[:2] and all(
            one in (write_with_body(3, 200_000), write_with_body(4, 200_000)) for one in found[2:]
        )
        assert await read_kept(during.lose_power()) == found, "what a life found, the next finds"

    run(main())


async def read_kept(disk: SimulatedDisk) -> list[Any]:
    """As a life finds it, with its body."""
    async with kept_store(disk) as store:
        return [await store.read(one.write_id) for one, _ in (await store.load()).writes]


@pytest.mark.usefixtures("short_ahead")
def test_a_kill_at_every_byte_that_the_outbox_writes_leaves_what_was_told() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with kept_store(disk) as store:
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
        seen = 0
        for before, broken in cuts(disk.journal):
            async with kept_store(broken) as store:
                writes = {one.write_id: moved for one, moved in (await store.load()).writes}
            for write_id in marks(before, "kept"):
                if write_id in marks(before, "forgotten"):
                    assert write_id not in writes
                elif write_id not in marks(before, "forgetting"):
                    assert write_id in writes
                if write_id in writes and write_id in marks(before, "OUT"):
                    assert writes[write_id] is not None, (
                        "it was sent, and is not sent as if it never had been"
                    )
                if write_id in writes and write_id in marks(before, "DONE"):
                    moved = writes[write_id]
                    assert moved is not None and moved.state in FINAL
            seen += 1
        assert seen > 800

    run(main())


def test_a_record_is_never_left_without_its_state_as_a_write_is_forgotten() -> None:
    """Else a life that follows takes it for one that was never sent, and sends it again."""

    async def main() -> None:
        disk = SimulatedDisk()
        async with kept_store(disk) as store:
            await store.load()
            write, body = write_with_body(1, 10)
            await store.put_write(write, body)
            await store.put_state(StateChange(write.write_id, WriteState.DONE))
            writer = store.store.writer
            writer.options = replace(writer.options, batch_records=1)  # each change by itself
            begun = len(disk.journal)
            assert await store.delete_write(write.write_id, 0)
            calls = disk.journal
        for end in range(begun, len(calls)):
            async with kept_store(SimulatedDisk.replay(calls[:end]).lose_power(keeps_all=True)) as store:
                for _, moved in (await store.load()).writes:
                    assert moved is not None and moved.state is WriteState.DONE

    run(main())


# --- The consensus state ---------------------------------------------------------------------


def step(n: int) -> Mapping[bytes, bytes | None]:
    """What one step of the core changes: a promise, and two entries."""
    gone: dict[bytes, bytes | None] = {b"e%d" % (n - 3): None} if n > 3 else {}
    return {b"vote": b"%d" % n, b"e%d" % n: b"x" * n, **gone}


def after_step(n: int) -> dict[bytes, bytes]:
    found: dict[bytes, bytes | None] = {}
    for one in range(1, n + 1):
        found.update(step(one))
    return {key: value for key, value in found.items() if value is not None}


async def state_found(disk: SimulatedDisk) -> dict[bytes, bytes]:
    store = await EmbeddedStore.open(disk)
    try:
        return await store.load()
    finally:
        await store.close()


@pytest.mark.parametrize("operations", [WRITING, SYNCING], ids=["at writes", "at syncs"])
@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
def test_the_consensus_state_of_a_disk_that_fails_is_whole_steps(
    error: OSError, operations: tuple[str, ...]
) -> None:
    """The step that was acknowledged last, or the one after it; what a life found stays so."""

    async def main() -> None:
        disk, acknowledged = SimulatedDisk(), 0
        for life in range(5):
            store = await EmbeddedStore.open(disk)
            found = await store.load()
            acknowledged = max(n for n in (acknowledged, acknowledged + 1) if after_step(n) == found)
            for _ in range(3):
                acknowledged += 1
                await store.write(step(acknowledged))
            disk.fail_always(error, *operations)
            with pytest.raises(StateFaultError):
                await store.write(step(acknowledged + 1))
            with pytest.raises(StateFaultError):
                await store.write(step(acknowledged + 2))
            found_next = [*deaths(disk, life)]
            await store.close()
            for after in found_next:
                after.clear_errors()
                first = await state_found(after)
                assert first in (after_step(acknowledged), after_step(acknowledged + 1))
                assert await state_found(after.lose_power()) == first
            disk = found_next[life % len(found_next)]

    run(main())


@pytest.mark.usefixtures("short_ahead")
def test_a_kill_at_every_byte_that_the_consensus_state_writes_leaves_whole_steps() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        store = await EmbeddedStore.open(disk)
        for n in range(1, 12):
            await store.write(step(n))
            disk.mark("acknowledged", n)
        await store.close()
        seen = 0
        for before, broken in cuts(disk.journal):
            n = max(marks(before, "acknowledged"), default=0)
            assert await state_found(broken) in (after_step(n), after_step(n + 1))
            seen += 1
        assert seen > 800

    run(main())


class Reopened:
    """A node on a simulated disk, whose store is opened anew as often as it is asked for."""

    def __init__(self) -> None:
        self.disk = SimulatedDisk()
        self.bench = NodeHarness()
        self.bench.node.open_store = self.open
        self.opened = 0

    async def open(self) -> StateStore:
        self.opened += 1
        return await EmbeddedStore.open(self.disk)

    async def settle(self) -> None:
        """Until nothing of the node is under way."""
        node = self.bench.node
        while node._tasks or (node.runner is not None and node.runner.is_busy):
            await asyncio.sleep(0)
        await run_ready_callbacks()

    async def wait(self, us: int) -> None:
        self.bench.clock.advance(us)
        await self.settle()


@pytest.mark.parametrize("operations", [WRITING, SYNCING], ids=["at writes", "at syncs"])
@pytest.mark.parametrize("error", FAULTS, ids=["ENOSPC", "EIO"])
def test_a_node_takes_part_again_by_itself_once_its_disk_is_good(
    error: OSError, operations: tuple[str, ...]
) -> None:
    async def main() -> None:
        world = Reopened()
        bench, node = world.bench, world.bench.node
        await node.start()
        await world.settle()
        bench.core.answers["receive"] = StepEffects(
            persist={b"vote": b"1"}, outgoing=SEND_AND_NOTIFY.outgoing
        )
        bench.receive(b"x")
        await world.settle()
        assert (1, b"said") in bench.take_delivered(), "acknowledged"
        world.disk.fail_always(error, *operations)
        bench.core.answers["receive"] = StepEffects(
            persist={b"vote": b"2"}, outgoing=SEND_AND_NOTIFY.outgoing
        )
        bench.receive(b"x")
        await world.settle()
        assert node.stage is NodeStage.FAILED and not bench.take_delivered(), "what is not kept is not said"
        for _ in range(4):
            await world.wait(MAX_REOPEN_DELAY_US)
        assert node.stage is NodeStage.FAILED and world.opened > 3
        assert len(bench.log_lines) == 1 and StateFaultError.remedy in bench.log_lines[0]
        world.disk.clear_errors()
        await world.wait(MAX_REOPEN_DELAY_US)
        assert node.is_running and node.status()["stage"] == "takes part" and not node.failure
        assert bench.core.records[b"vote"] in (b"1", b"2"), "what was acknowledged is still owed"
        assert bench.log_lines[1:] == ["accord: the disk accepts writes again; this process takes part"]
        await node.close()

    run(main())


def test_a_node_that_waits_for_its_disk_gives_up_its_part_to_a_successor() -> None:
    async def main() -> None:
        world = Reopened()
        bench, node = world.bench, world.bench.node
        await node.start()
        await world.settle()
        world.disk.fail_always(IO_ERROR, "sync")
        bench.core.answers["receive"] = StepEffects(persist={b"vote": b"2"})
        bench.receive(b"x")
        await world.settle()
        assert await node.retire() == {} and node.stage is NodeStage.RETIRED
        opened_before = world.opened
        await world.wait(10 * MIN_REOPEN_DELAY_US)
        assert world.opened == opened_before and not world.disk.owners, "folder and address are another's"
        assert 0 not in bench.network.open_links
        world.disk.clear_errors()
        await node.restart()
        await world.settle()
        assert node.is_running and not node.failure
        await node.close()

    run(main())


def test_what_ends_a_nodes_part_for_good_is_logged_also_while_it_waits_for_its_disk() -> None:
    async def damaged() -> StateStore:
        raise StoreError("damaged at byte 7")

    async def main() -> None:
        world = Reopened()
        bench, node = world.bench, world.bench.node
        await node.start()
        await world.settle()
        world.disk.fail_always(IO_ERROR, "sync")
        bench.core.answers["receive"] = StepEffects(persist={b"vote": b"2"})
        bench.receive(b"x")
        await world.settle()
        await world.wait(MAX_REOPEN_DELAY_US)
        assert len(bench.log_lines) == 1, "the disk's fault is said once"
        node.open_store = damaged
        await world.wait(MAX_REOPEN_DELAY_US)
        assert (
            node.stage is NodeStage.FAILED and len(bench.log_lines) == 2 and "damaged" in bench.log_lines[1]
        )
        opened_before = world.opened
        await world.wait(10 * MAX_REOPEN_DELAY_US)
        assert world.opened == opened_before and len(bench.log_lines) == 2
        await node.close()

    run(main())
