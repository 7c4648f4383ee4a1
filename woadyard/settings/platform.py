"""The platform's configuration: JSON named by LB_CONFIG, with the environment before it."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from woadyard.orders.book import Orders
from woadyard.settings.config import Config, ConfigError, Join, config_from


def load_json(path: str) -> Any:
    try:
        with open(path, "rb") as file:
            return json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def read_file(path: str) -> Config:
    """A configuration in either form, told apart by the file's name."""
    if path.endswith(".toml"):
        # Imported when asked for: the platform's own form needs no further library.
        from woadyard.settings.operator import read_operator

        return read_operator(path).config(path)
    return config_from(load_json(path), path)


def read_platform(
    environ: Mapping[str, str], orders: Orders | None = None, join: Join | None = None
) -> Config:
    """What a daemon under the platform needs: LB_LISTEN, LB_DISCOVERY and LB_MANAGEMENT
    go before the file's `listen`, `discovery` and `management`; all but the last there must be."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    raw = load_json(path)
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: expected an object")
    told = {
        "listen": environ.get("LB_LISTEN"),
        "discovery": environ.get("LB_DISCOVERY"),
        "management": environ.get("LB_MANAGEMENT"),
    }
    config = config_from({**raw, **{key: value for key, value in told.items() if value}}, path, orders)
    for key, value in (("listen", config.listen), ("discovery", config.discovery)):
        if value is None:
            raise ConfigError(f"{path}: {key} is missing: expected host:port")
    return config if join is None else join(config, raw, path)
