"""Named leases on the replicated log: at most one process holds a name at a time. Each process measures time
by its own clock. No I/O.

1. A grant is an entry with the name, the holder, the duration and the number of the previous lease of the
   name. It is valid only if that lease is still the latest one. So if a leader and a former leader both grant
   a name, only one grant takes effect. The number of a lease is the index of its entry.
2. The holder's lease runs from the time of its request, for (1 - drift) of the duration, by its own clock and
   whether or not it is connected. It recognizes its request by a random id. A process that has restarted,
   even as the same incarnation with a durable store, does not hold leases that it requested before.
3. For all other processes the lease runs from the time at which they learned of the grant, for (1 + drift) of
   the duration. A leader grants the name to another process only after that. Leases in a snapshot count as
   learned when the snapshot arrives.
4. A grant is learned after it was requested, and no clock drifts by more than the bound. So the lease ends
   for the holder before it ends for the others.
5. The holder may renew a lease at any time. To release it, the holder first stops using it and then sends a
   message.
6. A new epoch may lack grants that were committed in the previous one (bootstrap.py, rule 6). All of them
   were requested before the new epoch began. So a leader grants nothing until the longest possible lease has
   run out, counted by rule 3 from the time at which it learned of the epoch.
7. No wall clock is read. A name has at most 64 characters, there are at most 64 names, and the duration of a
   lease is bounded.

The field order and the tags are the encoded form of entries and snapshots and may not change.
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
# How many of the newest requests for a name are remembered, besides the granted one.
MAX_REQUESTS_PER_NAME: Final = 4

LeaseName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_LEASE_NAME_CHARACTERS)]


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A grant (rule 1). Also the message that requests it, in which `previous_number` is 0."""

    name: LeaseName
    previous_number: int
    peer: int
    incarnation: int
    # Random id by which the holder recognizes its request.
    request_id: int
    lease_us: Annotated[int, msgspec.Meta(gt=0, lt=1 << 48)]


class _LeaseRelease(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Releases the lease with that number (rule 5)."""

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
    """A lease request made by this process."""

    name: str
    incarnation: int
    requested_at_us: int


class _LearnedLease(NamedTuple):
    """The number of a lease, and the time at which this process learned of it."""

    number: int
    learned_at_us: int


class LeaseTable:
    """The state machine of leases, and the times at which this process requested or learned of them.

    See the module's rules.
    """

    def __init__(
        self, replica_id: int, max_clock_drift: float, max_lease_us: int, rng: random.Random
    ) -> None:
        """`max_clock_drift`, a fraction, and `max_lease_us` must be the same in all processes."""
        self._replica_id = replica_id
        self._max_clock_drift = max_clock_drift
        self._max_lease_us = max_lease_us
        self._rng = rng
        self._leases: dict[str, _Lease] = {}
        # By name. An entry is missing until `observe` is called.
        self._learned: dict[str, _LearnedLease] = {}
        # The newest epoch that this process learned of, and the time at which it did.
        self._epoch: tuple[ClusterEpoch, int] | None = None
        self._requests: dict[int, _LeaseRequest] = {}
        self.ignored_count = 0

    # State machine

    def apply(self, index: int, data: bytes) -> None:
        """Apply a grant or a release. Invalid ones are ignored and counted."""
        try:
            entry = _entry_decoder.decode(data)
        except (msgspec.DecodeError, ValueError):
            self.ignored_count += 1
            return
        current = self._leases.get(entry.name)
        current_number = 0 if current is None else current.number
        if isinstance(entry, _LeaseRelease):
            if current is not None and entry.number == current_number:
                del self._leases[entry.name]
        elif entry.previous_number == current_number and self._is_within_bounds(entry, current):
            self._leases[entry.name] = _Lease(index, entry)
        else:
            self.ignored_count += 1

    def _is_within_bounds(self, grant: LeaseGrant, current: _Lease | None) -> bool:
        has_room = current is not None or len(self._leases) < MAX_LEASES
        return grant.lease_us <= self._max_lease_us and has_room

    def dump(self) -> bytes:
        """Return all leases in their encoded form."""
        return _encode(dict(sorted(self._leases.items())))

    def load(self, raw: bytes) -> None:
        """Replace all leases with those of a dump; remove all if `raw` is empty."""
        self._leases = _dump_decoder.decode(raw) if raw else {}

    # Holder

    def request(self, now_us: int, incarnation: int, name: str, lease_us: int) -> bytes:
        """Return the message to the leader that requests or renews a lease.

        Raises EntryError if the name or the duration exceeds its bounds.
        """
        if not 0 < lease_us <= self._max_lease_us:
            raise EntryError(f"a lease of {lease_us} µs, the limit is {self._max_lease_us}")
        if not 0 < len(name) <= MAX_LEASE_NAME_CHARACTERS:
            raise EntryError(f"a name of {len(name)} characters, the limit is {MAX_LEASE_NAME_CHARACTERS}")
        request_id = self._rng.getrandbits(64)
        self._requests[request_id] = _LeaseRequest(name, incarnation, now_us)
        self._drop_old_requests(name)
        return _encode(LeaseGrant(name, 0, self._replica_id, incarnation, request_id, lease_us))

    def _drop_old_requests(self, name: str) -> None:
        """Keep only the newest requests for a name, and the granted one."""
        lease = self._leases.get(name)
        granted_id = lease.grant.request_id if lease is not None else 0
        request_ids = [
            request_id
            for request_id, request in self._requests.items()
            if request.name == name and request_id != granted_id
        ]
        for request_id in request_ids[:-MAX_REQUESTS_PER_NAME]:
            del self._requests[request_id]

    def holds(self, now_us: int, name: str) -> bool:
        """Whether this process holds the lease of the name now (rule 2)."""
        lease = self._leases.get(name)
        return lease is not None and now_us < self.expires_at_us(lease.grant)

    def expires_at_us(self, grant: LeaseGrant) -> int:
        """Return the time at which a grant ends for this process, in µs; 0 if it did not request it."""
        request = self._requests.get(grant.request_id)
        if grant.peer != self._replica_id or request is None:
            return 0
        if (request.name, request.incarnation) != (grant.name, grant.incarnation):
            return 0
        return request.requested_at_us + math.floor(grant.lease_us * (1 - self._max_clock_drift))

    def release(self, name: str) -> bytes | None:
        """Stop holding the lease, and return the message that releases it, None if there is no lease."""
        lease = self._leases.get(name)
        self._requests = {
            request_id: request for request_id, request in self._requests.items() if request.name != name
        }
        if lease is None or lease.grant.peer != self._replica_id:
            return None
        return _encode(_LeaseRelease(name, lease.number))

    # Leader

    def observe(self, now_us: int, epoch: ClusterEpoch) -> None:
        """Record that new leases, and a new epoch, were learned at `now_us`.

        Called after every step that changed the state.
        """
        if self._epoch is None or self._epoch[0] != epoch:
            self._epoch = (epoch, now_us)
        learned = {}
        for name, lease in self._leases.items():
            previous = self._learned.get(name)
            is_known = previous is not None and previous.number == lease.number
            learned[name] = (
                previous if previous is not None and is_known else _LearnedLease(lease.number, now_us)
            )
        self._learned = learned

    def entry_for(
        self, now_us: int, epoch: ClusterEpoch, peer: int, incarnation: int, message: bytes
    ) -> bytes | None:
        """Return the entry that a leader proposes in response to a message of a holder or requester.

        Returns None if the message is invalid or the lease can't be granted yet. `epoch` is the epoch in
        which the leader leads.
        """
        self.observe(now_us, epoch)
        try:
            request = _entry_decoder.decode(message)
        except (msgspec.DecodeError, ValueError):
            self.ignored_count += 1
            return None
        current = self._leases.get(request.name)
        if isinstance(request, _LeaseRelease):
            is_holder = (
                current is not None and current.number == request.number and current.grant.peer == peer
            )
            return message if is_holder else None
        if (request.peer, request.incarnation) != (peer, incarnation):
            self.ignored_count += 1
            return None
        if not self._may_grant(now_us, current, request):
            return None
        current_number = 0 if current is None else current.number
        return _encode(msgspec.structs.replace(request, previous_number=current_number))

    def _may_grant(self, now_us: int, current: _Lease | None, request: LeaseGrant) -> bool:
        """Whether no other process can still hold the name (rules 3 and 6)."""
        if self._epoch is None or now_us < self._epoch[1] + self.guard_us(self._max_lease_us):
            return False
        if current is None or (current.grant.peer, current.grant.incarnation) == (
            request.peer,
            request.incarnation,
        ):
            return True
        learned_at_us = self._learned[request.name].learned_at_us
        return now_us >= learned_at_us + self.guard_us(current.grant.lease_us)

    def guard_us(self, lease_us: int) -> int:
        """Return how long other processes treat a lease as held after they learn of it, in µs."""
        return math.ceil(lease_us * (1 + self._max_clock_drift)) + 1
