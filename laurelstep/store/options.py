"""A store's bounds, and its figures."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StoreOptions:
    """Bounds of a store. A writer waits for the batch in progress and for its own: no timer adds to that.

    Zeros are written `preallocated_bytes` ahead of the log's end at a time: a sync that need not lengthen the
    file as well takes half the time. `numbered_prefixes`: the first bytes of keys that end with a sequence
    number; they take little memory.
    """

    batch_records: int = 1024
    batch_bytes: int = 1 << 20
    segment_bytes: int = 64 << 20
    max_bytes: int = 4 << 30
    preallocated_bytes: int = 1 << 20
    numbered_prefixes: bytes = b""


@dataclass(frozen=True, slots=True)
class StoreStats:
    """A store's figures for an operator. `keys` counts those that have expired and are not yet compacted."""

    keys: int
    bytes: int
    segments: int
    batches: int
    writes: int
    failures: int
    compactions: int
    available: bool
