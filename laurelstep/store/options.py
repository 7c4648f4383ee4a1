"""A store's options and statistics."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StoreOptions:
    """Limits of a store. A write waits for the batch in progress and for its own; no timer delays it.

    Zeros are written `preallocated_bytes` ahead of the log's end at a time, as a sync takes half the time if
    it need not lengthen the file. `numbered_prefixes`: the first bytes of keys that end with a sequence
    number; these keys take little memory.
    """

    batch_records: int = 1024
    batch_bytes: int = 1 << 20
    segment_bytes: int = 64 << 20
    max_bytes: int = 4 << 30
    preallocated_bytes: int = 1 << 20
    numbered_prefixes: bytes = b""


@dataclass(frozen=True, slots=True)
class StoreStats:
    """A store's statistics for operators. `keys` includes those that expired and are not yet compacted."""

    keys: int
    bytes: int
    segments: int
    batches: int
    writes: int
    failures: int
    compactions: int
    available: bool
