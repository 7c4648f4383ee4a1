"""The contract of `MemberSource` for maintenance's source, on a static list and on discovery. While no
machine is out of service, it passes lists unchanged."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import ClassVar

from laurelstep.engine import LoopClock
from laurelstep.engine.ports import MemberSource
from laurelstep.engine.static_members import StaticMembers
from laurelstep.maintenance.source import MaintenanceSource
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.net.cooperative_task import CooperativeTask
from laurelstep.testing.contracts.members import (
    FaultySourceEnvironment,
    MemberSourceContract,
    PolledSourceContract,
    SourceEnvironment,
)

from tests.maintenance import GRACE_US
from tests.test_contracts import DiscoveryMixin, StaticEnvironment


def wrap_source(inner: MemberSource) -> MaintenanceSource:
    """A maintenance source that knows the replicated state, with no machine out of service."""
    loop = asyncio.get_running_loop()
    source = MaintenanceSource(
        inner, MaintenanceState(), LoopClock(loop), GRACE_US, CooperativeTask(loop).run, lambda line: None
    )
    source.start_forwarding(True)
    return source


class TestMaintenanceOnStaticMembers(MemberSourceContract):
    @contextlib.asynccontextmanager
    async def environment(self) -> AsyncIterator[SourceEnvironment]:
        members = StaticMembers()
        environment = StaticEnvironment(members)
        environment.source = wrap_source(members)
        yield environment
        members.close()


class MaintenanceOnDiscovery(DiscoveryMixin):
    @contextlib.asynccontextmanager
    async def environment(self) -> AsyncIterator[FaultySourceEnvironment]:
        async with super().environment() as environment:
            environment.source = wrap_source(environment.source)
            yield environment


class TestMaintenanceOnPushedDiscovery(MaintenanceOnDiscovery, MemberSourceContract):
    is_pushed: ClassVar[bool] = True


class TestMaintenanceOnPolledDiscovery(MaintenanceOnDiscovery, PolledSourceContract):
    is_pushed: ClassVar[bool] = False
