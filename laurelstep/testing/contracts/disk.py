"""Contract of the store's `Disk`: files of one folder, exclusive ownership, and durability on power loss."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager

from laurelstep.store.disk import Disk, StoreError
from laurelstep.testing.contracts.base import Contract, raises

# More files than an implementation may keep open at a time.
MANY_FILES = 40


class DiskContract(Contract, ABC):
    """The rules:

    1. Written bytes are read back at their offsets, whatever other calls are made in between.
    2. A missing file or folder raises OSError; no errors but OSError and StoreError are raised.
    3. A folder has one owner at a time, until its `close`. `lock` refuses a second one, without side effects.
    4. Synced bytes survive a power loss completely; names do once `sync_folder` has returned.
    """

    @abstractmethod
    def empty_folder(self) -> AbstractContextManager[Callable[[], Disk]]:
        """Create an empty folder. Each call of the result returns another disk on that folder."""

    def after_power_loss(self, disk: Disk, opener: Callable[[], Disk]) -> Disk:
        """Return the disk as the next start finds it. A disk that can't lose power is closed and reopened."""
        disk.close()
        return opener()

    @contextmanager
    def locked_disk(self) -> Iterator[Disk]:
        """Open a disk on an empty folder, locked until the end of the block."""
        with self.empty_folder() as opener:
            disk = opener()
            disk.lock()
            try:
                yield disk
            finally:
                disk.close()

    @contextmanager
    def disk_with_power(self) -> Iterator[tuple[Disk, Callable[[], Disk]]]:
        """Open a locked disk. The second item returns the disk after a power loss; it is called once."""
        with self.empty_folder() as opener:
            disk = opener()
            disk.lock()
            yield disk, lambda: self._next_start(disk, opener)

    def _next_start(self, disk: Disk, opener: Callable[[], Disk]) -> Disk:
        later = self.after_power_loss(disk, opener)
        later.lock()
        return later

    # --- 1. Reading and writing ---------------------------------------------------------

    def test_a_new_folder_lists_no_files_and_no_lock_file(self) -> None:
        """`files` of a new folder is empty and doesn't list the lock file."""
        with self.locked_disk() as disk:
            assert disk.files() == {}

    def test_a_file_is_created_with_its_bytes(self) -> None:
        """`create` stores the given bytes, and `files` reports their size; empty files too."""
        with self.locked_disk() as disk:
            disk.create("one", b"0123456789")
            disk.create("none", b"")
            assert disk.files() == {"one": 10, "none": 0}
            assert (disk.read("one"), disk.read("none")) == (b"0123456789", b"")

    def test_read_honours_offset_and_size_and_stops_at_the_end(self) -> None:
        """`read` honours offset and size, and stops at the end of the file."""
        with self.locked_disk() as disk:
            disk.create("one", b"0123456789")
            assert disk.read("one", 4) == b"456789"
            assert disk.read("one", 4, 3) == b"456"
            assert disk.read("one", 0, 0) == b""
            assert disk.read("one", 8, 100) == b"89"
            assert disk.read("one", 10, 5) == b"" == disk.read("one", 12)

    def test_write_replaces_bytes_at_its_offset(self) -> None:
        """`write` replaces bytes at its offset, and extends the file past its end."""
        with self.locked_disk() as disk:
            disk.create("one", b"0123456789")
            disk.write("one", 3, b"abc")
            assert disk.read("one") == b"012abc6789"
            disk.write("one", 8, b"xyz")
            assert (disk.read("one"), disk.files()) == (b"012abc67xyz", {"one": 11})

    def test_a_gap_before_a_write_is_filled_with_zeros(self) -> None:
        """A write beyond the end of a file fills the gap with zeros."""
        with self.locked_disk() as disk:
            disk.create("one", b"ab")
            disk.write("one", 5, b"c")
            assert disk.read("one") == b"ab\0\0\0c"

    def test_a_large_write_is_complete(self) -> None:
        """A write of 2 MiB is stored completely."""
        data = bytes(range(256)) * 8192
        with self.locked_disk() as disk:
            disk.create("one", b"")
            disk.write("one", 1, data)
            assert disk.read("one") == b"\0" + data

    def test_creating_an_existing_file_replaces_it(self) -> None:
        """`create` with an existing name replaces the whole file."""
        with self.locked_disk() as disk:
            disk.create("one", b"a long one")
            disk.create("one", b"short")
            assert (disk.read("one"), disk.files()) == (b"short", {"one": 5})

    def test_truncate_keeps_the_beginning(self) -> None:
        """`truncate` keeps the bytes before the given size, and writing can go on there."""
        with self.locked_disk() as disk:
            disk.create("one", b"0123456789")
            disk.truncate("one", 4)
            assert (disk.read("one"), disk.files()) == (b"0123", {"one": 4})
            disk.write("one", 4, b"x")
            assert disk.read("one") == b"0123x"

    def test_rename_replaces_the_file_of_the_new_name(self) -> None:
        """`rename` replaces the file of the new name, and later writes go to it."""
        with self.locked_disk() as disk:
            disk.create("old", b"of old")
            disk.create("new", b"of new")
            assert disk.read("new") == b"of new"
            disk.write("old", 6, b"!")
            disk.rename("old", "new")
            assert (disk.read("new"), disk.files()) == (b"of old!", {"new": 7})
            disk.write("new", 0, b"O")
            assert disk.read("new") == b"Of old!"

    def test_a_deleted_file_is_missing_and_can_be_created_again(self) -> None:
        """A deleted file raises FileNotFoundError, may be deleted again, and may be created again."""
        with self.locked_disk() as disk:
            disk.create("one", b"first")
            disk.delete("one")
            assert disk.files() == {}
            with raises(FileNotFoundError, "a read of a deleted file"):
                disk.read("one")
            disk.delete("one")
            disk.create("one", b"second")
            assert disk.read("one") == b"second"

    def test_many_files_are_used_in_turn(self) -> None:
        """Each of many files, written and read in turn, keeps its own bytes."""
        with self.locked_disk() as disk:
            for n in range(MANY_FILES):
                disk.create(f"f{n}", b"%d" % n)
            for n in range(MANY_FILES):
                disk.write(f"f{n}", 2, b"+")
            assert [disk.read(f"f{n}") for n in range(MANY_FILES)] == [
                (b"%d" % n).ljust(2, b"\0") + b"+" for n in range(MANY_FILES)
            ]

    # --- 2. Missing files -----------------------------------------------------------------

    def test_calls_on_a_missing_file_raise_os_error(self) -> None:
        """Calls on a missing file raise OSError (`read`: FileNotFoundError), and create nothing."""
        with self.locked_disk() as disk:
            with raises(FileNotFoundError, "a read of a missing file"):
                disk.read("none")
            with raises(OSError, "a write to a missing file"):
                disk.write("none", 0, b"x")
            with raises(OSError, "a sync of a missing file"):
                disk.sync("none")
            with raises(OSError, "a truncation of a missing file"):
                disk.truncate("none", 0)
            with raises(OSError, "a rename of a missing file"):
                disk.rename("none", "other")
            assert disk.files() == {}, "a failed call created a file"

    # --- 3. One owner ---------------------------------------------------------------------

    def test_a_second_owner_is_refused_until_the_first_has_closed(self) -> None:
        """`lock` raises StoreError while another owner is open, also after a refused one has closed."""
        with self.empty_folder() as opener:
            first, second = opener(), opener()
            first.lock()
            first.create("one", b"kept")
            with raises(StoreError, "a lock by a second owner"):
                second.lock()
            second.close()  # the store closes it also if `lock` has failed
            third = opener()
            with raises(StoreError, "a lock by a second owner, after a refused one has closed"):
                third.lock()
            third.close()
            assert first.read("one") == b"kept"
            first.close()
            last = opener()
            last.lock()
            assert last.read("one") == b"kept"
            last.close()

    # --- 4. Power loss --------------------------------------------------------------------

    def test_a_created_file_survives_power_loss_after_sync_folder(self) -> None:
        """A created file survives a power loss once `sync_folder` has returned."""
        with self.disk_with_power() as (disk, next_start):
            disk.create("one", b"whole")
            disk.sync_folder()
            later = next_start()
            assert later.files() == {"one": 5} and later.read("one") == b"whole"
            later.close()

    def test_a_created_file_is_complete_or_missing_after_power_loss(self) -> None:
        """After a power loss, a file whose folder wasn't synced is complete or missing."""
        with self.disk_with_power() as (disk, next_start):
            disk.create("one", b"x" * 100)
            later = next_start()
            assert later.files() in ({}, {"one": 100})
            assert all(later.read(name) == b"x" * 100 for name in later.files())
            later.close()

    def test_synced_bytes_survive_power_loss(self) -> None:
        """Synced bytes survive a power loss; a write after the sync may or may not."""
        with self.disk_with_power() as (disk, next_start):
            disk.create("one", b"0123456789")
            disk.sync_folder()
            disk.write("one", 2, b"ab")
            disk.write("one", 10, b"behind")
            disk.sync("one")
            disk.write("one", 0, b"?")
            later = next_start()
            data = later.read("one")
            assert data in (b"01ab456789behind", b"?1ab456789behind")
            later.close()

    def test_a_truncation_survives_power_loss(self) -> None:
        """`truncate` survives a power loss, with the writes before it, without a further sync."""
        with self.disk_with_power() as (disk, next_start):
            disk.create("one", b"0123456789")
            disk.sync_folder()
            disk.write("one", 0, b"ab")
            disk.truncate("one", 5)
            later = next_start()
            assert later.read("one") == b"ab234"
            later.close()

    def test_a_rename_and_a_deletion_survive_power_loss_after_sync_folder(self) -> None:
        """Renames and deletions survive a power loss once `sync_folder` has returned."""
        with self.disk_with_power() as (disk, next_start):
            disk.create("manifest", b"old")
            disk.create("spare", b"spare")
            disk.sync_folder()
            disk.create("manifest.new", b"new one")
            disk.rename("manifest.new", "manifest")
            disk.delete("spare")
            disk.sync_folder()
            later = next_start()
            assert later.files() == {"manifest": 7} and later.read("manifest") == b"new one"
            later.close()

    def test_an_unsynced_rename_leaves_the_old_file_or_the_new_one(self) -> None:
        """After a power loss, an unsynced rename shows the complete old or new file."""
        with self.disk_with_power() as (disk, next_start):
            disk.create("manifest", b"old")
            disk.sync_folder()
            disk.create("manifest.new", b"new one")
            disk.rename("manifest.new", "manifest")
            later = next_start()
            assert later.read("manifest") in (b"old", b"new one")
            later.close()
