"""What an edge remembers of writes that are not its own. Pure."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.version_vector import WriteStatus

__all__ = ["FINAL_STATUSES", "KnownStatuses"]

# Statuses that are remembered; the oldest are forgotten, which costs another query.
STATUSES_MOST: Final = 8_192
FINAL_STATUSES: Final = (WriteStatus.APPLIED, WriteStatus.ABANDONED)


class KnownStatuses:
    """The statuses heard last. What is final stays as it is."""

    def __init__(self) -> None:
        self._statuses: OrderedDict[Dependency, WriteStatus] = OrderedDict()

    def get(self, dependency: Dependency) -> WriteStatus:
        """The status heard last; UNKNOWN if there is none."""
        return self._statuses.get(dependency, WriteStatus.UNKNOWN)

    def is_final(self, dependency: Dependency) -> bool:
        """Nothing more need be heard of it."""
        return self.get(dependency) in FINAL_STATUSES

    def update(self, dependency: Dependency, write_status: WriteStatus) -> bool:
        """True if that is news."""
        if self.is_final(dependency) or write_status is self.get(dependency):
            return False
        self._statuses[dependency] = write_status
        self._statuses.move_to_end(dependency)
        if len(self._statuses) > STATUSES_MOST:
            self._statuses.popitem(last=False)
        return True
