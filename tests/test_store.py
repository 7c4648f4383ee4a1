"""The store: what was reported is kept, nothing is invented, damage is told."""

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
from laurelstep.store.cli import main as tool
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


# --- Every cut ---------------------------------------------------------------------------


async def course(disk: SimulatedDisk) -> None:
    """Writes one by one and in batches, overwrites, deletions, rolling on, two compactions."""

    async def step(store: Store, *changes: tuple[bytes, bytes | None]) -> None:
        disk.mark("begin", changes)
        await asyncio.gather(
            *(store.delete(key) if value is None else store.put(key, value) for key, value in changes)
        )
        disk.mark("reported")

    async with open_store(disk) as store:
        for n in range(5):
            await step(store, (b"a%d" % (n % 3), b"value %d" % n))
        await step(store, (b"b0", b"x" * 30), (b"b1", b""), (b"a0", None))
        await step(store, (b"magic", FRAME_MAGIC * 3), (b"a1", None))
        disk.mark("begin", ())
        await store.compact()
        disk.mark("reported")
        await step(store, (b"a0", b"again"), (b"b1", b"y" * 20))
        await step(store, (b"b0", None))
        disk.mark("begin", ())
        await store.compact()
        disk.mark("reported")
        await step(store, (b"last", b"one"))


def applied(state: State, changes: tuple[tuple[bytes, bytes | None], ...]) -> State:
    after = dict(state)
    for key, value in changes:
        if value is None:
            after.pop(key, None)
        else:
            after[key] = value
    return after


def moments(journal: list[Op]) -> Iterator[tuple[list[Op], State, State]]:
    """Each prefix of the calls, with the state last reported and the one under way."""
    old: State = {}
    new: State = {}
    for at, op in enumerate(journal):
        match op:
            case ("mark", "begin", changes):
                new = applied(old, changes)
            case ("mark", "reported"):
                old = new
            case _:
                yield journal[: at + 1], old, new
    yield journal, old, new


@pytest.fixture(scope="module")
def journal() -> list[Op]:
    disk = SimulatedDisk()
    run(course(disk))
    assert sum(op[0] == "rename" for op in disk.journal) >= 5, "segments and compactions switched"
    return disk.journal


def test_power_lost_at_any_call_yields_the_old_state_or_the_new(journal: list[Op]) -> None:
    seen = 0
    for at, (prefix, old, new) in enumerate(moments(journal)):
        disk = SimulatedDisk.replay(prefix)
        draw = random.Random(at)
        after = [disk.lose_power(), disk.lose_power(keeps_all=True)]
        after += [disk.lose_power(draw) for _ in range(12)]
        for one in after:
            assert recovered_state(one) in (old, new)
            seen += 1
    assert seen > 500


def test_a_file_cut_at_every_byte_yields_the_old_state_or_the_new(journal: list[Op]) -> None:
    seen = 0
    for prefix, old, new in moments(journal):
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
            seen += 1
    assert seen > 2_000


def test_zeros_and_garbage_behind_the_end_are_no_damage(journal: list[Op]) -> None:
    for tail in (bytes(5000), b"\xff" * 100, FRAME_MAGIC * 10, random.Random(1).randbytes(3000)):
        disk = SimulatedDisk.replay(journal)
        state = recovered_state(SimulatedDisk.replay(journal))
        last = recover_store(SimulatedDisk.replay(journal), 1).manifest.segments[-1]
        disk.names[segment_name(last.number)].durable += tail
        assert recovered_state(disk) == state


def test_a_flip_of_any_byte_is_told_or_harmless(journal: list[Op]) -> None:
    state = recovered_state(SimulatedDisk.replay(journal))
    told = harmless = 0
    whole = SimulatedDisk.replay(journal)
    for name, inode in whole.names.items():
        for at in range(len(inode.contents())):
            for bits in (0x01, 0x80, 0xFF):
                disk = SimulatedDisk.replay(journal).lose_power(keeps_all=True)
                disk.names[name].durable[at] ^= bits
                try:
                    assert recovered_state(disk) == state, (name, at)
                    harmless += 1
                except LogError:
                    told += 1
    opened_ = recover_store(SimulatedDisk.replay(journal), 1)
    behind = opened_.allocated_bytes - opened_.tail
    assert harmless == 3 * behind, "only the last commit mark, and the zeros behind it, say nothing"
    assert told > 1_000


def test_a_garbage_length_in_the_middle_is_told(journal: list[Op]) -> None:
    disk = SimulatedDisk.replay(journal).lose_power(keeps_all=True)
    last = inspect_folder(disk).manifest
    assert last is not None
    data = disk.names[segment_name(last.segments[-1].number)].durable
    FRAME_HEADER.pack_into(data, SEGMENT_HEADER_BYTES, FRAME_MAGIC, 0, 0xFFFFFFFF, 1, 1)
    with pytest.raises(LogError, match=f"damaged at byte {SEGMENT_HEADER_BYTES}"):
        recovered_state(disk)


def test_a_segment_deleted_by_hand_is_told(journal: list[Op]) -> None:
    for number in [one.number for one in inspect_folder(SimulatedDisk.replay(journal)).manifest.segments]:  # type: ignore[union-attr]
        disk = SimulatedDisk.replay(journal)
        del disk.names[segment_name(number)]
        with pytest.raises(LogError, match="is missing"):
            recovered_state(disk)
    disk = SimulatedDisk.replay(journal)
    del disk.names[MANIFEST]
    with pytest.raises(LogError, match="MANIFEST is missing"):
        recovered_state(disk)


def test_two_segments_changed_over_are_told(journal: list[Op]) -> None:
    disk = SimulatedDisk.replay(journal)
    found = inspect_folder(disk).manifest
    assert found is not None
    first, second = (segment_name(one.number) for one in found.segments[:2])
    disk.names[first], disk.names[second] = disk.names[second], disk.names[first]
    with pytest.raises(LogError, match="its head is that of segment"):
        recovered_state(disk)


# --- Formats -----------------------------------------------------------------------------


def test_an_unknown_format_is_refused_by_its_name(journal: list[Op]) -> None:
    disk = SimulatedDisk.replay(journal)
    found = inspect_folder(disk).manifest
    assert found is not None
    from google_crc32c import value

    line = encode_manifest(found).partition(b"\n")[0].replace(b'"format": 1', b'"format": 9')
    disk.create(MANIFEST, line + b"\n%08x\n" % value(line))
    with pytest.raises(LogError, match="format 9 is unknown"):
        recovered_state(disk)


def test_a_frame_within_a_value_is_no_frame() -> None:
    inner = encode_frame(5, [encode_record(1, b"k", b"v")], 1)
    data = encode_segment_header(1, 6) + encode_frame(6, [encode_record(2, b"k", inner)], 2)
    at = data.find(inner)
    assert read_frame(data, at, 6) is None, "it is salted with another segment's"
    frame = read_frame(data, SEGMENT_HEADER_BYTES, 6)
    assert frame is not None and [one.key for one in record_headers(data, frame)] == [b"k"]


@pytest.mark.parametrize(("key", "value"), [(b"", b""), (b"k" * 1025, b""), (b"k", b"v" * (2**20 + 1))])
def test_a_record_too_long_is_an_error_and_nothing_is_written(key: bytes, value: bytes) -> None:
    async def main() -> None:
        async with open_store(SimulatedDisk()) as store:
            with pytest.raises(ValueError, match="no record"):
                await store.put(key, value)
            assert store.stats().writes == 0 and len(store) == 0

    run(main())


# --- Use ---------------------------------------------------------------------------------


def test_what_waits_together_is_synced_together(tmp_path: Path) -> None:
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


def test_one_owner_at_a_time(tmp_path: Path) -> None:
    async def main() -> None:
        async with open_store(FolderDisk(tmp_path)):
            with pytest.raises(StoreError, match="another process has this store open"):
                await Store.open(FolderDisk(tmp_path))
        async with open_store(FolderDisk(tmp_path)):
            pass

    run(main())


def test_a_value_too_long_for_one_read_is_read_whole(tmp_path: Path) -> None:
    async def main() -> None:
        async with open_store(FolderDisk(tmp_path), StoreOptions()) as store:
            await store.put(b"big", b"z" * 300_000)
            assert await store.get(b"big") == b"z" * 300_000

    run(main())


def test_what_expires_is_not_read_and_goes_with_compaction() -> None:
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
            machine.wall_ms -= 1_000  # the clock is set back: what is gone stays gone
            assert await store.get(b"short") is None and await store.get(b"long") == b"l"

    run(main())


def test_compaction_runs_by_itself_beside_the_writers() -> None:
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


def test_a_read_while_compaction_moves_it() -> None:
    async def main() -> None:
        async with open_store(SimulatedDisk()) as store:
            for n in range(40):
                await store.put(b"k%d" % n, b"v")
            reads = [asyncio.create_task(store.get(b"k%d" % (n % 40))) for n in range(200)]
            await store.compact()
            assert set(await asyncio.gather(*reads)) == {b"v"}

    run(main())


# --- Disks that fail ---------------------------------------------------------------------


def test_a_mark_that_fails_leaves_its_batch_reported_and_ends_the_file() -> None:
    async def main() -> None:
        disk, machine = SimulatedDisk(), Machine()
        async with open_store(disk, StoreOptions(), machine) as store:
            await store.put(b"first", b"1")
            real = disk.write

            def write(name: str, offset: int, data: bytes) -> None:
                if len(data) == FRAME_HEADER.size:
                    raise FULL_DISK
                real(name, offset, data)

            vars(disk)["write"] = write
            await store.put(b"second", b"2")
            vars(disk)["write"] = real
            assert not store.stats().available and len(log_lines(store)) == 1
            machine.monotonic_s += 1.0
            await store.put(b"third", b"3")
        assert len(recovered_state(disk.lose_power())) == 3

    run(main())


@pytest.mark.parametrize(("operation", "error"), [("write", FULL_DISK), ("sync", BROKEN_DISK)])
def test_a_disk_that_fails_is_told_once_and_nothing_is_reported(operation: str, error: OSError) -> None:
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
            assert segment_name(1) not in written, "nothing later goes into that file"
            assert await store.get(b"after") == b"3" and store.stats().available
        assert recovered_state(disk.lose_power()) == {b"good": b"1", b"after": b"3"}

    run(main())


def test_a_disk_that_goes_on_failing_is_asked_less_and_less() -> None:
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


def test_those_that_wait_behind_a_failure_hear_of_it() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with open_store(disk, StoreOptions(batch_records=2)) as store:
            disk.fail("sync", BROKEN_DISK)
            found = await asyncio.gather(
                *(store.put(b"k%d" % n, b"v") for n in range(10)), return_exceptions=True
            )
            assert all(isinstance(one, StoreUnavailableError) for one in found)
            assert len(store) == 0 and not store.writer.queue

    run(main())


def test_a_full_store_says_so_once_and_writes_again_when_compaction_made_room() -> None:
    async def main() -> None:
        async with open_store(SimulatedDisk(), StoreOptions(max_bytes=4_000, segment_bytes=1_000)) as store:

            async def refused(key: bytes) -> bool:
                try:
                    await store.put(key, b"x" * 100)
                except StoreUnavailableError:
                    while store.compactor.task is not None:
                        await asyncio.wait((store.compactor.task,))
                    return True
                return False

            refusals = [await refused(b"k%d" % (n % 4)) for n in range(200)].count(True)
            assert 0 < refusals < 30 and store.stats().compactions == refusals == len(log_lines(store))
            n = 0
            while not (await refused(b"%06d" % n) and await refused(b"%06d" % n)):
                n += 1  # until compaction has nothing more to free: none of this is garbage
            before = len(log_lines(store))
            assert all([await refused(b"%06d" % one) for one in range(n + 1, n + 21)])
            assert not store.stats().available and store.size <= 4_000
            assert len(log_lines(store)) == before, "said once"

    run(main())


def test_a_compaction_that_fails_changes_nothing() -> None:
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


def test_a_writer_that_is_cancelled_leaves_the_others_alone() -> None:
    async def main() -> None:
        async with open_store(SimulatedDisk(), StoreOptions()) as store:
            tasks = [store.put(b"k%d" % n, b"v") for n in range(5)]
            await asyncio.sleep(0)
            tasks[2].cancel()
            found = await asyncio.gather(*tasks, return_exceptions=True)
            assert [type(one) for one in found].count(type(None)) == 4
            assert await store.get(b"k4") == b"v"

    run(main())


def test_a_closed_store_takes_nothing_and_what_waited_is_written() -> None:
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


def test_a_process_that_is_killed_loses_nothing_that_it_had_told(tmp_path: Path) -> None:
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
    told = 0
    for stop in (3, 20, 57):
        words = [sys.executable, "-c", code, str(tmp_path)]
        with subprocess.Popen(words, stdout=subprocess.PIPE, text=True) as process:
            assert process.stdout is not None
            for line in process.stdout:
                told = int(line)
                if told >= stop:
                    process.kill()
                    break
            told = max([told, *(int(line) for line in process.stdout if line.endswith("\n"))])

        async def main(least: int = told) -> None:
            async with open_store(FolderDisk(tmp_path)) as store:
                assert len(store) > least
                for n in range(least + 1):
                    assert await store.get(b"k%d" % n) == b"v%d" % n

        run(main())


def test_verifying_writes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        async with open_store(FolderDisk(tmp_path)) as store:
            for n in range(30):
                await store.put(b"k%d" % n, b"v")

    run(main())
    (tmp_path / "0000000099.seg").write_bytes(b"left over")
    before = {one.name: (one.stat().st_mtime_ns, one.stat().st_size) for one in tmp_path.iterdir()}
    disk = FolderDisk(tmp_path, write=False)
    found = inspect_folder(disk)
    assert found.manifest is not None and found.leftover == ("0000000099.seg",)
    assert len(read_store(disk, found.manifest).index) == 30
    disk.close()
    assert before == {one.name: (one.stat().st_mtime_ns, one.stat().st_size) for one in tmp_path.iterdir()}


def test_the_tool_tells_verifies_and_compacts(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    async def main() -> None:
        async with open_store(FolderDisk(tmp_path), StoreOptions(segment_bytes=500)) as store:
            for n in range(40):
                await store.put(b"k%d" % (n % 4), b"v%d" % n)
            assert tool(["verify", str(tmp_path)]) == 0
            assert "in use" in capfd.readouterr().err
            assert await asyncio.to_thread(tool, ["compact", str(tmp_path)]) == 2

    run(main())
    capfd.readouterr()
    assert tool(["verify", str(tmp_path)]) == 0
    assert capfd.readouterr().out.startswith("ok: 4 keys in ")
    assert tool(["stats", str(tmp_path)]) == 0
    before = json.loads(capfd.readouterr().out)
    # The note of the clocks in the first batch has a sequence number of its own.
    assert (before["keys"], before["records"], before["highest_seq"]) == (4, 40, 41)
    assert tool(["compact", str(tmp_path)]) == 0 and tool(["dump", str(tmp_path)]) == 0
    told, *lines = capfd.readouterr().out.splitlines()
    assert "4 keys" in told and {json.loads(one)["value"] for one in lines} == {"v36", "v37", "v38", "v39"}
    first = max(tmp_path.glob("*.seg"), key=lambda one: one.stat().st_size)
    data = bytearray(first.read_bytes())
    data[SEGMENT_HEADER_BYTES + 30] ^= 1
    first.write_bytes(data)
    assert tool(["verify", str(tmp_path)]) == 2
    assert "damaged at byte" in capfd.readouterr().err
    assert tool(["verify", str(tmp_path / "none")]) == 2
    assert not (tmp_path / "none").exists(), "it never writes"


def test_descriptors_are_bounded_and_given_back(tmp_path: Path) -> None:
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


# --- Against a dictionary ----------------------------------------------------------------

KEYS = st.sampled_from([b"a", b"b", b"c", b"d"])


class AgainstDict(RuleBasedStateMachine):
    """Writes, deletions, compactions, faults, restarts and lost power, and a dictionary."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.disk = SimulatedDisk()
        self.machine = Machine()
        self.model: State = {}
        self.maybe: State = {}  # what was not reported, and may be found by the next life
        self.store: Store | None = None

    def do(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    @initialize()
    def open(self) -> None:
        async def opening() -> Store:
            return await Store.open(self.disk, SMALL, lambda line: None, self.machine.clocks())

        self.store = self.do(opening())

    @rule(changes=st.lists(st.tuples(KEYS, st.none() | st.binary(max_size=40)), min_size=1, max_size=6))
    def write(self, changes: list[tuple[bytes, bytes | None]]) -> None:
        store = self.store
        assert store is not None

        async def all_of_them() -> None:
            await asyncio.gather(*(store.delete(k) if v is None else store.put(k, v) for k, v in changes))

        self.do(all_of_them())
        self.model = applied(self.model, tuple(changes))
        self.maybe = self.model

    @rule()
    def compact(self) -> None:
        assert self.store is not None
        if not self.store.is_failing:
            self.do(self.store.compact())

    @rule(operation=st.sampled_from(["write", "sync"]), key=KEYS)
    def fault(self, operation: str, key: bytes) -> None:
        assert self.store is not None
        self.disk.fail(operation, BROKEN_DISK)
        with pytest.raises(StoreUnavailableError):
            self.do(self.put(key))
        self.maybe = {**self.model, key: b"unsaid"}
        self.machine.monotonic_s += 60.0

    async def put(self, key: bytes) -> None:
        assert self.store is not None
        await self.store.put(key, b"unsaid")

    @rule()
    def restart(self) -> None:
        assert self.store is not None
        self.do(self.store.close())
        self.found()

    @rule(seed=st.integers(0, 1_000))
    def lose_power(self, seed: int) -> None:
        assert self.store is not None
        after = self.disk.lose_power(random.Random(seed))
        self.do(self.store.close())
        self.disk = after
        self.found()

    def found(self) -> None:
        self.open()
        state = self.read()
        assert state in (self.model, self.maybe)
        self.model = self.maybe = state

    def read(self) -> State:
        assert self.store is not None
        return {key: self.do(self.store.get(key)) for key in list(self.store.index.locations)}

    @precondition(lambda self: self.store is not None)
    @invariant()
    def they_agree(self) -> None:
        assert self.read() == self.model

    def teardown(self) -> None:
        if self.store is not None:
            self.do(self.store.close())
        self.loop.close()


TestAgainstDict = AgainstDict.TestCase
TestAgainstDict.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)


# --- Numbered keys -------------------------------------------------------------------------


def test_numbered_keys_are_found_as_in_a_dictionary() -> None:
    draw, index, model = random.Random(7), NumberedKeyMap(b"km"), dict[bytes, int]()
    for step in range(20_000):
        key = draw.choice((b"k", b"m", b"x", b"kk")) + draw.randrange(400).to_bytes(3, "big")
        if draw.random() < 0.6:
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


def test_each_key_is_read_once_in_the_order_of_the_log() -> None:
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
            found = [one async for one in store.scan(b"a")]
        numbers = [int.from_bytes(key[1:], "big") for key, _ in found]
        assert numbers == [*range(4, 300, 2), 0] and found[-1][1] == b"again"
        assert all(
            value == bytes(number * 7) for number, (_, value) in zip(numbers, found[:-1], strict=False)
        )

    run(main())


def test_a_damaged_record_is_told_where_many_are_read() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        async with open_store(disk) as store:
            for number in range(3):
                await store.put(b"a%d" % number, b"value")
            segment, offset = unpack_location(store.index.locations[b"a1"])
            disk.write(segment_name(segment), offset + 30, b"?")
            with pytest.raises(StoreError):
                _ = [one async for one in store.scan(b"a")]

    run(main())
