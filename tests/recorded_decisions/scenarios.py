"""The scenarios of the recording: settings, endpoint list and behaviour of the simulated world."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from laurelstep.balancing.events import (
    ERROR_RATE,
    IN_FLIGHT,
    KEYED,
    QUEUED,
    SAFE,
    SCOPE_ALL,
    SCOPE_CELL,
    SCOPE_ZONE,
    UNSAFE,
    Goal,
    RequestClass,
)

MS = 1_000
SECOND = 1_000_000

SAFE_CLASS = RequestClass(SAFE, aim_us=200 * MS, deadline_us=SECOND)
SLOW_CLASS = RequestClass(SAFE, aim_us=2 * SECOND, deadline_us=5 * SECOND, worth=4.0, late_worth=0.3)
UNSAFE_CLASS = RequestClass(UNSAFE, aim_us=400 * MS, deadline_us=2 * SECOND, worth=2.0)
KEYED_ANYWHERE = RequestClass(
    KEYED, SCOPE_ALL, window_us=500 * MS, aim_us=300 * MS, deadline_us=SECOND, worth=3.0
)
KEYED_IN_ZONE = RequestClass(KEYED, SCOPE_ZONE, window_us=800 * MS, aim_us=300 * MS, deadline_us=SECOND)
KEYED_IN_CELL = RequestClass(KEYED, SCOPE_CELL, window_us=SECOND, aim_us=300 * MS, deadline_us=2 * SECOND)
STREAM_CLASS = RequestClass(SAFE, aim_us=300 * MS, deadline_us=3 * SECOND, stream=True)
SEQUENTIAL_CLASS = RequestClass(
    KEYED, SCOPE_ALL, window_us=SECOND, aim_us=500 * MS, deadline_us=2 * SECOND, sequential=True
)


@dataclass(frozen=True)
class Scenario:
    """One scenario: the balancer's settings, the endpoints, and the shares of simulated events."""

    name: str
    settings: dict[str, Any]
    endpoints: int = 12
    spare_endpoints: int = 4  # endpoints that are missing from the first list
    zones: int = 1
    arrivals: int = 2500
    interval_us: int = 8 * MS  # mean time between arrivals
    service_us: int = 30 * MS  # mean time of an answer at an idle endpoint
    faults: tuple[str, ...] = ("error", "full", "frozen", "unreachable", "slow", "reset")
    fault_every_us: int = 2 * SECOND
    broken_share: float = 0.125  # share of the endpoints that each change of faults affects
    list_every_us: int = 900 * MS
    has_partial_lists: bool = False
    has_failed_lists: bool = False
    has_recent_starts: bool = False
    upload_share: float = 0.0  # share of requests that arrive before their body is complete
    key_count: int = 0
    tenant_count: int = 1
    has_work_hints: bool = False
    report_field_count: int = 0  # number of fields of each load report
    disconnect_share: float = 0.02  # share of clients that disconnect before the deadline
    class_weights: tuple[int, ...] = field(default=())  # relative frequency of each class; empty = equal


SCENARIOS = (
    Scenario(
        "one zone, hedged requests, cancel",
        {
            "classes": (SAFE_CLASS, KEYED_ANYWHERE, UNSAFE_CLASS),
            "second_copies": True,
            "can_cancel": True,
            "max_attempts": 3,
            "instances": 4,
            "me": 1,
            "retry_after": True,
        },
    ),
    Scenario(
        "three zones with a price, cells",
        {
            "classes": (SAFE_CLASS, KEYED_IN_ZONE, KEYED_IN_CELL),
            "max_attempts": 4,
            "instances": 6,
            "me": 2,
            "zones": 3,
            "zone": 1,
            "cross_zone_price": 0.3,
            "handshake_price": 0.2,
        },
        endpoints=24,
        zones=3,
    ),
    Scenario(
        "two zones without a price, asked lists",
        {
            "classes": (SAFE_CLASS, KEYED_IN_ZONE),
            "max_attempts": 3,
            "instances": 3,
            "zones": 2,
            "asks_discovery": True,
            "second_copies": True,
        },
        zones=2,
        has_failed_lists=True,
        has_partial_lists=True,
    ),
    Scenario(
        "slow start, lists in parts",
        {
            "classes": (SAFE_CLASS, SLOW_CLASS),
            "max_attempts": 3,
            "instances": 5,
            "me": 3,
            "cold_us": 6 * SECOND,
            "cold_share": 0.15,
            "tip_multiple": 3.0,
            "can_cancel": True,
        },
        endpoints=10,
        spare_endpoints=10,
        has_partial_lists=True,
        has_recent_starts=True,
    ),
    Scenario(
        "stalls, load reports, idle connections",
        {
            "classes": (SAFE_CLASS, UNSAFE_CLASS),
            "max_attempts": 3,
            "instances": 2,
            "report_fields": (IN_FLIGHT, QUEUED, ERROR_RATE),
            "idle_us": 4 * SECOND,
            "handshake_price": 0.5,
            "rated": True,
        },
        faults=("frozen", "reset", "lost", "slow"),
        interval_us=60 * MS,
        report_field_count=3,
        fault_every_us=3 * SECOND,
    ),
    Scenario(
        "tenants, overload, punctual goal",
        {
            "classes": (SAFE_CLASS, SLOW_CLASS, UNSAFE_CLASS),
            "max_attempts": 2,
            "instances": 2,
            "tenants": (20.0, 400.0, 0.0),
            "over_share_worth": 0.2,
            "goal": Goal(whole=1.0, worst_class=0.5, punctual=0.4, miss_allowed=0.02),
            "retry_after": True,
            "can_cancel": True,
        },
        endpoints=4,
        spare_endpoints=2,
        interval_us=4 * MS,
        service_us=120 * MS,
        tenant_count=4,
        has_work_hints=True,
        arrivals=4000,
    ),
    Scenario(
        "streams, keys in sequence",
        {
            "classes": (STREAM_CLASS, SEQUENTIAL_CLASS, SAFE_CLASS),
            "max_attempts": 3,
            "key_rest_us": 150 * MS,
            "can_cancel": True,
            "instances": 1,
        },
        endpoints=6,
        key_count=12,
        class_weights=(2, 3, 1),
    ),
    Scenario(
        "uploads, a full endpoint proves nothing",
        {
            "classes": (SAFE_CLASS, UNSAFE_CLASS, KEYED_IN_CELL),
            "max_attempts": 3,
            "full_unproven": True,
            "retry_after": True,
            "second_copies": True,
            "worth_by_work": True,
            "instances": 3,
        },
        upload_share=0.4,
        has_work_hints=True,
    ),
    Scenario(
        "a long ring, further down the chain",
        {
            "classes": (SAFE_CLASS, SLOW_CLASS, KEYED_IN_CELL),
            "max_attempts": 3,
            "stage": 1,
            "stages": 3,
            "instances": 1,
            "second_copies": True,
        },
        endpoints=120,
        spare_endpoints=40,
        arrivals=2000,
        list_every_us=300 * MS,
    ),
    Scenario(
        "more copies than endpoints, a cold fleet",
        {
            "classes": (SAFE_CLASS, UNSAFE_CLASS),
            "max_attempts": 3,
            "instances": 40,
            "me": 17,
            "cold_us": 4 * SECOND,
            "cold_share": 0.3,
            "tip_multiple": 2.0,
            "zones": 2,
            "cross_zone_price": 0.1,
        },
        endpoints=9,
        spare_endpoints=6,
        zones=2,
        interval_us=30 * MS,
        has_recent_starts=True,
    ),
    Scenario(
        "outages: most endpoints fail at once",
        {
            "classes": (SAFE_CLASS, UNSAFE_CLASS, KEYED_ANYWHERE),
            "max_attempts": 5,
            "instances": 2,
            "retry_after": True,
        },
        faults=("error", "frozen", "reset"),
        broken_share=1.5,
        fault_every_us=700 * MS,
    ),
    Scenario(
        "a frozen tier",
        {
            "classes": (SLOW_CLASS, SAFE_CLASS),
            "max_attempts": 2,
            "instances": 4,
            "can_cancel": True,
        },
        endpoints=6,
        spare_endpoints=1,
        arrivals=4000,
        faults=("frozen",),
        broken_share=4.0,
        fault_every_us=5 * SECOND,
        class_weights=(3, 1),
    ),
    Scenario(
        "an overload of many copies",
        {"classes": (SLOW_CLASS,), "max_attempts": 2, "instances": 60, "me": 31},
        endpoints=12,
        interval_us=20 * MS,
        service_us=400 * MS,
        faults=("slow", "frozen"),
        fault_every_us=10 * SECOND,
        broken_share=2.0,
        arrivals=3000,
    ),
    Scenario(
        "quotas and slow work",
        {
            "classes": (SLOW_CLASS, UNSAFE_CLASS),
            "max_attempts": 2,
            "instances": 2,
            "tenants": (10.0, 60.0),
            "over_share_worth": 0.1,
        },
        endpoints=5,
        interval_us=12 * MS,
        service_us=100 * MS,
        tenant_count=2,
        faults=("slow", "error"),
        broken_share=0.4,
        arrivals=4000,
    ),
    Scenario(
        "little traffic, extreme speeds",
        {"classes": (SLOW_CLASS, SAFE_CLASS), "max_attempts": 3, "instances": 2},
        interval_us=500 * MS,
        arrivals=1500,
        faults=("full", "crawling", "instant", "error"),
        broken_share=1.0,
        fault_every_us=20 * SECOND,
    ),
)
