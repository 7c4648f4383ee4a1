"""The interface of the daemon's optional subsystems."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

from laurelstep.settings import Config

if TYPE_CHECKING:
    from laurelstep.engine import Engine
    from laurelstep.management.calls import Reply
    from laurelstep.net.server import Server


@dataclass(frozen=True)
class ProcessContext:
    """The process that a subsystem runs in: its event loop, configuration and environment."""

    loop: asyncio.AbstractEventLoop
    config: Config
    environ: Mapping[str, str]

    @property
    def error_prefix(self) -> str:
        """The prefix of a `ConfigError`'s text: the path of the operator's file, or empty without one."""
        path = self.environ.get("LB_OPERATOR")
        return f"{path}: " if path else ""


class Subsystem:
    """One optional part of a daemon. The methods do nothing unless a subclass overrides them."""

    # Whether it is needed until the last connection is closed, and is stopped only after that.
    outlives_sockets: ClassVar[bool] = False

    async def start(self, engine: Engine, server: Server) -> None:
        """Attach to the engine and the server, before clients are accepted. May raise `ConfigError`."""

    async def stop(self) -> None:
        """Release resources. Called once all requests have been answered."""

    def reload(self, config: Config) -> None:
        """Apply the parts of a new configuration that may change at run time. Called on SIGHUP."""

    def reply(self, method: bytes, target: bytes) -> Reply | None:
        """Answer a call at the management address; None if the call is not for this subsystem."""
        return None


async def wait_for_any(events: tuple[asyncio.Event, ...]) -> None:
    """Wait until one of the events is set."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
