"""`[upkeep]`: machines under maintenance."""

from __future__ import annotations

from laurelstep.maintenance.settings import MaintenanceSettings, StartAlone
from laurelstep.settings.operator.fields import Count, OperatorTable


class MaintenanceTable(OperatorTable, frozen=True, kw_only=True):
    """Machines taken out for work, in an agreed order."""

    overdue_s: Count = 14_400
    start_alone: StartAlone = "wait"
    learn_ms: Count = 5_000

    def settings(self) -> MaintenanceSettings:
        """The same as the subsystem takes it."""
        return MaintenanceSettings(self.overdue_s * 1_000_000, self.start_alone, self.learn_ms * 1000)
