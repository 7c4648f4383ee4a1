"""One real sidecar: reads its configuration, wires the parts, heeds SIGTERM and SIGHUP."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import sys
from dataclasses import dataclass
from typing import Any

import uvloop

from woadyard.interface import Settings
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver, Names
from woadyard.net.message import log, unblock_log
from woadyard.net.server import Server
from woadyard.net.upstream import Upstream
from woadyard.wire import WireError, read_settings

LIST_PATH = "/registry/instances"
SOCKETS_DEFAULT = 1024
# Descriptors for the listener, the watch, the loop and standard streams.
SOCKETS_APART = 24


class ConfigError(Exception):
    """The configuration can't be used; the text says why, on one line."""


@dataclass(frozen=True)
class Config:
    listen: tuple[str, int]
    discovery: str
    seed: int
    sockets: int
    settings: Settings
    names: Names
    drain_grace_us: int
    known: dict[str, Any] | None


def address(text: Any) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"no address: {text!r}")
    return host, int(port)


def read_config(environ: dict[str, str]) -> Config:
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
        settings = read_settings(json.dumps(raw["settings"]).encode())
        rules = raw["settings"].get("invariants", {})
        known = raw.get("known")
        if known is not None and not (isinstance(known["instances"], list) and int(known["generation"]) >= 0):
            raise ConfigError("known is no list of endpoints")
        discovery = str(environ.get("LB_DISCOVERY") or raw["discovery"])
        address(discovery)
        return Config(
            listen=address(environ.get("LB_LISTEN") or raw["listen"]),
            discovery=discovery,
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int(raw.get("limits", {}).get("sockets", SOCKETS_DEFAULT)),
            settings=settings,
            names=Names(raw["settings"], settings),
            drain_grace_us=int(rules.get("drain-grace-us", 0)),
            known=known,
        )
    except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError, WireError) as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def reload(environ: dict[str, str], discovery: Discovery) -> None:
    """SIGHUP: what the file now says of discovery holds, also against the
    environment of the start; a file that can't be used changes nothing."""
    try:
        config = read_config({name: value for name, value in environ.items() if name != "LB_DISCOVERY"})
    except ConfigError as error:
        log(f"not reloaded: {error}")
    else:
        discovery.move(config.discovery)


async def serve(config: Config, environ: dict[str, str]) -> None:
    loop = asyncio.get_running_loop()
    # Each side has its half of the descriptors: a crowd of callers must not leave
    # none for endpoints, nor the other way round.
    most = max(16, min(config.sockets, SOCKETS_DEFAULT) - SOCKETS_APART) // 2
    settings = config.settings
    upstream = Upstream(loop, Driver.now, settings.idle_us, settings.connect_timeout_us, most)
    driver = Driver(loop, config.seed, settings, config.names, upstream, config.drain_grace_us)
    discovery = Discovery(loop, config.discovery, LIST_PATH, not settings.asks_discovery, driver.listed)
    driver.discovery = discovery
    try:
        driver.start(config.known)
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None
    server = Server(driver, most)
    try:
        await server.listen(*config.listen)
    except OSError as error:
        raise ConfigError(f"can't listen: {error}") from None
    ended = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload, environ, discovery)
    loop.add_signal_handler(signal.SIGTERM, server.stop, ended.set)
    loop.add_signal_handler(signal.SIGINT, server.stop, ended.set)
    await ended.wait()
    discovery.close()
    upstream.close()


def main() -> int:
    unblock_log()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    # What stands now stays: the collector need not walk it again.
    gc.set_threshold(5_000, 10, 10)
    gc.freeze()
    environ = dict(os.environ)
    try:
        uvloop.run(serve(read_config(environ), environ))
    except ConfigError as error:
        log(str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
