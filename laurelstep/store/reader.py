"""Reads records from segments, one or several at a time. All functions block."""

from __future__ import annotations

from array import array
from collections.abc import Iterator, Sequence

from laurelstep.store.disk import Disk
from laurelstep.store.index import unpack_location
from laurelstep.store.log_format import (
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    RECORD_HEADER,
    LogRecord,
    read_record,
)
from laurelstep.store.manifest import segment_name

# Size of the first read of a record: enough for most.
READAHEAD_BYTES = RECORD_HEADER.size + 512
# Limits of one read of several records.
MAX_READ_RECORDS = 64
MAX_READ_BYTES = 128 * 1024


def read_record_at(disk: Disk, location: int) -> LogRecord:
    """Read the record at a location. Raises LogError if it is damaged."""
    segment, offset = unpack_location(location)
    name = segment_name(segment)
    data = disk.read(name, offset, READAHEAD_BYTES)
    if len(data) >= RECORD_HEADER.size:
        size = _record_bytes(data, 0)
        if len(data) < size <= RECORD_HEADER.size + MAX_KEY_BYTES + MAX_VALUE_BYTES:
            data = disk.read(name, offset, size)
    return read_record(data, _describe(segment, offset))


def read_records_at(disk: Disk, locations: Sequence[int]) -> list[LogRecord]:
    """Read the records at nearby locations of one segment in one go. Raises LogError if one is damaged."""
    segment, first = unpack_location(locations[0])
    _, last = unpack_location(locations[-1])
    data = disk.read(segment_name(segment), first, last - first + READAHEAD_BYTES)
    records = []
    for location in locations:
        _, offset = unpack_location(location)
        begin = offset - first
        end = begin + RECORD_HEADER.size
        if end <= len(data):
            end = begin + _record_bytes(data, begin)
        if end <= len(data):
            records.append(read_record(data[begin:end], _describe(segment, offset)))
        else:
            records.append(read_record_at(disk, location))
    return records


def group_nearby(locations: array[int]) -> Iterator[array[int]]:
    """Split sorted locations into groups that one read can cover."""
    begin = 0
    for end in range(1, len(locations) + 1):
        is_full = end - begin == MAX_READ_RECORDS
        if end == len(locations) or is_full or locations[end] - locations[begin] > MAX_READ_BYTES:
            yield locations[begin:end]
            begin = end


def _record_bytes(data: bytes, offset: int) -> int:
    """Return the length of the record whose header is at this offset."""
    *_, key_bytes, value_bytes = RECORD_HEADER.unpack_from(data, offset)
    return RECORD_HEADER.size + int(key_bytes) + int(value_bytes)


def _describe(segment: int, offset: int) -> str:
    return f"segment {segment}, byte {offset}"
