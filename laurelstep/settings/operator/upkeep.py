"""The table `[upkeep]`: machines under maintenance."""

from __future__ import annotations

from laurelstep.maintenance.settings import MaintenanceSettings, StartAlone
from laurelstep.settings.operator.fields import OperatorTable, PositiveInt


class MaintenanceTable(OperatorTable, frozen=True, kw_only=True):
    """Taking machines out of service for maintenance, coordinated among the copies."""

    overdue_s: PositiveInt = 14_400
    start_alone: StartAlone = "wait"
    learn_ms: PositiveInt = 5_000

    def settings(self) -> MaintenanceSettings:
        """The settings of the maintenance subsystem."""
        return MaintenanceSettings(self.overdue_s * 1_000_000, self.start_alone, self.learn_ms * 1000)
