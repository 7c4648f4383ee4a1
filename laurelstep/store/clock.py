"""The time by which a store's records expire. No I/O but that of `boot_identity`.

The machine's wall clock may be stepped, forward or back; its monotonic clock runs on, and goes on from
process to process until the machine is started anew. The rules:

1. While a process lives, all spans are measured by the monotonic clock. The wall clock is read once, when a
   new store is made, so that its times look like Unix times.
2. A note of both clocks goes into the log with the first batch of a process, and with a batch each
   `CHECKPOINT_INTERVAL_MS`. The next life goes on from the newest checkpoint.
3. In the same boot of the same machine the monotonic clock tells exactly how long ago that was.
4. Otherwise how long ago that was is not known. At the least no time has passed: by that, records expire, so
   none goes too early. At the most the wall clock's difference and `MAX_STEP_MS` have passed: by that,
   windows end in which a write may be repeated. A wall clock that stands before the note tells nothing:
   then `is_elapsed_known` is False.
5. A store without a note was written by a program that used the wall clock for expiry. Its time is taken as
   `MAX_STEP_MS` before the wall clock's at the least, and as much after it at the most.
"""

from __future__ import annotations

import os
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Self

# The largest step of a wall clock that is allowed for where nothing else tells how much time has passed.
MAX_STEP_MS: Final = 3_600_000
# How old the newest note may become while records are written.
CHECKPOINT_INTERVAL_MS: Final = 60_000
MAX_BOOT_IDENTITY_BYTES: Final = 128

_PREFIX: Final = b"\0clock"
# least, most, monotonic and wall time in ms; the boot identity follows.
_CHECKPOINT: Final = struct.Struct("<QQQQ")


@dataclass(frozen=True, slots=True)
class ClockCheckpoint:
    """What a process noted of its clocks at one moment. All times in ms; `boot` may be empty: unknown."""

    lower_ms: int
    upper_ms: int
    monotonic_ms: int
    wall_ms: int
    boot: bytes

    def encode(self) -> bytes:
        """As the key of a record of its own kind."""
        return (
            _PREFIX
            + _CHECKPOINT.pack(self.lower_ms, self.upper_ms, self.monotonic_ms, self.wall_ms)
            + self.boot
        )

    @classmethod
    def decode(cls, key: bytes) -> Self:
        """ValueError if it is no checkpoint."""
        times = key[len(_PREFIX) : len(_PREFIX) + _CHECKPOINT.size]
        if not key.startswith(_PREFIX) or len(times) < _CHECKPOINT.size:
            raise ValueError("not a clock checkpoint")
        lower_ms, upper_ms, monotonic_ms, wall_ms = _CHECKPOINT.unpack(times)
        return cls(lower_ms, upper_ms, monotonic_ms, wall_ms, key[len(_PREFIX) + _CHECKPOINT.size :])


def boot_identity() -> bytes:
    """Names this start of this machine, and the time namespace; empty where the system doesn't tell."""
    try:
        with open("/proc/sys/kernel/random/boot_id", "rb") as file:
            boot = file.read(MAX_BOOT_IDENTITY_BYTES // 2).strip()
    except OSError:
        return b""
    try:
        namespace = os.readlink("/proc/self/ns/time").encode()
    except OSError:
        namespace = b""
    return (boot + b" " + namespace)[:MAX_BOOT_IDENTITY_BYTES] if boot else b""


@dataclass(frozen=True, slots=True)
class StoreClocks:
    """Where a store reads time: seconds that never go back, Unix time in ms, and what names this start of the
    machine. Tests pass their own.
    """

    monotonic: Callable[[], float] = time.monotonic
    wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000
    boot_identity: Callable[[], bytes] = boot_identity


SYSTEM_CLOCKS: Final = StoreClocks()


class StoreClock:
    """A store's time in one process."""

    def __init__(self, checkpoint: ClockCheckpoint | None, is_new: bool, clocks: StoreClocks) -> None:
        """`note`: the newest of earlier processes; `is_new`: nothing was ever written to this store."""
        self._monotonic = clocks.monotonic
        self._wall = clocks.wall_ms
        self._boot = boot = clocks.boot_identity()
        self._opened_ms = opened_ms = self._monotonic_ms()
        self._checkpoint_ms: int | None = None  # monotonic time of this process's newest durable note
        self.is_elapsed_known = True
        self.opening_uncertainty_ms = 0  # between the least and the most that passed before this opening
        wall_ms = self._wall()
        if checkpoint is None:
            margin_ms = 0 if is_new else MAX_STEP_MS
            self._lower_ms, self._upper_ms = max(0, wall_ms - margin_ms), wall_ms + margin_ms
            self.opening_uncertainty_ms = 2 * margin_ms
        elif boot and checkpoint.boot == boot and checkpoint.monotonic_ms <= opened_ms:
            elapsed_ms = opened_ms - checkpoint.monotonic_ms
            self._lower_ms, self._upper_ms = (
                checkpoint.lower_ms + elapsed_ms,
                checkpoint.upper_ms + elapsed_ms,
            )
        else:
            self.opening_uncertainty_ms = max(0, wall_ms - checkpoint.wall_ms) + MAX_STEP_MS
            self._lower_ms, self._upper_ms = (
                checkpoint.lower_ms,
                checkpoint.upper_ms + self.opening_uncertainty_ms,
            )
            self.is_elapsed_known = wall_ms >= checkpoint.wall_ms

    def _monotonic_ms(self) -> int:
        return int(self._monotonic() * 1000)

    def now_ms(self) -> int:
        """By which records expire: it never runs ahead of the time that has truly passed."""
        return self._lower_ms + self._monotonic_ms() - self._opened_ms

    def upper_ms(self) -> int:
        """By which windows end: it never stays behind the time that has truly passed."""
        return self._upper_ms + self._monotonic_ms() - self._opened_ms

    def checkpoint(self) -> ClockCheckpoint:
        """Of this moment."""
        return ClockCheckpoint(
            self.now_ms(), self.upper_ms(), self._monotonic_ms(), max(0, self._wall()), self._boot
        )

    def needs_checkpoint(self) -> bool:
        """Whether the next batch is to carry a checkpoint."""
        return (
            self._checkpoint_ms is None
            or self._monotonic_ms() - self._checkpoint_ms >= CHECKPOINT_INTERVAL_MS
        )

    def on_checkpoint_durable(self, checkpoint: ClockCheckpoint) -> None:
        """It is durable."""
        self._checkpoint_ms = checkpoint.monotonic_ms
