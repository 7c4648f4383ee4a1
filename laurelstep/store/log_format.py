"""The log's bytes: what a batch looks like, and what a scan of a segment says. No I/O.

The rules:

1. A segment is a header, then frames. A frame is one batch, complete or absent: its checksum
   covers all of it and is salted with the segment's own number, so that a frame that lies
   inside a value is none.
2. The next frame is written only after the one before is durable. Until it comes, a commit
   frame (no records), written without a sync of its own, stands in its place and says the same.
3. So: a frame that can't be read and has a readable one after it was durable, and is damaged.
   One with nothing readable after it was never reported, and is the log's end.
4. In a sealed segment all frames up to its length must be readable.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Final, NamedTuple

from google_crc32c import extend

from laurelstep.errors import LaurelstepError

FORMAT: Final = 1
MAGIC: Final = b"laurelog"
FRAME_MAGIC: Final = b"\xf1LsF"
# magic, format, salt, number; then the checksum of these.
SEGMENT_HEADER: Final = struct.Struct("<8sHIQ")
SEGMENT_HEADER_BYTES: Final = SEGMENT_HEADER.size + 4
# magic, checksum of all that follows, bytes of records, records, highest sequence number.
FRAME_HEADER: Final = struct.Struct("<4sIIIQ")
# checksum of all that follows, sequence number, expiry, kind, length of key, length of value.
RECORD_HEADER: Final = struct.Struct("<IQQBHI")
# the same without the checksum.
RECORD_FIELDS: Final = struct.Struct("<QQBHI")
CHECKSUM: Final = struct.Struct("<I")
MAX_KEY_BYTES: Final = 1024
MAX_VALUE_BYTES: Final = 1 << 20
MAX_FRAME_BYTES: Final = 1 << 24


class RecordKind(IntEnum):
    """What a record does. A program that does not know `CLOCK_CHECKPOINT` takes it for a `PUT`."""

    PUT = 1
    DELETE = 2
    CLOCK_CHECKPOINT = 3  # a `clock.ClockCheckpoint`, encoded as the key


class LogError(LaurelstepError):
    """What is on the disk is not what this program wrote; the text names the place."""

    cause = "a file of the store is damaged, missing, or of another program's version"
    remedy = "run `laurelstep store verify PATH`; bring the folder back from a copy, or start an empty one"


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One change of one key. `expires_ms` is the store's time (`clock`), 0 for never."""

    sequence: int
    key: bytes
    value: bytes = b""
    kind: int = RecordKind.PUT
    expires_ms: int = 0


class RecordHeader(NamedTuple):
    """A record without its value. `offset` is its place in the segment. A tuple: recovery makes millions."""

    offset: int
    kind: int
    expires_ms: int
    sequence: int
    key: bytes


@dataclass(frozen=True, slots=True)
class LogFrame:
    """A readable frame: the offsets in bytes of it, its records and its end, and what it holds."""

    offset: int
    payload: int
    end: int
    record_count: int
    highest_sequence: int


class SegmentEnd(Enum):
    """How a segment's readable part ends."""

    CLEAN = "clean"  # with its last byte
    TORN = "torn"  # with a batch that was never reported
    DAMAGED = "damaged"  # before a batch that was reported


@dataclass(frozen=True, slots=True)
class SegmentScan:
    """What a segment holds: its frames, and the offset at which they end and how."""

    frames: list[LogFrame]
    end: int
    ending: SegmentEnd


# --- Writing ----------------------------------------------------------------------------


def encode_segment_header(number: int, salt: int) -> bytes:
    """The first bytes of a segment."""
    header = SEGMENT_HEADER.pack(MAGIC, FORMAT, salt, number)
    return header + CHECKSUM.pack(extend(0, header))


def check_record_size(key: bytes, value: bytes) -> None:
    """ValueError if the key or the value is longer than a record holds, or the key is empty."""
    if not 0 < len(key) <= MAX_KEY_BYTES or len(value) > MAX_VALUE_BYTES:
        raise ValueError(f"no record: a key of {len(key)} and a value of {len(value)} bytes")


def encode_record(
    sequence: int, key: bytes, value: bytes = b"", kind: int = RecordKind.PUT, expires_ms: int = 0
) -> bytes:
    """One record of a frame. ValueError if the key or the value is longer than a record holds."""
    check_record_size(key, value)
    fields = RECORD_FIELDS.pack(sequence, expires_ms, kind, len(key), len(value))
    content = fields + key + value
    return CHECKSUM.pack(extend(0, content)) + content


def encode_frame(salt: int, records: Sequence[bytes], highest_sequence: int) -> bytes:
    """A batch of encoded records; without any, a commit frame."""
    payload = b"".join(records)
    header = FRAME_HEADER.pack(FRAME_MAGIC, 0, len(payload), len(records), highest_sequence)
    crc = extend(extend(salt, header[8:]), payload)
    return header[:4] + CHECKSUM.pack(crc) + header[8:] + payload


# --- Reading ----------------------------------------------------------------------------


def read_segment_header(data: bytes, number: int) -> int:
    """The salt of a segment; `LogError` if this is not the header of the segment of that number."""
    if len(data) < SEGMENT_HEADER_BYTES:
        raise LogError(f"segment {number}: no head")
    magic, version, salt, found = SEGMENT_HEADER.unpack_from(data)
    (crc,) = CHECKSUM.unpack_from(data, SEGMENT_HEADER.size)
    if magic != MAGIC or crc != extend(0, data[: SEGMENT_HEADER.size]):
        raise LogError(f"segment {number}: its head is damaged")
    if version != FORMAT:
        raise LogError(f"segment {number}: format {version} is unknown; this program knows {FORMAT}")
    if found != number:
        raise LogError(f"segment {number}: its head is that of segment {found}")
    return int(salt)


def read_frame(data: bytes, offset: int, salt: int) -> LogFrame | None:
    """The frame at an offset, or None if there is no complete one."""
    payload = offset + FRAME_HEADER.size
    if payload > len(data):
        return None
    magic, crc, size, record_count, highest_sequence = FRAME_HEADER.unpack_from(data, offset)
    end = payload + size
    if magic != FRAME_MAGIC or size > MAX_FRAME_BYTES or end > len(data):
        return None
    if crc != extend(extend(salt, data[offset + 8 : payload]), data[payload:end]):
        return None
    return LogFrame(offset, payload, end, record_count, highest_sequence)


def scan_segment(data: bytes, salt: int) -> SegmentScan:
    """Walk a segment's frames, from its header on."""
    frames: list[LogFrame] = []
    offset = SEGMENT_HEADER_BYTES
    while offset < len(data):
        frame = read_frame(data, offset, salt)
        if frame is None:
            is_damaged = _has_readable_frame_after(data, offset + 1, salt)
            return SegmentScan(frames, offset, SegmentEnd.DAMAGED if is_damaged else SegmentEnd.TORN)
        frames.append(frame)
        offset = frame.end
    return SegmentScan(frames, offset, SegmentEnd.CLEAN)


def _has_readable_frame_after(data: bytes, offset: int, salt: int) -> bool:
    while (offset := data.find(FRAME_MAGIC, offset)) >= 0:
        if read_frame(data, offset, salt) is not None:
            return True
        offset += 1
    return False


def record_headers(data: bytes, frame: LogFrame) -> Iterator[RecordHeader]:
    """The headers of a frame's records, in their order. The frame has been checked."""
    offset = frame.payload
    unpack, header_bytes, make = RECORD_HEADER.unpack_from, RECORD_HEADER.size, tuple.__new__
    for _ in range(frame.record_count):
        _, sequence, expires_ms, kind, key_bytes, value_bytes = unpack(data, offset)
        key_end = offset + header_bytes + key_bytes
        key = data[offset + header_bytes : key_end]
        # Half the cost of RecordHeader(...).
        yield make(RecordHeader, (offset, kind, expires_ms, sequence, key))
        offset = key_end + value_bytes


def read_record(data: bytes, place: str) -> LogRecord:
    """The record that these bytes begin with, checked by itself; `LogError`, which names `place`, if it is
    damaged.
    """
    if len(data) < RECORD_HEADER.size:
        raise LogError(f"{place}: the record is cut off")
    crc, sequence, expires_ms, kind, key_bytes, value_bytes = RECORD_HEADER.unpack_from(data)
    key_end = RECORD_HEADER.size + key_bytes
    end = key_end + value_bytes
    if end > len(data) or crc != extend(0, data[4:end]):
        raise LogError(f"{place}: the record is damaged")
    return LogRecord(sequence, data[RECORD_HEADER.size : key_end], data[key_end:end], kind, expires_ms)
