"""The operator's own file: TOML, read by msgspec into frozen, typed settings, one module a table.

Every key has a default that changes nothing. `[deployment]` describes a deployment where there is no
platform to do so: for the library, or a daemon of its own.
"""

from laurelstep.settings.operator.accord import AccordTable
from laurelstep.settings.operator.deployment import Deployment, Member, RequestClass, Tenant
from laurelstep.settings.operator.document import Operator, read_operator
from laurelstep.settings.operator.orders import OrdersTable, RecordedClass
from laurelstep.settings.operator.outbox import KeepableClass, OutboxTable
from laurelstep.settings.operator.upkeep import MaintenanceTable
from laurelstep.settings.operator.workers import WorkersTable

__all__ = [
    "AccordTable",
    "Deployment",
    "KeepableClass",
    "MaintenanceTable",
    "Member",
    "Operator",
    "OrdersTable",
    "OutboxTable",
    "RecordedClass",
    "RequestClass",
    "Tenant",
    "WorkersTable",
    "read_operator",
]
