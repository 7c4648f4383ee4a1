"""The ids of requests that may have taken effect: an id is sent to an endpoint as one request only.

Rules of this module:

1. The id of an unsafe request is claimed before its first byte is written, by the call that it belongs to.
   The claim stays, whoever leaves and however the call ends, unless it is proven that nothing ran.
2. A second call with a claimed id is never sent.
3. Processes that serve at one address may share a table. Each writes to a lane of its own. A claim is written
   first and the other lanes are read then: of two calls that claim an id at the same time none is sent, or
   one.
4. The memory is bounded: a lane of a bucket that is full forgets its oldest claim.

The table is hashed by a keyed fingerprint of 64 bits, so that no client can choose ids that share a bucket.
"""

from __future__ import annotations

import os
from hashlib import blake2b
from typing import Final

FINGERPRINT_BYTES: Final = 8
KEY_BYTES: Final = 16
BUCKETS: Final = 1024
LANES: Final = 4
SLOTS_PER_LANE: Final = 16
SLOTS_PER_BUCKET: Final = LANES * SLOTS_PER_LANE
TABLE_BYTES: Final = BUCKETS * SLOTS_PER_BUCKET * FINGERPRINT_BYTES


class RequestIdTable:
    """Claimed ids. `memory` has `TABLE_BYTES` bytes, zeros where nothing is claimed; None = its own memory.
    `lane` is the part of each bucket that this process writes to, and `key` the key of the fingerprints.
    """

    def __init__(self, memory: memoryview | None = None, lane: int = 0, key: bytes | None = None) -> None:
        if memory is None:
            memory = memoryview(bytearray(TABLE_BYTES))
        self.slots = memory.cast("B").cast("Q")
        self.key = os.urandom(KEY_BYTES) if key is None else key
        self.lane = lane % LANES
        self.next_slots = bytearray(BUCKETS)  # of this process's lane, by bucket

    def _locate(self, request_id: bytes) -> tuple[int, int]:
        """The fingerprint of an id, which is not 0, and the first slot of its bucket."""
        digest = blake2b(request_id, digest_size=FINGERPRINT_BYTES, key=self.key).digest()
        fingerprint = int.from_bytes(digest, "little") or 1
        return fingerprint, fingerprint % BUCKETS * SLOTS_PER_BUCKET

    def __contains__(self, request_id: bytes) -> bool:
        """Whether the id is claimed."""
        fingerprint, first = self._locate(request_id)
        return fingerprint in self.slots[first : first + SLOTS_PER_BUCKET].tolist()

    def claim(self, request_id: bytes) -> bool:
        """Claim an id; False if it is claimed already."""
        fingerprint, first = self._locate(request_id)
        if fingerprint in self.slots[first : first + SLOTS_PER_BUCKET].tolist():
            return False
        own = self._write(fingerprint, first)
        if self.slots[first : first + SLOTS_PER_BUCKET].tolist().count(fingerprint) == 1:
            return True
        self.slots[own] = 0
        return False

    def _write(self, fingerprint: int, first: int) -> int:
        """Write a fingerprint to the next slot of this process's lane; returns the slot."""
        bucket = first // SLOTS_PER_BUCKET
        number = self.next_slots[bucket]
        self.next_slots[bucket] = (number + 1) % SLOTS_PER_LANE
        slot = first + self.lane * SLOTS_PER_LANE + number
        self.slots[slot] = fingerprint
        return slot

    def release(self, request_id: bytes) -> None:
        """Give up a claim of this process, as nothing ran under the id."""
        fingerprint, first = self._locate(request_id)
        lane = first + self.lane * SLOTS_PER_LANE
        for slot in range(lane, lane + SLOTS_PER_LANE):
            if self.slots[slot] == fingerprint:
                self.slots[slot] = 0
