"""The messages between replicas, and their encoding. No I/O.

1. A datagram is a version byte and one message, a msgpack array that starts with its tag; at most 256 bytes.
2. For a datagram of another version, or one that can't be decoded or exceeds a bound, `decode` returns None,
   and the caller counts it. The link identifies the sender.
3. A message about a log names the log's epoch. A message that commits its sender to something (the response
   to a vote, append or bootstrap request) names the sender's incarnation, and counts for that incarnation
   only.
4. A message that changes the state of its receiver names the receiver's incarnation, shortened (`recipient`).
   A datagram to a process that has since restarted with an empty state is dropped. Without this rule, a late
   datagram of a lost epoch could move a voter out of the epoch that followed, because epochs of the same
   generation have no order in time.

The field order and the tags are the wire format: neither may change within a protocol version.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Final

import msgspec

from laurelstep.consensus.epoch import ClusterEpoch
from laurelstep.consensus.limits import MAX_ENTRY_BYTES, MAX_LEADER_MESSAGE_BYTES
from laurelstep.consensus.ports import MAX_DATAGRAM_BYTES

__all__ = [
    "MAX_BATCH_BYTES",
    "MAX_CHUNK_BYTES",
    "NEEDS_SNAPSHOT",
    "NO_LEADER",
    "PROTOCOL_VERSION",
    "AppendEntriesRequest",
    "AppendEntriesResponse",
    "BootstrapRequest",
    "BootstrapResponse",
    "EntryKind",
    "IdentityRequest",
    "IdentityResponse",
    "InstallSnapshotRequest",
    "InstallSnapshotResponse",
    "LeaderMessage",
    "LearnerPoll",
    "LearnerUpdate",
    "LogEntry",
    "Message",
    "MessageTag",
    "ReadIndexRequest",
    "ReadIndexResponse",
    "RequestVoteRequest",
    "RequestVoteResponse",
    "VoterId",
    "decode",
    "encode",
    "max_encoded_bytes",
    "short_incarnation",
]

PROTOCOL_VERSION: Final = 1
# Limit for the data of one snapshot chunk.
MAX_CHUNK_BYTES: Final = 160
# Limit for the data of all entries in one message, counting ENTRY_OVERHEAD_BYTES for each entry.
MAX_BATCH_BYTES: Final = 175
ENTRY_OVERHEAD_BYTES: Final = 14
# Value of `match_index` if the replica needs a snapshot.
NEEDS_SNAPSHOT: Final = -1
# Value of `leader_id` if the voter knows no leader.
NO_LEADER: Final = -1

# These bounds are far above all real values. They keep a corrupt message from introducing numbers that can't
# be encoded again.
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 48)]
Uint32 = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
RandomId = Annotated[int, msgspec.Meta(ge=0)]
OptionalIndex = Annotated[int, msgspec.Meta(ge=-1, lt=1 << 48)]
VoterId = Annotated[int, msgspec.Meta(ge=0, lt=7)]


class MessageTag(IntEnum):
    """The first element of an encoded message. The values are the wire format and may not change."""

    IDENTITY_REQUEST = 1
    IDENTITY_RESPONSE = 2
    BOOTSTRAP_REQUEST = 3
    BOOTSTRAP_RESPONSE = 4
    REQUEST_VOTE_REQUEST = 5
    REQUEST_VOTE_RESPONSE = 6
    APPEND_ENTRIES_REQUEST = 7
    APPEND_ENTRIES_RESPONSE = 8
    INSTALL_SNAPSHOT_REQUEST = 9
    INSTALL_SNAPSHOT_RESPONSE = 10
    LEARNER_POLL = 11
    LEARNER_UPDATE = 12
    READ_INDEX_REQUEST = 13
    READ_INDEX_RESPONSE = 14
    LEADER_MESSAGE = 15


class EntryKind(IntEnum):
    """The content of a log entry: nothing, data for the state machine, or a new set of voting members."""

    NOOP = 0
    DATA = 1
    CONFIG = 2


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the replicated log."""

    term: Count
    kind: EntryKind
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_ENTRY_BYTES)]


class _Message(msgspec.Struct, array_like=True, frozen=True):
    pass


class IdentityRequest(_Message, frozen=True, tag=MessageTag.IDENTITY_REQUEST.value):
    """Asks a voter for its identity.

    The response repeats the nonce, so it can't be older than the request.
    """

    nonce: RandomId


class IdentityResponse(_Message, frozen=True, tag=MessageTag.IDENTITY_RESPONSE.value):
    """A voter's incarnation, promised epoch, log position and configuration."""

    nonce: RandomId
    incarnation: RandomId
    promised_epoch: ClusterEpoch
    log_epoch: ClusterEpoch
    last_log_term: Count
    last_log_index: Count
    config_term: Count
    config_index: Count
    members: Annotated[list[tuple[VoterId, RandomId]], msgspec.Meta(max_length=7)]
    has_leader_contact: bool


class BootstrapRequest(_Message, frozen=True, tag=MessageTag.BOOTSTRAP_REQUEST.value):
    """Asks a voter to leave its epoch for a new one with these incarnations, ordered by voter id."""

    epoch: ClusterEpoch
    nonce: RandomId
    incarnations: Annotated[list[RandomId], msgspec.Meta(max_length=7)]


class BootstrapResponse(_Message, frozen=True, tag=MessageTag.BOOTSTRAP_RESPONSE.value):
    """Confirms that the voter has left all older epochs for this one, and gives its log position."""

    epoch: ClusterEpoch
    nonce: RandomId
    incarnation: RandomId
    log_epoch: ClusterEpoch
    last_log_term: Count
    last_log_index: Count


class RequestVoteRequest(_Message, frozen=True, tag=MessageTag.REQUEST_VOTE_REQUEST.value):
    """RequestVote (Raft, figure 2), or PreVote (dissertation 9.6), which does not bind the voter."""

    epoch: ClusterEpoch
    recipient: Uint32
    incarnation: RandomId
    term: Count
    last_log_term: Count
    last_log_index: Count
    is_pre_vote: bool


class RequestVoteResponse(_Message, frozen=True, tag=MessageTag.REQUEST_VOTE_RESPONSE.value):
    """The response to the incarnation `candidate`. A granted PreVote repeats the requested term."""

    epoch: ClusterEpoch
    incarnation: RandomId
    candidate: RandomId
    term: Count
    granted: bool
    is_pre_vote: bool


class AppendEntriesRequest(_Message, frozen=True, tag=MessageTag.APPEND_ENTRIES_REQUEST.value):
    """AppendEntries (Raft, figure 2), plus the number of the leader's heartbeat round."""

    epoch: ClusterEpoch
    recipient: Uint32
    term: Count
    prev_log_index: Count
    prev_log_term: Count
    leader_commit: Count
    heartbeat_round: Count
    entries: Annotated[list[LogEntry], msgspec.Meta(max_length=MAX_DATAGRAM_BYTES)] = []


class AppendEntriesResponse(_Message, frozen=True, tag=MessageTag.APPEND_ENTRIES_RESPONSE.value):
    """The response to AppendEntries or a complete snapshot.

    If `success` is False, the leader continues after `match_index`; NEEDS_SNAPSHOT requests a snapshot.
    """

    epoch: ClusterEpoch
    incarnation: RandomId
    term: Count
    success: bool
    match_index: OptionalIndex
    heartbeat_round: Count


class InstallSnapshotRequest(_Message, frozen=True, tag=MessageTag.INSTALL_SNAPSHOT_REQUEST.value):
    """One chunk of a snapshot, from the leader to a voter, or from any voter to a learner."""

    epoch: ClusterEpoch
    recipient: Uint32
    term: Count
    snapshot_index: Count
    snapshot_term: Count
    total_bytes: Uint32
    checksum: Uint32
    offset: Uint32
    heartbeat_round: Count
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_CHUNK_BYTES)]


class InstallSnapshotResponse(_Message, frozen=True, tag=MessageTag.INSTALL_SNAPSHOT_RESPONSE.value):
    """The number of bytes of the snapshot that have arrived."""

    epoch: ClusterEpoch
    incarnation: RandomId
    term: Count
    snapshot_index: Count
    checksum: Uint32
    received_bytes: Uint32
    heartbeat_round: Count


class LearnerPoll(_Message, frozen=True, tag=MessageTag.LEARNER_POLL.value):
    """Sent by a learner to request the entries committed after `applied_index`."""

    epoch: ClusterEpoch
    incarnation: RandomId
    applied_index: Count


class LearnerUpdate(_Message, frozen=True, tag=MessageTag.LEARNER_UPDATE.value):
    """Committed entries after `prev_index`, and the leader, sent by a voter after a poll or a commit."""

    epoch: ClusterEpoch
    recipient: Uint32
    leader_id: OptionalIndex
    has_leader_contact: bool
    prev_index: Count
    entries: Annotated[list[LogEntry], msgspec.Meta(max_length=MAX_DATAGRAM_BYTES)] = []


class ReadIndexRequest(_Message, frozen=True, tag=MessageTag.READ_INDEX_REQUEST.value):
    """Asks the leader for a commit index that is valid as of a time after this request."""

    incarnation: RandomId
    nonce: RandomId


class ReadIndexResponse(_Message, frozen=True, tag=MessageTag.READ_INDEX_RESPONSE.value):
    """The commit index, confirmed by a majority after the request arrived."""

    epoch: ClusterEpoch
    nonce: RandomId
    index: Count


class LeaderMessage(_Message, frozen=True, tag=MessageTag.LEADER_MESSAGE.value):
    """Data for the current leader. `epoch` is that of the sender's log, NO_EPOCH if the sender has no log."""

    epoch: ClusterEpoch
    incarnation: RandomId
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_LEADER_MESSAGE_BYTES)]


Message = (
    IdentityRequest
    | IdentityResponse
    | BootstrapRequest
    | BootstrapResponse
    | RequestVoteRequest
    | RequestVoteResponse
    | AppendEntriesRequest
    | AppendEntriesResponse
    | InstallSnapshotRequest
    | InstallSnapshotResponse
    | LearnerPoll
    | LearnerUpdate
    | ReadIndexRequest
    | ReadIndexResponse
    | LeaderMessage
)

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_HEADER: Final = bytes((PROTOCOL_VERSION,))


def encode(message: Message) -> bytes:
    """Encode a message as one datagram. The field bounds keep it within MAX_DATAGRAM_BYTES."""
    return _HEADER + _encode(message)


def decode(raw: bytes) -> Message | None:
    """Decode a datagram. Returns None if it holds no valid message (rule 2). Never raises."""
    if len(raw) > MAX_DATAGRAM_BYTES or raw[:1] != _HEADER:
        return None
    try:
        message = _decoder.decode(memoryview(raw)[1:])
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    epoch = getattr(message, "epoch", None)
    if epoch is not None and not _is_within_bounds(epoch):
        return None
    return message


def _is_within_bounds(epoch: ClusterEpoch) -> bool:
    return 0 <= epoch.generation < 1 << 32 and 0 <= epoch.id < 1 << 64


def short_incarnation(incarnation: int) -> int:
    """Return the low 32 bits of an incarnation, for `recipient`: 5 bytes instead of 9 in each heartbeat."""
    return incarnation & 0xFFFFFFFF


def max_encoded_bytes(entry: LogEntry) -> int:
    """Return an upper bound for the size of an entry in a message."""
    return len(entry.data) + ENTRY_OVERHEAD_BYTES
