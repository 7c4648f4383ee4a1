"""Builds the maintenance components of one process from its configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from laurelstep.consensus.multiplexer import ConsensusClient
from laurelstep.consensus.ports import StateMachine
from laurelstep.engine import Engine
from laurelstep.engine.ports import Clock, Log, MemberSource
from laurelstep.maintenance.api import MaintenanceApi
from laurelstep.maintenance.controller import MaintenanceController
from laurelstep.maintenance.entries import SUBSYSTEM_TAG
from laurelstep.maintenance.routes import handle_call
from laurelstep.maintenance.settings import MaintenanceSettings
from laurelstep.maintenance.source import MaintenanceSource
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.management.calls import Reply
from laurelstep.net.cooperative_task import CooperativeTask
from laurelstep.settings import Config


def passive_state_machines() -> dict[int, StateMachine]:
    """The state machine of a replica that shares the consensus log but has maintenance off.

    If this replica became the leader, its snapshots would otherwise lack the state, and the replicas that
    load them would lose it.
    """
    return {SUBSYSTEM_TAG[0]: MaintenanceState()}


class MaintenanceAssembly:
    """The maintenance components of one process.

    At a start, in this order: `state_machines` go to the consensus log, `wrap_source` gives the engine's
    source, and `start` starts the controller.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, config: Config, settings: MaintenanceSettings, log: Log
    ) -> None:
        self.config = config
        self.settings = settings
        self.log = log
        self.state = MaintenanceState()
        self.state_machines: Final[dict[int, StateMachine]] = {SUBSYSTEM_TAG[0]: self.state}
        self.cooperative_task = CooperativeTask(loop)
        self.may_serve = asyncio.Event()  # set once this process may send requests to endpoints
        self.source: MaintenanceSource | None = None
        self.controller: MaintenanceController | None = None
        self.api: MaintenanceApi | None = None

    def wrap_source(self, inner: MemberSource, clock: Clock) -> MaintenanceSource:
        """The engine's source of endpoint lists, around discovery's source `inner`."""
        self.source = MaintenanceSource(
            inner, self.state, clock, self.config.drain_grace_us, self.cooperative_task.run, self.log
        )
        return self.source

    def start(self, consensus: ConsensusClient, engine: Engine, may_acknowledge: Callable[[], bool]) -> None:
        """Start the controller. `may_acknowledge`: whether the hot restart's predecessor, if any, has stopped
        sending.
        """
        assert self.source is not None
        self.source.in_flight_at = engine.in_flight_at
        self.controller = MaintenanceController(
            consensus,
            self.state,
            self.source,
            engine.clock,
            self.settings,
            slow_start_share=self.config.settings.cold_share,
            slow_start_us=self.config.settings.cold_us,
            log=self.log,
            on_serving=self.may_serve.set,
        )
        self.controller.may_acknowledge = may_acknowledge
        self.api = MaintenanceApi(self.controller)
        self.controller.start()

    def reply(self, method: bytes, target: bytes) -> Reply | None:
        """The reply to a call at the management address; None if it is not a maintenance call, or before
        `start`.
        """
        return None if self.api is None else handle_call(method, target, self.api)

    def close(self) -> None:
        """Stop the controller and the steps of lists that are in progress."""
        self.cooperative_task.close()
        if self.controller is not None:
            self.controller.close()
