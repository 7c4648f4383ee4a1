"""Builds a node from the settings. The modules of links and stores are imported only if they are used."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import secrets
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.node import ConsensusNode
from laurelstep.consensus.options import ConsensusSettings, parse_udp_address
from laurelstep.consensus.ports import Link, StateMachine, Store
from laurelstep.consensus.timing import ConsensusTiming
from laurelstep.engine.ports import Clock, Log

__all__ = ["build_node", "check_store_folder", "timing_from"]

# A voter that has had no leader for this many election timeouts probes for a bootstrap.
BOOTSTRAP_ELECTION_TIMEOUTS: Final = 4


def timing_from(settings: ConsensusSettings) -> ConsensusTiming:
    """Return the protocol timing for the settings."""
    return ConsensusTiming(
        heartbeat_us=settings.heartbeat_us,
        election_timeout_us=settings.election_us,
        bootstrap_timeout_us=BOOTSTRAP_ELECTION_TIMEOUTS * settings.election_us,
        max_clock_drift=settings.drift,
    )


def check_store_folder(path: str) -> None:
    """Create the store's folder if it is missing. Raises OSError if it can't be used.

    An empty path means that there is no store.
    """
    if path:
        os.makedirs(path, exist_ok=True)
        if not os.access(path, os.W_OK | os.X_OK):
            raise PermissionError(errno.EACCES, os.strerror(errno.EACCES))


def build_node(
    settings: ConsensusSettings,
    state_machine: StateMachine,
    loop: asyncio.AbstractEventLoop,
    clock: Clock,
    log: Log,
) -> ConsensusNode:
    """Return a node for the settings, not yet started.

    Raises ImportError if a library that the store needs is missing.
    """
    timing = timing_from(settings)
    rng = random.Random(secrets.randbits(64))
    replica_id, peer_count = settings.me, len(settings.peers)

    def make_core(incarnation: int, records: Mapping[bytes, bytes]) -> ConsensusCore:
        """Create a core with this process's settings."""
        return ConsensusCore(
            replica_id, peer_count, settings.seats, incarnation, state_machine, timing, rng, records
        )

    make_link, open_store = _link_factory(settings, loop), _store_factory(settings, log)
    return ConsensusNode(make_core, make_link, open_store, state_machine, clock, log, replica_id, peer_count)


def _link_factory(settings: ConsensusSettings, loop: asyncio.AbstractEventLoop) -> Callable[[], Link]:
    if settings.link == "unix":
        from laurelstep.consensus.links.unix import UnixLink

        return lambda: UnixLink(loop, settings.peers, settings.me)
    from laurelstep.consensus.links.udp import UdpLink

    listen = parse_udp_address(settings.listen)
    peers = [address for peer in settings.peers if (address := parse_udp_address(peer)) is not None]
    assert listen is not None and len(peers) == len(settings.peers)
    return lambda: UdpLink(loop, listen, peers, settings.me)


def _store_factory(settings: ConsensusSettings, log: Log) -> Callable[[], Awaitable[Store]]:
    if not settings.store_path:
        from laurelstep.consensus.stores.none import NoStore

        async def open_no_store() -> Store:
            """Return a store that stores nothing."""
            return NoStore()

        return open_no_store
    from laurelstep.consensus.stores.embedded import EmbeddedStore

    async def open_embedded() -> Store:
        """Open the store in the configured folder."""
        return await EmbeddedStore.open(settings.store_path, log)

    return open_embedded
