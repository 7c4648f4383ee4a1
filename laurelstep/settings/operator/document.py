"""The operator's file as a whole: reads it, checks its tables together, and builds or extends a `Config`."""

from __future__ import annotations

import functools
import re
import tomllib
from dataclasses import replace
from typing import Any, Final, get_args

import msgspec

from laurelstep.consensus.options import LinkKind
from laurelstep.maintenance.settings import StartAlone
from laurelstep.outbox.options import (
    OrphanPolicy,
    Upstream,
    WriteEffect,
    class_problem,
    shared_problem,
    store_problem,
)
from laurelstep.request_journal.settings import JournalSettings
from laurelstep.settings.config import Config, ConfigError, ConfigExtension, config_from
from laurelstep.settings.operator.accord import AccordTable, VoterCount
from laurelstep.settings.operator.deployment import Deployment, Report, Scope
from laurelstep.settings.operator.fields import Effect, OperatorTable
from laurelstep.settings.operator.orders import OrdersTable, UnavailablePolicy
from laurelstep.settings.operator.outbox import OutboxTable
from laurelstep.settings.operator.upkeep import MaintenanceTable
from laurelstep.settings.operator.workers import WorkersTable

# Keys with a fixed set of values: msgspec's errors do not list the values that it expected.
VALUES_BY_KEY: Final = {
    "unavailable": get_args(UnavailablePolicy),
    "effect": get_args(Effect),
    "scope": get_args(Scope),
    "reports": get_args(Report),
    "link": get_args(LinkKind),
    "seats": tuple(map(str, get_args(VoterCount))),
    "start_alone": get_args(StartAlone),
    "keep": get_args(WriteEffect),
    "lost": get_args(OrphanPolicy),
    "upstream": get_args(Upstream),
}


class OperatorFile(OperatorTable, frozen=True, kw_only=True):
    """The whole file. A subsystem whose table is absent is off."""

    deployment: Deployment | None = None
    orders: OrdersTable | None = None
    workers: WorkersTable | None = None
    accord: AccordTable | None = None
    upkeep: MaintenanceTable | None = None
    outbox: OutboxTable | None = None

    def problem(self) -> str | None:
        """A conflict between tables, as a key and what was expected; None if there is none."""
        if self.upkeep is not None and self.accord is None:
            return "upkeep: expected the table [accord]"
        problem = self._workers_problem() or self._outbox_problem()
        return problem or (self.accord.problem() if self.accord is not None else None)

    def _outbox_problem(self) -> str | None:
        if self.outbox is None:
            return None
        other_paths = {
            "orders.store_path": "" if self.orders is None else self.orders.store_path,
            "accord.store_path": "" if self.accord is None else self.accord.store_path,
        }
        accord_path = None if self.accord is None else self.accord.store_path
        return (
            self.outbox.problem()
            or store_problem(self.outbox.store_path, other_paths)
            or shared_problem(self.outbox.settings(), accord_path)
        )

    def _workers_problem(self) -> str | None:
        if self.workers is None:
            return None
        if self.deployment is None or self.deployment.listen is None:
            return "workers: expected the table [deployment] with listen"
        if self.orders is not None:
            return "workers: expected no [orders]: each process would have its own journal"
        if self.outbox is not None:
            return "workers: expected no [outbox]: its store has one owner"
        if self.accord is not None:
            return "workers: expected no [accord]: each process would need its own peer number"
        return None

    def orders_settings(self) -> JournalSettings | None:
        """The settings of `[orders]`; None if the table is absent."""
        return None if self.orders is None else self.orders.settings()

    def config(self, path: str) -> Config:
        """The configuration that `[deployment]` and the other tables describe. `path` is used in errors.

        Raises `ConfigError` if it is invalid or the file has no `[deployment]`.
        """
        if self.deployment is None:
            raise ConfigError(f"{path}: deployment: expected the table [deployment]")
        config = self._with_outbox(
            config_from(self.deployment.to_platform(), path, self.orders_settings()), path
        )
        if self.accord is None:
            return config
        if not self.accord.peers:
            raise ConfigError(f"{path}: accord.peers: expected the addresses of all copies, one each")
        return self._with_accord(config, path, self.accord.peers, self.accord.peer_listen)

    def config_extension(self, path: str) -> ConfigExtension | None:
        """A function that adds `[accord]`, `[upkeep]` and `[outbox]` to the platform's configuration, and
        raises `ConfigError` if they do not fit it; None if all three are off.
        """
        if self.accord is None and self.outbox is None:
            return None
        return functools.partial(self._extend_platform_config, path)

    def _extend_platform_config(self, path: str, config: Config, raw: Any, source: str) -> Config:
        config = self._with_outbox(config, path)
        return config if self.accord is None else self._extend_accord(path, self.accord, config, raw, source)

    def _with_outbox(self, config: Config, path: str) -> Config:
        """Add the outbox's settings. Raises `ConfigError` if they do not fit the deployment's classes."""
        if self.outbox is None:
            return config
        settings = self.outbox.settings()
        effect_names = get_args(Effect)
        rules = {name: config.settings.classes[cls] for name, cls in config.names.classes.items()}
        effects = {
            name: (effect_names[rule.effect], rule.window_us, rule.deadline_us)
            for name, rule in rules.items()
        }
        recorded = () if self.orders is None else [entry.name for entry in self.orders.classes]
        if (problem := class_problem(settings, effects, recorded)) is not None:
            raise ConfigError(f"{path}: {problem}")
        classes = {
            name: replace(
                queued,
                window_us=queued.window_us or (rules[name].window_us if queued.effect == "keyed" else 0),
            )
            for name, queued in settings.classes.items()
        }
        # A copy that shares the ledger checks writes of all classes with effects: an edge may queue any of
        # them, whether or not this copy queues the class.
        effect_classes = [name for name, (effect, _, _) in effects.items() if effect != "safe"]
        config.names.queueable_classes = frozenset(
            config.names.classes[name] for name in (effect_classes if settings.shared else classes)
        )
        max_deadline_us = max(rules[name].deadline_us for name in classes)
        return replace(config, outbox=replace(settings, classes=classes, max_deadline_us=max_deadline_us))

    def _extend_accord(self, path: str, accord: AccordTable, config: Config, raw: Any, source: str) -> Config:
        if accord.link == "unix":
            if not accord.peers:
                raise ConfigError(f"{path}: accord.peers: expected the paths of all copies, one each")
            return self._with_accord(config, path, accord.peers, accord.peer_listen)
        if (key := accord.misplaced_key()) is not None:
            raise ConfigError(f"{path}: accord.{key}: expected none where LB_CONFIG is set")
        peers, listen = raw.get("peers") or [], raw.get("peer_listen")
        if not isinstance(peers, list) or not all(isinstance(peer, str) for peer in peers):
            raise ConfigError(f"{source}: peers: expected a list of addresses")
        if not isinstance(listen, str | None):
            raise ConfigError(f"{source}: peer_listen: expected host:port, got {listen!r}")
        return self._with_accord(config, path, tuple(peers) if listen else (), listen, source)

    def _with_accord(
        self, config: Config, path: str, peers: tuple[str, ...], listen: str | None, source: str = ""
    ) -> Config:
        """Add the settings of consensus and maintenance. `source`: the platform's file if it sets the peers;
        else empty.
        """
        assert self.accord is not None
        try:
            accord = self.accord.settings(peers, listen, config.settings.me)
        except ValueError as error:
            is_platform_key = str(error).startswith(("peer_listen:", "peers:", "me:"))
            prefix = f"{source}: " if source and is_platform_key else f"{path}: accord."
            raise ConfigError(f"{prefix}{error}") from None
        if config.outbox is not None and config.outbox.shared and not accord.has_peers:
            problem = f"expected them where outbox.shared is on in {path}"
            raise ConfigError(f"{source}: peers, peer_listen: {problem}")
        maintenance = None if self.upkeep is None else self.upkeep.settings()
        return replace(config, accord=accord, maintenance=maintenance)


def _error_text(error: msgspec.ValidationError) -> str:
    """Convert msgspec's text `problem - at $.key` to `key: problem`."""
    text = " ".join(str(error).split())
    problem, _, json_path = text.partition(" - at ")
    key = re.sub(r"^`?\$\.?|`$", "", json_path)
    values = VALUES_BY_KEY.get(re.sub(r"\[\d+\]$", "", key).rpartition(".")[2])
    if values is not None and problem.startswith("Invalid enum value "):
        problem = f"expected one of {', '.join(values)}, got {problem.removeprefix('Invalid enum value ')}"
    return f"{key}: {problem}" if key else problem


def read_operator(path: str) -> OperatorFile:
    """Read and validate the operator's file. Raises `ConfigError` with one line if it is invalid."""
    try:
        with open(path, "rb") as file:
            operator = msgspec.convert(tomllib.load(file), OperatorFile)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {_error_text(error)}") from None
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None
    if operator.orders is not None and (problem := operator.orders.problem()) is not None:
        raise ConfigError(f"{path}: {problem}")
    if (problem := operator.problem()) is not None:
        raise ConfigError(f"{path}: {problem}")
    if operator.deployment is not None:
        if (problem := operator.deployment.problem()) is not None:
            raise ConfigError(f"{path}: {problem}")
        operator.config(path)
    return operator
