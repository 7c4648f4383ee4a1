"""`[upkeep]`: machines under maintenance."""

from __future__ import annotations

from laurelstep.settings.operator.fields import Count, OperatorTable
from laurelstep.upkeep.options import StartAlone, UpkeepSettings


class UpkeepTable(OperatorTable, frozen=True, kw_only=True):
    """Machines taken out for work, in an agreed order."""

    overdue_s: Count = 14_400
    start_alone: StartAlone = "wait"
    learn_ms: Count = 5_000

    def settings(self) -> UpkeepSettings:
        """The same as the subsystem takes it."""
        return UpkeepSettings(self.overdue_s * 1_000_000, self.start_alone, self.learn_ms * 1000)
