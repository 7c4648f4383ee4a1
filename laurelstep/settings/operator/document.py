"""The whole file: its tables together, read, checked, and joined to a configuration."""

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
from laurelstep.settings.config import Config, ConfigError, Join, config_from
from laurelstep.settings.operator.accord import AccordTable, Seats
from laurelstep.settings.operator.deployment import Deployment, Report, Scope
from laurelstep.settings.operator.fields import Effect, OperatorTable
from laurelstep.settings.operator.orders import OrdersTable, Unavailable
from laurelstep.settings.operator.outbox import OutboxTable
from laurelstep.settings.operator.upkeep import MaintenanceTable
from laurelstep.settings.operator.workers import WorkersTable

# The keys whose values are words: msgspec does not say which ones it expected.
WORDS: Final = {
    "unavailable": get_args(Unavailable),
    "effect": get_args(Effect),
    "scope": get_args(Scope),
    "reports": get_args(Report),
    "link": get_args(LinkKind),
    "seats": tuple(map(str, get_args(Seats))),
    "start_alone": get_args(StartAlone),
    "keep": get_args(WriteEffect),
    "lost": get_args(OrphanPolicy),
    "upstream": get_args(Upstream),
}


class Operator(OperatorTable, frozen=True, kw_only=True):
    """The whole file. An absent table is a subsystem that is off."""

    deployment: Deployment | None = None
    orders: OrdersTable | None = None
    workers: WorkersTable | None = None
    accord: AccordTable | None = None
    upkeep: MaintenanceTable | None = None
    outbox: OutboxTable | None = None

    def problem(self) -> str | None:
        """What can't be as the file says of several tables: the key, and what was expected."""
        if self.upkeep is not None and self.accord is None:
            return "upkeep: expected the table [accord]"
        problem = self._workers_problem() or self._outbox_problem()
        return problem or (self.accord.problem() if self.accord is not None else None)

    def _outbox_problem(self) -> str | None:
        if self.outbox is None:
            return None
        others = {
            "orders.store_path": "" if self.orders is None else self.orders.store_path,
            "accord.store_path": "" if self.accord is None else self.accord.store_path,
        }
        accord_path = None if self.accord is None else self.accord.store_path
        return (
            self.outbox.problem()
            or store_problem(self.outbox.store_path, others)
            or shared_problem(self.outbox.settings(), accord_path)
        )

    def _workers_problem(self) -> str | None:
        if self.workers is None:
            return None
        if self.deployment is None or self.deployment.listen is None:
            return "workers: expected the table [deployment] with listen"
        if self.orders is not None:
            return "workers: expected no [orders]: each process would know its own orders only"
        if self.outbox is not None:
            return "workers: expected no [outbox]: its store has one owner"
        if self.accord is not None:
            return "workers: expected no [accord]: each process would need a number of its own"
        return None

    def orders_settings(self) -> JournalSettings | None:
        """Those of `[orders]`; None where it is off."""
        return None if self.orders is None else self.orders.settings()

    def config(self, path: str) -> Config:
        """The configuration of `[deployment]`; `ConfigError` where the file has none."""
        if self.deployment is None:
            raise ConfigError(f"{path}: deployment: expected the table [deployment]")
        config = self._with_outbox(config_from(self.deployment.raw(), path, self.orders_settings()), path)
        if self.accord is None:
            return config
        if not self.accord.peers:
            raise ConfigError(f"{path}: accord.peers: expected the addresses of all copies, one each")
        return self._with_accord(config, path, self.accord.peers, self.accord.peer_listen)

    def joining(self, path: str) -> Join | None:
        """What adds `[accord]`, `[upkeep]` and `[outbox]` to a configuration of the platform's; None
        where they are off. It raises `ConfigError`.
        """
        if self.accord is None and self.outbox is None:
            return None
        return functools.partial(self._join, path)

    def _join(self, path: str, config: Config, raw: Any, source: str) -> Config:
        config = self._with_outbox(config, path)
        return config if self.accord is None else self._join_accord(path, self.accord, config, raw, source)

    def _with_outbox(self, config: Config, path: str) -> Config:
        """With the writes that are kept; they must be of classes with effects."""
        if self.outbox is None:
            return config
        settings = self.outbox.settings()
        words = get_args(Effect)
        rules = {name: config.settings.classes[cls] for name, cls in config.names.classes.items()}
        effects = {name: (words[one.effect], one.window_us, one.deadline_us) for name, one in rules.items()}
        recorded = () if self.orders is None else [one.name for one in self.orders.classes]
        if (problem := class_problem(settings, effects, recorded)) is not None:
            raise ConfigError(f"{path}: {problem}")
        classes = {
            name: replace(
                one, window_us=one.window_us or (rules[name].window_us if one.effect == "keyed" else 0)
            )
            for name, one in settings.classes.items()
        }
        # A copy upstream minds what its edges keep, whether it would keep that itself or not.
        minded = [one for one, (effect, _, _) in effects.items() if effect != "safe"]
        config.names.queueable_classes = frozenset(
            config.names.classes[one] for one in (minded if settings.shared else classes)
        )
        send_us = max(rules[name].deadline_us for name in classes)
        return replace(config, outbox=replace(settings, classes=classes, max_deadline_us=send_us))

    def _join_accord(self, path: str, accord: AccordTable, config: Config, raw: Any, source: str) -> Config:
        if accord.link == "unix":
            if not accord.peers:
                raise ConfigError(f"{path}: accord.peers: expected the paths of all copies, one each")
            return self._with_accord(config, path, accord.peers, accord.peer_listen)
        if (key := accord.key_given_twice()) is not None:
            raise ConfigError(f"{path}: accord.{key}: expected none where LB_CONFIG is set")
        peers, listen = raw.get("peers") or [], raw.get("peer_listen")
        if not isinstance(peers, list) or not all(isinstance(one, str) for one in peers):
            raise ConfigError(f"{source}: peers: expected a list of addresses")
        if not isinstance(listen, str | None):
            raise ConfigError(f"{source}: peer_listen: expected host:port, got {listen!r}")
        return self._with_accord(config, path, tuple(peers) if listen else (), listen, source)

    def _with_accord(
        self, config: Config, path: str, peers: tuple[str, ...], listen: str | None, source: str = ""
    ) -> Config:
        """`source`: the file that tells of peers, where it is not the operator's."""
        assert self.accord is not None
        try:
            accord = self.accord.settings(peers, listen, config.settings.me)
        except ValueError as error:
            told = str(error).startswith(("peer_listen:", "peers:", "me:"))
            where = f"{source}: " if source and told else f"{path}: accord."
            raise ConfigError(f"{where}{error}") from None
        if config.outbox is not None and config.outbox.shared and not accord.has_peers:
            problem = f"expected them where outbox.shared is on in {path}"
            raise ConfigError(f"{source}: peers, peer_listen: {problem}")
        maintenance = None if self.upkeep is None else self.upkeep.settings()
        return replace(config, accord=accord, maintenance=maintenance)


def _error_text(error: msgspec.ValidationError) -> str:
    """`key: what was expected`, from msgspec's `what - at $.key`."""
    text = " ".join(str(error).split())
    what, _, where = text.partition(" - at ")
    key = re.sub(r"^`?\$\.?|`$", "", where)
    words = WORDS.get(re.sub(r"\[\d+\]$", "", key).rpartition(".")[2])
    if words is not None and what.startswith("Invalid enum value "):
        what = f"expected one of {', '.join(words)}, got {what.removeprefix('Invalid enum value ')}"
    return f"{key}: {what}" if key else what


def read_operator(path: str) -> Operator:
    """The operator's file, checked; `ConfigError` with one line otherwise."""
    try:
        with open(path, "rb") as file:
            read = msgspec.convert(tomllib.load(file), Operator)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {_error_text(error)}") from None
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None
    if read.orders is not None and (problem := read.orders.problem()) is not None:
        raise ConfigError(f"{path}: {problem}")
    if (problem := read.problem()) is not None:
        raise ConfigError(f"{path}: {problem}")
    if read.deployment is not None:
        if (problem := read.deployment.problem()) is not None:
            raise ConfigError(f"{path}: {problem}")
        read.config(path)
    return read
