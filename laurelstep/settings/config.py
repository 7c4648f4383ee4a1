"""One copy's configuration, checked, whichever file it came from."""

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

if TYPE_CHECKING:  # imported where they are on
    from laurelstep.consensus.options import ConsensusSettings
    from laurelstep.maintenance.settings import MaintenanceSettings
    from laurelstep.outbox.options import OutboxSettings


class ConfigError(LaurelstepError):
    """The configuration can't be used; the text says why, on one line."""

    cause = "a configuration can't be used: a key is missing, unknown, or has a value that it can't have"
    remedy = "correct the key that the line names, then run `laurelstep check FILE` before the next start"


@dataclass(frozen=True)
class Config:
    """Times in µs. `listen` is None where no front of its own is asked for, `discovery`
    where the members are given in another way.
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
    memory_mb: int = 0  # the limit of the process's memory; 0 = none is told
    management: tuple[str, int] | None = None  # the second address, for the operators' calls
    accord: ConsensusSettings | None = None
    maintenance: MaintenanceSettings | None = None
    outbox: OutboxSettings | None = None

    @property
    def max_side_connections(self) -> int:
        """Connections that each side may hold, callers and endpoints."""
        return connections_per_side(self.sockets, self.management is not None)

    @property
    def max_shared_side_connections(self) -> int:
        """The same while two processes are one sidecar, and share its descriptors."""
        return connections_per_side(self.sockets, self.management is not None, processes=2)


# The configuration with what the operator's file adds to it, from the platform's object and its path.
Join = Callable[[Config, Any, str], Config]


def address(text: Any) -> tuple[str, int]:
    """Host and port of `host:port`; `ConfigError` otherwise."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"no address: {text!r}")
    return host, int(port)


def _second_address(text: Any, listen: Any) -> tuple[str, int]:
    try:
        found = address(text)
    except ConfigError as error:
        raise ConfigError(f"management: {error}") from None
    if listen is not None and found == address(listen) and found[1] != 0:
        raise ConfigError(f"management: {text!r} is the callers' address")
    return found


def _order_headers(raw: Any, orders: JournalSettings | None) -> dict[str, bytes]:
    """`ConfigError` if the orders name what is no class with effects."""
    if orders is None:
        return {}
    repeats = {str(entry["name"]): entry["repeat"] for entry in raw["settings"]["classes"]}
    recorded = sorted(name for name, repeat in repeats.items() if repeat != "retryable")
    for name in orders.classes:
        if name not in recorded:
            raise ConfigError(f"orders.classes: {name}: expected one of {', '.join(recorded)}")
    return {name: one.header for name, one in orders.classes.items() if one.header}


def _without_nulls(value: Any) -> Any:
    """Null is as good as absent, and has the same default."""
    if isinstance(value, dict):
        return {key: _without_nulls(one) for key, one in value.items() if one is not None}
    return [_without_nulls(one) for one in value] if isinstance(value, list) else value


def _check_classes(classes: Any) -> None:
    """What can't be meant, with its key and the remedy; `ConfigError`. An aim past its deadline is let be:
    it holds up to the deadline.
    """
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings.classes: expected one class at least")
    names: set[str] = set()
    for at, one in enumerate(classes):
        where = f"settings.classes[{at}]"
        if not isinstance(one, dict) or not isinstance(name := one.get("name"), str):
            raise ConfigError(f"{where}.name: expected a name")
        if name in names:
            raise ConfigError(f"{where}.name: expected each name once, got {name} again")
        names.add(name)
        if (repeat := one.get("repeat")) not in EFFECTS:
            raise ConfigError(f"{where}.repeat: {name}: expected one of {', '.join(EFFECTS)}, got {repeat!r}")
        scope = one.get("dedup-scope") or "all"
        if EFFECTS[repeat] == KEYED and scope not in SCOPES:
            raise ConfigError(
                f"{where}.dedup-scope: {name}: expected one of {', '.join(SCOPES)}, got {scope!r}"
            )
        if not _is_span(one.get("aim-us"), least=0):
            raise ConfigError(f"{where}.aim-us: {name}: expected microseconds, got {one.get('aim-us')!r}")
        if not _is_span(one.get("deadline-us"), least=1):
            raise ConfigError(
                f"{where}.deadline-us: {name}: expected microseconds above 0, got {one.get('deadline-us')!r}"
            )


def _is_span(value: Any, least: int) -> bool:
    try:
        return int(value) >= least
    except (TypeError, ValueError, OverflowError):
        return False


def config_from(raw: Any, source: str, orders: JournalSettings | None = None) -> Config:
    """The configuration that an object in the platform's form holds; `source` is what
    its errors name. Absent `listen` and `discovery` are None here: whether they may be
    is for the caller to say.
    """
    try:
        raw = {
            **raw,
            "settings": _without_nulls(raw["settings"]),
            "limits": _without_nulls(raw.get("limits") or {}),
        }
        _check_classes(raw["settings"].get("classes"))
        settings = read_settings(json.dumps(raw["settings"]).encode())
        rules = raw["settings"].get("invariants", {})
        known = raw.get("known")
        if known is not None and not (isinstance(known["instances"], list) and int(known["generation"]) >= 0):
            raise ConfigError("known is no list of endpoints")
        listen, discovery, management = raw.get("listen"), raw.get("discovery"), raw.get("management")
        if discovery is not None:
            address(discovery)
        return Config(
            listen=None if listen is None else address(listen),
            discovery=None if discovery is None else str(discovery),
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int(raw.get("limits", {}).get("sockets", DEFAULT_SOCKETS)),
            memory_mb=int(raw.get("limits", {}).get("memory_mb", 0)),
            settings=settings,
            names=NameTable(raw["settings"], settings, _order_headers(raw, orders)),
            drain_grace_us=int(rules.get("drain-grace-us", 0)),
            known=known,
            orders=orders,
            management=None if management is None else _second_address(management, listen),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError, WireError) as error:
        raise ConfigError(f"{source}: {type(error).__name__}: {error}") from None
    except ConfigError as error:
        raise ConfigError(f"{source}: {error}") from None
