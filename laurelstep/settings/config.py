"""The validated configuration of one copy, from the platform's or the operator's file."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from laurelstep.balancing.events import KEYED, Settings
from laurelstep.engine.names import NameTable
from laurelstep.errors import LaurelstepError
from laurelstep.request_journal.settings import JournalSettings
from laurelstep.resources.descriptors import DEFAULT_SOCKETS, connections_per_side
from laurelstep.wire import EFFECTS, SCOPES, WireError, read_settings

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from laurelstep.consensus.options import ConsensusSettings
    from laurelstep.maintenance.settings import MaintenanceSettings
    from laurelstep.outbox.options import OutboxSettings


class ConfigError(LaurelstepError):
    """The configuration is invalid; the text gives the reason on one line."""

    cause = "a configuration can't be used: a key is missing, unknown, or has an invalid value"
    remedy = "correct the key that the line names, then run `laurelstep check FILE` before the next start"


@dataclass(frozen=True)
class Config:
    """The configuration of one copy. `listen` is None if the process does not listen for clients itself;
    `discovery` is None if the endpoints come from another source; `known` is the endpoint list to start with,
    in discovery's format, None if there is none.
    """

    listen: tuple[str, int] | None
    discovery: str | None
    seed: int
    sockets: int
    settings: Settings
    names: NameTable
    drain_grace_us: int
    known: dict[str, Any] | None
    orders: JournalSettings | None = None
    memory_mb: int = 0  # memory limit of the process; 0 if it is unknown
    management: tuple[str, int] | None = None  # the address for operators' calls; None if there is none
    accord: ConsensusSettings | None = None
    maintenance: MaintenanceSettings | None = None
    outbox: OutboxSettings | None = None

    @property
    def max_side_connections(self) -> int:
        """The maximum number of connections from clients, and likewise to endpoints."""
        return connections_per_side(self.sockets, self.management is not None)

    @property
    def max_shared_side_connections(self) -> int:
        """The same limit during a hot restart, while two processes share the descriptors of one sidecar."""
        return connections_per_side(self.sockets, self.management is not None, processes=2)


# Extends a configuration by the operator's file. Arguments: the configuration, the platform's JSON object and
# the path of the platform's file.
ConfigExtension = Callable[[Config, Any, str], Config]


def parse_address(text: Any) -> tuple[str, int]:
    """The host and the port of `host:port`. Raises `ConfigError` for any other text."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"expected host:port, got {text!r}")
    return host, int(port)


def _parse_management_address(text: Any, listen: Any) -> tuple[str, int]:
    try:
        address = parse_address(text)
    except ConfigError as error:
        raise ConfigError(f"management: {error}") from None
    if listen is not None and address == parse_address(listen) and address[1] != 0:
        raise ConfigError(f"management: expected an address other than that for clients, got {text!r}")
    return address


def _order_headers(raw: Any, orders: JournalSettings | None) -> dict[str, bytes]:
    """The request header that holds the idempotency key, by the names of the classes that use one.

    Raises `ConfigError` if `[orders]` names a class that does not exist or has no effects.
    """
    if orders is None:
        return {}
    repeats = {str(entry["name"]): entry["repeat"] for entry in raw["settings"]["classes"]}
    recordable = sorted(name for name, repeat in repeats.items() if repeat != "retryable")
    for name in orders.classes:
        if name not in recordable:
            raise ConfigError(f"orders.classes: {name}: expected one of {', '.join(recordable)}")
    return {name: recorded.header for name, recorded in orders.classes.items() if recorded.header}


def _without_nulls(value: Any) -> Any:
    """Remove keys whose value is null: they get the same default as absent ones."""
    if isinstance(value, dict):
        return {key: _without_nulls(item) for key, item in value.items() if item is not None}
    return [_without_nulls(item) for item in value] if isinstance(value, list) else value


def _check_classes(classes: Any) -> None:
    """Raise `ConfigError` for an invalid class, with its key and what was expected.

    A latency objective longer than the deadline is accepted; the deadline then applies instead.
    """
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings.classes: expected at least one class")
    names: set[str] = set()
    for index, entry in enumerate(classes):
        key = f"settings.classes[{index}]"
        if not isinstance(entry, dict) or not isinstance(name := entry.get("name"), str):
            raise ConfigError(f"{key}.name: expected a name")
        if name in names:
            raise ConfigError(f"{key}.name: expected each name once, got {name} again")
        names.add(name)
        if (repeat := entry.get("repeat")) not in EFFECTS:
            raise ConfigError(f"{key}.repeat: {name}: expected one of {', '.join(EFFECTS)}, got {repeat!r}")
        scope = entry.get("dedup-scope") or "all"
        if EFFECTS[repeat] == KEYED and scope not in SCOPES:
            raise ConfigError(
                f"{key}.dedup-scope: {name}: expected one of {', '.join(SCOPES)}, got {scope!r}"
            )
        if not _is_duration(entry.get("aim-us"), minimum_us=0):
            raise ConfigError(f"{key}.aim-us: {name}: expected microseconds, got {entry.get('aim-us')!r}")
        if not _is_duration(entry.get("deadline-us"), minimum_us=1):
            raise ConfigError(
                f"{key}.deadline-us: {name}: expected microseconds above 0, got {entry.get('deadline-us')!r}"
            )


def _is_duration(value: Any, minimum_us: int) -> bool:
    try:
        return int(value) >= minimum_us
    except (TypeError, ValueError, OverflowError):
        return False


def config_from(raw: Any, source: str, orders: JournalSettings | None = None) -> Config:
    """Validate and convert an object in the platform's format. Raises `ConfigError`, prefixed by `source`.

    `listen` and `discovery` may be absent, and are None then; the caller decides whether that is valid.
    """
    try:
        raw = {
            **raw,
            "settings": _without_nulls(raw["settings"]),
            "limits": _without_nulls(raw.get("limits") or {}),
        }
        _check_classes(raw["settings"].get("classes"))
        settings = read_settings(json.dumps(raw["settings"]).encode())
        invariants = raw["settings"].get("invariants", {})
        known = raw.get("known")
        if known is not None and not (isinstance(known["instances"], list) and int(known["generation"]) >= 0):
            raise ConfigError("known: expected a generation and a list of endpoints")
        listen, discovery, management = raw.get("listen"), raw.get("discovery"), raw.get("management")
        if discovery is not None:
            parse_address(discovery)
        return Config(
            listen=None if listen is None else parse_address(listen),
            discovery=None if discovery is None else str(discovery),
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int(raw.get("limits", {}).get("sockets", DEFAULT_SOCKETS)),
            memory_mb=int(raw.get("limits", {}).get("memory_mb", 0)),
            settings=settings,
            names=NameTable(raw["settings"], settings, _order_headers(raw, orders)),
            drain_grace_us=int(invariants.get("drain-grace-us", 0)),
            known=known,
            orders=orders,
            management=None if management is None else _parse_management_address(management, listen),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError, WireError) as error:
        raise ConfigError(f"{source}: {type(error).__name__}: {error}") from None
    except ConfigError as error:
        raise ConfigError(f"{source}: {error}") from None
