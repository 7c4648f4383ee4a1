"""The platform's configuration: JSON named by LB_CONFIG, with the environment before it."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from laurelstep.engine.list_updates import normalize_entry
from laurelstep.engine.ports import Log
from laurelstep.request_journal.settings import JournalSettings
from laurelstep.settings.config import Config, ConfigError, Join, config_from


def no_log(text: str) -> None:
    """For whoever only wants to know whether the rest can be used."""


def load_json(path: str) -> Any:
    """The file's JSON; `ConfigError` with one line if it can't be read."""
    try:
        with open(path, "rb") as file:
            return json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def read_file(path: str) -> Config:
    """A configuration in either form, told apart by the file's name."""
    if path.endswith(".toml"):
        # Imported when asked for: the platform's own form needs no further library.
        from laurelstep.settings.operator import read_operator

        return read_operator(path).config(path)
    return config_from(load_json(path), path)


def _known(raw: Any, path: str, log: Log) -> dict[str, Any] | None:
    """What can be used of the list that the platform kept. It may be old, and discovery has the word:
    guards a start against one that can't be read.
    """
    if raw is None:
        return None
    try:
        version, entries = int(raw["generation"]), list(raw["instances"])
        if version < 0:
            raise ValueError(f"generation {version}")
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        log(f"{path}: known: started without it: {type(error).__name__}: {error}")
        return None
    found = [normalize_entry(one) for one in entries]
    if wrong := [text for _, text in found if text]:
        log(f"{path}: known: {len(wrong)} bad entries, the first is {wrong[0]}")
    return {"generation": version, "reset": True, "instances": [one for one, _ in found if one is not None]}


def read_platform(
    environ: Mapping[str, str],
    orders: JournalSettings | None = None,
    join: Join | None = None,
    log: Log = no_log,
) -> Config:
    """What a daemon under the platform needs: LB_LISTEN, LB_DISCOVERY and LB_MANAGEMENT
    go before the file's `listen`, `discovery` and `management`; all but the last there must be.
    A `known` that can't be read is left out, and `log` is told.
    """
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
    given = {key: value for key, value in told.items() if value}
    config = config_from({**raw, **given, "known": _known(raw.get("known"), path, log)}, path, orders)
    for key, value in (("listen", config.listen), ("discovery", config.discovery)):
        if value is None:
            raise ConfigError(f"{path}: {key} is missing: expected host:port")
    return config if join is None else join(config, raw, path)
