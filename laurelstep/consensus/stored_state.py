"""The stored records of a voter, which must survive a crash: their keys and encoding. No I/O.

1. Key `me` holds the identity of the replica, `vote` the hard state, `base` the snapshot and the start of the
   log; `e` followed by eight bytes, the index, holds a log entry. Keys and field order are the stored format
   and may not change.
2. Learners store nothing: each restarts as another incarnation, and catches up from a voter.
3. Records that can't be decoded, or that belong to another list of peers, are an error: a replica must not
   continue with only a part of what it has promised.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, TypeVar

import msgspec

from laurelstep.consensus.epoch import ClusterEpoch
from laurelstep.consensus.errors import StoredStateError
from laurelstep.consensus.log import ClusterConfig, ReplicatedLog
from laurelstep.consensus.messages import LogEntry
from laurelstep.consensus.snapshots import Snapshot

__all__ = [
    "HARD_STATE_KEY",
    "IDENTITY_KEY",
    "LOG_BASE_KEY",
    "HardState",
    "LogBase",
    "ReplicaIdentity",
    "encode_record",
    "entry_key",
    "load_log",
    "read_record",
]

IDENTITY_KEY: Final = b"me"
HARD_STATE_KEY: Final = b"vote"
LOG_BASE_KEY: Final = b"base"
_ENTRY_PREFIX: Final = b"e"
_ENTRY_KEY_BYTES: Final = 9

_Record = TypeVar("_Record", bound=msgspec.Struct)


class ReplicaIdentity(msgspec.Struct, array_like=True):
    """Identifies the replica that the records belong to."""

    replica_id: int
    peer_count: int
    voter_count: int
    incarnation: int


class HardState(msgspec.Struct, array_like=True):
    """The promises that a voter must not forget (Raft, figure 2; etcd's HardState).

    `has_epoch_started`: whether `promised_epoch` is known to have started. `voted_for`: the voter id and the
    incarnation that got this replica's vote in `term`, None if it has not voted.
    """

    promised_epoch: ClusterEpoch
    has_epoch_started: bool
    term: int
    voted_for: tuple[int, int] | None


class LogBase(msgspec.Struct, array_like=True):
    """The start of the log, the configuration in effect there, and the snapshot."""

    epoch: ClusterEpoch
    base_index: int
    base_term: int
    config_index: int
    config_term: int
    members: list[tuple[int, int]]
    snapshot_index: int
    snapshot_term: int
    snapshot_payload: bytes


def encode_record(record: msgspec.Struct) -> bytes:
    """Encode a record in its stored form."""
    return msgspec.msgpack.encode(record)


def read_record(records: Mapping[bytes, bytes], key: bytes, record_type: type[_Record]) -> _Record | None:
    """Return the record under a key, None if there is none. Raises StoredStateError if it is malformed."""
    raw = records.get(key)
    if raw is None:
        return None
    try:
        return msgspec.msgpack.decode(raw, type=record_type)
    except msgspec.DecodeError as error:
        raise StoredStateError(f"the record {key!r} can't be decoded: {error}") from None


def entry_key(index: int) -> bytes:
    """Return the key that the log entry at an index is stored under."""
    return _ENTRY_PREFIX + index.to_bytes(8, "big")


def load_log(records: Mapping[bytes, bytes], base: LogBase) -> tuple[ReplicatedLog, Snapshot]:
    """Return the log and the snapshot. Raises StoredStateError if an entry is missing."""
    config = ClusterConfig(base.config_index, base.config_term, dict(base.members))
    log = ReplicatedLog(base.epoch, base.base_index, base.base_term, config)
    keys = sorted(key for key in records if key[:1] == _ENTRY_PREFIX and len(key) == _ENTRY_KEY_BYTES)
    for key in keys:
        index = int.from_bytes(key[1:], "big")
        entry = read_record(records, key, LogEntry)
        if index != log.last_index + 1 or entry is None:
            raise StoredStateError(f"entry {log.last_index + 1} of the log is missing")
        log.append(entry)
    snapshot = Snapshot.from_payload(
        base.epoch, base.snapshot_index, base.snapshot_term, base.snapshot_payload
    )
    return log, snapshot
