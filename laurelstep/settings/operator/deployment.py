"""The table `[deployment]`: what the platform's JSON holds, for deployments without a platform."""

from __future__ import annotations

import secrets
from typing import Annotated, Any, Final, Literal

import msgspec

from laurelstep.settings.config import ConfigError, parse_address
from laurelstep.settings.operator.fields import (
    Effect,
    Fraction,
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    OperatorTable,
    PositiveInt,
    has_duplicates,
)

Scope = Literal["all", "zone", "cell"]
Report = Literal["inflight", "queue", "util", "latency_ms", "qps", "eps"]

# Fields of load reports: the names in this table and in endpoints' reports, mapped to the platform's names.
REPORT_FIELDS: Final = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}
REPEAT_BY_EFFECT: Final = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}


class RequestClass(OperatorTable, frozen=True, kw_only=True):
    """One class of requests, with its latency objective, deadline and effect."""

    name: Name
    effect: Effect
    aim_ms: PositiveInt
    deadline_ms: PositiveInt
    worth: NonNegativeFloat = 1.0
    scope: Scope = "all"
    window_ms: NonNegativeInt = 0

    def to_platform(self) -> dict[str, Any]:
        """The class in the platform's format."""
        return {
            "name": self.name,
            "repeat": REPEAT_BY_EFFECT[self.effect],
            "aim-us": self.aim_ms * 1000,
            "deadline-us": self.deadline_ms * 1000,
            "points": self.worth,
            "dedup-scope": self.scope,
            "repeat-window-us": self.window_ms * 1000,
        }


class Tenant(OperatorTable, frozen=True, kw_only=True):
    """A tenant, and how much of its work may be served per second."""

    name: str
    allowance_per_s: NonNegativeFloat


class Member(OperatorTable, frozen=True, kw_only=True):
    """An endpoint that is listed in the file instead of by discovery."""

    id: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str = ""
    kind: str = ""
    cell: NonNegativeInt = 0
    weight: Annotated[float, msgspec.Meta(gt=0.0)] = 1.0

    def to_discovery_entry(self) -> dict[str, Any]:
        """The endpoint in the format of discovery's list."""
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


class Deployment(OperatorTable, frozen=True, kw_only=True):
    """The whole table. `to_platform` converts it to the platform's format."""

    classes: Annotated[tuple[RequestClass, ...], msgspec.Meta(min_length=1)]
    listen: str | None = None
    discovery: str | None = None
    members: tuple[Member, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024
    seed: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F]{1,32}$")] | None = None
    tier: NonNegativeInt = 0
    tiers: PositiveInt = 1
    copy: NonNegativeInt = 0
    copies: PositiveInt = 1
    zone: str = ""
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    reports: tuple[Report, ...] = ()
    max_attempts: PositiveInt = 3
    second_copies: bool = False
    cancel: bool = True
    retry_after: bool = True
    max_retry_after_ms: NonNegativeInt = 2_000
    connect_timeout_ms: PositiveInt = 1_000
    idle_ms: PositiveInt = 10_000
    drain_grace_ms: Annotated[int, msgspec.Meta(ge=0, le=500)] = 500
    cold_share: Fraction = 1.0
    cold_ms: NonNegativeInt = 0
    tip_multiple: Annotated[float, msgspec.Meta(gt=0.0)] = 3.0
    tip_ms: PositiveInt = 1_000

    def problem(self) -> str | None:
        """An invalid value, as its key and what was expected; None if the table is valid."""
        for key, names in (
            ("classes", [entry.name for entry in self.classes]),
            ("members", [member.id for member in self.members]),
            ("tenants", [tenant.name for tenant in self.tenants]),
        ):
            if has_duplicates(names):
                return f"deployment.{key}: expected each name once"
        for entry in self.classes:
            if entry.effect == "keyed" and not entry.window_ms:
                return f"deployment.classes: {entry.name}: expected window_ms above 0 for a keyed class"
            if entry.aim_ms > entry.deadline_ms:
                return f"deployment.classes: {entry.name}: expected aim_ms no longer than deadline_ms"
        if self.zone and self.zone not in self.zones:
            return "deployment.zone: expected one of zones"
        if self.tier >= self.tiers:
            return "deployment.tier: expected less than tiers"
        if self.discovery is not None and self.members:
            return "deployment.members: expected none where discovery is named"
        addresses = [("listen", self.listen), ("discovery", self.discovery)]
        for key, text in [
            *addresses,
            *((f"members: {member.id}", member.address) for member in self.members),
        ]:
            if text is not None and not _is_address(text):
                return f"deployment.{key}: expected host:port, got {text!r}"
        return None

    def to_platform(self) -> dict[str, Any]:
        """The configuration in the platform's format. Each call makes a new seed if the file sets none."""
        known = {
            "generation": 0,
            "reset": True,
            "instances": [member.to_discovery_entry() for member in self.members],
        }
        return {
            "listen": self.listen,
            "discovery": self.discovery,
            "seed": self.seed or secrets.token_hex(8),
            "limits": {"sockets": self.sockets},
            "known": known if self.members else None,
            "settings": self._platform_settings(),
        }

    def _platform_settings(self) -> dict[str, Any]:
        return {
            "me": self.copy,
            "instances": self.copies,
            "stage": self.tier,
            "layers": [f"tier {n}" for n in range(self.tiers)],
            "locality": self.zones.index(self.zone) if self.zone else 0,
            "zones": list(self.zones),
            "kinds": list(self.kinds),
            "classes": [entry.to_platform() for entry in self.classes],
            "accounts": [
                {"name": tenant.name, "allowance-per-s": tenant.allowance_per_s} for tenant in self.tenants
            ],
            "load-report": {"fields": [REPORT_FIELDS[name] for name in self.reports], "how": "piggyback"},
            "discovery": "push",
            "ceilings": self._platform_ceilings(),
            "invariants": self._platform_invariants(),
        }

    def _platform_ceilings(self) -> dict[str, Any]:
        return {
            "cancel": self.cancel,
            "second-copies": self.second_copies,
            "max-attempts": self.max_attempts,
            "max-streams": 1,
            "conn-idle-us": self.idle_ms * 1000,
            "connect-timeout-us": self.connect_timeout_ms * 1000,
            "retry-after": self.retry_after,
            "max-retry-after-us": self.max_retry_after_ms * 1000,
        }

    def _platform_invariants(self) -> dict[str, Any]:
        return {
            "drain-grace-us": self.drain_grace_ms * 1000,
            "cold-share": self.cold_share,
            "cold-us": self.cold_ms * 1000,
            "tip-multiple": self.tip_multiple,
            "overload-for-us": self.tip_ms * 1000,
        }


def _is_address(text: str) -> bool:
    try:
        return parse_address(text)[1] >= 0
    except ConfigError:
        return False
