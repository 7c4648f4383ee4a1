"""Opening: from a folder's files to an index, or to a word on what is wrong."""

from __future__ import annotations

import errno
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from laurelstep.errors import LaurelstepError
from laurelstep.store.disk import Disk
from laurelstep.store.index import Index, place_of
from laurelstep.store.log import (
    KEY_MOST,
    RECORD_HEAD,
    SEGMENT_SIZE,
    VALUE_MOST,
    End,
    LogError,
    Record,
    Scan,
    encode_frame,
    read_record,
    read_segment_head,
    records_of,
    scan,
    segment_head,
)
from laurelstep.store.manifest import (
    ASIDE,
    MANIFEST,
    Found,
    Manifest,
    Segment,
    encode_manifest,
    judge,
    segment_name,
)

# Read with a record's beginning: most are whole by that.
NEAR = RECORD_HEAD.size + 512
# Errors of a disk that works and has no room.
FULL_DISK = (errno.ENOSPC, errno.EDQUOT)
# Told how many segments of how many have been read.
Progress = Callable[[int, int], None]


@dataclass
class Opened:
    """A store's state as its files tell it."""

    manifest: Manifest
    index: Index
    tail: int  # where the next frame of the last segment goes
    salts: dict[int, int] = field(default_factory=dict)
    sizes: dict[int, int] = field(default_factory=dict)
    allocated: int = 0  # the last segment's length on the disk, zeros ahead of the tail included
    torn: int = 0  # bytes cut off, never reported as written
    unsure: tuple[int, bytes] = (
        0,
        b"",
    )  # where the last batch is, and its bytes, if no mark says that it is durable


class UnsureManifestError(LaurelstepError, OSError):
    """A manifest was put in its place, and that failed: a later life finds it, or the one before it."""

    cause = "the disk failed as the list of a store's files was replaced: either list may be found"
    remedy = "see to the disk; the list is written anew by itself, and no file of either is deleted before"


def look(disk: Disk) -> Found:
    files = disk.files()
    return judge(files, disk.read(MANIFEST) if MANIFEST in files else None)


def write_manifest(disk: Disk, manifest: Manifest) -> None:
    """Durable as a whole, or, after an OSError, as if it had not been; `UnsureManifestError`: either."""
    disk.create(ASIDE, encode_manifest(manifest))
    try:
        disk.rename(ASIDE, MANIFEST)
        disk.sync_folder()
    except OSError as error:
        raise UnsureManifestError(error.errno, error.strerror) from error


def create_segment(disk: Disk, number: int, salt: int) -> None:
    """Durable, and named by no manifest yet."""
    disk.create(segment_name(number), segment_head(number, salt))
    disk.sync_folder()


def read_segment(disk: Disk, segment: Segment) -> tuple[bytes, int, Scan]:
    """The bytes that count, the salt and the scan; `LogError` where something is damaged."""
    data = disk.read(segment_name(segment.number))
    salt = read_segment_head(data, segment.number)
    if segment.sealed is not None:
        if len(data) < segment.sealed:
            raise LogError(f"segment {segment.number}: {len(data)} bytes of {segment.sealed}")
        data = data[: segment.sealed]
    found = scan(data, salt)
    if found.how is End.DAMAGED or (segment.sealed is not None and found.how is not End.CLEAN):
        raise LogError(f"segment {segment.number}: damaged at byte {found.end}")
    return data, salt, found


def fill(index: Index, segment: int, data: bytes, found: Scan) -> None:
    """The segment's records, in their order. Sequence numbers rise along the log."""
    apply = index.apply
    for frame in found.frames:
        if frame.count and frame.highest <= index.highest:
            raise LogError(f"segment {segment}: a batch out of order at byte {frame.offset}")
        for offset, kind, expires, _, key in records_of(data, frame):
            apply(segment, offset, kind, expires, key)
        index.highest = max(index.highest, frame.highest)


def read_all(
    disk: Disk, manifest: Manifest, progress: Progress | None = None, numbered: bytes = b""
) -> Opened:
    """All segments read; nothing is written. `numbered`: as an `Index`'s."""
    opened = Opened(manifest, Index(numbered), 0)
    for at, segment in enumerate(manifest.segments):
        data, salt, found = read_segment(disk, segment)
        fill(opened.index, segment.number, data, found)
        opened.salts[segment.number] = salt
        opened.allocated = len(data)
        # Zeros are what was allocated ahead, not a batch.
        opened.torn = len(data[found.end :].rstrip(b"\0"))
        opened.tail = found.end
        opened.unsure = (0, b"")
        if found.frames:
            last = found.frames[-1]
            if last.count:
                opened.unsure = (last.offset, data[last.offset : last.end])
            else:
                opened.tail = last.offset  # the next batch takes the mark's place
        opened.sizes[segment.number] = opened.tail
        if progress is not None:
            progress(at + 1, len(manifest.segments))
    return opened


def record_at(disk: Disk, where: int) -> Record:
    """The record at a location of the index; `LogError` if it is damaged."""
    segment, offset = place_of(where)
    name, place = segment_name(segment), f"segment {segment}, byte {offset}"
    data = disk.read(name, offset, NEAR)
    if len(data) >= RECORD_HEAD.size:
        *_, key_size, value_size = RECORD_HEAD.unpack_from(data)
        size = RECORD_HEAD.size + key_size + value_size
        if len(data) < size <= RECORD_HEAD.size + KEY_MOST + VALUE_MOST:
            data = disk.read(name, offset, size)
    return read_record(data, place)


def records_at(disk: Disk, wheres: Sequence[int]) -> list[Record]:
    """The records at neighbouring locations of one segment, read at once; `LogError` if one is damaged."""
    segment, first = place_of(wheres[0])
    data = disk.read(segment_name(segment), first, place_of(wheres[-1])[1] - first + NEAR)
    found = []
    for where in wheres:
        at = place_of(where)[1] - first
        size = RECORD_HEAD.size
        if at + size <= len(data):
            *_, key_size, value_size = RECORD_HEAD.unpack_from(data, at)
            size += key_size + value_size
        if at + size <= len(data):
            found.append(read_record(data[at : at + size], f"segment {segment}, byte {first + at}"))
        else:
            found.append(record_at(disk, where))
    return found


def recover(disk: Disk, salt: int, progress: Progress | None = None, numbered: bytes = b"") -> Opened:
    """The store as it was last reported, made durable and ready to be written to.

    `LogError` for what is damaged, OSError as the disk tells; then nothing was changed
    but what no manifest names.
    """
    found = look(disk)
    if found.manifest is None:
        create_segment(disk, 1, salt)
        write_manifest(disk, Manifest(1, (Segment(1),), 2))
        found = look(disk)
        assert found.manifest is not None
    opened = read_all(disk, found.manifest, progress, numbered)
    last = segment_name(found.manifest.segments[-1].number)
    if opened.torn:
        disk.cut(last, opened.tail)
        opened.allocated = opened.tail
    _make_durable(disk, last, opened)
    if opened.tail > SEGMENT_SIZE:
        _write_mark(disk, last, opened)
    if _settle_manifest(disk, opened):
        for name in found.leftover:
            disk.delete(name)
    return opened


def _make_durable(disk: Disk, name: str, opened: Opened) -> None:
    """What was read is durable from now on, also where the life before could not sync it: after a sync
    that failed Linux may take the bytes for written, so that another sync says nothing of them. Only the
    last batch can be of that kind, and is written again."""
    offset, frame = opened.unsure
    if frame:
        disk.write(name, offset, frame)
    disk.sync(name)


def _write_mark(disk: Disk, name: str, opened: Opened) -> None:
    """Behind the last batch, until there is a next one. Without it, as on a full disk, the next life makes
    that batch durable once more."""
    salt = opened.salts[opened.manifest.segments[-1].number]
    mark = encode_frame(salt, (), opened.index.highest)
    try:
        disk.write(name, opened.tail, mark)
    except OSError as error:
        if error.errno not in FULL_DISK:
            raise
    opened.allocated = max(opened.allocated, opened.tail + len(mark))


def _settle_manifest(disk: Disk, opened: Opened) -> bool:
    """The manifest that was read is durable from now on, also where the life before could not sync its name.
    False on a full disk: then what it does not name must stay."""
    manifest = replace(opened.manifest, generation=opened.manifest.generation + 1)
    try:
        write_manifest(disk, manifest)
    except OSError as error:
        if isinstance(error, UnsureManifestError) or error.errno not in FULL_DISK:
            raise
        disk.sync_folder()
        return False
    opened.manifest = manifest
    return True
