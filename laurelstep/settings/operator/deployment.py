"""`[deployment]`: a deployment that no platform describes."""

from __future__ import annotations

import secrets
from typing import Annotated, Any, Final, Literal

import msgspec

from laurelstep.settings.config import ConfigError, address
from laurelstep.settings.operator.fields import (
    Amount,
    Count,
    Effect,
    Name,
    OperatorTable,
    Part,
    Whole,
    has_duplicates,
)

Scope = Literal["all", "zone", "cell"]
Report = Literal["inflight", "queue", "util", "latency_ms", "qps", "eps"]

# The names of load reports on the sockets, and in the platform's settings.
REPORTS: Final = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}
EFFECTS: Final = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}


class RequestClass(OperatorTable, frozen=True, kw_only=True):
    """One class of requests, with its latency objective, deadline and effect."""

    name: Name
    effect: Effect
    aim_ms: Count
    deadline_ms: Count
    worth: Amount = 1.0
    scope: Scope = "all"
    window_ms: Whole = 0

    def raw(self) -> dict[str, Any]:
        """The same in the platform's form."""
        return {
            "name": self.name,
            "repeat": EFFECTS[self.effect],
            "aim-us": self.aim_ms * 1000,
            "deadline-us": self.deadline_ms * 1000,
            "points": self.worth,
            "dedup-scope": self.scope,
            "repeat-window-us": self.window_ms * 1000,
        }


class Tenant(OperatorTable, frozen=True, kw_only=True):
    """A tenant and the work that it may have served."""

    name: str
    allowance_per_s: Amount


class Member(OperatorTable, frozen=True, kw_only=True):
    """An endpoint that is listed in the file."""

    id: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str = ""
    kind: str = ""
    cell: Whole = 0
    weight: Annotated[float, msgspec.Meta(gt=0.0)] = 1.0

    def raw(self) -> dict[str, Any]:
        """The same in discovery's form."""
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
    """`[deployment]`: what the platform would tell."""

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
            if has_duplicates(names):
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
        known = {"generation": 0, "reset": True, "instances": [one.raw() for one in self.members]}
        return {
            "listen": self.listen,
            "discovery": self.discovery,
            "seed": self.seed or secrets.token_hex(8),
            "limits": {"sockets": self.sockets},
            "known": known if self.members else None,
            "settings": self._raw_settings(),
        }

    def _raw_settings(self) -> dict[str, Any]:
        return {
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
            "ceilings": self._raw_ceilings(),
            "invariants": self._raw_invariants(),
        }

    def _raw_ceilings(self) -> dict[str, Any]:
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

    def _raw_invariants(self) -> dict[str, Any]:
        return {
            "drain-grace-us": self.drain_grace_ms * 1000,
            "cold-share": self.cold_share,
            "cold-us": self.cold_ms * 1000,
            "tip-multiple": self.tip_multiple,
            "overload-for-us": self.tip_ms * 1000,
        }


def _is_address(text: str) -> bool:
    try:
        return address(text)[1] >= 0
    except ConfigError:
        return False
