"""The demo's endpoints, request classes and daemon settings."""

from __future__ import annotations

from typing import Any, Final, NamedTuple


class Speed(NamedTuple):
    """A speed of endpoints: the mean time of their work, s, and their number."""

    mean_work_s: float
    endpoint_count: int


class RequestShare(NamedTuple):
    """A request class and its share of all requests."""

    cls: str
    share: float


SPEEDS: Final = {"fast": Speed(0.006, 3), "std": Speed(0.010, 3), "slow": Speed(0.018, 2)}
CORES: Final = 2
STALLED_ENDPOINT, DRAINED_ENDPOINT = "s-1", "s-4"
DRAIN_GRACE_S: Final = 0.5
# A request may be in flight when the grace ends: one that arrives this much later is still in time.
DRAIN_TOLERANCE_S: Final = 0.25
MAX_OPEN_REQUESTS: Final = 200
DEADLINE_MS: Final = 2000
REQUEST_MIX: Final = (
    RequestShare("view", 0.67),
    RequestShare("upload", 0.18),
    RequestShare("print-order", 0.15),
)
CLASSES: Final[list[dict[str, Any]]] = [
    {"name": "view", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "retryable", "points": 1.0},
    {
        "name": "upload", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "dedup", "points": 8.0,
        "dedup-scope": "all", "repeat-window-us": 10_000_000,
    },
    {"name": "print-order", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "fragile", "points": 3.0},
]  # fmt: skip
SETTINGS: Final[dict[str, Any]] = {
    "classes": CLASSES,
    "ceilings": {
        "cancel": True, "second-copies": True, "max-attempts": 3, "max-streams": 1, "retry-after": True,
        "conn-idle-us": 10_000_000, "connect-timeout-us": 250_000, "max-retry-after-us": 1_000_000,
    },
    "invariants": {"drain-grace-us": int(DRAIN_GRACE_S * 1e6)},
    "load-report": {"fields": ["waiting", "rps"], "how": "piggyback"},
    "zones": ["here"], "kinds": list(SPEEDS), "discovery": "push", "stage": 0,
}  # fmt: skip
