"""What the daemon knows of an optional subsystem."""

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
    """What each subsystem is made from."""

    loop: asyncio.AbstractEventLoop
    config: Config
    environ: Mapping[str, str]

    @property
    def error_prefix(self) -> str:
        """The operator's file, where there is one, to begin the line of a `ConfigError` with."""
        path = self.environ.get("LB_OPERATOR")
        return f"{path}: " if path else ""


class Subsystem:
    """One optional part of a daemon. Each step does nothing unless a subsystem says otherwise."""

    # It is needed until the last connection is closed: it stops after the sockets.
    outlives_sockets: ClassVar[bool] = False

    async def start(self, engine: Engine, server: Server) -> None:
        """Join the engine and the server, before a client can come. `ConfigError` if it can't."""

    async def stop(self) -> None:
        """All requests are answered: let go of what is open."""

    def reload(self, config: Config) -> None:
        """SIGHUP: take from a new configuration what may change while the process runs."""

    def reply(self, method: bytes, target: bytes) -> Reply | None:
        """Its status and its calls at the second address; None for a call that is none of its own."""
        return None


async def first_of(events: tuple[asyncio.Event, ...]) -> None:
    """Until one of the events is set."""
    waits = [asyncio.ensure_future(one.wait()) for one in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for one in waits:
        one.cancel()
