"""The store: reported writes are kept, reads return only what was written, and damage is reported."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import random
import subprocess
import sys
import tracemalloc
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from laurelstep.store import (
    FolderDisk,
    LogError,
    Store,
    StoreError,
    StoreOptions,
    StoreUnavailableError,
)
from laurelstep.store.cli import main as run_command
from laurelstep.store.index import unpack_location
from laurelstep.store.log_format import (
    FRAME_HEADER,
    FRAME_MAGIC,
    SEGMENT_HEADER_BYTES,
    encode_frame,
    encode_record,
    encode_segment_header,
    read_frame,
    record_headers,
)
from laurelstep.store.manifest import MANIFEST, encode_manifest, segment_name
from laurelstep.store.numbered_keys import NumberedKeyMap
from laurelstep.store.recovery import inspect_folder, read_store, recover_store
from laurelstep.testing.disk import Op, SimulatedDisk

from tests.once import once
from tests.stores import SMALL, Machine, State, log_lines, open_store, recovered_state

pytestmark = once

FULL_DISK = OSError(errno.ENOSPC, "No space left on device")
BROKEN_DISK = OSError(errno.EIO, "Input/output error")


def run(test: Any) -> None:
    asyncio.run(test)


# --- Crashes at every call and byte ------------------------------------------------------


async def run_workload(disk: SimulatedDisk) -> None:
    """Single writes, batches, overwrites, deletions, new segments and two compactions."""

    async def write(store: Store, *changes: tuple[bytes, bytes | None]) -> None:
        disk.mark("begin", changes)
        await asyncio.gather(
            *(store.delete(key) if value is None else store.put(key, value) for key, value in changes)
        )
        disk.mark("reported")

    async with open_store(disk) as store:
        for n in range(5):
            await write(store, (b"a%d" % (n % 3), b"value %d" % n))
        await write(store, (b"b0", b"x" * 30), (b"b1", b""), (b"a0", None))
        await write(store, (b"magic", FRAME_MAGIC * 3), (b"a1", None))
        disk.mark("begin", ())
        await store.compact()
        disk.mark("reported")
        await write(store, (b"a0", b"again"), (b"b1", b"y" * 20))
        await write(store, (b"b0", None))
        disk.mark("begin", ())
        await store.compact()
        disk.mark("reported")
        await write(store, (b"last", b"one"))


def apply_changes(state: State, changes: tuple[tuple[bytes, bytes | None], ...]) -> State:
    result = dict(state)
    for key, value in changes:
        if value is None:
            result.pop(key, None)
        else:
            result[key] = value
    return result


def crash_points(calls: list[Op]) -> Iterator[tuple[list[Op], State, State]]:
    """Yield each prefix of the calls, with the last reported state and the one being written."""
    old: State = {}
    new: State = {}
    for index, op in enumerate(calls):
        match op:
            case ("mark", "begin", changes):
                new = apply_changes(old, changes)
            case ("mark", "reported"):
                old = new
            case _:
                yield calls[: index + 1], old, new
    yield calls, old, new


@pytest.fixture(scope="module")
def calls() -> list[Op]:
    disk = SimulatedDisk()
    run(run_workload(disk))
    assert sum(op[0] == "rename" for op in disk.journal) >= 5, "manifest replaced by rolls and compactions"
    return disk.journal


def test_power_loss_at_any_call_recovers_the_old_or_the_new_state(calls: list[Op]) -> None:
    checked = 0
    for index, (prefix, old, new) in enumerate(crash_points(calls)):
        disk = SimulatedDisk.replay(prefix)
        rng = random.Random(index)
        remains = [disk.lose_power(), disk.lose_power(keeps_all=True)]
        remains += [disk.lose_power(rng) for _ in range(12)]
        for remaining in remains:
            assert recovered_state(remaining) in (old, new)
            checked += 1
    assert checked > 500


def test_a_write_cut_at_any_byte_recovers_the_old_or_the_new_state(calls: list[Op]) -> None:
    checked = 0
    for prefix, old, new in crash_points(calls):
        name, *args = prefix[-1]
        if name not in ("write", "create"):
            continue
        data = args[-1]
        for size in range(len(data)):
            disk = SimulatedDisk.replay(prefix[:-1])
            if name == "write":
                disk.write(args[0], args[1], data[:size])
            else:
                disk.create(args[0], data[:size])
            assert recovered_state(disk.lose_power(keeps_all=True)) in (old, new), (name, args[0], size)
            checked += 1
    assert checked > 2_000


def test_zeros_and_garbage_after_the_end_are_not_damage(calls: list[Op]) -> None:
    for tail in (bytes(5000), b"\xff" * 100, FRAME_MAGIC * 10, random.Random(1).randbytes(3000)):
        disk = SimulatedDisk.replay(calls)
        state = recovered_state(SimulatedDisk.replay(calls))
        last = recover_store(SimulatedDisk.replay(calls), 1).manifest.segments[-1]
        disk.names[segment_name(last.number)].durable += tail
        assert recovered_state(disk) == state


def test_any_flipped_byte_is_reported_or_harmless(calls: list[Op]) -> None:
    state = recovered_state(SimulatedDisk.replay(calls))
    reported = harmless = 0
    original = SimulatedDisk.replay(calls)
    for name, inode in original.names.items():
        for offset in range(len(inode.contents())):
            for bits in (0x01, 0x80, 0xFF):
                disk = SimulatedDisk.replay(calls).lose_power(keeps_all=True)
                disk.names[name].durable[offset] ^= bits
                try:
                    assert recovered_state(disk) == state, (name, offset)
                    harmless += 1
                except LogError:
                    reported += 1
    recovered = recover_store(SimulatedDisk.replay(calls), 1)
    after_tail = recovered.allocated_bytes - recovered.tail
    assert harmless == 3 * after_tail, "flips in the last commit frame and the zeros after it"
    assert reported > 1_000


def test_a_garbage_length_in_the_middle_is_reported(calls: list[Op]) -> None:
    disk = SimulatedDisk.replay(calls).lose_power(keeps_all=True)
    manifest = inspect_folder(disk).manifest
    assert manifest is not None
    data = disk.names[segment_name(manifest.segments[-1].number)].durable
    FRAME_HEADER.pack_into(data, SEGMENT_HEADER_BYTES, FRAME_MAGIC, 0, 0xFFFFFFFF, 1, 1)
    with pytest.raises(LogError, match=f"damaged at byte {SEGMENT_HEADER_BYTES}"):
        recovered_state(disk)


def test_a_missing_segment_or_manifest_is_reported(calls: list[Op]) -> None:
    for number in [entry.number for entry in inspect_folder(SimulatedDisk.replay(calls)).manifest.segments]:  # type: ignore[union-attr]
        disk = SimulatedDisk.replay(calls)
        del disk.names[segment_name(number)]
        with pytest.raises(LogError, match="is missing"):
            recovered_state(disk)
    disk = SimulatedDisk.replay(calls)
    del disk.names[MANIFEST]
    with pytest.raises(LogError, match="MANIFEST is missing"):
        recovered_state(disk)


def test_two_swapped_segments_are_reported(calls: list[Op]) -> None:
    disk = SimulatedDisk.replay(calls)
    manifest = inspect_folder(disk).manifest
    assert manifest is not None
    first, second = (segment_name(segment.number) for segment in manifest.segments[:2])
    disk.names[first], disk.names[second] = disk.names[second], disk.names[first]
    with pytest.raises(LogError, match="the header is that of segment"):
        recovered_state(disk)


# --- Formats -----------------------------------------------------------------------------


def test_an_unknown_format_is_rejected_by_its_number(calls: list[Op]) -> None:
    disk = SimulatedDisk.replay(calls)
    manifest = inspect_folder(disk).manifest
    assert manifest is not None
    from google_crc32c import value

    line = encode_manifest(manifest).partition(b"\n")[0].replace(b'"format": 1', b'"format": 9')
    disk.create(MANIFEST, line + b"\n%08x\n" % value(line))
    with pytest.raises(LogError, match="format 9 is unknown"):
        recovered_state(disk)


def test_a_frame_inside_a_value_is_not_read_as_a_frame() -> None:
    inner = encode_frame(5, [encode_record(1, b"k", b"v")], 1)
    data = encode_segment_header(1, 6) + encode_frame(6, [encode_record(2, b"k", inner)], 2)
    offset = data.find(inner)
    assert read_frame(data, offset, 6) is None, "its checksum has another segment's salt"
    frame = read_frame(data, SEGMENT_HEADER_BYTES, 6)
    assert frame is not None and [header.key for header in record_headers(data, frame)] == [b"k"]


@pytest.mark.parametrize(("key", "value"), [(b"", b""), (b"k" * 1025, b""), (b"k", b"v" * (2**20 + 1))])
def test_an_invalid_record_raises_and_is_not_written(key: bytes, value: bytes) -> None:
    async def main() -> None:
        async with open_store(SimulatedDisk()) as store:
            with pytest.raises(ValueError, match="invalid record"):
                await store.put(key, value)
            assert store.stats().writes == 0 and len(store) == 0

    run(main())


# --- Reading and writing -----------------------------------------------------------------


def test_concurrent_writes_share_batches(tmp_path: Path) -> None:
    async def main() -> None:
        async with open_store(FolderDisk(tmp_path), StoreOptions()) as store:
            await asyncio.gather(*(store.put(b"k%d" % n, b"v%d" % n) for n in range(200)))
            assert store.stats().batches < 5 and store.stats().writes == 200
            assert await store.get(b"k7") == b"v7" and await store.get(b"none") is None
            await store.delete(b"k7")
            assert await store.get(b"k7") is None and b"k8" in store
        async with open_store(FolderDisk(tmp_path), StoreOptions()) as store:
            assert len(store) == 199 and await store.get(b"k199") == b"v199"

    run(main())


def test_a_folder_is_open_in_one_store_at_a_time(tmp_path: Path) -> None:
    async def main() -> None:
        async with open_store(FolderDisk(tmp_path)):
            with pytest.raises(StoreError, match="another process has this store open"):
                await Store.open(FolderDisk(tmp_path))
        async with open_store(FolderDisk(tmp_path)):
            pass

    run(main())


def test_a_value_longer_than_the_first_read_is_read_completely(tmp_path: Path) -> None:
    async def main() -> None:
        async with open_store(FolderDisk(tmp_path), StoreOptions()) as store:
            await store.put(b"big", b"z" * 300_000)
            assert await store.get(b"big") == b"z" * 300_000

    run(main())


def test_expired_records_are_not_read_and_compaction_removes_them() -> None:
    async def main() -> None:
        machine = Machine()
        async with open_store(SimulatedDisk(), machine=machine) as store:
            await store.put(b"short", b"s", ttl_ms=10)
            await store.put(b"long", b"l", ttl_ms=10_000)
            assert await store.get(b"short") == b"s"
            machine.monotonic_s += 0.01
            assert await store.get(b"short") is None and await store.get(b"long") == b"l"
            await store.compact()
            assert len(store) == 1 and await store.get(b"long") == b"l"
            machine.wall_ms -= 1_000  # stepping the wall clock back does not bring expired records back
            assert await store.get(b"short") is None and await store.get(b"long") == b"l"

    run(main())


def test_compaction_runs_in_the_background_during_writes() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with open_store(disk, StoreOptions(segment_bytes=20_000, batch_records=50)) as store:
            for n in range(4_000):
                await store.put(b"k%d" % (n % 40), b"v%d" % n)
            while store.compactor.task is not None:
                await asyncio.wait((store.compactor.task,))
            assert store.stats().compactions >= 1 and store.size < 100_000
            for n in range(40):
                assert await store.get(b"k%d" % n) == b"v%d" % (3_960 + n)
        assert recovered_state(disk) == {b"k%d" % n: b"v%d" % (3_960 + n) for n in range(40)}

    run(main())


def test_reads_succeed_while_compaction_moves_their_records() -> None:
    async def main() -> None:
        async with open_store(SimulatedDisk()) as store:
            for n in range(40):
                await store.put(b"k%d" % n, b"v")
            reads = [asyncio.create_task(store.get(b"k%d" % (n % 40))) for n in range(200)]
            await store.compact()
            assert set(await asyncio.gather(*reads)) == {b"v"}

    run(main())


# --- Disk faults -------------------------------------------------------------------------


def test_a_failed_commit_frame_keeps_its_batch_and_ends_the_segment() -> None:
    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with open_store(disk, StoreOptions(), machine) as store:
            await store.put(b"first", b"1")
            write_to_disk = disk.write

            def write(name: str, offset: int, data: bytes) -> None:
                if len(data) == FRAME_HEADER.size:
                    raise FULL_DISK
                write_to_disk(name, offset, data)

            vars(disk)["write"] = write
            await store.put(b"second", b"2")
            vars(disk)["write"] = write_to_disk
            assert not store.stats().available and len(log_lines(store)) == 1
            machine.monotonic_s += 1.0
            await store.put(b"third", b"3")
        assert len(recovered_state(disk.lose_power())) == 3

    run(main())


@pytest.mark.parametrize(("operation", "error"), [("write", FULL_DISK), ("sync", BROKEN_DISK)])
def test_a_disk_fault_is_logged_once_and_fails_writes(operation: str, error: OSError) -> None:
    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with open_store(disk, StoreOptions(), machine) as store:
            await store.put(b"good", b"1")
            disk.fail(operation, error)
            for n in range(5):
                with pytest.raises(StoreUnavailableError):
                    await store.put(b"bad%d" % n, b"2")
            assert len(log_lines(store)) == 1 and not store.stats().available
            assert await store.get(b"good") == b"1" and await store.get(b"bad0") is None
            before = len(disk.journal)
            machine.monotonic_s += 1.0
            await store.put(b"after", b"3")
            assert log_lines(store)[1:] == ["store: writes again, in a new segment"]
            written = [op[1] for op in disk.journal[before:] if op[0] == "write"]
            assert segment_name(1) not in written, "nothing is written to the failed segment any more"
            assert await store.get(b"after") == b"3" and store.stats().available
        assert recovered_state(disk.lose_power()) == {b"good": b"1", b"after": b"3"}

    run(main())


def test_a_disk_that_keeps_failing_is_retried_with_backoff() -> None:
    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with open_store(disk, StoreOptions(), machine) as store:
            disk.fail("sync", BROKEN_DISK)
            disk.fail("create", *[FULL_DISK] * 3)
            waits = []
            for _ in range(4):
                with pytest.raises(StoreUnavailableError):
                    await store.put(b"k", b"v")
                waits.append(store.availability.retry_at - machine.monotonic_s)
                machine.monotonic_s = store.availability.retry_at
            assert waits == [1.0, 2.0, 4.0, 8.0] and len(log_lines(store)) == 1
            await store.put(b"k", b"v")
            assert await store.get(b"k") == b"v"

    run(main())


def test_a_disk_fault_fails_all_queued_writes() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with open_store(disk, StoreOptions(batch_records=2)) as store:
            disk.fail("sync", BROKEN_DISK)
            results = await asyncio.gather(
                *(store.put(b"k%d" % n, b"v") for n in range(10)), return_exceptions=True
            )
            assert all(isinstance(result, StoreUnavailableError) for result in results)
            assert len(store) == 0 and not store.writer.queue

    run(main())


def test_a_full_store_logs_once_and_writes_again_after_compaction() -> None:
    async def main() -> None:
        async with open_store(SimulatedDisk(), StoreOptions(max_bytes=4_000, segment_bytes=1_000)) as store:

            async def is_refused(key: bytes) -> bool:
                try:
                    await store.put(key, b"x" * 100)
                except StoreUnavailableError:
                    while store.compactor.task is not None:
                        await asyncio.wait((store.compactor.task,))
                    return True
                return False

            refusals = [await is_refused(b"k%d" % (n % 4)) for n in range(200)].count(True)
            assert 0 < refusals < 30 and store.stats().compactions == refusals == len(log_lines(store))
            n = 0
            while not (await is_refused(b"%06d" % n) and await is_refused(b"%06d" % n)):
                n += 1  # until compaction can free nothing, as no record is garbage
            before = len(log_lines(store))
            assert all([await is_refused(b"%06d" % number) for number in range(n + 1, n + 21)])
            assert not store.stats().available and store.size <= 4_000
            assert len(log_lines(store)) == before, "logged once"

    run(main())


def test_a_failed_compaction_changes_nothing() -> None:
    async def main() -> None:
        for operation in ("create", "write", "sync", "rename"):
            disk = SimulatedDisk()
            async with open_store(disk) as store:
                for n in range(20):
                    await store.put(b"k%d" % (n % 5), b"v%d" % n)
                await store.compact()
                await store.put(b"k0", b"new")
                await store.segments.roll()
                disk.fail(operation, BROKEN_DISK)
                with pytest.raises(OSError, match="Input/output error"):
                    await store.compactor.compact_sealed()
                assert await store.get(b"k0") == b"new" and await store.get(b"k4") == b"v19"
                await store.put(b"k1", b"after")
            state = recovered_state(disk.lose_power())
            assert state[b"k0"] == b"new" and state[b"k1"] == b"after" and len(state) == 5

    run(main())


def test_a_cancelled_write_does_not_affect_the_others() -> None:
    async def main() -> None:
        async with open_store(SimulatedDisk(), StoreOptions()) as store:
            tasks = [store.put(b"k%d" % n, b"v") for n in range(5)]
            await asyncio.sleep(0)
            tasks[2].cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            assert [type(result) for result in results].count(type(None)) == 4
            assert await store.get(b"k4") == b"v"

    run(main())


def test_close_completes_queued_writes_and_rejects_later_ones() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with open_store(disk) as store:
            tasks = [store.put(b"k%d" % n, b"v") for n in range(9)]
            await asyncio.sleep(0)
            await store.close()
            await asyncio.gather(*tasks)
            with pytest.raises(StoreUnavailableError, match="closed"):
                await store.put(b"late", b"v")
            await store.close()
        assert len(recovered_state(disk.lose_power())) == 9

    run(main())


def test_a_killed_process_loses_no_reported_write(tmp_path: Path) -> None:
    code = (
        "import asyncio, sys\n"
        "from laurelstep.store import FolderDisk, StoreOptions, Store\n"
        "async def main():\n"
        "    store = await Store.open(FolderDisk(sys.argv[1]), StoreOptions(segment_bytes=3000))\n"
        "    n = len(store)\n"
        "    while True:\n"
        "        await store.put(b'k%d' % n, b'v%d' % n)\n"
        "        print(n, flush=True)\n"
        "        n += 1\n"
        "asyncio.run(main())\n"
    )
    reported = 0
    for stop in (3, 20, 57):
        command = [sys.executable, "-c", code, str(tmp_path)]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            assert process.stdout is not None
            for line in process.stdout:
                reported = int(line)
                if reported >= stop:
                    process.kill()
                    break
            reported = max([reported, *(int(line) for line in process.stdout if line.endswith("\n"))])

        async def main(highest: int = reported) -> None:
            async with open_store(FolderDisk(tmp_path)) as store:
                assert len(store) > highest
                for n in range(highest + 1):
                    assert await store.get(b"k%d" % n) == b"v%d" % n

        run(main())


def test_verifying_writes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        async with open_store(FolderDisk(tmp_path)) as store:
            for n in range(30):
                await store.put(b"k%d" % n, b"v")

    run(main())
    (tmp_path / "0000000099.seg").write_bytes(b"left over")
    before = {it.name: (it.stat().st_mtime_ns, it.stat().st_size) for it in tmp_path.iterdir()}
    disk = FolderDisk(tmp_path, write=False)
    contents = inspect_folder(disk)
    assert contents.manifest is not None and contents.leftover == ("0000000099.seg",)
    assert len(read_store(disk, contents.manifest).index) == 30
    disk.close()
    assert before == {it.name: (it.stat().st_mtime_ns, it.stat().st_size) for it in tmp_path.iterdir()}


def test_the_command_verifies_dumps_and_compacts(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    async def main() -> None:
        async with open_store(FolderDisk(tmp_path), StoreOptions(segment_bytes=500)) as store:
            for n in range(40):
                await store.put(b"k%d" % (n % 4), b"v%d" % n)
            assert run_command(["verify", str(tmp_path)]) == 0
            assert "in use" in capfd.readouterr().err
            assert await asyncio.to_thread(run_command, ["compact", str(tmp_path)]) == 2

    run(main())
    capfd.readouterr()
    assert run_command(["verify", str(tmp_path)]) == 0
    assert capfd.readouterr().out.startswith("ok: 4 keys in ")
    assert run_command(["stats", str(tmp_path)]) == 0
    before = json.loads(capfd.readouterr().out)
    # The clock checkpoint in the first batch takes a sequence number.
    assert (before["keys"], before["records"], before["highest_seq"]) == (4, 40, 41)
    assert run_command(["compact", str(tmp_path)]) == 0 and run_command(["dump", str(tmp_path)]) == 0
    first, *rows = capfd.readouterr().out.splitlines()
    assert "4 keys" in first and {json.loads(row)["value"] for row in rows} == {"v36", "v37", "v38", "v39"}
    largest = max(tmp_path.glob("*.seg"), key=lambda path: path.stat().st_size)
    data = bytearray(largest.read_bytes())
    data[SEGMENT_HEADER_BYTES + 30] ^= 1
    largest.write_bytes(data)
    assert run_command(["verify", str(tmp_path)]) == 2
    assert "damaged at byte" in capfd.readouterr().err
    assert run_command(["verify", str(tmp_path / "none")]) == 2
    assert not (tmp_path / "none").exists(), "verify never creates a folder"


def test_open_descriptors_are_limited_and_closed(tmp_path: Path) -> None:
    async def main() -> None:
        before = len(os.listdir("/proc/self/fd"))
        async with open_store(FolderDisk(tmp_path), StoreOptions(segment_bytes=200)) as store:
            for n in range(60):
                await store.put(b"k%d" % n, b"v" * 50)
            for n in range(60):
                await store.get(b"k%d" % n)
            assert len(store.segments.manifest.segments) > 20
            assert len(os.listdir("/proc/self/fd")) <= before + 18
        assert len(os.listdir("/proc/self/fd")) <= before

    run(main())


# --- Compared with a dictionary ----------------------------------------------------------

KEYS = st.sampled_from([b"a", b"b", b"c", b"d"])


class StoreModel(RuleBasedStateMachine):
    """Compares the store with a dictionary under writes, compactions, faults, restarts and power losses."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.disk = SimulatedDisk()
        self.machine = Machine()
        self.reported: State = {}
        self.unreported: State = {}  # with the last write that failed, which the next process may find
        self.store: Store | None = None

    def complete(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    @initialize()
    def open(self) -> None:
        async def open_disk() -> Store:
            return await Store.open(self.disk, SMALL, lambda line: None, self.machine.clocks())

        self.store = self.complete(open_disk())

    @rule(changes=st.lists(st.tuples(KEYS, st.none() | st.binary(max_size=40)), min_size=1, max_size=6))
    def write(self, changes: list[tuple[bytes, bytes | None]]) -> None:
        store = self.store
        assert store is not None

        async def write_all() -> None:
            await asyncio.gather(*(store.delete(k) if v is None else store.put(k, v) for k, v in changes))

        self.complete(write_all())
        self.reported = apply_changes(self.reported, tuple(changes))
        self.unreported = self.reported

    @rule()
    def compact(self) -> None:
        assert self.store is not None
        if not self.store.is_failing:
            self.complete(self.store.compact())

    @rule(operation=st.sampled_from(["write", "sync"]), key=KEYS)
    def fault(self, operation: str, key: bytes) -> None:
        assert self.store is not None
        self.disk.fail(operation, BROKEN_DISK)
        with pytest.raises(StoreUnavailableError):
            self.complete(self.put(key))
        self.unreported = {**self.reported, key: b"unsaid"}
        self.machine.monotonic_s += 60.0

    async def put(self, key: bytes) -> None:
        assert self.store is not None
        await self.store.put(key, b"unsaid")

    @rule()
    def restart(self) -> None:
        assert self.store is not None
        self.complete(self.store.close())
        self.reopen()

    @rule(seed=st.integers(0, 1_000))
    def lose_power(self, seed: int) -> None:
        assert self.store is not None
        remaining = self.disk.lose_power(random.Random(seed))
        self.complete(self.store.close())
        self.disk = remaining
        self.reopen()

    def reopen(self) -> None:
        self.open()
        state = self.read()
        assert state in (self.reported, self.unreported)
        self.reported = self.unreported = state

    def read(self) -> State:
        assert self.store is not None
        return {key: self.complete(self.store.get(key)) for key in list(self.store.index.locations)}

    @precondition(lambda self: self.store is not None)
    @invariant()
    def store_equals_dictionary(self) -> None:
        assert self.read() == self.reported

    def teardown(self) -> None:
        if self.store is not None:
            self.complete(self.store.close())
        self.loop.close()


TestStoreModel = StoreModel.TestCase
TestStoreModel.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)


# --- Numbered keys -------------------------------------------------------------------------


def test_numbered_keys_behave_as_in_a_dictionary() -> None:
    rng, index, model = random.Random(7), NumberedKeyMap(b"km"), dict[bytes, int]()
    for step in range(20_000):
        key = rng.choice((b"k", b"m", b"x", b"kk")) + rng.randrange(400).to_bytes(3, "big")
        if rng.random() < 0.6:
            index[key] = model[key] = step + 1
        else:
            assert index.pop(key, None) == model.pop(key, None)
        assert len(index) == len(model) and (key in index) == (key in model)
    assert dict(index.items()) == model
    for key in model:
        del index[key]
    assert not index and not index._pages


def test_a_numbered_key_takes_less_than_20_bytes() -> None:
    index, count = NumberedKeyMap(b"k"), 10_000
    tracemalloc.start()
    try:
        for number in range(1, count + 1):
            index[b"k" + number.to_bytes(16, "big")] = number << 32
        size = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert size / count < 20


def test_scan_reads_each_key_once_in_log_order() -> None:
    async def main() -> None:
        disk, options, machine = SimulatedDisk(), replace(SMALL, numbered_prefixes=b"a"), Machine()
        async with open_store(disk, options, machine) as store:
            for number in range(300):
                key = b"ab"[number % 2 : number % 2 + 1] + number.to_bytes(2, "big")
                await store.put(key, bytes(number * 7))
            await store.put(b"a" + bytes(2), b"again")
            await store.put(b"a" + bytes((0, 2)), b"", 1)
            machine.monotonic_s += 0.001
        async with open_store(disk, options, machine) as store:
            items = [item async for item in store.scan(b"a")]
        numbers = [int.from_bytes(key[1:], "big") for key, _ in items]
        assert numbers == [*range(4, 300, 2), 0] and items[-1][1] == b"again"
        assert all(
            value == bytes(number * 7) for number, (_, value) in zip(numbers, items[:-1], strict=False)
        )

    run(main())


def test_scan_reports_a_damaged_record() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with open_store(disk) as store:
            for number in range(3):
                await store.put(b"a%d" % number, b"value")
            segment, offset = unpack_location(store.index.locations[b"a1"])
            disk.write(segment_name(segment), offset + 30, b"?")
            with pytest.raises(StoreError):
                _ = [item async for item in store.scan(b"a")]

    run(main())
