"""The operator's TOML file, converted by msgspec to frozen structs. Each table has its own module.

Defaults leave behaviour unchanged. `[deployment]` replaces the platform's JSON where there is no platform:
for the library, or for a daemon that runs without one.
"""

from laurelstep.settings.operator.accord import AccordTable
from laurelstep.settings.operator.deployment import Deployment, Member, RequestClass, Tenant
from laurelstep.settings.operator.document import OperatorFile, read_operator
from laurelstep.settings.operator.orders import OrdersTable, RecordedClass
from laurelstep.settings.operator.outbox import OutboxTable, QueueableClass
from laurelstep.settings.operator.upkeep import MaintenanceTable
from laurelstep.settings.operator.workers import WorkersTable

__all__ = [
    "AccordTable",
    "Deployment",
    "MaintenanceTable",
    "Member",
    "OperatorFile",
    "OrdersTable",
    "OutboxTable",
    "QueueableClass",
    "RecordedClass",
    "RequestClass",
    "Tenant",
    "WorkersTable",
    "read_operator",
]
