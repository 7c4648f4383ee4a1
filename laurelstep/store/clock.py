"""The time by which a store's records expire. No I/O except in `boot_identity`.

The machine's wall clock may be stepped forward or back. Its monotonic clock is never stepped, and continues
from process to process until the machine is rebooted. The rules:

1. Within a process all durations are measured by the monotonic clock. A new store's time starts at the wall
   clock's, so that its times look like Unix times.
2. A checkpoint of both clocks is written to the log with the first batch of a process, and then with one
   batch every `CHECKPOINT_INTERVAL_MS`. The next process continues from the newest checkpoint.
3. In the same boot of the same machine the monotonic clock gives the exact time since the checkpoint.
4. Otherwise only the bounds of that time are known. The lower bound is zero; records expire by it, so that
   none expires early. The upper bound is the wall clock's difference plus `MAX_STEP_MS`; windows within which
   a write may be repeated end by it. A wall clock that is behind the checkpoint gives no upper bound: then
   `is_elapsed_known` is False.
5. A store without a checkpoint was written by a program that used the wall clock for expiry. Its time is
   within `MAX_STEP_MS` of the wall clock's, before or after.
"""

from __future__ import annotations

import os
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Self

# Assumed maximum step of the wall clock where the monotonic clock does not give the elapsed time.
MAX_STEP_MS: Final = 3_600_000
# Maximum age of the newest checkpoint while records are written.
CHECKPOINT_INTERVAL_MS: Final = 60_000
MAX_BOOT_IDENTITY_BYTES: Final = 128

_PREFIX: Final = b"\0clock"
# Lower bound, upper bound, monotonic and wall time in ms; the boot identity follows.
_TIMES: Final = struct.Struct("<QQQQ")


@dataclass(frozen=True, slots=True)
class ClockCheckpoint:
    """The bounds of the store's time and the machine's clocks, in ms. `boot`: empty if unknown."""

    lower_ms: int
    upper_ms: int
    monotonic_ms: int
    wall_ms: int
    boot: bytes

    def encode(self) -> bytes:
        """Encode as the key of a `CLOCK_CHECKPOINT` record."""
        return (
            _PREFIX + _TIMES.pack(self.lower_ms, self.upper_ms, self.monotonic_ms, self.wall_ms) + self.boot
        )

    @classmethod
    def decode(cls, key: bytes) -> Self:
        """Decode the key of a record. Raises ValueError if it is not a checkpoint."""
        times = key[len(_PREFIX) : len(_PREFIX) + _TIMES.size]
        if not key.startswith(_PREFIX) or len(times) < _TIMES.size:
            raise ValueError("not a clock checkpoint")
        lower_ms, upper_ms, monotonic_ms, wall_ms = _TIMES.unpack(times)
        return cls(lower_ms, upper_ms, monotonic_ms, wall_ms, key[len(_PREFIX) + _TIMES.size :])


def boot_identity() -> bytes:
    """Return an identifier of this boot and of the time namespace; empty if the system provides none."""
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
    """The clocks that a store reads: monotonic seconds, Unix time in ms, and the identifier of the machine's
    current boot. Tests pass their own.
    """

    monotonic: Callable[[], float] = time.monotonic
    wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000
    boot_identity: Callable[[], bytes] = boot_identity


SYSTEM_CLOCKS: Final = StoreClocks()


class StoreClock:
    """A store's time in one process, as a lower and an upper bound."""

    def __init__(self, last: ClockCheckpoint | None, is_new: bool, clocks: StoreClocks) -> None:
        """`last`: the newest checkpoint of earlier processes; `is_new`: the store was never written to."""
        self._monotonic = clocks.monotonic
        self._wall = clocks.wall_ms
        self._boot = boot = clocks.boot_identity()
        self._opened_ms = opened_ms = self._monotonic_ms()
        self._checkpoint_ms: int | None = None  # monotonic time of this process's newest durable checkpoint
        self.is_elapsed_known = True
        self.opening_uncertainty_ms = 0  # upper minus lower bound of the time since `last`
        wall_ms = self._wall()
        if last is None:
            margin_ms = 0 if is_new else MAX_STEP_MS
            self._lower_ms, self._upper_ms = max(0, wall_ms - margin_ms), wall_ms + margin_ms
            self.opening_uncertainty_ms = 2 * margin_ms
        elif boot and last.boot == boot and last.monotonic_ms <= opened_ms:
            elapsed_ms = opened_ms - last.monotonic_ms
            self._lower_ms, self._upper_ms = last.lower_ms + elapsed_ms, last.upper_ms + elapsed_ms
        else:
            self.opening_uncertainty_ms = max(0, wall_ms - last.wall_ms) + MAX_STEP_MS
            self._lower_ms, self._upper_ms = last.lower_ms, last.upper_ms + self.opening_uncertainty_ms
            self.is_elapsed_known = wall_ms >= last.wall_ms

    def _monotonic_ms(self) -> int:
        return int(self._monotonic() * 1000)

    def now_ms(self) -> int:
        """Return the lower bound of the time, by which records expire. Never ahead of real time."""
        return self._lower_ms + self._monotonic_ms() - self._opened_ms

    def upper_ms(self) -> int:
        """Return the upper bound of the time, by which windows for repeats end. Never behind real time."""
        return self._upper_ms + self._monotonic_ms() - self._opened_ms

    def checkpoint(self) -> ClockCheckpoint:
        """Return a checkpoint of this moment."""
        return ClockCheckpoint(
            self.now_ms(), self.upper_ms(), self._monotonic_ms(), max(0, self._wall()), self._boot
        )

    def needs_checkpoint(self) -> bool:
        """Whether the next batch must include a checkpoint."""
        return (
            self._checkpoint_ms is None
            or self._monotonic_ms() - self._checkpoint_ms >= CHECKPOINT_INTERVAL_MS
        )

    def on_checkpoint_durable(self, checkpoint: ClockCheckpoint) -> None:
        """Record that a checkpoint of this process is durable."""
        self._checkpoint_ms = checkpoint.monotonic_ms
