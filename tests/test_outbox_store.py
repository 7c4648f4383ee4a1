"""The store of queued writes: its contract, on a folder and on a simulated disk that loses power, and cases
that the contract does not cover."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import shutil
import tempfile
from collections.abc import AsyncIterator, Iterable
from pathlib import Path

import pytest
from laurelstep.outbox.queue_store import FailedToKeepError, QueueStore, key_of
from laurelstep.outbox.records import QueuedWrite, StateChange, WriteState
from laurelstep.store import Disk, FolderDisk, StoreError
from laurelstep.testing.contracts.outbox import WriteStoreContract, WriteStoreIncarnations, write_with_body
from laurelstep.testing.disk import SimulatedDisk

from tests.once import once

pytestmark = once

MAX_BYTES = 64 << 20
NO_SPACE = OSError(errno.ENOSPC, "No space left on device")


class FolderIncarnations:
    """Stores on a folder. A crash copies the folder: the process dies, the machine runs on."""

    def __init__(self, root: Path) -> None:
        self.root = root
        self.crashes = 0
        self.disk = BreakableDisk(root / "0")
        self.store: QueueStore
        self.abandoned: list[QueueStore] = []

    async def open(self) -> None:
        self.store = await QueueStore.open(self.disk, MAX_BYTES)

    async def restart(self) -> None:
        await self.store.close()
        self.disk = BreakableDisk(self.disk.folder)
        await self.open()

    async def crash(self) -> None:
        self.crashes += 1
        folder = self.root / str(self.crashes)
        shutil.copytree(self.disk.folder, folder)
        self.abandoned.append(self.store)
        self.disk = BreakableDisk(folder)
        await self.open()

    def fail_writes(self) -> None:
        self.disk.is_full = True


class BreakableDisk(FolderDisk):
    """A folder that has no space left while `is_full`."""

    is_full = False

    def write(self, name: str, offset: int, data: bytes) -> None:
        if self.is_full:
            raise NO_SPACE
        super().write(name, offset, data)

    def create(self, name: str, data: bytes) -> None:
        if self.is_full:
            raise NO_SPACE
        super().create(name, data)


class TestOnAFolder(WriteStoreContract):
    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[WriteStoreIncarnations]:
        with tempfile.TemporaryDirectory() as folder:
            harness = FolderIncarnations(Path(folder))
            await harness.open()
            try:
                yield harness
            finally:
                for store in (*harness.abandoned, harness.store):
                    await store.close()


class SimulatedDiskIncarnations:
    def __init__(self, rng: random.Random | None) -> None:
        self.rng = rng
        self.disk = SimulatedDisk()
        self.store: QueueStore
        self.abandoned: list[QueueStore] = []

    async def open(self) -> None:
        self.store = await QueueStore.open(self.disk, MAX_BYTES)

    async def restart(self) -> None:
        await self.store.close()
        self.disk.next_errors.clear()
        await self.open()

    async def crash(self) -> None:
        self.abandoned.append(self.store)
        self.disk = self.disk.lose_power(self.rng)
        await self.open()

    def fail_writes(self) -> None:
        for operation in ("write", "create"):
            self.disk.fail(operation, *[NO_SPACE] * 100)


class TestOnASimulatedDisk(WriteStoreContract):
    """A power loss drops all that was not synced; with `rng`, a random part of it."""

    rng: random.Random | None = None

    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[WriteStoreIncarnations]:
        harness = SimulatedDiskIncarnations(self.rng)
        await harness.open()
        try:
            yield harness
        finally:
            for store in (*harness.abandoned, harness.store):
                await store.close()


@pytest.mark.parametrize("seed", range(5))
def test_contract_on_a_disk_that_loses_random_parts(seed: int) -> None:
    class LosesRandomParts(TestOnASimulatedDisk):
        rng = random.Random(seed)

    assert LosesRandomParts().failures() == {}


# --- Not covered by the contract ----------------------------------------------------------


def test_a_log_cut_at_any_byte_leaves_each_write_whole_or_missing() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        store = await QueueStore.open(disk, MAX_BYTES)
        await store.load()
        written = [write_with_body(1, 40), write_with_body(2, 0)]
        for write_and_body in written:
            await store.put_write(*write_and_body)
        await store.close()
        name = max(disk.files(), key=lambda file: disk.files()[file])
        data = disk.read(name)
        end = len(data.rstrip(b"\0"))
        for size in range(end + 1):
            found_writes = await _writes_after_cut(disk, name, data[:size])
            if found_writes is not None:  # None: the store reports that it is damaged
                assert found_writes in ([], written[:1], written), f"at byte {size}"
        assert await _writes_after_cut(disk, name, data) == written

    asyncio.run(main())


async def _writes_after_cut(
    disk: SimulatedDisk, name: str, data: bytes
) -> list[tuple[QueuedWrite, bytes]] | None:
    copy = SimulatedDisk()
    for file in disk.files():
        copy.create(file, data if file == name else disk.read(file))
    copy.sync_folder()
    try:
        store = await QueueStore.open(copy, MAX_BYTES)
    except Exception as error:
        assert type(error).__name__ == "StoreError"
        return None
    found_writes = [await store.read(write.write_id) for write, _ in (await store.load()).writes]
    await store.close()
    return [write_and_body for write_and_body in found_writes if write_and_body is not None]


def test_a_failed_write_leaves_nothing_and_says_whether_it_may_be_found_later() -> None:
    async def main() -> None:
        disk: Disk = SimulatedDisk()
        store = await QueueStore.open(disk, MAX_BYTES)
        await store.load()
        assert isinstance(disk, SimulatedDisk)
        disk.fail("write", NO_SPACE)
        with pytest.raises(FailedToKeepError) as caught:
            await store.put_write(*write_with_body(1, 3 << 20))
        assert not caught.value.is_known_absent, "a later incarnation might find the write"
        assert await store.read(write_with_body(1, 0)[0].write_id) is None
        await store.close()
        reopened = await QueueStore.open(disk, MAX_BYTES)
        assert (await reopened.load()).writes == []
        assert [key for key in reopened.store.index.locations if key[:1] == b"p"] == []
        await reopened.close()

    asyncio.run(main())


def test_each_opening_draws_an_incarnation_and_the_secret_stays() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        openings = []
        for _ in range(2):
            store = await QueueStore.open(disk, MAX_BYTES)
            openings.append((store.incarnation, await store.secret()))
            await store.close()
        assert (
            openings[0][0] != openings[1][0]
            and openings[0][1] == openings[1][1]
            and len(openings[0][1]) >= 16
        )

    asyncio.run(main())


def test_a_body_left_after_a_final_state_is_deleted_when_the_store_is_next_opened(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        store = await QueueStore.open(disk, MAX_BYTES)
        await store.load()
        await store.put_write(*write_with_body(1, 100_000))
        await store.put_state(StateChange(write_with_body(1, 0)[0].write_id, WriteState.DONE))
        await store.close()  # before the body was deleted
        monkeypatch.setattr("laurelstep.outbox.queue_store.BODY_DELETION_DELAY_S", 0.0)
        reopened = await QueueStore.open(disk, MAX_BYTES)
        await reopened.load()
        if reopened._body_deletion is not None:
            await reopened._body_deletion
        await reopened.close()
        third = await QueueStore.open(disk, MAX_BYTES)
        size = len((await third.store.get(key_of(b"k", write_with_body(1, 0)[0].write_id))) or b"")
        assert 0 < size < 1_000 and not [key for key in third.store.index.locations if key[:1] == b"p"]
        await third.close()

    asyncio.run(main())


def test_a_body_that_could_not_be_read_for_deletion_is_deleted_later(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("laurelstep.outbox.queue_store.BODY_DELETION_DELAY_S", 0.0)

    async def main() -> None:
        disk = SimulatedDisk()
        store = await QueueStore.open(disk, MAX_BYTES)
        await store.load()
        get_many, reads = store.store.get_many, 0

        def fail_once(keys: Iterable[bytes]) -> AsyncIterator[tuple[bytes, bytes]]:
            nonlocal reads
            reads += 1
            if reads == 1:
                raise StoreError("the segment was deleted")
            return get_many(keys)

        monkeypatch.setattr(store.store, "get_many", fail_once)
        for number in (1, 2):
            await store.put_write(*write_with_body(number, 100_000))
            await store.put_state(StateChange(write_with_body(number, 0)[0].write_id, WriteState.DONE))
        while store._body_deletion is not None:
            await asyncio.sleep(0)
        await store.close()
        reopened = await QueueStore.open(disk, MAX_BYTES)
        assert reads > 1 and not [key for key in reopened.store.index.locations if key[:1] == b"p"]
        await reopened.close()

    asyncio.run(main())


def test_a_write_deleted_during_its_body_deletion_does_not_return(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("laurelstep.outbox.queue_store.BODY_DELETION_DELAY_S", 0.0)

    async def main(turns: int) -> None:
        disk = SimulatedDisk()
        store = await QueueStore.open(disk, MAX_BYTES)
        await store.load()
        write, body = write_with_body(1, 1_000)
        await store.put_write(write, body)
        await store.put_state(StateChange(write.write_id, WriteState.DONE))
        for _ in range(turns):
            await asyncio.sleep(0)
        assert await store.delete_write(write.write_id, 0)
        if store._body_deletion is not None:
            await store._body_deletion
        await store.close()
        reopened = await QueueStore.open(disk, MAX_BYTES)
        assert (await reopened.load()).writes == []
        await reopened.close()

    for turns in range(12):
        asyncio.run(main(turns))
