"""The platform's configuration: the JSON file named by LB_CONFIG, overridden by environment variables."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from laurelstep.engine.list_updates import normalize_entry
from laurelstep.engine.ports import Log
from laurelstep.request_journal.settings import JournalSettings
from laurelstep.settings.config import Config, ConfigError, ConfigExtension, config_from


def discard_log(text: str) -> None:
    """Discard a log line: the default for callers that only validate a configuration."""


def load_json(path: str) -> Any:
    """The file's JSON value. Raises `ConfigError` with one line if it can't be read."""
    try:
        with open(path, "rb") as file:
            return json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def read_file(path: str) -> Config:
    """Read a configuration in the operator's format if the name ends in `.toml`, else in the platform's."""
    if path.endswith(".toml"):
        # Imported only here: the platform's format needs no further library.
        from laurelstep.settings.operator import read_operator

        return read_operator(path).config(path)
    return config_from(load_json(path), path)


def _known(raw: Any, path: str, log: Log) -> dict[str, Any] | None:
    """The usable entries of `known`, the endpoint list that the platform saved; None if it is not a list.

    The list may be outdated, and discovery replaces it, so a malformed one is logged and must not prevent a
    start.
    """
    if raw is None:
        return None
    try:
        generation, entries = int(raw["generation"]), list(raw["instances"])
        if generation < 0:
            raise ValueError(f"generation {generation}")
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        log(f"{path}: known: started without it: {type(error).__name__}: {error}")
        return None
    normalized = [normalize_entry(entry) for entry in entries]
    if problems := [problem for _, problem in normalized if problem]:
        log(f"{path}: known: {len(problems)} bad entries, the first is {problems[0]}")
    return {
        "generation": generation,
        "reset": True,
        "instances": [entry for entry, _ in normalized if entry is not None],
    }


def read_platform(
    environ: Mapping[str, str],
    orders: JournalSettings | None = None,
    extend_config: ConfigExtension | None = None,
    log: Log = discard_log,
) -> Config:
    """The configuration of a daemon on the platform. Raises `ConfigError` if it is invalid.

    LB_LISTEN, LB_DISCOVERY and LB_MANAGEMENT override the file's `listen`, `discovery` and `management`;
    `listen` and `discovery` are required. A malformed `known` list is left out and logged.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    raw = load_json(path)
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: expected an object")
    variables = {
        "listen": environ.get("LB_LISTEN"),
        "discovery": environ.get("LB_DISCOVERY"),
        "management": environ.get("LB_MANAGEMENT"),
    }
    overrides = {key: value for key, value in variables.items() if value}
    config = config_from({**raw, **overrides, "known": _known(raw.get("known"), path, log)}, path, orders)
    for key, value in (("listen", config.listen), ("discovery", config.discovery)):
        if value is None:
            raise ConfigError(f"{path}: {key} is missing: expected host:port")
    return config if extend_config is None else extend_config(config, raw, path)
