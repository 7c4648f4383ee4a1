"""The log's format on disk: encoding batches and scanning segments. No I/O.

The rules:

1. A segment is a header, then frames. A frame is one batch, complete or absent: its checksum covers all of
   it and is salted with the segment's salt, so that frame bytes inside a value are not taken for a frame.
2. The next frame is written only after the previous one is durable. Until then a commit frame (one without
   records) in its place shows that the previous one is durable; it is written without a sync.
3. So an unreadable frame with a readable one after it was durable, and is damaged. An unreadable frame with
   no readable one after it was never reported as written, and is the end of the log.
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
# magic, format, salt, number; followed by their checksum.
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
    """The kind of a record. Programs without `CLOCK_CHECKPOINT` treat such a record as a `PUT`."""

    PUT = 1
    DELETE = 2
    CLOCK_CHECKPOINT = 3  # a `clock.ClockCheckpoint`, encoded as the key


class LogError(LaurelstepError):
    """The files are not as this program wrote them; the message names the place."""

    cause = "a file of the store is damaged, missing, or of another version of the program"
    remedy = "run `laurelstep store verify PATH`; restore the folder from a backup, or start an empty one"


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One change of one key. `expires_ms`: in the store's time (`clock`), 0 for never."""

    sequence: int
    key: bytes
    value: bytes = b""
    kind: int = RecordKind.PUT
    expires_ms: int = 0


class RecordHeader(NamedTuple):
    """A record without its value. `offset`: in the segment. A tuple for speed: recovery makes millions."""

    offset: int
    kind: int
    expires_ms: int
    sequence: int
    key: bytes


@dataclass(frozen=True, slots=True)
class LogFrame:
    """A readable frame: the offsets in bytes of its header, its records and its end, and what it holds."""

    offset: int
    payload_offset: int
    end: int
    record_count: int
    highest_sequence: int


class SegmentEnd(Enum):
    """How the readable part of a segment ends."""

    CLEAN = "clean"  # at the segment's end
    TORN = "torn"  # before an incomplete batch that was never reported as written
    DAMAGED = "damaged"  # before a damaged batch that was reported as written


@dataclass(frozen=True, slots=True)
class SegmentScan:
    """The frames of a segment, the offset at which they end, and how."""

    frames: list[LogFrame]
    end: int
    ending: SegmentEnd


# --- Writing ----------------------------------------------------------------------------


def encode_segment_header(number: int, salt: int) -> bytes:
    """Encode the header of a segment."""
    header = SEGMENT_HEADER.pack(MAGIC, FORMAT, salt, number)
    return header + CHECKSUM.pack(extend(0, header))


def check_record_size(key: bytes, value: bytes) -> None:
    """Raise ValueError if the key is empty, or the key or the value is too long for a record."""
    if not 0 < len(key) <= MAX_KEY_BYTES or len(value) > MAX_VALUE_BYTES:
        raise ValueError(f"invalid record: a key of {len(key)} and a value of {len(value)} bytes")


def encode_record(
    sequence: int, key: bytes, value: bytes = b"", kind: int = RecordKind.PUT, expires_ms: int = 0
) -> bytes:
    """Encode one record of a frame. Raises ValueError as `check_record_size` does."""
    check_record_size(key, value)
    fields = RECORD_FIELDS.pack(sequence, expires_ms, kind, len(key), len(value))
    content = fields + key + value
    return CHECKSUM.pack(extend(0, content)) + content


def encode_frame(salt: int, records: Sequence[bytes], highest_sequence: int) -> bytes:
    """Encode a frame of encoded records; without any, a commit frame."""
    payload = b"".join(records)
    header = FRAME_HEADER.pack(FRAME_MAGIC, 0, len(payload), len(records), highest_sequence)
    crc = extend(extend(salt, header[8:]), payload)
    return header[:4] + CHECKSUM.pack(crc) + header[8:] + payload


# --- Reading ----------------------------------------------------------------------------


def read_segment_header(data: bytes, number: int) -> int:
    """Return the salt in a segment's header. Raises LogError if it isn't the header of segment `number`."""
    if len(data) < SEGMENT_HEADER_BYTES:
        raise LogError(f"segment {number}: the header is incomplete")
    magic, version, salt, header_number = SEGMENT_HEADER.unpack_from(data)
    (crc,) = CHECKSUM.unpack_from(data, SEGMENT_HEADER.size)
    if magic != MAGIC or crc != extend(0, data[: SEGMENT_HEADER.size]):
        raise LogError(f"segment {number}: the header is damaged")
    if version != FORMAT:
        raise LogError(f"segment {number}: format {version} is unknown; this program supports {FORMAT}")
    if header_number != number:
        raise LogError(f"segment {number}: the header is that of segment {header_number}")
    return int(salt)


def read_frame(data: bytes, offset: int, salt: int) -> LogFrame | None:
    """Return the frame at an offset, or None if there is no complete and undamaged one."""
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
    """Scan the frames of a segment, which begin after its header."""
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
    """Yield the headers of a frame's records in order. `read_frame` has verified the frame."""
    offset = frame.payload_offset
    unpack, header_bytes, new_tuple = RECORD_HEADER.unpack_from, RECORD_HEADER.size, tuple.__new__
    for _ in range(frame.record_count):
        _, sequence, expires_ms, kind, key_bytes, value_bytes = unpack(data, offset)
        key_end = offset + header_bytes + key_bytes
        key = data[offset + header_bytes : key_end]
        # Costs half as much as RecordHeader(...).
        yield new_tuple(RecordHeader, (offset, kind, expires_ms, sequence, key))
        offset = key_end + value_bytes


def read_record(data: bytes, place: str) -> LogRecord:
    """Decode the record at the beginning of `data` and verify its checksum. Raises LogError, naming `place`,
    if it is damaged.
    """
    if len(data) < RECORD_HEADER.size:
        raise LogError(f"{place}: the record is incomplete")
    crc, sequence, expires_ms, kind, key_bytes, value_bytes = RECORD_HEADER.unpack_from(data)
    key_end = RECORD_HEADER.size + key_bytes
    end = key_end + value_bytes
    if end > len(data) or crc != extend(0, data[4:end]):
        raise LogError(f"{place}: the record is damaged")
    return LogRecord(sequence, data[RECORD_HEADER.size : key_end], data[key_end:end], kind, expires_ms)
