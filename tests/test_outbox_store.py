"""The store of kept writes under its contract: on a folder, and on a disk that loses power."""

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

MOST = 64 << 20
NO_SPACE = OSError(errno.ENOSPC, "No space left on device")


class OnFolder:
    """A crash is a copy of the folder as it stands: the process is killed, the machine runs on."""

    def __init__(self, root: Path) -> None:
        self.root = root
        self.lives = 0
        self.disk = Broken(root / "0")
        self.store: QueueStore
        self.left: list[QueueStore] = []

    async def open(self) -> None:
        self.store = await QueueStore.open(self.disk, MOST)

    async def restart(self) -> None:
        await self.store.close()
        self.disk = Broken(self.disk.folder)
        await self.open()

    async def crash(self) -> None:
        self.lives += 1
        folder = self.root / str(self.lives)
        shutil.copytree(self.disk.folder, folder)
        self.left.append(self.store)
        self.disk = Broken(folder)
        await self.open()

    def fail_writes(self) -> None:
        self.disk.broken = True


class Broken(FolderDisk):
    broken = False

    def write(self, name: str, offset: int, data: bytes) -> None:
        if self.broken:
            raise NO_SPACE
        super().write(name, offset, data)

    def create(self, name: str, data: bytes) -> None:
        if self.broken:
            raise NO_SPACE
        super().create(name, data)


class TestOnAFolder(WriteStoreContract):
    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[WriteStoreIncarnations]:
        with tempfile.TemporaryDirectory() as folder:
            found = OnFolder(Path(folder))
            await found.open()
            try:
                yield found
            finally:
                for store in (*found.left, found.store):
                    await store.close()


class OnSimulated:
    def __init__(self, draw: random.Random | None) -> None:
        self.draw = draw
        self.disk = SimulatedDisk()
        self.store: QueueStore
        self.left: list[QueueStore] = []

    async def open(self) -> None:
        self.store = await QueueStore.open(self.disk, MOST)

    async def restart(self) -> None:
        await self.store.close()
        self.disk.faults.clear()
        await self.open()

    async def crash(self) -> None:
        self.left.append(self.store)
        self.disk = self.disk.lose_power(self.draw)
        await self.open()

    def fail_writes(self) -> None:
        for operation in ("write", "create"):
            self.disk.fail(operation, *[NO_SPACE] * 100)


class TestOnASimulatedDisk(WriteStoreContract):
    """Loses all that was not synced."""

    draw: random.Random | None = None

    @contextlib.asynccontextmanager
    async def incarnations(self) -> AsyncIterator[WriteStoreIncarnations]:
        found = OnSimulated(self.draw)
        await found.open()
        try:
            yield found
        finally:
            for store in (*found.left, found.store):
                await store.close()


@pytest.mark.parametrize("seed", range(5))
def test_on_a_disk_that_loses_parts(seed: int) -> None:
    class Parts(TestOnASimulatedDisk):
        draw = random.Random(seed)

    assert Parts().failures() == {}


# --- What the contract does not ask -------------------------------------------------------


def test_every_byte_of_the_log_cut_leaves_all_of_a_write_or_nothing() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        store = await QueueStore.open(disk, MOST)
        await store.load()
        written = [write_with_body(1, 40), write_with_body(2, 0)]
        for one in written:
            await store.put_write(*one)
        await store.close()
        name = max(disk.files(), key=lambda one: disk.files()[one])
        data = disk.read(name)
        end = len(data.rstrip(b"\0"))
        for size in range(end + 1):
            found = await _cut(disk, name, data[:size])
            if found is not None:  # else the store says that it is damaged
                assert found in ([], written[:1], written), f"at byte {size}"
        assert await _cut(disk, name, data) == written

    asyncio.run(main())


async def _cut(disk: SimulatedDisk, name: str, data: bytes) -> list[tuple[QueuedWrite, bytes]] | None:
    copy = SimulatedDisk()
    for one in disk.files():
        copy.create(one, data if one == name else disk.read(one))
    copy.sync_folder()
    try:
        store = await QueueStore.open(copy, MOST)
    except Exception as error:
        assert type(error).__name__ == "StoreError"
        return None
    found = [await store.read(one.write_id) for one, _ in (await store.load()).writes]
    await store.close()
    return [one for one in found if one is not None]


def test_a_body_that_meets_a_full_disk_leaves_nothing_and_says_whether_that_is_certain() -> None:
    async def main() -> None:
        disk: Disk = SimulatedDisk()
        store = await QueueStore.open(disk, MOST)
        await store.load()
        assert isinstance(disk, SimulatedDisk)
        disk.fail("write", NO_SPACE)
        with pytest.raises(FailedToKeepError) as caught:
            await store.put_write(*write_with_body(1, 3 << 20))
        assert not caught.value.is_known_absent, "a later life might find what was begun"
        assert await store.read(write_with_body(1, 0)[0].write_id) is None
        await store.close()
        again = await QueueStore.open(disk, MOST)
        assert (await again.load()).writes == []
        assert [key for key in again.store.index.locations if key[:1] == b"p"] == []
        await again.close()

    asyncio.run(main())


def test_each_life_has_an_incarnation_and_the_secret_stays() -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        found = []
        for _ in range(2):
            store = await QueueStore.open(disk, MOST)
            found.append((store.incarnation, await store.secret()))
            await store.close()
        assert found[0][0] != found[1][0] and found[0][1] == found[1][1] and len(found[0][1]) >= 16

    asyncio.run(main())


def test_a_body_that_a_crash_left_behind_its_final_state_goes_in_the_next_life(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        disk = SimulatedDisk()
        store = await QueueStore.open(disk, MOST)
        await store.load()
        await store.put_write(*write_with_body(1, 100_000))
        await store.put_state(StateChange(write_with_body(1, 0)[0].write_id, WriteState.DONE))
        await store.close()  # before its body went
        monkeypatch.setattr("laurelstep.outbox.queue_store.BODY_DELETION_DELAY_S", 0.0)
        again = await QueueStore.open(disk, MOST)
        await again.load()
        if again._ending is not None:
            await again._ending
        await again.close()
        third = await QueueStore.open(disk, MOST)
        size = len((await third.store.get(key_of(b"k", write_with_body(1, 0)[0].write_id))) or b"")
        assert 0 < size < 1_000 and not [key for key in third.store.index.locations if key[:1] == b"p"]
        await third.close()

    asyncio.run(main())


def test_a_body_that_could_not_be_read_as_it_was_to_go_goes_later(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("laurelstep.outbox.queue_store.BODY_DELETION_DELAY_S", 0.0)

    async def main() -> None:
        disk = SimulatedDisk()
        store = await QueueStore.open(disk, MOST)
        await store.load()
        some, failed = store.store.some, 0

        def fail_once(keys: Iterable[bytes]) -> AsyncIterator[tuple[bytes, bytes]]:
            nonlocal failed
            failed += 1
            if failed == 1:
                raise StoreError("a segment that is no more")
            return some(keys)

        monkeypatch.setattr(store.store, "some", fail_once)
        for number in (1, 2):
            await store.put_write(*write_with_body(number, 100_000))
            await store.put_state(StateChange(write_with_body(number, 0)[0].write_id, WriteState.DONE))
        while store._ending is not None:
            await asyncio.sleep(0)
        await store.close()
        again = await QueueStore.open(disk, MOST)
        assert failed > 1 and not [key for key in again.store.index.locations if key[:1] == b"p"]
        await again.close()

    asyncio.run(main())


def test_a_write_forgotten_while_its_body_goes_does_not_come_back(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("laurelstep.outbox.queue_store.BODY_DELETION_DELAY_S", 0.0)

    async def main(turns: int) -> None:
        disk = SimulatedDisk()
        store = await QueueStore.open(disk, MOST)
        await store.load()
        write, body = write_with_body(1, 1_000)
        await store.put_write(write, body)
        await store.put_state(StateChange(write.write_id, WriteState.DONE))
        for _ in range(turns):
            await asyncio.sleep(0)
        assert await store.delete_write(write.write_id, 0)
        if store._ending is not None:
            await store._ending
        await store.close()
        again = await QueueStore.open(disk, MOST)
        assert (await again.load()).writes == []
        await again.close()

    for turns in range(12):
        asyncio.run(main(turns))
