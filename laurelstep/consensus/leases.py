"""Leases by the replicated log: at most one process holds a name at a time, each by its own clock. Pure.

1. A grant is an entry: name, holder, duration, and the number of the lease it follows. It is valid only if
   that one is the last: so of two grants for one name, by a leader and by a former one, one has no effect.
   Its number is its index.
2. The holder counts from when it asked, which it recognizes by a number drawn for each request: a process
   that restarted, with a durable store as the same incarnation, has not asked for what it was granted
   before. It counts for (1 - drift) of the duration, by its own clock alone, whether or not it hears from
   the others.
3. All others count from when they learned of the grant, for (1 + drift) of the duration. A leader grants a
   name to another process only when the lease is over by this count. What a snapshot brings is learned when
   it arrives.
4. As a grant is learned after it was asked for, and no clock is off by more than the drift, the holder stops
   first.
5. The holder may renew at any time. It may release the lease: it stops first, and says so then.
6. A new epoch may have begun without grants that its predecessor committed (bootstrap.py, rule 6). Whoever
   asked for those asked before it began: so after it learned of an epoch, a leader grants nothing for the
   longest lease there may be, by the count of rule 3.
7. No wall clock is read. A name is at most 64 characters, there are at most 64 names, and no lease is longer
   than the longest.

The field order and the tags are the encoded form of entries and snapshots: they may not change.
"""

from __future__ import annotations

import dataclasses
import math
import random
from typing import Annotated, Final, NamedTuple

import msgspec

from laurelstep.consensus.epoch import ClusterEpoch
from laurelstep.consensus.errors import EntryError

__all__ = ["MAX_LEASES", "MAX_LEASE_NAME_CHARACTERS", "LeaseGrant", "LeaseTable"]

MAX_LEASE_NAME_CHARACTERS: Final = 64
MAX_LEASES: Final = 64
# Requests that are remembered of one name: the newest, besides the one that holds.
MAX_REQUESTS_PER_NAME: Final = 4

LeaseName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_LEASE_NAME_CHARACTERS)]


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A grant (rule 1), and the message that asks for it; in that, `previous_number` is 0."""

    name: LeaseName
    previous_number: int
    peer: int
    incarnation: int
    # Drawn by the holder, which recognizes its request by it.
    request_id: int
    lease_us: Annotated[int, msgspec.Meta(gt=0, lt=1 << 48)]


class _LeaseRelease(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The lease of that number is released (rule 5)."""

    name: LeaseName
    number: int


class _Lease(msgspec.Struct, array_like=True, frozen=True):
    number: int
    grant: LeaseGrant


_encode = msgspec.msgpack.Encoder().encode
_entry_decoder: msgspec.msgpack.Decoder[LeaseGrant | _LeaseRelease] = msgspec.msgpack.Decoder(
    LeaseGrant | _LeaseRelease
)
_dump_decoder: msgspec.msgpack.Decoder[dict[str, _Lease]] = msgspec.msgpack.Decoder(dict[str, _Lease])


@dataclasses.dataclass(slots=True)
class _LeaseRequest:
    """A request of this process."""

    name: str
    incarnation: int
    requested_at_us: int


class _LearnedLease(NamedTuple):
    """The number of a lease, and when this process learned of it."""

    number: int
    learned_at_us: int


class LeaseTable:
    """A state machine of the leases, with this process's count of time beside it. See the rules."""

    def __init__(
        self, replica_id: int, max_clock_drift: float, max_lease_us: int, rng: random.Random
    ) -> None:
        """`max_clock_drift` and `max_lease_us` are the same in all processes."""
        self._replica_id = replica_id
        self._max_clock_drift = max_clock_drift
        self._max_lease_us = max_lease_us
        self._rng = rng
        self._leases: dict[str, _Lease] = {}
        # By name; missing until `observe`.
        self._learned: dict[str, _LearnedLease] = {}
        # The newest epoch that this process learned of, and when.
        self._epoch: tuple[ClusterEpoch, int] | None = None
        self._requests: dict[int, _LeaseRequest] = {}
        self.ignored_count = 0

    # The state machine

    def apply(self, index: int, data: bytes) -> None:
        """Apply a grant or a release."""
        try:
            entry = _entry_decoder.decode(data)
        except (msgspec.DecodeError, ValueError):
            self.ignored_count += 1
            return
        last = self._leases.get(entry.name)
        last_number = 0 if last is None else last.number
        if isinstance(entry, _LeaseRelease):
            if last is not None and entry.number == last_number:
                del self._leases[entry.name]
        elif entry.previous_number == last_number and self._is_within_bounds(entry, last):
            self._leases[entry.name] = _Lease(index, entry)
        else:
            self.ignored_count += 1

    def _is_within_bounds(self, grant: LeaseGrant, last: _Lease | None) -> bool:
        has_room = last is not None or len(self._leases) < MAX_LEASES
        return grant.lease_us <= self._max_lease_us and has_room

    def dump(self) -> bytes:
        """Return all leases as bytes."""
        return _encode(dict(sorted(self._leases.items())))

    def load(self, raw: bytes) -> None:
        """Replace all leases by what `dump` gave; by none if empty."""
        self._leases = _dump_decoder.decode(raw) if raw else {}

    # The holder's side

    def request(self, now_us: int, incarnation: int, name: str, lease_us: int) -> bytes:
        """Return the message to the leader that asks for the name, or renews it.

        Raises EntryError out of bounds.
        """
        if not 0 < lease_us <= self._max_lease_us:
            raise EntryError(f"a lease of {lease_us} µs, of {self._max_lease_us} at most")
        if not 0 < len(name) <= MAX_LEASE_NAME_CHARACTERS:
            raise EntryError(f"a name of {len(name)} characters, of {MAX_LEASE_NAME_CHARACTERS} at most")
        request_id = self._rng.getrandbits(64)
        self._requests[request_id] = _LeaseRequest(name, incarnation, now_us)
        self._drop_old_requests(name)
        return _encode(LeaseGrant(name, 0, self._replica_id, incarnation, request_id, lease_us))

    def _drop_old_requests(self, name: str) -> None:
        """Keep the newest requests of a name, and the one that holds."""
        lease = self._leases.get(name)
        holding_id = lease.grant.request_id if lease is not None else 0
        request_ids = [
            request_id
            for request_id, request in self._requests.items()
            if request.name == name and request_id != holding_id
        ]
        for request_id in request_ids[:-MAX_REQUESTS_PER_NAME]:
            del self._requests[request_id]

    def holds(self, now_us: int, name: str) -> bool:
        """Whether this process holds the name (rule 2)."""
        lease = self._leases.get(name)
        return lease is not None and now_us < self.expires_at_us(lease.grant)

    def expires_at_us(self, grant: LeaseGrant) -> int:
        """Return when this process stops to hold by that grant, in µs: 0 where it is another's."""
        request = self._requests.get(grant.request_id)
        if grant.peer != self._replica_id or request is None:
            return 0
        if (request.name, request.incarnation) != (grant.name, grant.incarnation):
            return 0
        return request.requested_at_us + math.floor(grant.lease_us * (1 - self._max_clock_drift))

    def release(self, name: str) -> bytes | None:
        """Stop holding; return the message that says so, None if there is no lease to release."""
        lease = self._leases.get(name)
        self._requests = {
            request_id: request for request_id, request in self._requests.items() if request.name != name
        }
        if lease is None or lease.grant.peer != self._replica_id:
            return None
        return _encode(_LeaseRelease(name, lease.number))

    # The leader's side

    def observe(self, now_us: int, epoch: ClusterEpoch) -> None:
        """Note what is new as learned now. Called after every step that changed the state."""
        if self._epoch is None or self._epoch[0] != epoch:
            self._epoch = (epoch, now_us)
        learned = {}
        for name, lease in self._leases.items():
            before = self._learned.get(name)
            is_known = before is not None and before.number == lease.number
            learned[name] = before if before is not None and is_known else _LearnedLease(lease.number, now_us)
        self._learned = learned

    def entry_for(
        self, now_us: int, epoch: ClusterEpoch, peer: int, incarnation: int, message: bytes
    ) -> bytes | None:
        """Return the entry that a leader proposes upon a process's message; None: nothing, or not yet.

        `epoch` is the one it leads in.
        """
        self.observe(now_us, epoch)
        try:
            asked = _entry_decoder.decode(message)
        except (msgspec.DecodeError, ValueError):
            self.ignored_count += 1
            return None
        last = self._leases.get(asked.name)
        if isinstance(asked, _LeaseRelease):
            is_holder = last is not None and last.number == asked.number and last.grant.peer == peer
            return message if is_holder else None
        if (asked.peer, asked.incarnation) != (peer, incarnation):
            self.ignored_count += 1
            return None
        if not self._may_grant(now_us, last, asked):
            return None
        last_number = 0 if last is None else last.number
        return _encode(msgspec.structs.replace(asked, previous_number=last_number))

    def _may_grant(self, now_us: int, last: _Lease | None, asked: LeaseGrant) -> bool:
        """Whether no other process may hold the name (rules 3 and 6)."""
        if self._epoch is None or now_us < self._epoch[1] + self.guard_us(self._max_lease_us):
            return False
        if last is None or (last.grant.peer, last.grant.incarnation) == (asked.peer, asked.incarnation):
            return True
        learned_at_us = self._learned[asked.name].learned_at_us
        return now_us >= learned_at_us + self.guard_us(last.grant.lease_us)

    def guard_us(self, lease_us: int) -> int:
        """Return how long others count such a lease as held from when they learned of it, in µs."""
        return math.ceil(lease_us * (1 + self._max_clock_drift)) + 1
