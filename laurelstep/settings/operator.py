"""The operator's own file: TOML, read by msgspec into frozen, typed settings.

Every key has a default that changes nothing. `[deployment]` describes a deployment
where there is no platform to do so: for the library, or a daemon of its own."""

from __future__ import annotations

import functools
import re
import secrets
import tomllib
from dataclasses import replace
from typing import Annotated, Any, Literal, get_args

import msgspec

from laurelstep.accord.options import AccordSettings, LinkKind, problem_of, seats_for
from laurelstep.orders.book import OrderClass, Orders
from laurelstep.outbox.options import (
    How,
    OrphanPolicy,
    OutboxSettings,
    QueuedClass,
    Upstream,
    class_problem,
    shared_problem,
    store_problem,
)
from laurelstep.settings.config import Config, ConfigError, Join, address, config_from
from laurelstep.upkeep.options import StartAlone, UpkeepSettings

Effect = Literal["safe", "keyed", "unsafe"]
Scope = Literal["all", "zone", "cell"]
Report = Literal["inflight", "queue", "util", "latency_ms", "qps", "eps"]
# The keys whose values are words: msgspec does not say which ones it expected.
Unavailable = Literal["fail", "pass"]
Seats = Literal[1, 3, 5, 7]
WORDS = {
    "unavailable": get_args(Unavailable),
    "effect": get_args(Effect),
    "scope": get_args(Scope),
    "reports": get_args(Report),
    "link": get_args(LinkKind),
    "seats": tuple(map(str, get_args(Seats))),
    "start_alone": get_args(StartAlone),
    "keep": get_args(How),
    "lost": get_args(OrphanPolicy),
    "upstream": get_args(Upstream),
}

Count = Annotated[int, msgspec.Meta(ge=1)]
Whole = Annotated[int, msgspec.Meta(ge=0)]
Part = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
Amount = Annotated[float, msgspec.Meta(ge=0.0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z._~-]{1,64}$")]

# The names of load reports on the sockets, and in the platform's settings.
REPORTS = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}
EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file: what it does not know is an error, never ignored."""


class RequestClass(_Table, frozen=True, kw_only=True):
    name: Name
    effect: Effect
    aim_ms: Count
    deadline_ms: Count
    worth: Amount = 1.0
    scope: Scope = "all"
    window_ms: Whole = 0

    def raw(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "repeat": EFFECTS[self.effect],
            "aim-us": self.aim_ms * 1000,
            "deadline-us": self.deadline_ms * 1000,
            "points": self.worth,
            "dedup-scope": self.scope,
            "repeat-window-us": self.window_ms * 1000,
        }


class Tenant(_Table, frozen=True, kw_only=True):
    name: str
    allowance_per_s: Amount


class Member(_Table, frozen=True, kw_only=True):
    id: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str = ""
    kind: str = ""
    cell: Whole = 0
    weight: Annotated[float, msgspec.Meta(gt=0.0)] = 1.0

    def raw(self) -> dict[str, Any]:
        return {
            "instanceId": self.id,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": self.kind,
            "cell": self.cell,
            "lifecycle": "ready",
            "weight": self.weight,
            "startedAtMs": 0,
        }


class Deployment(_Table, frozen=True, kw_only=True):
    classes: Annotated[tuple[RequestClass, ...], msgspec.Meta(min_length=1)]
    listen: str | None = None
    discovery: str | None = None
    members: tuple[Member, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024
    seed: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F]{1,32}$")] | None = None
    tier: Whole = 0
    tiers: Count = 1
    copy: Whole = 0
    copies: Count = 1
    zone: str = ""
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    reports: tuple[Report, ...] = ()
    max_attempts: Count = 3
    second_copies: bool = False
    cancel: bool = True
    retry_after: bool = True
    max_retry_after_ms: Whole = 2_000
    connect_timeout_ms: Count = 1_000
    idle_ms: Count = 10_000
    drain_grace_ms: Annotated[int, msgspec.Meta(ge=0, le=500)] = 500
    cold_share: Part = 1.0
    cold_ms: Whole = 0
    tip_multiple: Annotated[float, msgspec.Meta(gt=0.0)] = 3.0
    tip_ms: Count = 1_000

    def problem(self) -> str | None:
        """What can't be as the file says: the key, and what was expected."""
        for key, names in (
            ("classes", [one.name for one in self.classes]),
            ("members", [one.id for one in self.members]),
            ("tenants", [one.name for one in self.tenants]),
        ):
            if len(set(names)) < len(names):
                return f"deployment.{key}: expected each name once"
        for one in self.classes:
            if one.effect == "keyed" and not one.window_ms:
                return f"deployment.classes: {one.name}: expected window_ms above 0 for a keyed class"
            if one.aim_ms > one.deadline_ms:
                return f"deployment.classes: {one.name}: expected aim_ms no longer than deadline_ms"
        if self.zone and self.zone not in self.zones:
            return "deployment.zone: expected one of zones"
        if self.tier >= self.tiers:
            return "deployment.tier: expected less than tiers"
        if self.discovery is not None and self.members:
            return "deployment.members: expected none where discovery is named"
        texts = [("listen", self.listen), ("discovery", self.discovery)]
        for key, text in [*texts, *((f"members: {one.id}", one.address) for one in self.members)]:
            if text is not None and not _is_address(text):
                return f"deployment.{key}: expected host:port, got {text!r}"
        return None

    def raw(self) -> dict[str, Any]:
        """The same in the platform's form."""
        settings = {
            "me": self.copy,
            "instances": self.copies,
            "stage": self.tier,
            "layers": [f"tier {n}" for n in range(self.tiers)],
            "locality": self.zones.index(self.zone) if self.zone else 0,
            "zones": list(self.zones),
            "kinds": list(self.kinds),
            "classes": [one.raw() for one in self.classes],
            "accounts": [{"name": one.name, "allowance-per-s": one.allowance_per_s} for one in self.tenants],
            "load-report": {"fields": [REPORTS[name] for name in self.reports], "how": "piggyback"},
            "discovery": "push",
            "ceilings": {
                "cancel": self.cancel,
                "second-copies": self.second_copies,
                "max-attempts": self.max_attempts,
                "max-streams": 1,
                "conn-idle-us": self.idle_ms * 1000,
                "connect-timeout-us": self.connect_timeout_ms * 1000,
                "retry-after": self.retry_after,
                "max-retry-after-us": self.max_retry_after_ms * 1000,
            },
            "invariants": {
                "drain-grace-us": self.drain_grace_ms * 1000,
                "cold-share": self.cold_share,
                "cold-us": self.cold_ms * 1000,
                "tip-multiple": self.tip_multiple,
                "overload-for-us": self.tip_ms * 1000,
            },
        }
        known = {"generation": 0, "reset": True, "instances": [one.raw() for one in self.members]}
        return {
            "listen": self.listen,
            "discovery": self.discovery,
            "seed": self.seed or secrets.token_hex(8),
            "limits": {"sockets": self.sockets},
            "known": known if self.members else None,
            "settings": settings,
        }


class RecordedClass(_Table, frozen=True, kw_only=True):
    name: Name
    header: Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z-]{0,64}$")] = ""
    body_field: str = ""
    keep_s: Count = 86_400


class OrdersTable(_Table, frozen=True, kw_only=True):
    """The record of requests with effects, and the store that it is kept in."""

    store_path: Annotated[str, msgspec.Meta(min_length=1)]
    classes: Annotated[tuple[RecordedClass, ...], msgspec.Meta(min_length=1)]
    unavailable: Unavailable = "fail"
    max_mb: Count = 1024

    def problem(self) -> str | None:
        names = [one.name for one in self.classes]
        if len(set(names)) < len(names):
            return "orders.classes: expected each name once"
        for one in self.classes:
            if bool(one.header) == bool(one.body_field):
                return f"orders.classes: {one.name}: expected one of header and body_field"
        return None

    def settings(self) -> Orders:
        classes = {
            one.name: OrderClass(one.header.lower().encode(), one.body_field, one.keep_s * 1000)
            for one in self.classes
        }
        return Orders(self.store_path, classes, self.unavailable, self.max_mb << 20)


class WorkersTable(_Table, frozen=True, kw_only=True):
    """Several processes of one daemon, for machines with more cores than one."""

    processes: Annotated[int, msgspec.Meta(ge=1, le=256)] = 1
    restart_first_ms: Count = 100
    restart_most_ms: Count = 10_000
    ready_ms: Count = 10_000


class AccordTable(_Table, frozen=True, kw_only=True):
    """What the processes of a tier share, and how they reach each other."""

    peer_listen: str | None = None
    peers: tuple[str, ...] | None = None
    me: Whole | None = None
    link: LinkKind = "udp"
    seats: Seats | None = None
    store_path: str = ""
    heartbeat_ms: Annotated[int, msgspec.Meta(ge=10, le=60_000)] = 200
    election_ms: Annotated[int, msgspec.Meta(ge=20, le=600_000)] = 600
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.2)] = 0.01

    def problem(self) -> str | None:
        """What can't be, whoever tells of peers."""
        if self.election_ms < 2 * self.heartbeat_ms:
            return "accord.election_ms: expected at least twice heartbeat_ms"
        if self.peers is not None and not self.peers:
            return "accord.peers: expected the addresses of all copies, one each"
        if self.peers is not None and self.link == "unix":
            try:
                self.settings(self.peers, None, 0)
            except ValueError as error:
                return f"accord.{error}"
        return None

    def told_twice(self) -> str | None:
        """The key that the platform's configuration has the word on, if the table has it too."""
        if self.link == "unix":
            return None
        given = {"peer_listen": self.peer_listen, "peers": self.peers, "me": self.me}
        return next((key for key, value in given.items() if value is not None), None)

    def settings(self, peers: tuple[str, ...], listen: str | None, me: int) -> AccordSettings:
        """`me`: what it is where the table does not say. ValueError with key and what was expected."""
        number = me if self.me is None else self.me
        if listen is None:
            listen = peers[number] if number < len(peers) else ""
        found = AccordSettings(
            peers=peers,
            listen=listen,
            me=number,
            link=self.link,
            seats=self.seats or seats_for(len(peers)),
            store_path=self.store_path,
            heartbeat_us=self.heartbeat_ms * 1000,
            election_us=self.election_ms * 1000,
            drift=self.drift,
        )
        if (problem := problem_of(found)) is not None:
            raise ValueError(f"{problem[0]}: {problem[1]}")
        return found


class UpkeepTable(_Table, frozen=True, kw_only=True):
    """Machines taken out for work, in an agreed order."""

    overdue_s: Count = 14_400
    start_alone: StartAlone = "wait"
    learn_ms: Count = 5_000

    def settings(self) -> UpkeepSettings:
        return UpkeepSettings(self.overdue_s * 1_000_000, self.start_alone, self.learn_ms * 1000)


class KeepableClass(_Table, frozen=True, kw_only=True):
    name: Name
    keep: How
    window_s: Whole | None = None


class OutboxTable(_Table, frozen=True, kw_only=True):
    """Writes that are kept while this edge is cut off, and replayed upstream."""

    store_path: Annotated[str, msgspec.Meta(min_length=1)]
    edge: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,31}$")]
    classes: Annotated[tuple[KeepableClass, ...], msgspec.Meta(min_length=1)]
    secret_file: str = ""
    max_mb: Count = 1024
    most: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 100_000
    body_mb: Annotated[int, msgspec.Meta(ge=1, le=32)] = 8
    age_s: Count = 604_800
    share: Part = 0.5
    receipt_s: Count = 604_800
    cut_ms: Annotated[int, msgspec.Meta(ge=100)] = 3_000
    back_ms: Annotated[int, msgspec.Meta(ge=10)] = 1_000
    replay_most: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 8
    lost: OrphanPolicy = "park"
    upstream: Upstream = "servers"
    shared: bool = False

    def problem(self) -> str | None:
        names = [one.name for one in self.classes]
        if len(set(names)) < len(names):
            return "outbox.classes: expected each name once"
        for one in self.classes:
            if one.window_s == 0:
                return f"outbox.classes: {one.name}: window_s: expected above 0, or none for the class's own"
            if one.window_s is not None and one.keep != "keyed":
                return f"outbox.classes: {one.name}: window_s: expected none, as it is sent once"
        if self.body_mb > self.max_mb:
            return "outbox.body_mb: expected at most max_mb"
        return None

    def settings(self) -> OutboxSettings:
        classes = {
            one.name: QueuedClass(one.keep, 0 if one.window_s is None else one.window_s * 1_000_000)
            for one in self.classes
        }
        return OutboxSettings(
            store_path=self.store_path,
            edge=self.edge,
            classes=classes,
            secret_file=self.secret_file,
            max_bytes=self.max_mb << 20,
            most=self.most,
            body_bytes=self.body_mb << 20,
            age_us=self.age_s * 1_000_000,
            share=self.share,
            receipt_us=self.receipt_s * 1_000_000,
            cut_us=self.cut_ms * 1000,
            back_us=self.back_ms * 1000,
            replay_most=self.replay_most,
            lost=self.lost,
            upstream=self.upstream,
            shared=self.shared,
        )


class Operator(_Table, frozen=True, kw_only=True):
    """The whole file. An absent table is a subsystem that is off."""

    deployment: Deployment | None = None
    orders: OrdersTable | None = None
    workers: WorkersTable | None = None
    accord: AccordTable | None = None
    upkeep: UpkeepTable | None = None
    outbox: OutboxTable | None = None

    def problem(self) -> str | None:
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

    def orders_settings(self) -> Orders | None:
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
        where they are off. It raises `ConfigError`."""
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
                one, window_us=one.window_us or (rules[name].window_us if one.how == "keyed" else 0)
            )
            for name, one in settings.classes.items()
        }
        # A copy upstream minds what its edges keep, whether it would keep that itself or not.
        minded = [one for one, (effect, _, _) in effects.items() if effect != "safe"]
        config.names.keepable = frozenset(
            config.names.classes[one] for one in (minded if settings.shared else classes)
        )
        send_us = max(rules[name].deadline_us for name in classes)
        return replace(config, outbox=replace(settings, classes=classes, send_us=send_us))

    def _join_accord(self, path: str, accord: AccordTable, config: Config, raw: Any, source: str) -> Config:
        if accord.link == "unix":
            if not accord.peers:
                raise ConfigError(f"{path}: accord.peers: expected the paths of all copies, one each")
            return self._with_accord(config, path, accord.peers, accord.peer_listen)
        if (key := accord.told_twice()) is not None:
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
        if config.outbox is not None and config.outbox.shared and not accord.is_linked:
            problem = f"expected them where outbox.shared is on in {path}"
            raise ConfigError(f"{source}: peers, peer_listen: {problem}")
        return replace(config, accord=accord, upkeep=None if self.upkeep is None else self.upkeep.settings())


def _is_address(text: str) -> bool:
    try:
        return address(text)[1] >= 0
    except ConfigError:
        return False


def _worded(error: msgspec.ValidationError) -> str:
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
        raise ConfigError(f"{path}: {_worded(error)}") from None
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
