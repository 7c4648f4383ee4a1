"""Whether a store may be written to: failing disks with their backoff, and the limit on its size."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from laurelstep.store.disk import StoreError

Log = Callable[[str], None]

MIN_BACKOFF_S: Final = 1.0
MAX_BACKOFF_S: Final = 8.0


class StoreUnavailableError(StoreError):
    """It was not written: the disk fails, or the store is full or closed."""

    cause = "a record was not written: the disk fails, or the store is full or closed"
    remedy = "free the disk, or raise orders.max_mb or shorten keep_s; writing is tried again by itself"


class WriteAvailability:
    """Why writes fail now, if they do. `clock`: seconds, never back."""

    def __init__(self, clock: Callable[[], float], log: Log) -> None:
        self._clock = clock
        self._log = log
        self._backoff_s = MIN_BACKOFF_S
        self.fault: str | None = None  # of the disk
        self.retry_at = 0.0
        self.is_full = False
        self.failures = 0

    def on_fault(self, error: OSError) -> None:
        """A write or a sync failed: nothing in the file past its durable length is trusted from now on."""
        self.failures += 1
        reason = error.strerror or error
        if self.fault is None:
            self._log(f"store: nothing is written any more: {reason}")
        self.fault = f"the disk fails: {reason}"
        self.retry_at = self._clock() + self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, 2.0 * self._backoff_s)

    def on_recovered(self) -> None:
        """A new segment was begun after a fault."""
        self.fault = None
        self._backoff_s = MIN_BACKOFF_S
        self._log("store: writes again, in a new segment")

    def may_retry(self) -> bool:
        """Whether the backoff after a fault is over."""
        return self._clock() >= self.retry_at

    def set_full(self, is_full: bool, max_bytes: int) -> None:
        """The next batch exceeds the store's size, or does not."""
        if is_full and not self.is_full:
            self._log(f"store: full at {max_bytes} bytes: nothing is written any more")
        self.is_full = is_full

    def unavailable_error(self) -> StoreUnavailableError:
        """The error for writers while the disk fails."""
        return StoreUnavailableError(self.fault or "the disk fails")
