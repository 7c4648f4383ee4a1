"""The log's bytes: what a batch looks like, and what a scan of a segment says. No I/O.

The rules:

1. A segment is a header, then frames. A frame is one batch, whole or not there: its checksum
   covers all of it and is salted with the segment's own number, so that a frame that lies
   inside a value is none.
2. The next frame is written only after the one before is durable. Until it comes, a commit
   frame (no records), written without a sync of its own, stands in its place and says the same.
3. So: a frame that can't be read and has a readable one behind it was durable, and is damaged.
   One with nothing readable behind it was never reported, and is the log's end.
4. In a sealed segment all frames up to its length must be readable.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from google_crc32c import extend

from laurelstep.errors import LaurelstepError

FORMAT = 1
MAGIC = b"laurelog"
FRAME_MAGIC = b"\xf1LsF"
# magic, format, salt, number; then the checksum of these.
SEGMENT_HEAD = struct.Struct("<8sHIQ")
SEGMENT_SIZE = SEGMENT_HEAD.size + 4
# magic, checksum of all that follows, bytes of records, records, highest sequence number.
FRAME_HEAD = struct.Struct("<4sIIIQ")
# checksum of all that follows, sequence number, expiry, kind, length of key, length of value.
RECORD_HEAD = struct.Struct("<IQQBHI")
RECORD_REST = struct.Struct("<QQBHI")
CHECKSUM = struct.Struct("<I")
KEY_MOST, VALUE_MOST = 1024, 1 << 20
FRAME_MOST = 1 << 24
# `CLOCK`: a note of the clocks (`clock`), which is all in the key. A program that does not know it takes it
# for a key of its own.
PUT, DELETE, CLOCK = 1, 2, 3


class LogError(LaurelstepError):
    """What is on the disk is not what this program wrote; the text names the place."""

    cause = "a file of the store is damaged, missing, or of another program's version"
    remedy = "run `laurelstep store verify PATH`; bring the folder back from a copy, or start an empty one"


@dataclass(frozen=True, slots=True)
class Record:
    """One change of one key. `expires` is the store's time (`clock`) in ms, 0 for never."""

    seq: int
    key: bytes
    value: bytes = b""
    kind: int = PUT
    expires: int = 0


# --- Writing ----------------------------------------------------------------------------


def segment_head(number: int, salt: int) -> bytes:
    head = SEGMENT_HEAD.pack(MAGIC, FORMAT, salt, number)
    return head + CHECKSUM.pack(extend(0, head))


def encode_record(seq: int, key: bytes, value: bytes = b"", kind: int = PUT, expires: int = 0) -> bytes:
    """ValueError if the key or the value is longer than a record holds."""
    if not 0 < len(key) <= KEY_MOST or len(value) > VALUE_MOST:
        raise ValueError(f"no record: a key of {len(key)} and a value of {len(value)} bytes")
    rest = RECORD_REST.pack(seq, expires, kind, len(key), len(value)) + key + value
    return CHECKSUM.pack(extend(0, rest)) + rest


def encode_frame(salt: int, records: Sequence[bytes], highest: int) -> bytes:
    """A batch of encoded records; none make a commit frame."""
    payload = b"".join(records)
    head = FRAME_HEAD.pack(FRAME_MAGIC, 0, len(payload), len(records), highest)
    crc = extend(extend(salt, head[8:]), payload)
    return head[:4] + CHECKSUM.pack(crc) + head[8:] + payload


# --- Reading ----------------------------------------------------------------------------


def read_segment_head(data: bytes, number: int) -> int:
    """The salt; `LogError` if this is not the head of that segment."""
    if len(data) < SEGMENT_SIZE:
        raise LogError(f"segment {number}: no head")
    magic, version, salt, told = SEGMENT_HEAD.unpack_from(data)
    (crc,) = CHECKSUM.unpack_from(data, SEGMENT_HEAD.size)
    if magic != MAGIC or crc != extend(0, data[: SEGMENT_HEAD.size]):
        raise LogError(f"segment {number}: its head is damaged")
    if version != FORMAT:
        raise LogError(f"segment {number}: format {version} is unknown; this program knows {FORMAT}")
    if told != number:
        raise LogError(f"segment {number}: its head is that of segment {told}")
    return int(salt)


@dataclass(frozen=True, slots=True)
class Frame:
    """A readable frame: where its records begin, where it ends, and what it holds."""

    offset: int
    payload: int
    end: int
    count: int
    highest: int


def read_frame(data: bytes, offset: int, salt: int) -> Frame | None:
    """The frame at an offset, or None if there is no whole one."""
    payload = offset + FRAME_HEAD.size
    if payload > len(data):
        return None
    magic, crc, size, count, highest = FRAME_HEAD.unpack_from(data, offset)
    end = payload + size
    if magic != FRAME_MAGIC or size > FRAME_MOST or end > len(data):
        return None
    if crc != extend(extend(salt, data[offset + 8 : payload]), data[payload:end]):
        return None
    return Frame(offset, payload, end, count, highest)


class End(Enum):
    """How a segment's readable part ends."""

    CLEAN = "clean"  # with its last byte
    TORN = "torn"  # with a batch that was never reported
    DAMAGED = "damaged"  # before something that was


@dataclass(frozen=True, slots=True)
class Scan:
    """What a segment holds: its frames, and where and how they end."""

    frames: list[Frame]
    end: int
    how: End


def scan(data: bytes, salt: int) -> Scan:
    """Walk a segment's frames, from its head on."""
    frames: list[Frame] = []
    at = SEGMENT_SIZE
    while at < len(data):
        frame = read_frame(data, at, salt)
        if frame is None:
            how = End.DAMAGED if _readable_behind(data, at + 1, salt) else End.TORN
            return Scan(frames, at, how)
        frames.append(frame)
        at = frame.end
    return Scan(frames, at, End.CLEAN)


def _readable_behind(data: bytes, at: int, salt: int) -> bool:
    while (at := data.find(FRAME_MAGIC, at)) >= 0:
        if read_frame(data, at, salt) is not None:
            return True
        at += 1
    return False


def records_of(data: bytes, frame: Frame) -> Iterator[tuple[int, int, int, int, bytes]]:
    """Offset, kind, expiry, sequence number and key of each record of a checked frame."""
    at = frame.payload
    unpack, head = RECORD_HEAD.unpack_from, RECORD_HEAD.size
    for _ in range(frame.count):
        _, seq, expires, kind, key_size, value_size = unpack(data, at)
        start = at + head
        yield at, kind, expires, seq, data[start : start + key_size]
        at = start + key_size + value_size


def read_record(data: bytes, place: str) -> Record:
    """The record that these bytes begin with, checked by itself; `LogError` if damaged."""
    if len(data) < RECORD_HEAD.size:
        raise LogError(f"{place}: the record is cut off")
    crc, seq, expires, kind, key_size, value_size = RECORD_HEAD.unpack_from(data)
    start, end = RECORD_HEAD.size, RECORD_HEAD.size + key_size + value_size
    if end > len(data) or crc != extend(0, data[4:end]):
        raise LogError(f"{place}: the record is damaged")
    return Record(seq, data[start : start + key_size], data[start + key_size : end], kind, expires)
