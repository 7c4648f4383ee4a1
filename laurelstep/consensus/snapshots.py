"""Snapshots, which replace the oldest entries of the log, and their transfer. No I/O.

1. A snapshot holds the state machine's state at a committed index, the term of that index, and the
   configuration in effect at it.
2. It is transferred in chunks by one sender at a time. Each chunk is sent after the previous one was
   confirmed.
3. It is installed only once it is complete and its checksum matches; until then the receiver keeps its state.
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

# Longer snapshots are rejected. The state of a thousand machines under maintenance is far smaller.
MAX_SNAPSHOT_BYTES: Final = 1 << 20


class _Payload(msgspec.Struct, array_like=True):
    """The encoded form of a snapshot. The field order may not change."""

    config_index: int
    config_term: int
    members: list[tuple[VoterId, int]]
    dump: bytes


_payload_decoder: msgspec.msgpack.Decoder[_Payload] = msgspec.msgpack.Decoder(_Payload)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state at `index` (rule 1). `payload` encodes the configuration and the state machine's dump."""

    epoch: ClusterEpoch
    index: int
    term: int
    payload: bytes
    checksum: int

    @classmethod
    def create(
        cls, epoch: ClusterEpoch, index: int, term: int, config: ClusterConfig, dump: bytes
    ) -> Snapshot:
        """Create a snapshot from a state machine's dump."""
        payload = _Payload(config.index, config.term, sorted(config.members.items()), dump)
        return cls.from_payload(epoch, index, term, msgspec.msgpack.encode(payload))

    @classmethod
    def from_payload(cls, epoch: ClusterEpoch, index: int, term: int, payload: bytes) -> Snapshot:
        """Create a snapshot from an encoded payload that was received or stored."""
        return cls(epoch, index, term, payload, zlib.crc32(payload))

    def decode(self) -> tuple[ClusterConfig, bytes]:
        """Return the configuration and the state machine's dump. Raises msgspec.DecodeError."""
        payload = _payload_decoder.decode(self.payload)
        config = ClusterConfig(payload.config_index, payload.config_term, dict(payload.members))
        return config, payload.dump

    def chunk(self, recipient: int, term: int, offset: int, heartbeat_round: int) -> InstallSnapshotRequest:
        """Return the message with the chunk that starts at an offset in bytes."""
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
    """The fields that all chunks of one snapshot have in common."""

    epoch: ClusterEpoch
    index: int
    term: int
    total_bytes: int
    checksum: int

    @classmethod
    def from_chunk(cls, message: InstallSnapshotRequest) -> _SnapshotHeader:
        """Return the header of a chunk."""
        return cls(
            message.epoch,
            message.snapshot_index,
            message.snapshot_term,
            message.total_bytes,
            message.checksum,
        )


class SnapshotAssembly:
    """Assembles one snapshot from its chunks. A chunk of another snapshot discards the earlier ones."""

    def __init__(self) -> None:
        self._header: _SnapshotHeader | None = None
        self._payload = bytearray()

    def add(self, message: InstallSnapshotRequest) -> int:
        """Add a chunk, and return the number of bytes received, which is the offset of the next chunk."""
        if message.total_bytes > MAX_SNAPSHOT_BYTES:
            return 0
        header = _SnapshotHeader.from_chunk(message)
        if header != self._header:
            self._header = header
            self._payload.clear()
        is_next = message.offset == len(self._payload)
        if is_next and len(self._payload) + len(message.data) <= message.total_bytes:
            self._payload += message.data
        return len(self._payload)

    def take_complete(self) -> Snapshot | None:
        """Return the snapshot once; None while chunks are missing, or if the checksum does not match."""
        header = self._header
        if header is None or len(self._payload) < header.total_bytes:
            return None
        payload = bytes(self._payload)
        self._header = None
        self._payload.clear()
        snapshot = Snapshot.from_payload(header.epoch, header.index, header.term, payload)
        return snapshot if snapshot.checksum == header.checksum else None
