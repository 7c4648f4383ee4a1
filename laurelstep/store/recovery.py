"""Opening: from a folder's files to an index, or to a statement of what is wrong. All calls block."""

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

# Errors of a disk that works and has no room.
FULL_DISK_ERRORS: Final = (errno.ENOSPC, errno.EDQUOT)
# Takes how many segments of how many have been read.
Progress = Callable[[int, int], None]


class UnsureManifestError(LaurelstepError, OSError):
    """A manifest was put in its place, and that failed: the next process finds it, or the one before it."""

    cause = "the disk failed as the list of a store's files was replaced: either list may be found"
    remedy = "see to the disk; the list is written anew by itself, and no file of either is deleted before"


@dataclass(frozen=True, slots=True)
class UnconfirmedBatch:
    """The last batch, where no commit frame says that it is durable: its offset and its frame's bytes."""

    offset: int
    frame: bytes


@dataclass
class RecoveredStore:
    """A store's state as its files tell it."""

    manifest: Manifest
    index: KeyIndex
    tail: int = 0  # where the next frame of the active segment goes
    salts: dict[int, int] = field(default_factory=dict)  # by segment
    sizes: dict[int, int] = field(default_factory=dict)  # by segment, bytes
    allocated_bytes: int = 0  # the active segment's length, with zeros ahead of the tail
    torn_bytes: int = 0  # cut off, of a batch never reported as written
    unconfirmed: UnconfirmedBatch | None = None

    @property
    def active_segment(self) -> int:
        """The number of the segment that is written to."""
        return self.manifest.segments[-1].number


def inspect_folder(disk: Disk) -> FolderContents:
    """What a folder holds; `LogError` for damage. Nothing is written."""
    files = disk.files()
    return inspect_files(files, disk.read(MANIFEST) if MANIFEST in files else None)


def write_manifest(disk: Disk, manifest: Manifest) -> None:
    """Replace the manifest, durably and as one step. OSError: it is as if it had not been tried.
    `UnsureManifestError`: the old one or the new one may be found.
    """
    disk.create(NEW_MANIFEST, encode_manifest(manifest))
    try:
        disk.rename(NEW_MANIFEST, MANIFEST)
        disk.sync_folder()
    except OSError as error:
        raise UnsureManifestError(error.errno, error.strerror) from error


def create_segment(disk: Disk, number: int, salt: int) -> None:
    """Make an empty segment, durable, which no manifest names yet."""
    disk.create(segment_name(number), encode_segment_header(number, salt))
    disk.sync_folder()


# --- Reading ------------------------------------------------------------------------------


def read_store(
    disk: Disk, manifest: Manifest, progress: Progress | None = None, numbered_prefixes: bytes = b""
) -> RecoveredStore:
    """Read all segments; nothing is written. `numbered_prefixes`: see `KeyIndex`. `LogError` for damage."""
    store = RecoveredStore(manifest, KeyIndex(numbered_prefixes))
    for count, segment in enumerate(manifest.segments, 1):
        _add_segment(store, disk, segment)
        if progress is not None:
            progress(count, len(manifest.segments))
    return store


def _add_segment(store: RecoveredStore, disk: Disk, segment: SegmentEntry) -> None:
    number = segment.number
    data, salt, found = _read_segment(disk, segment)
    _index_segment(store.index, number, data, found)
    store.salts[number] = salt
    store.allocated_bytes = len(data)
    # Zeros are what was allocated ahead, not a batch.
    store.torn_bytes = len(data[found.end :].rstrip(b"\0"))
    last = found.frames[-1] if found.frames else None
    has_commit_frame = last is not None and not last.record_count
    # The next batch takes the commit frame's place.
    store.tail = last.offset if last is not None and has_commit_frame else found.end
    store.unconfirmed = None if last is None or has_commit_frame else _unconfirmed(data, last)
    store.sizes[number] = store.tail


def _unconfirmed(data: bytes, frame: LogFrame) -> UnconfirmedBatch:
    return UnconfirmedBatch(frame.offset, data[frame.offset : frame.end])


def _read_segment(disk: Disk, segment: SegmentEntry) -> tuple[bytes, int, SegmentScan]:
    """The bytes that count, the salt and the scan; `LogError` where something is damaged."""
    number, sealed_bytes = segment.number, segment.sealed_bytes
    data = disk.read(segment_name(number))
    salt = read_segment_header(data, number)
    if sealed_bytes is not None:
        if len(data) < sealed_bytes:
            raise LogError(f"segment {number}: {len(data)} bytes of {sealed_bytes}")
        data = data[:sealed_bytes]
    found = scan_segment(data, salt)
    is_incomplete = sealed_bytes is not None and found.ending is not SegmentEnd.CLEAN
    if found.ending is SegmentEnd.DAMAGED or is_incomplete:
        raise LogError(f"segment {number}: damaged at byte {found.end}")
    return data, salt, found


def _index_segment(index: KeyIndex, number: int, data: bytes, found: SegmentScan) -> None:
    """Take in a segment's records, in their order. Sequence numbers rise along the log."""
    apply = index.apply
    for frame in found.frames:
        if frame.record_count and frame.highest_sequence <= index.highest_sequence:
            raise LogError(f"segment {number}: a batch out of order at byte {frame.offset}")
        for record in record_headers(data, frame):
            apply(number, record)
        index.highest_sequence = max(index.highest_sequence, frame.highest_sequence)


# --- Making it ready for writing ----------------------------------------------------------


def recover_store(
    disk: Disk, salt: int, progress: Progress | None = None, numbered_prefixes: bytes = b""
) -> RecoveredStore:
    """The store as it was last reported, made durable and ready to be written to. `salt`: of the first
    segment, where there is no store yet.

    `LogError` for what is damaged, OSError as the disk fails; then nothing was changed but files that no
    manifest names.
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
    """Cut off a torn batch, and make what was read durable."""
    name = segment_name(store.active_segment)
    if store.torn_bytes:
        disk.truncate(name, store.tail)
        store.allocated_bytes = store.tail
    if store.unconfirmed is not None:
        # After a sync that failed Linux may take the bytes for written, so that another sync says nothing
        # of them. Only the last batch can be of that kind, and is written again.
        disk.write(name, store.unconfirmed.offset, store.unconfirmed.frame)
    disk.sync(name)
    if store.tail > SEGMENT_HEADER_BYTES:
        _write_commit_frame(disk, name, store)


def _write_commit_frame(disk: Disk, name: str, store: RecoveredStore) -> None:
    """After the last batch, until there is a next one. Without it, as on a full disk, the next process makes
    that batch durable once more.
    """
    commit_frame = encode_frame(store.salts[store.active_segment], (), store.index.highest_sequence)
    try:
        disk.write(name, store.tail, commit_frame)
    except OSError as error:
        if error.errno not in FULL_DISK_ERRORS:
            raise
    store.allocated_bytes = max(store.allocated_bytes, store.tail + len(commit_frame))


def _confirm_manifest(disk: Disk, store: RecoveredStore) -> bool:
    """Make the manifest that was read durable, also where the process before could not sync its name. False
    on a full disk: then files that it does not name must stay.
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
