"""One process of a simulation: its core, its state machines, its clock and its stored state."""

from __future__ import annotations

import dataclasses
import random
from typing import Final

import msgspec

from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.leases import LeaseTable
from laurelstep.consensus.state_machines import CompositeStateMachine
from laurelstep.consensus.timing import ConsensusTiming

__all__ = [
    "LEASES_TAG",
    "MILLION",
    "RECORDING_TAG",
    "RecordingStateMachine",
    "SimulatedProcess",
    "SimulationOptions",
    "next_digest",
]

MILLION: Final = 1_000_000
_Dump = tuple[list[tuple[int, int]], set[bytes]]
_dump_decoder: msgspec.msgpack.Decoder[_Dump] = msgspec.msgpack.Decoder(_Dump)


# First byte of an entry for the recording state machine or for the leases.
RECORDING_TAG: Final = b"\0"
LEASES_TAG: Final = b"\1"


def next_digest(before: int, index: int, data: bytes) -> int:
    """Return the digest of all entries up to `index`, given the digest of the entries before it."""
    return hash((before, index, int.from_bytes(data, "big")))


class RecordingStateMachine:
    """Records the index of each applied entry, with a digest of all entries up to it."""

    def __init__(self) -> None:
        self.applied: list[tuple[int, int]] = []
        self.data: set[bytes] = set()
        self.load_count = 0

    def apply(self, index: int, data: bytes) -> None:
        """Record one entry."""
        before = self.applied[-1][1] if self.applied else 0
        self.applied.append((index, next_digest(before, index, data)))
        self.data.add(data)

    def dump(self) -> bytes:
        """Return the recording as a snapshot."""
        return msgspec.msgpack.encode((self.applied, sorted(self.data)))

    def load(self, raw: bytes) -> None:
        """Replace the recording by a snapshot."""
        self.load_count += 1
        self.applied, self.data = [], set()
        if raw:
            self.applied, self.data = _dump_decoder.decode(raw)


@dataclasses.dataclass
class SimulationOptions:
    """The processes of a simulation. Tests of the checker set faulty types, whose faults it must find."""

    voter_count: int = 3
    peer_count: int = 3
    timing: ConsensusTiming = dataclasses.field(default_factory=ConsensusTiming)
    is_durable: bool = False
    core_type: type[ConsensusCore] = ConsensusCore
    lease_table_type: type[LeaseTable] = LeaseTable
    # Fault: a process that restarts without state keeps its old incarnation.
    reuses_incarnation: bool = False


class SimulatedProcess:
    """One process, over all its starts."""

    def __init__(self, peer: int, options: SimulationOptions, rng: random.Random) -> None:
        self.peer = peer
        self._options = options
        self._rng = rng
        self.clock_offset_us = rng.randrange(10**10)
        drift = int(options.timing.max_clock_drift * MILLION) - 1
        self.clock_rate_ppm = MILLION + rng.randint(-drift, drift)
        self.stored: dict[bytes, bytes] = {}
        self.core: ConsensusCore | None = None
        self.recording = RecordingStateMachine()
        self.leases = self._new_leases()
        self.incarnation = 0
        self.is_paused = False
        self.inbox: list[tuple[int, bytes]] = []
        self.crashes_in_next_step = False
        self.tick_version = 0
        # How often the process has lost all its state.
        self.state_loss_count = 0

    @property
    def is_alive(self) -> bool:
        """Whether the process runs, paused or not."""
        return self.core is not None

    def local_time_us(self, time: int) -> int:
        """Return the time of the process's clock at a true time, µs."""
        return self.clock_offset_us + time * self.clock_rate_ppm // MILLION

    def true_time_us(self, local: int) -> int:
        """Return the first true time at which the process's clock shows at least `local`, µs."""
        return -(-(local - self.clock_offset_us) * MILLION // self.clock_rate_ppm)

    def _new_leases(self) -> LeaseTable:
        timing = self._options.timing
        return self._options.lease_table_type(self.peer, timing.max_clock_drift, timing.lease_us, self._rng)

    def start(self) -> None:
        """Start or restart the process from its stored state, with new volatile state."""
        options = self._options
        self.recording = RecordingStateMachine()
        self.leases = self._new_leases()
        if not (options.reuses_incarnation and self.incarnation):
            self.incarnation = self._rng.getrandbits(64)
        self.core = options.core_type(
            self.peer,
            options.peer_count,
            options.voter_count,
            self.incarnation,
            CompositeStateMachine({RECORDING_TAG[0]: self.recording, LEASES_TAG[0]: self.leases}),
            options.timing,
            random.Random(self._rng.getrandbits(64)),
            self.stored,
        )
        self.incarnation = self.core.incarnation
        self.is_paused = self.crashes_in_next_step = False
        self.inbox = []
