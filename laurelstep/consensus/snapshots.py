"""Snapshots: what stands for the oldest entries of the log, and how it is transferred. Pure.

1. A snapshot is the state machine as of a committed index, the index's term, and the voters as of it.
2. It travels in chunks, each sent when the one before has arrived, from one sender at a time.
3. It is used only when it is complete and its checksum holds; until then nothing is given up for it.
"""

from __future__ import annotations

import dataclasses
import zlib
from typing import Final

import msgspec

from laurelstep.consensus.epoch import ClusterEpoch
from laurelstep.consensus.log import ClusterConfig
from laurelstep.consensus.messages import MAX_CHUNK_BYTES, InstallSnapshotRequest, VoterId

__all__ = ["MAX_SNAPSHOT_BYTES", "Snapshot", "SnapshotAssembly"]

# The longest snapshot that is taken in: the state of a thousand machines under maintenance is far below.
MAX_SNAPSHOT_BYTES: Final = 1 << 20


class _Payload(msgspec.Struct, array_like=True):
    """The encoded form: its field order may not change."""

    config_index: int
    config_term: int
    members: list[tuple[VoterId, int]]
    dump: bytes


_payload_decoder: msgspec.msgpack.Decoder[_Payload] = msgspec.msgpack.Decoder(_Payload)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state as of `index` (rule 1). `payload` holds the voters and the state machine's dump."""

    epoch: ClusterEpoch
    index: int
    term: int
    payload: bytes
    checksum: int

    @classmethod
    def create(
        cls, epoch: ClusterEpoch, index: int, term: int, config: ClusterConfig, dump: bytes
    ) -> Snapshot:
        """Make a snapshot of a state machine's dump."""
        payload = _Payload(config.index, config.term, sorted(config.members.items()), dump)
        return cls.from_payload(epoch, index, term, msgspec.msgpack.encode(payload))

    @classmethod
    def from_payload(cls, epoch: ClusterEpoch, index: int, term: int, payload: bytes) -> Snapshot:
        """Make a snapshot of an encoded payload, which may have been received or stored."""
        return cls(epoch, index, term, payload, zlib.crc32(payload))

    def decode(self) -> tuple[ClusterConfig, bytes]:
        """Return the voters and the state machine's dump. Raises msgspec.DecodeError."""
        payload = _payload_decoder.decode(self.payload)
        config = ClusterConfig(payload.config_index, payload.config_term, dict(payload.members))
        return config, payload.dump

    def chunk(self, recipient: int, term: int, offset: int, heartbeat_round: int) -> InstallSnapshotRequest:
        """Return the message with the chunk at an offset, in bytes."""
        return InstallSnapshotRequest(
            self.epoch,
            recipient,
            term,
            self.index,
            self.term,
            len(self.payload),
            self.checksum,
            offset,
            heartbeat_round,
            self.payload[offset : offset + MAX_CHUNK_BYTES],
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _SnapshotHeader:
    """What all chunks of one snapshot have in common."""

    epoch: ClusterEpoch
    index: int
    term: int
    total_bytes: int
    checksum: int

    @classmethod
    def of(cls, message: InstallSnapshotRequest) -> _SnapshotHeader:
        """Return the header of a chunk."""
        return cls(
            message.epoch,
            message.snapshot_index,
            message.snapshot_term,
            message.total_bytes,
            message.checksum,
        )


class SnapshotAssembly:
    """Joins the chunks of one snapshot at a time."""

    def __init__(self) -> None:
        self._header: _SnapshotHeader | None = None
        self._payload = bytearray()

    def add(self, message: InstallSnapshotRequest) -> int:
        """Take a chunk, and return how many bytes are there: where the next chunk begins."""
        if message.total_bytes > MAX_SNAPSHOT_BYTES:
            return 0
        header = _SnapshotHeader.of(message)
        if header != self._header:
            self._header = header
            self._payload.clear()
        is_next = message.offset == len(self._payload)
        if is_next and len(self._payload) + len(message.data) <= message.total_bytes:
            self._payload += message.data
        return len(self._payload)

    def take_complete(self) -> Snapshot | None:
        """Return the snapshot, once; None while chunks are missing, or where the checksum does not hold."""
        header = self._header
        if header is None or len(self._payload) < header.total_bytes:
            return None
        payload = bytes(self._payload)
        self._header = None
        self._payload.clear()
        snapshot = Snapshot.from_payload(header.epoch, header.index, header.term, payload)
        return snapshot if snapshot.checksum == header.checksum else None
