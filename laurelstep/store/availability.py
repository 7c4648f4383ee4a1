"""Whether a store accepts writes: disk faults with their retry backoff, and the store's size limit."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from laurelstep.store.disk import StoreError

Log = Callable[[str], None]

MIN_BACKOFF_S: Final = 1.0
MAX_BACKOFF_S: Final = 8.0


class StoreUnavailableError(StoreError):
    """A record was not written: the disk fails, or the store is full or closed."""

    cause = "a record was not written: the disk fails, or the store is full or closed"
    remedy = "free disk space, or raise orders.max_mb or shorten keep_s; writes are retried automatically"


class WriteAvailability:
    """Whether writes are possible now, and if not, why. `clock`: monotonic seconds."""

    def __init__(self, clock: Callable[[], float], log: Log) -> None:
        self._clock = clock
        self._log = log
        self._backoff_s = MIN_BACKOFF_S
        self.fault: str | None = None  # of the disk; None while it works
        self.retry_at = 0.0  # in seconds of `clock`
        self.is_full = False
        self.failures = 0

    def on_fault(self, error: OSError) -> None:
        """Record a failed write or sync; the file past its durable length can no longer be trusted."""
        self.failures += 1
        reason = error.strerror or error
        if self.fault is None:
            self._log(f"store: nothing is written any more: {reason}")
        self.fault = f"the disk fails: {reason}"
        self.retry_at = self._clock() + self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, 2.0 * self._backoff_s)

    def on_recovered(self) -> None:
        """Record that a new segment was started after a fault."""
        self.fault = None
        self._backoff_s = MIN_BACKOFF_S
        self._log("store: writes again, in a new segment")

    def may_retry(self) -> bool:
        """Whether the backoff after a fault has elapsed."""
        return self._clock() >= self.retry_at

    def set_full(self, is_full: bool, max_bytes: int) -> None:
        """Set whether the next batch would exceed `max_bytes`; log when the store becomes full."""
        if is_full and not self.is_full:
            self._log(f"store: full at {max_bytes} bytes: nothing is written any more")
        self.is_full = is_full

    def unavailable_error(self) -> StoreUnavailableError:
        """Return the error for writers while the disk fails."""
        return StoreUnavailableError(self.fault or "the disk fails")
