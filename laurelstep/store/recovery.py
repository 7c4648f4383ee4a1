"""Recovery: rebuilds the index from a folder's files, or reports damage. All functions block."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from laurelstep.errors import LaurelstepError
from laurelstep.store.disk import Disk
from laurelstep.store.index import KeyIndex
from laurelstep.store.log_format import (
    SEGMENT_HEADER_BYTES,
    LogError,
    LogFrame,
    SegmentEnd,
    SegmentScan,
    encode_frame,
    encode_segment_header,
    read_segment_header,
    record_headers,
    scan_segment,
)
from laurelstep.store.manifest import (
    MANIFEST,
    NEW_MANIFEST,
    FolderContents,
    Manifest,
    SegmentEntry,
    encode_manifest,
    inspect_files,
    segment_name,
)

# Errors of a disk that works but is full.
FULL_DISK_ERRORS: Final = (errno.ENOSPC, errno.EDQUOT)
# Called with how many segments have been read, and how many there are.
Progress = Callable[[int, int], None]


class UnsureManifestError(LaurelstepError, OSError):
    """Replacing the manifest failed: the next process may find the old one or the new one."""

    cause = "the disk failed while the list of a store's files was replaced: either list may be found"
    remedy = "check the disk; the list is rewritten automatically, and no file of either is deleted before"


@dataclass(frozen=True, slots=True)
class UnconfirmedBatch:
    """A last batch that no commit frame follows, so it may not be durable: its offset and its frame."""

    offset: int
    frame: bytes


@dataclass
class RecoveredStore:
    """A store's state as read from its files."""

    manifest: Manifest
    index: KeyIndex
    tail: int = 0  # offset of the next frame in the active segment
    salts: dict[int, int] = field(default_factory=dict)  # by segment number
    sizes: dict[int, int] = field(default_factory=dict)  # by segment number, bytes
    allocated_bytes: int = 0  # the active segment's length, including preallocated zeros
    torn_bytes: int = 0  # of an incomplete batch, never reported as written, that recovery cuts off
    unconfirmed: UnconfirmedBatch | None = None

    @property
    def active_segment(self) -> int:
        """The number of the segment that is written to."""
        return self.manifest.segments[-1].number


def inspect_folder(disk: Disk) -> FolderContents:
    """Read and interpret a folder's content; nothing is written. Raises LogError for damage."""
    files = disk.files()
    return inspect_files(files, disk.read(MANIFEST) if MANIFEST in files else None)


def write_manifest(disk: Disk, manifest: Manifest) -> None:
    """Replace the manifest durably and atomically. Raises OSError if the old one is still in place, or
    UnsureManifestError if either may be.
    """
    disk.create(NEW_MANIFEST, encode_manifest(manifest))
    try:
        disk.rename(NEW_MANIFEST, MANIFEST)
        disk.sync_folder()
    except OSError as error:
        raise UnsureManifestError(error.errno, error.strerror) from error


def create_segment(disk: Disk, number: int, salt: int) -> None:
    """Create an empty, durable segment, which no manifest lists yet."""
    disk.create(segment_name(number), encode_segment_header(number, salt))
    disk.sync_folder()


# --- Reading ------------------------------------------------------------------------------


def read_store(
    disk: Disk, manifest: Manifest, progress: Progress | None = None, numbered_prefixes: bytes = b""
) -> RecoveredStore:
    """Read all segments without writing. `numbered_prefixes`: see `KeyIndex`. Raises LogError for damage."""
    store = RecoveredStore(manifest, KeyIndex(numbered_prefixes))
    for count, segment in enumerate(manifest.segments, 1):
        _add_segment(store, disk, segment)
        if progress is not None:
            progress(count, len(manifest.segments))
    return store


def _add_segment(store: RecoveredStore, disk: Disk, segment: SegmentEntry) -> None:
    number = segment.number
    data, salt, scan = _read_segment(disk, segment)
    _index_segment(store.index, number, data, scan)
    store.salts[number] = salt
    store.allocated_bytes = len(data)
    # Trailing zeros are preallocated space, not a batch.
    store.torn_bytes = len(data[scan.end :].rstrip(b"\0"))
    last = scan.frames[-1] if scan.frames else None
    has_commit_frame = last is not None and not last.record_count
    # The next batch overwrites the commit frame.
    store.tail = last.offset if last is not None and has_commit_frame else scan.end
    store.unconfirmed = None if last is None or has_commit_frame else _unconfirmed_batch(data, last)
    store.sizes[number] = store.tail


def _unconfirmed_batch(data: bytes, frame: LogFrame) -> UnconfirmedBatch:
    return UnconfirmedBatch(frame.offset, data[frame.offset : frame.end])


def _read_segment(disk: Disk, segment: SegmentEntry) -> tuple[bytes, int, SegmentScan]:
    """Return a segment's data, its salt and its scan. Raises LogError if it is damaged."""
    number, sealed_bytes = segment.number, segment.sealed_bytes
    data = disk.read(segment_name(number))
    salt = read_segment_header(data, number)
    if sealed_bytes is not None:
        if len(data) < sealed_bytes:
            raise LogError(f"segment {number}: truncated to {len(data)} of {sealed_bytes} bytes")
        data = data[:sealed_bytes]
    scan = scan_segment(data, salt)
    is_incomplete = sealed_bytes is not None and scan.ending is not SegmentEnd.CLEAN
    if scan.ending is SegmentEnd.DAMAGED or is_incomplete:
        raise LogError(f"segment {number}: damaged at byte {scan.end}")
    return data, salt, scan


def _index_segment(index: KeyIndex, number: int, data: bytes, scan: SegmentScan) -> None:
    """Add a segment's records to the index, in order. Sequence numbers increase along the log."""
    apply = index.apply
    for frame in scan.frames:
        if frame.record_count and frame.highest_sequence <= index.highest_sequence:
            raise LogError(f"segment {number}: a batch out of order at byte {frame.offset}")
        for record in record_headers(data, frame):
            apply(number, record)
        index.highest_sequence = max(index.highest_sequence, frame.highest_sequence)


# --- Preparing for writing ----------------------------------------------------------------


def recover_store(
    disk: Disk, salt: int, progress: Progress | None = None, numbered_prefixes: bytes = b""
) -> RecoveredStore:
    """Recover the store as last reported, durable and ready for writing. `salt`: for the first segment of a
    new store.

    Raises LogError for damage, or OSError if the disk fails; then only files that no manifest lists were
    changed.
    """
    contents = inspect_folder(disk)
    manifest = contents.manifest
    if manifest is None:
        create_segment(disk, 1, salt)
        write_manifest(disk, Manifest(1, (SegmentEntry(1),), 2))
        contents = inspect_folder(disk)
        manifest = contents.manifest
        assert manifest is not None
    store = read_store(disk, manifest, progress, numbered_prefixes)
    _repair_active_segment(disk, store)
    if _confirm_manifest(disk, store):
        for name in contents.leftover:
            disk.delete(name)
    return store


def _repair_active_segment(disk: Disk, store: RecoveredStore) -> None:
    """Cut off a torn batch, and make all that was read durable."""
    name = segment_name(store.active_segment)
    if store.torn_bytes:
        disk.truncate(name, store.tail)
        store.allocated_bytes = store.tail
    if store.unconfirmed is not None:
        # After a failed sync Linux may treat the bytes as written, so that another sync succeeds without
        # writing them. Only the last batch can be affected: it is written again.
        disk.write(name, store.unconfirmed.offset, store.unconfirmed.frame)
    disk.sync(name)
    if store.tail > SEGMENT_HEADER_BYTES:
        _write_commit_frame(disk, name, store)


def _write_commit_frame(disk: Disk, name: str, store: RecoveredStore) -> None:
    """Write a commit frame after the last batch. Without one, as on a full disk, the next process makes that
    batch durable again.
    """
    commit_frame = encode_frame(store.salts[store.active_segment], (), store.index.highest_sequence)
    try:
        disk.write(name, store.tail, commit_frame)
    except OSError as error:
        if error.errno not in FULL_DISK_ERRORS:
            raise
    store.allocated_bytes = max(store.allocated_bytes, store.tail + len(commit_frame))


def _confirm_manifest(disk: Disk, store: RecoveredStore) -> bool:
    """Make the manifest that was read durable, as the previous process may have failed to sync its name.
    Returns False on a full disk: then files that it does not list must stay.
    """
    manifest = replace(store.manifest, generation=store.manifest.generation + 1)
    try:
        write_manifest(disk, manifest)
    except OSError as error:
        if isinstance(error, UnsureManifestError) or error.errno not in FULL_DISK_ERRORS:
            raise
        disk.sync_folder()
        return False
    store.manifest = manifest
    return True
