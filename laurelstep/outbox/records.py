"""The states of a queued write, and their records. Pure.

1. A state changes only as `TRANSITIONS` says.
2. A change is durable before anybody is told, and before the step that it announces is taken: OUT before
   the write is sent, DONE before its receipt says so. KEPT to READY is the exception: it says only that all
   causes are in, which a restart finds out again.
3. What is found OUT after a restart may have run. Keyed within its window it goes out again under its key;
   otherwise it is parked.
4. A write kept as new has never been sent: KEPT and READY say that it has not run, whatever befell the edge.
5. A parking has a number, from 1. A resolution names it, so that one given twice never counts for a later
   one.
6. DONE and GIVEN_UP are final.
7. What upstream's copies say moves a parked write only in two ways: one that may have run is DONE once they
   say that it is in, and one whose log was another's is KEPT again once the log is this process's.
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
    """Where a queued write stands."""

    KEPT = 1  # durable; waits for what it follows
    READY = 2  # all that it follows is in; waits for its turn
    OUT = 3  # sent, or about to be: it may have run
    DONE = 4  # its final answer is known, or an operator said that it ran
    PARKED = 5  # waits for an operator
    GIVEN_UP = 6  # will not run


class ParkingReason(IntEnum):
    """Why a write is parked."""

    NONE = 0
    WINDOW = 1  # keyed, and the time for which its key is remembered has passed
    MAY_HAVE_RUN = 2  # unsafe, or past its window, and its answer was lost
    DENIED = 3  # upstream said a final no
    AGE = 4  # older than what may be kept
    ORPHANED = 5  # what it follows was given up, or lost with its edge
    FOLLOWS = 6  # never in a record: what it follows is parked
    FENCED = 7  # another process with a copy of this disk replays its log


class Resolution(IntEnum):
    """What an operator says of a parked write."""

    RAN = 1
    NEVER_RAN = 2
    GIVE_UP = 3


class WriteEvent(IntEnum):
    """What moves a queued write."""

    DEPENDENCIES_FINAL = 1
    SEND = 2
    ANSWERED = 3
    NOT_RUN = 4  # no attempt can have run
    RETRY = 5  # may have run, and is sent again under its key
    UNCERTAIN = 6  # may have run, and can't be sent again
    DENIED = 7
    EXPIRED = 8
    ORPHANED = 9
    RAN = 10
    NEVER_RAN = 11
    GIVE_UP = 12
    STORE_FAILED = 13  # the record of it could not be kept
    JOINED = 14  # it has no effect of its own: all that it follows is in
    FENCED = 15  # its log is another process's
    UNFENCED = 16  # it was FENCED, and its log is this process's now
    FOUND_APPLIED = 17  # it may have run, and upstream's record says that it is in


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
    """The state after; `StepError` if there is none."""
    after = TRANSITIONS.get((state, event))
    if after is None:
        raise StepError(f"{event.name} does not follow in {state.name}")
    return after


class QueuedWrite(msgspec.Struct, array_like=True, frozen=True):
    """The record of a write as it was kept. Its body stands apart, in the store's segments.

    `keyed`: the class's writes are told apart by their key, for `window_us` after keeping. Times that are
    kept are unix times in µs by the edge's clock.
    """

    write_id: WriteId
    cls: str
    method_and_target: bytes  # method and target
    headers: tuple[tuple[bytes, bytes], ...]
    size: int  # of the body, bytes
    digest: bytes  # of method, target and body
    keyed: bool
    key: bytes
    session: bytes
    obj: bytes
    tenant: str
    dependencies: tuple[tuple[str, int, int, bool], ...]  # see dependencies.Dependencies
    wall: int
    window_us: int
    earlier_incarnations: int  # how many lives of this store, of which there were records, came before


class StateChange(msgspec.Struct, array_like=True, frozen=True):
    """The record of the state since. Only the newest of a write counts."""

    write_id: WriteId
    state: WriteState
    reason: ParkingReason = ParkingReason.NONE
    parking: int = 0
    resolution: int = 0  # the last one given, on `judged`
    resolved_parking: int = 0
    resolved_at: int = 0  # unix time, µs
    sent: bool = False  # was ever OUT without a known end
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    wall: int = 0  # of a final answer, parking by one, or resolution


_encoder: Final = msgspec.msgpack.Encoder()
_kept: Final[msgspec.msgpack.Decoder[QueuedWrite]] = msgspec.msgpack.Decoder(QueuedWrite)
_moved: Final[msgspec.msgpack.Decoder[StateChange]] = msgspec.msgpack.Decoder(StateChange)


def encode(record: QueuedWrite | StateChange) -> bytes:
    """The record's bytes, as they are stored."""
    return _encoder.encode(record)


def decode_write(data: bytes) -> QueuedWrite:
    """`KeptRecordError`."""
    try:
        return _kept.decode(data)
    except msgspec.MsgspecError as error:
        raise KeptRecordError(f"kept write: {error}") from None


def decode_state_change(data: bytes) -> StateChange:
    """`KeptRecordError`."""
    try:
        return _moved.decode(data)
    except msgspec.MsgspecError as error:
        raise KeptRecordError(f"state of a kept write: {error}") from None
