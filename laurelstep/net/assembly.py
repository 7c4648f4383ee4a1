"""Builds the engine, its upstream and its member source from a configuration, for daemon and library."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from laurelstep.engine.clock import LoopClock
from laurelstep.engine.engine import Engine
from laurelstep.engine.event_log import EventLog
from laurelstep.engine.ports import Clock, FilteringSource, Log, MemberSource, Recorder
from laurelstep.engine.request_ids import RequestIdTable
from laurelstep.engine.static_members import StaticMembers
from laurelstep.net.collector import Collector
from laurelstep.net.discovery import LIST_PATH, Discovery
from laurelstep.net.upstream import Upstream
from laurelstep.settings import Config, ConfigError

# Wraps a member source in one that filters its lists: see `FilteringSource`.
FilteringSourceFactory = Callable[[MemberSource, Clock], FilteringSource]


def create_source(
    loop: asyncio.AbstractEventLoop, config: Config, log: Log, collector: Collector | None
) -> Discovery | StaticMembers:
    """Discovery if the configuration names an address, else a source with a fixed list of members."""
    if config.discovery is None:
        return StaticMembers()
    is_pushed = not config.settings.asks_discovery
    return Discovery(loop, config.discovery, LIST_PATH, is_pushed, log, collector, config.seed)


class Assembly:
    """An engine with its upstream and its member source. A front end (daemon or library) is attached to it.

    `members`, unless it is None, is a fixed list that is used instead of discovery. Without it and without
    discovery, the list in the configuration is used. `create_filtering_source` wraps the member source before
    the engine uses it; None wraps nothing. `request_ids`: the table of claimed ids that other processes
    share; None = one of its own.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        log: Log,
        recorder: Recorder | None = None,
        members: Sequence[Any] | None = None,
        collector: Collector | None = None,
        create_filtering_source: FilteringSourceFactory | None = None,
        request_ids: RequestIdTable | None = None,
    ) -> None:
        self.config = config
        settings = config.settings
        clock = LoopClock(loop)
        event_log = EventLog(clock.now, log)
        self.upstream = Upstream(
            loop,
            clock.now,
            settings.idle_us,
            settings.connect_timeout_us,
            config.max_side_connections,
            config.memory_mb,
            event_log,
        )
        self.source = create_source(loop, config, log, collector) if members is None else StaticMembers()
        if members is None:
            members = config.known["instances"] if config.known else ()
        self.members = members
        self.filtering_source = (
            None if create_filtering_source is None else create_filtering_source(self.source, clock)
        )
        self.engine = Engine(
            clock,
            config.seed,
            settings,
            config.names,
            self.upstream,
            self.filtering_source or self.source,
            config.drain_grace_us,
            log,
            recorder,
            event_log,
            request_ids,
        )

    def start(self) -> None:
        """Start the engine with the members known so far. `ConfigError` if that list is malformed."""
        try:
            if isinstance(self.source, StaticMembers):
                self.engine.start()
                self.source.replace_list(self.members)
            elif self.filtering_source is not None:
                if (known := self.config.known) is not None:
                    self.filtering_source.set_initial_list(int(known["generation"]), known["instances"])
                self.engine.start()
            else:
                self.engine.start(self.config.known)
        except ValueError as error:
            raise ConfigError(f"members: {error}") from None

    def close(self) -> None:
        """Stop watching discovery and close all connections to endpoints."""
        self.source.close()
        self.upstream.close()

    async def wait_closed(self) -> None:
        """Wait, after `close`, until no task and no socket is left."""
        await self.source.wait_closed()
        await self.upstream.wait_closed()
