"""The in-memory index of each key's record, and which records compaction copies. No I/O.

A key takes a dictionary slot, its bytes and one integer: about 110 bytes, plus the key's length beyond 16;
far less for keys that end with a sequence number (`numbered_keys`). A location is a segment's number and an
offset in it, packed into one integer.
"""

from __future__ import annotations

from collections.abc import MutableMapping
from dataclasses import dataclass

from laurelstep.store.log_format import RecordHeader, RecordKind
from laurelstep.store.numbered_keys import NumberedKeyMap

_OFFSET_BITS = 32
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1
# Plain integers for speed: recovery compares millions.
_DELETE, _CLOCK_CHECKPOINT = int(RecordKind.DELETE), int(RecordKind.CLOCK_CHECKPOINT)
# Compaction starts when at least this share of the sealed records is garbage, and there are at least
# MIN_COMPACTED_RECORDS of them: a small log is read quickly anyway.
GARBAGE_SHARE = 0.5
MIN_COMPACTED_RECORDS = 1_000


def pack_location(segment: int, offset: int) -> int:
    """Pack a segment's number and an offset in it, in bytes, into one integer."""
    return segment << _OFFSET_BITS | offset


def unpack_location(location: int) -> tuple[int, int]:
    """Return the segment's number and the offset in it, in bytes."""
    return location >> _OFFSET_BITS, location & _OFFSET_MASK


@dataclass(slots=True)
class SegmentUsage:
    """A segment's records: how many, how many of them the index points to, and when the last one expires."""

    records: int = 0
    live: int = 0
    last_expiry_ms: int = 0  # the store's time
    has_permanent: bool = False  # a record that never expires

    def garbage(self, now_ms: int) -> int:
        """Return how many records a compaction at this store time would drop."""
        has_expired = not self.has_permanent and self.last_expiry_ms <= now_ms
        return self.records if has_expired else self.records - self.live


class KeyIndex:
    """Maps keys to locations and counts the usage of each segment. `numbered_prefixes`: the first bytes of
    keys that end with a sequence number.
    """

    def __init__(self, numbered_prefixes: bytes = b"") -> None:
        self.locations: MutableMapping[bytes, int] = (
            NumberedKeyMap(numbered_prefixes) if numbered_prefixes else {}
        )
        self.usage: dict[int, SegmentUsage] = {}
        self.highest_sequence = 0
        self.clock_checkpoint = b""  # the key of the newest checkpoint's record; empty if there is none
        self.clock_checkpoint_location = 0

    def __len__(self) -> int:
        return len(self.locations)

    def apply(self, segment: int, record: RecordHeader) -> None:
        """Add a record, in the log's order. Clock checkpoints don't count as usage."""
        offset, kind, expires_ms, _, key = record
        if kind == _CLOCK_CHECKPOINT:
            self.clock_checkpoint, self.clock_checkpoint_location = key, pack_location(segment, offset)
            return
        usage = self.usage.get(segment)
        if usage is None:
            usage = self.usage[segment] = SegmentUsage()
        usage.records += 1
        if kind == _DELETE:
            old = self.locations.pop(key, None)
        else:
            old = self.locations.get(key)
            self.locations[key] = segment << _OFFSET_BITS | offset
            usage.live += 1
            if not expires_ms:
                usage.has_permanent = True
            elif expires_ms > usage.last_expiry_ms:
                usage.last_expiry_ms = expires_ms
        if old is not None:
            self.usage[old >> _OFFSET_BITS].live -= 1

    def must_copy(self, location: int, record: RecordHeader, now_ms: int) -> bool:
        """Whether compaction copies the record at a location: only if the index points to it and it has not
        expired. Deletions are dropped: compaction starts at the log's beginning, so they hide no record.
        """
        if record.kind == _CLOCK_CHECKPOINT:
            return location == self.clock_checkpoint_location
        if record.kind == _DELETE or self.locations.get(record.key) != location:
            return False
        return not 0 < record.expires_ms <= now_ms

    def on_copied(self, segment: int, record: RecordHeader, old: int) -> None:
        """Record that compaction copied a record from the location `old` to this segment. The key keeps its
        location if it has changed since.
        """
        new = pack_location(segment, record.offset)
        if record.kind == _CLOCK_CHECKPOINT:
            if self.clock_checkpoint_location == old:
                self.clock_checkpoint_location = new
            return
        usage = self.usage[segment]
        usage.records += 1
        usage.has_permanent |= not record.expires_ms
        usage.last_expiry_ms = max(usage.last_expiry_ms, record.expires_ms)
        if self.locations.get(record.key) == old:
            self.locations[record.key] = new
            self.usage[old >> _OFFSET_BITS].live -= 1
            usage.live += 1

    def on_expired(self, key: bytes, old: int) -> None:
        """Remove a key whose expired record, at the location `old`, was dropped by compaction."""
        if self.locations.get(key) == old:
            del self.locations[key]
            self.usage[old >> _OFFSET_BITS].live -= 1

    def should_compact(self, sealed: list[int], now_ms: int) -> bool:
        """Whether enough records of these sealed segments are garbage."""
        usages = [usage for number in sealed if (usage := self.usage.get(number)) is not None]
        records = sum(usage.records for usage in usages)
        garbage = sum(usage.garbage(now_ms) for usage in usages)
        return records >= MIN_COMPACTED_RECORDS and garbage >= GARBAGE_SHARE * records

    def can_free_anything(self) -> bool:
        """Whether a compaction could free space, now or once records have expired."""
        return any(usage.live < usage.records or not usage.has_permanent for usage in self.usage.values())
