"""The states of a queued write, and the records stored for it. Pure.

1. A state changes only along an entry of `TRANSITIONS`.
2. A state change is durable before it is reported to anybody, and before the step that it announces is taken:
   OUT before the write is sent, DONE before its receipt says so. KEPT to READY is the exception: it only
   means that all dependencies are final, which a restart computes again.
3. A write that is OUT after a restart may have run. If it is keyed and within its window, it is sent again
   under its key; otherwise it is parked.
4. A newly queued write has never been sent: KEPT and READY mean that it has not run, whatever happened to
   the edge.
5. Parkings of a write are numbered from 1. A resolution names the parking, so that a repeated resolution
   never applies to a later parking.
6. DONE and GIVEN_UP are final.
7. What the copies upstream report changes a parked write in two cases only: one that may have run becomes
   DONE once they report that it was applied, and one parked because another process held its log becomes
   KEPT again once this process holds the log.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final

import msgspec

from laurelstep.outbox.errors import KeptRecordError, StepError
from laurelstep.outbox.write_ids import WriteId

__all__ = [
    "FINAL",
    "TRANSITIONS",
    "ParkingReason",
    "QueuedWrite",
    "Resolution",
    "StateChange",
    "WriteEvent",
    "WriteState",
    "decode_state_change",
    "decode_write",
    "encode",
    "next_state",
]


class WriteState(IntEnum):
    """The state of a queued write."""

    KEPT = 1  # durable; waits for its dependencies
    READY = 2  # all dependencies are final; waits to be sent
    OUT = 3  # sent, or about to be sent: it may have run
    DONE = 4  # its final answer is known, or an operator resolved that it ran
    PARKED = 5  # waits for an operator
    GIVEN_UP = 6  # will never be sent again


class ParkingReason(IntEnum):
    """Why a write is parked."""

    NONE = 0
    WINDOW = 1  # keyed, and the window in which upstream remembers its key has passed
    MAY_HAVE_RUN = 2  # unsafe or past its window, and its answer was lost
    DENIED = 3  # upstream's final answer rejects the write
    AGE = 4  # older than the greatest age of a queued write
    ORPHANED = 5  # a write that it depends on was given up, or lost with its edge
    FOLLOWS = 6  # a write that it depends on is parked; only in receipts, never in a record
    FENCED = 7  # another process with a copy of this disk holds the lease on its log


class Resolution(IntEnum):
    """What an operator states about a parked write."""

    RAN = 1
    NEVER_RAN = 2
    GIVE_UP = 3


class WriteEvent(IntEnum):
    """The events that change the state of a queued write."""

    DEPENDENCIES_FINAL = 1
    SEND = 2
    ANSWERED = 3
    NOT_RUN = 4  # no attempt can have run
    RETRY = 5  # may have run, and is to be sent again under its key
    UNCERTAIN = 6  # may have run, and must not be sent again
    DENIED = 7
    EXPIRED = 8
    ORPHANED = 9
    RAN = 10
    NEVER_RAN = 11
    GIVE_UP = 12
    STORE_FAILED = 13  # its record could not be stored
    JOINED = 14  # a join, which is not sent itself: all its dependencies are final
    FENCED = 15  # another process holds the lease on its log
    UNFENCED = 16  # it was fenced, and this process holds the lease on its log now
    FOUND_APPLIED = 17  # it may have run, and upstream's ledger shows that it was applied


FINAL: Final = frozenset({WriteState.DONE, WriteState.GIVEN_UP})

TRANSITIONS: Final[dict[tuple[WriteState, WriteEvent], WriteState]] = {
    (WriteState.KEPT, WriteEvent.DEPENDENCIES_FINAL): WriteState.READY,
    (WriteState.KEPT, WriteEvent.EXPIRED): WriteState.PARKED,
    (WriteState.KEPT, WriteEvent.ORPHANED): WriteState.PARKED,
    (WriteState.KEPT, WriteEvent.GIVE_UP): WriteState.GIVEN_UP,
    (WriteState.KEPT, WriteEvent.STORE_FAILED): WriteState.GIVEN_UP,
    (WriteState.KEPT, WriteEvent.FENCED): WriteState.PARKED,
    (WriteState.READY, WriteEvent.FENCED): WriteState.PARKED,
    (WriteState.OUT, WriteEvent.FENCED): WriteState.PARKED,
    (WriteState.READY, WriteEvent.SEND): WriteState.OUT,
    (WriteState.READY, WriteEvent.JOINED): WriteState.DONE,
    (WriteState.READY, WriteEvent.EXPIRED): WriteState.PARKED,
    (WriteState.OUT, WriteEvent.ANSWERED): WriteState.DONE,
    (WriteState.OUT, WriteEvent.NOT_RUN): WriteState.READY,
    (WriteState.OUT, WriteEvent.RETRY): WriteState.READY,
    (WriteState.OUT, WriteEvent.UNCERTAIN): WriteState.PARKED,
    (WriteState.OUT, WriteEvent.DENIED): WriteState.PARKED,
    (WriteState.PARKED, WriteEvent.RAN): WriteState.DONE,
    (WriteState.PARKED, WriteEvent.NEVER_RAN): WriteState.KEPT,
    (WriteState.PARKED, WriteEvent.GIVE_UP): WriteState.GIVEN_UP,
    (WriteState.PARKED, WriteEvent.UNFENCED): WriteState.KEPT,
    (WriteState.PARKED, WriteEvent.FOUND_APPLIED): WriteState.DONE,
}


def next_state(state: WriteState, event: WriteEvent) -> WriteState:
    """The state that the event leads to. `StepError` if the table has no such transition."""
    new_state = TRANSITIONS.get((state, event))
    if new_state is None:
        raise StepError(f"{event.name} is not allowed in state {state.name}")
    return new_state


class QueuedWrite(msgspec.Struct, array_like=True, frozen=True):
    """The record of a write as it was queued. Its body is stored separately, in the store's segments.

    `keyed`: upstream recognizes repeats of the class's writes by their key, for `window_us` after the write
    was queued. `wall` is the unix time of queueing in µs, by the edge's clock.
    """

    write_id: WriteId
    cls: str
    method_and_target: bytes  # separated by a space
    headers: tuple[tuple[bytes, bytes], ...]
    size: int  # of the body, in bytes
    digest: bytes  # of method, target and body together
    keyed: bool
    key: bytes
    session: bytes
    obj: bytes
    tenant: str
    dependencies: tuple[tuple[str, int, int, bool], ...]  # the fields of each Dependency
    wall: int
    window_us: int
    earlier_incarnations: int  # number of earlier incarnations of this store that left records


class StateChange(msgspec.Struct, array_like=True, frozen=True):
    """The record of a write's current state. Only the newest record of a write counts."""

    write_id: WriteId
    state: WriteState
    reason: ParkingReason = ParkingReason.NONE
    parking: int = 0  # number of the last parking, 0 if it was never parked
    resolution: int = 0  # the last one given, on the parking `resolved_parking`; 0 if none
    resolved_parking: int = 0  # number of the last parking that was resolved, 0 if none
    resolved_at: int = 0  # unix time, µs
    sent: bool = False  # was ever OUT without a known result, so it may have run
    status: int = 0  # HTTP status of the final answer, 0 if there is none
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    wall: int = 0  # unix time in µs of a final answer, of a parking by one, or of a resolution


_encoder: Final = msgspec.msgpack.Encoder()
_write_decoder: Final[msgspec.msgpack.Decoder[QueuedWrite]] = msgspec.msgpack.Decoder(QueuedWrite)
_state_change_decoder: Final[msgspec.msgpack.Decoder[StateChange]] = msgspec.msgpack.Decoder(StateChange)


def encode(record: QueuedWrite | StateChange) -> bytes:
    """Encode a record for the store."""
    return _encoder.encode(record)


def decode_write(data: bytes) -> QueuedWrite:
    """Decode the stored record of a write. `KeptRecordError` if it is malformed."""
    try:
        return _write_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise KeptRecordError(f"kept write: {error}") from None


def decode_state_change(data: bytes) -> StateChange:
    """Decode the stored record of a state. `KeptRecordError` if it is malformed."""
    try:
        return _state_change_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise KeptRecordError(f"state of a kept write: {error}") from None
