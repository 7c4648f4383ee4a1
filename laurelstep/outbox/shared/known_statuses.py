"""The statuses that an edge remembers of writes in other edges' logs. Pure."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.version_vector import WriteStatus

__all__ = ["FINAL_STATUSES", "KnownStatuses"]

# Remembered statuses. The oldest are evicted, and an evicted one costs another query.
MAX_STATUSES: Final = 8_192
FINAL_STATUSES: Final = (WriteStatus.APPLIED, WriteStatus.ABANDONED)


class KnownStatuses:
    """The status last reported for each dependency. A final status never changes."""

    def __init__(self) -> None:
        self._statuses: OrderedDict[Dependency, WriteStatus] = OrderedDict()

    def get(self, dependency: Dependency) -> WriteStatus:
        """The status last reported; UNKNOWN if there is none."""
        return self._statuses.get(dependency, WriteStatus.UNKNOWN)

    def is_final(self, dependency: Dependency) -> bool:
        """Whether the status is final, so that it needs no further query."""
        return self.get(dependency) in FINAL_STATUSES

    def update(self, dependency: Dependency, write_status: WriteStatus) -> bool:
        """Remember a reported status. True if it differs from the one known before."""
        if self.is_final(dependency) or write_status is self.get(dependency):
            return False
        self._statuses[dependency] = write_status
        self._statuses.move_to_end(dependency)
        if len(self._statuses) > MAX_STATUSES:
            self._statuses.popitem(last=False)
        return True
