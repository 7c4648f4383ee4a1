"""Reloading the configuration on SIGHUP: a running process applies only a new discovery address."""

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
# Fields of `Config` not compared as a whole: applied by a reload, new at each start, or compared by part.
COMPARED_SEPARATELY: Final = ("discovery", "seed", "known", "names", "settings")
# The tables of `Config.names` that are compared.
NAME_TABLES: Final = ("classes", "tenants", "zones", "kinds")


def changed_keys(old: Config, new: Config) -> list[str]:
    """The keys that differ in the new configuration and that a reload does not apply."""
    config_keys = [field.name for field in fields(Config) if field.name not in COMPARED_SEPARATELY]
    settings_keys = [field.name for field in fields(Settings)]
    return [
        *(name for name in config_keys if getattr(old, name) != getattr(new, name)),
        *(
            f"settings.{name}"
            for name in settings_keys
            if getattr(old.settings, name) != getattr(new.settings, name)
        ),
        *(f"names of {name}" for name in NAME_TABLES if getattr(old.names, name) != getattr(new.names, name)),
    ]


def reloaded_config(environ: dict[str, str], read_config: ReadConfig, running: Config) -> Config | None:
    """The configuration as the file has it now; None, with a line in the log, if it is invalid.

    The file's `discovery` overrides LB_DISCOVERY of the start. Other changes take effect at the next start,
    because open requests keep the settings under which they arrived; a log line names the changed keys.
    """
    try:
        config = read_config({name: value for name, value in environ.items() if name != "LB_DISCOVERY"})
    except ConfigError as error:
        log(f"not reloaded: {error}")
        return None
    if deferred := changed_keys(running, config):
        log(f"reloaded: discovery only; for the next start: {', '.join(deferred)}")
    return config


def update_discovery_address(source: MemberSource, config: Config) -> None:
    """Watch the discovery service at the address in the configuration."""
    if isinstance(source, Discovery) and config.discovery is not None:
        source.change_address(config.discovery)
