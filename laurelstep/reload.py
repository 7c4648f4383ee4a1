"""SIGHUP: what of a new configuration a running process takes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from typing import Final

from laurelstep.balancing.events import Settings
from laurelstep.engine.ports import MemberSource
from laurelstep.net.discovery import Discovery
from laurelstep.net.log import log
from laurelstep.settings import Config, ConfigError

ReadConfig = Callable[[dict[str, str]], Config]
# Taken at a reload, or new with each start, or compared by their parts.
COMPARED_APART: Final = ("discovery", "seed", "known", "names", "settings")
NAMED: Final = ("classes", "tenants", "zones", "kinds")


def changed_keys(old: Config, new: Config) -> list[str]:
    """What a new configuration says otherwise and a reload leaves as it is."""
    own = [one.name for one in fields(Config) if one.name not in COMPARED_APART]
    rules = [one.name for one in fields(Settings)]
    return [
        *(name for name in own if getattr(old, name) != getattr(new, name)),
        *(f"settings.{name}" for name in rules if getattr(old.settings, name) != getattr(new.settings, name)),
        *(f"names of {name}" for name in NAMED if getattr(old.names, name) != getattr(new.names, name)),
    ]


def reloaded_config(environ: dict[str, str], read_config: ReadConfig, running: Config) -> Config | None:
    """The configuration as the file has it now, also against the environment of the start; None, with a
    line in the log, if it can't be used. What it changes beside discovery waits for the next start, which
    a line says: requests under way keep the rules they came under.
    """
    try:
        config = read_config({name: value for name, value in environ.items() if name != "LB_DISCOVERY"})
    except ConfigError as error:
        log(f"not reloaded: {error}")
        return None
    if ignored := changed_keys(running, config):
        log(f"reloaded: discovery only; for the next start: {', '.join(ignored)}")
    return config


def move_discovery(source: MemberSource, config: Config) -> None:
    """Follow the discovery that the configuration names."""
    if isinstance(source, Discovery) and config.discovery is not None:
        source.change_address(config.discovery)
