"""What goes into a `Balancer` and what comes out: types only, no decisions.

One `Balancer` (in `laurelstep.balancing.balancer`) serves one sidecar. It is made from a seed and
the `Settings` and then given one event at a time: each of its methods takes the time in µs and
returns the `Action`s to carry out at that time, in their order. The caller owes it a clock that
never goes back, one `outcome` for each `Send`, and each `Timer` at its time or after, never before.

    start(now)                            the sidecar is up; a cached list follows
    members(now, mode, list)              an endpoint list: LIST_FULL, _DELTA, _CACHED, _FAILED, _PART
    request(now, Arrival)                 a request to be answered exactly once
    request_completed(now, id, expires)   a request taken with `body_pending` has its last byte
    outcome(now, Outcome)                 how one attempt ended; each `Send` gets one
    head(now, Outcome)                    the answer of a streamed class has started
    client_disconnected(now, request)     the client left; nothing more is owed
    timer(now, token)                     a `Timer` that was asked for has come due
    probed(now, ProbeResult)                   what a `Probe` found
    gossip_received(now, sender, bytes)   a message of another sidecar of this tier

What is made for every request or entry has its `__init__` written out and is not frozen:
compiled, that of a frozen dataclass costs more than all that the module does with it.
Nobody changes one that was handed over.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import Final

# Final, here and elsewhere: compiled, a name that is not Final is looked up at each use.

# How an attempt ended. FULL, NO_CONNECT and NOT_SENT prove that it never ran, FULL
# only where `Settings.full_unproven` does not say otherwise.
OK: Final = 0
ERROR: Final = 1
FULL: Final = 2
TIMEOUT: Final = 3
NO_CONNECT: Final = 4
RESET: Final = 5
CANCELLED: Final = 6
NOT_SENT: Final = 7
NEVER_RAN = frozenset((FULL, NO_CONNECT, NOT_SENT))
# Whether a class may be retried, and among which endpoints an idempotency key is known.
SAFE: Final = 0
KEYED: Final = 1
UNSAFE: Final = 2
SCOPE_ALL: Final = 0
SCOPE_ZONE: Final = 1
SCOPE_CELL: Final = 2
# Phases of an endpoint and kinds of list.
GONE: Final = 0
READY: Final = 1
DRAINING: Final = 2
LIST_FULL: Final = 0
LIST_FAILED: Final = 1
LIST_DELTA: Final = 2
LIST_CACHED: Final = 3
LIST_PARTIAL: Final = 4  # changes of a list too long for one call: what joins waits for the next other list
# Names in a load report: requests held, requests waiting, share of CPU in use,
# recent service time in ms, requests served a second, errors a second.
IN_FLIGHT = "held"
QUEUED = "waiting"
CPU_UTILIZATION = "busy"
LATENCY_MS = "latency_ms"
SERVED_RATE = "served_rate"
ERROR_RATE = "error_rate"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests; times in µs."""

    effect: int = UNSAFE  # SAFE, KEYED (idempotent by its key) or UNSAFE to retry
    scope: int = SCOPE_ALL  # KEYED: the endpoints that drop a repeat
    window_us: int = 0  # KEYED: how long they remember, from the first send
    aim_us: int = 1_000_000  # an answer within this latency objective earns the whole weight
    aim_stretch: float = 0.0  # the objective grows by this multiple of the request's own work
    deadline_us: int = 1_000_000  # a client waits no longer, over all its attempts
    worth: float = 1.0
    late_worth: float = 0.0  # share of the weight after the objective
    stream: bool = False  # the answer is a stream; `head` tells that it started
    sequential: bool = False  # requests with one key run one at a time, as taken

    def __post_init__(self) -> None:
        if self.effect not in (SAFE, KEYED, UNSAFE):
            raise ValueError(f"effect is unknown: {self.effect}")
        if self.scope not in (SCOPE_ALL, SCOPE_ZONE, SCOPE_CELL):
            raise ValueError(f"scope is unknown: {self.scope}")
        _positive(self, ("aim_us", "deadline_us"))
        _not_negative(self, ("window_us", "aim_stretch", "worth", "late_worth"))


@dataclass(slots=True, frozen=True)
class Goal:
    """Weights of the parts by which service is counted; 0 where a part is not."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    punctual: float = 0.0  # weights count in full only while few requests miss
    miss_allowed: float = 0.0  # punctual: the share that may miss; at 5 times it nothing counts


@dataclass(slots=True, frozen=True)
class Settings:
    """All that is fixed at the start. The defaults hold where a setting is
    absent; they are the careful choice, never a figure of some deployment.
    Times in µs; prices in points of service, each for its rate or share.
    Fields are named as the platform's settings are, since errors and the
    log of a reload name them to operators.
    """

    classes: tuple[RequestClass, ...]
    me: int = 0  # this copy's number; may be past `instances` while a tier grows
    instances: int = 1  # copies of this tier at the start
    zone: int = 0
    zones: int = 1
    stage: int = 0  # the tier this sidecar sends to
    stages: int = 1
    tenants: tuple[float, ...] = ()  # requests a second in each one's quota, all sidecars
    over_share_worth: float = 1.0  # multiple of the weight for a request past its tenant's quota
    worth_by_work: bool = False  # a heavy request weighs more than a light one
    asks_discovery: bool = False  # the list comes only when asked for
    passes_deadline: bool = False  # calls carry the time their caller has left
    warm_keys: bool = False  # an endpoint serves a key it met lately with less work
    marks_retry: bool = False  # clients mark their retries
    rated: bool = False  # the list's ratings tell sizes
    rating_is_live: bool = False  # and fall with load
    report_fields: tuple[str, ...] = ()
    reports_pulled: bool = False  # only probes bring reports
    can_cancel: bool = False
    can_probe: bool = False
    can_tell: bool = False
    second_copies: bool = False  # a request may have two attempts outstanding at once
    retry_after: bool = False  # clients get `Refuse.retry_after_us`
    max_retry_after_us: int = 0
    max_attempts: int = 1
    max_held: int = 1_000_000
    streams: int = 1  # attempts that one connection carries at once
    idle_us: int = 0  # idle connections are closed after this; 0 = not known
    connect_timeout_us: int = 0
    cpu_us_per_s: float = 0.0  # CPU this copy may use; 0 = no limit is known
    cpu_us_per_request: float = 0.0
    resolution_us: int = 1000  # events come in batches at least so far apart
    answer_slack_us: int = 0  # a final answer may follow the deadline by this
    ask_within_us: int = 10_000_000
    key_rest_us: int = 0  # a key's pause after an attempt that may still run
    full_unproven: bool = False  # FULL may also come for work that had begun
    cold_share: float = 1.0  # of its capacity that a starting endpoint has at least
    cold_us: int = 0  # until it is warm at the latest
    tip_multiple: float = 1.0  # of its present capacity that overloads it, sent
    overload_for_us: int = 1_000_000  # for this long
    goal: Goal = Goal()
    cross_zone_price: float = 0.0
    probe_price: float = 0.0
    waste_price: float = 0.0
    connection_price: float = 0.0
    handshake_price: float = 0.0
    late_fail_price: float = 0.0  # weight that ends unserved after its objective
    peer_price: float = 0.0
    discovery_price: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes is empty")
        _positive(self, ("instances", "max_attempts", "resolution_us", "ask_within_us", "overload_for_us"))
        _not_negative(self, ("me", "idle_us", "connect_timeout_us", "answer_slack_us", "key_rest_us"))
        _not_negative(self, ("cold_share", "cold_us", "tip_multiple", "max_retry_after_us"))
        if any(not 0.0 <= share < inf for share in self.tenants):
            raise ValueError(f"tenants has a share that is no rate: {self.tenants}")


def _positive(of: object, names: tuple[str, ...]) -> None:
    for name in names:
        if not 0 < getattr(of, name) < inf:
            raise ValueError(f"{name} must be positive: {getattr(of, name)}")


def _not_negative(of: object, names: tuple[str, ...]) -> None:
    for name in names:
        if not 0 <= getattr(of, name) < inf:
            raise ValueError(f"{name} must not be negative: {getattr(of, name)}")


@dataclass(slots=True, init=False)
class Entry:
    """One line of a discovery list."""

    endpoint: int
    phase: int  # READY, DRAINING or GONE
    boot: int  # when its process started; 0 = long ago
    rating: float  # its size among the others; 1 where none is known
    cell: int  # endpoints of one cell share what they know of keys, and often a rack
    zone: int
    kind: int

    def __init__(
        self,
        endpoint: int,
        phase: int,
        boot: int,
        rating: float,
        cell: int,
        zone: int,
        kind: int,
    ) -> None:
        self.endpoint = endpoint
        self.phase = phase
        self.boot = boot
        self.rating = rating
        self.cell = cell
        self.zone = zone
        self.kind = kind


@dataclass(slots=True, init=False)
class Arrival:
    """A request the sidecar has taken; `expires` is when its client gives up."""

    request: int
    cls: int
    expires: int
    tenant: int
    key: int  # what it is about; 0 = none
    work_us: int  # hint of its cost; 0 = none given
    is_retry: bool  # the client marked it as a retry
    has_pending_body: bool  # its last byte is still to come: see `Balancer.request_completed`

    def __init__(
        self,
        request: int,
        cls: int,
        expires: int,
        tenant: int = 0,
        key: int = 0,
        work_us: int = 0,
        is_retry: bool = False,
        has_pending_body: bool = False,
    ) -> None:
        self.has_pending_body = has_pending_body
        self.request = request
        self.cls = cls
        self.expires = expires
        self.tenant = tenant
        self.key = key
        self.work_us = work_us
        self.is_retry = is_retry


@dataclass(slots=True, init=False)
class Outcome:
    """How one attempt ended, or (for `head`) that its answer has started."""

    request: int
    attempt_index: int
    endpoint: int
    outcome: int
    latency_us: int  # since it was sent
    is_final: bool  # the request has its final answer
    report: Sequence[float] | None

    def __init__(
        self,
        request: int,
        attempt_index: int,
        endpoint: int,
        outcome: int,
        latency_us: int,
        is_final: bool = False,
        report: Sequence[float] | None = None,
    ) -> None:
        self.request = request
        self.attempt_index = attempt_index
        self.endpoint = endpoint
        self.outcome = outcome
        self.latency_us = latency_us
        self.is_final = is_final
        self.report = report


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """What one probe found."""

    endpoint: int
    outcome: int
    latency_us: int
    report: Sequence[float] | None = None


@dataclass(slots=True, init=False)
class Send:
    """Start an attempt; attempts of a request count 0, 1, 2 ... as sent."""

    request: int
    endpoint: int
    timeout_us: int

    def __init__(self, request: int, endpoint: int, timeout_us: int) -> None:
        self.request = request
        self.endpoint = endpoint
        self.timeout_us = timeout_us


@dataclass(slots=True, init=False)
class Timer:
    """Call `timer` with this token after the delay."""

    token: int
    delay_us: int

    def __init__(self, token: int, delay_us: int) -> None:
        self.token = token
        self.delay_us = delay_us


@dataclass(slots=True, init=False)
class Refuse:
    """Final answer: refused, and a retry is harmless."""

    request: int
    retry_after_us: int

    def __init__(self, request: int, retry_after_us: int) -> None:
        self.request = request
        self.retry_after_us = retry_after_us


@dataclass(slots=True, init=False)
class Fail:
    """Final answer: failed; it promises nothing."""

    request: int

    def __init__(self, request: int) -> None:
        self.request = request


@dataclass(slots=True, init=False)
class Cancel:
    """Stop waiting on one attempt."""

    request: int
    attempt_index: int

    def __init__(self, request: int, attempt_index: int) -> None:
        self.request = request
        self.attempt_index = attempt_index


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask an endpoint whether it is well, at a price."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class Close:
    """Close this sidecar's idle connections to an endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to discovery's changes, or end that."""

    is_enabled: bool


@dataclass(slots=True, frozen=True)
class Fetch:
    """Fetch discovery's whole list once."""


@dataclass(slots=True, frozen=True)
class Gossip:
    """Send a message to one sidecar of the tier, or (None) to all."""

    target: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operator."""

    text: str


Action = Send | Timer | Refuse | Fail | Cancel | Probe | Close | Watch | Fetch | Gossip | Log
