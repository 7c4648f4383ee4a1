"""The settings, events and actions of a `Balancer`: types only, no decisions.

One `Balancer` (in `laurelstep.balancing.balancer`) serves one sidecar. It is created from a seed and
the `Settings` and then receives one event at a time: each of its methods takes the time in µs and
returns the `Action`s to carry out at that time, in order. The caller guarantees a clock that never
goes back, one `outcome` for each `Send`, and a call of `timer` for each `Timer`, never early.

    start(now)                            the sidecar has started; a cached list may follow
    members(now, mode, list)              an endpoint list: LIST_FULL, _DELTA, _CACHED, _FAILED, _PARTIAL
    request(now, Arrival)                 a request has arrived; it gets exactly one final answer
    request_completed(now, id, expires)   the body of a request with `has_pending_body` is complete
    outcome(now, Outcome)                 an attempt has ended; each `Send` gets one outcome
    head(now, Outcome)                    the answer to a request of a streamed class has started
    client_disconnected(now, request)     the client has left; it gets no answer
    timer(now, token)                     the delay of a `Timer` has passed
    probed(now, ProbeResult)              a `Probe` has ended
    gossip_received(now, sender, bytes)   a message from another sidecar of this tier has arrived

The types that are created for every request or list entry have a handwritten `__init__` and are not
frozen: when compiled, the `__init__` of a frozen dataclass costs more than all the work that the
module does with the object. Neither side changes an object after passing it to the other.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import Final

# Constants are Final here and in the other modules: when compiled, a name that is not Final is
# looked up at each use.

# Outcomes of an attempt. FULL (the endpoint is at capacity), NO_CONNECT and NOT_SENT prove that the
# attempt never ran; FULL proves it only where `Settings.full_unproven` is False.
OK: Final = 0
ERROR: Final = 1
FULL: Final = 2
TIMEOUT: Final = 3
NO_CONNECT: Final = 4
RESET: Final = 5
CANCELLED: Final = 6
NOT_SENT: Final = 7
NEVER_RAN = frozenset((FULL, NO_CONNECT, NOT_SENT))
# Whether requests of a class may be retried, and the endpoints among which an idempotency key is known.
SAFE: Final = 0
KEYED: Final = 1
UNSAFE: Final = 2
SCOPE_ALL: Final = 0
SCOPE_ZONE: Final = 1
SCOPE_CELL: Final = 2
# Phases of an endpoint and modes of an endpoint list.
GONE: Final = 0
READY: Final = 1
DRAINING: Final = 2
LIST_FULL: Final = 0
LIST_FAILED: Final = 1
LIST_DELTA: Final = 2
LIST_CACHED: Final = 3
# One part of the changes of a list that is too long for one call; the endpoints that it adds receive
# requests once a list of another mode follows.
LIST_PARTIAL: Final = 4
# Fields of a load report: requests in flight, requests queued, share of the CPU in use,
# recent service time in ms, requests served per second, errors per second.
IN_FLIGHT = "held"
QUEUED = "waiting"
CPU_UTILIZATION = "busy"
LATENCY_MS = "latency_ms"
SERVED_RATE = "served_rate"
ERROR_RATE = "error_rate"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests; times in µs."""

    effect: int = UNSAFE  # SAFE, KEYED (idempotent by its idempotency key) or UNSAFE to retry
    scope: int = SCOPE_ALL  # KEYED: the endpoints that recognize a repeated key
    window_us: int = 0  # KEYED: how long endpoints remember a key, from the first send
    aim_us: int = 1_000_000  # latency objective; an answer within it earns the full weight
    aim_stretch: float = 0.0  # the objective is extended by this multiple of the request's own work
    deadline_us: int = 1_000_000  # the longest that a client waits, over all attempts
    worth: float = 1.0  # weight of a request answered within its objective
    late_worth: float = 0.0  # share of the weight that an answer after the objective earns
    stream: bool = False  # the answer is a stream; `Balancer.head` reports its start
    sequential: bool = False  # requests with the same key run one at a time, in order of arrival

    def __post_init__(self) -> None:
        if self.effect not in (SAFE, KEYED, UNSAFE):
            raise ValueError(f"unknown effect: {self.effect}")
        if self.scope not in (SCOPE_ALL, SCOPE_ZONE, SCOPE_CELL):
            raise ValueError(f"unknown scope: {self.scope}")
        _check_positive(self, ("aim_us", "deadline_us"))
        _check_not_negative(self, ("window_us", "aim_stretch", "worth", "late_worth"))


@dataclass(slots=True, frozen=True)
class Goal:
    """Weights of the components of the service score; a component with weight 0 does not count."""

    whole: float = 1.0  # all requests
    worst_window: float = 0.0  # the time window with the worst service
    worst_class: float = 0.0  # the class with the worst service
    worst_tenant: float = 0.0  # the tenant with the worst service
    punctual: float = 0.0  # counts in full only while few requests miss their objective
    miss_allowed: float = 0.0  # punctual: share of requests that may miss; at 5 times this it counts 0


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings that are fixed when a `Balancer` is created.

    A setting that is absent has its default, which is the conservative choice and not a figure of
    one deployment. Times are in µs; prices are in points of the service score, per unit of the rate
    or share that they apply to. The fields have the names of the platform's settings, because error
    messages and the log of a reload show them to operators.
    """

    classes: tuple[RequestClass, ...]
    me: int = 0  # this copy's number; may be `instances` or more while a tier grows
    instances: int = 1  # copies of this tier at the start
    zone: int = 0
    zones: int = 1
    stage: int = 0  # the tier that this sidecar sends to; 0 is the entry tier
    stages: int = 1  # number of tiers
    tenants: tuple[float, ...] = ()  # quota of each tenant over all sidecars, in requests per second
    over_share_worth: float = 1.0  # multiple of the weight for a request past its tenant's quota
    worth_by_work: bool = False  # a request that takes more work has a higher weight
    asks_discovery: bool = False  # discovery sends the list only on request
    passes_deadline: bool = False  # calls between tiers carry the time left until the deadline
    warm_keys: bool = False  # an endpoint serves a key that it saw recently with less work
    marks_retry: bool = False  # clients mark their retries
    rated: bool = False  # ratings in the list are the sizes of the endpoints
    rating_is_live: bool = False  # ratings also fall with load
    report_fields: tuple[str, ...] = ()  # fields of a load report, in order
    reports_pulled: bool = False  # load reports come only with probe results
    can_cancel: bool = False  # `Cancel` is allowed
    can_probe: bool = False  # `Probe` is allowed
    can_tell: bool = False  # `Gossip` is allowed
    second_copies: bool = False  # a request may have two attempts outstanding at once
    retry_after: bool = False  # clients receive `Refuse.retry_after_us`
    max_retry_after_us: int = 0
    max_attempts: int = 1  # of one request
    max_held: int = 1_000_000  # requests without a final answer
    streams: int = 1  # attempts that one connection carries at once
    idle_us: int = 0  # idle connections are closed after this time; 0 = unknown
    connect_timeout_us: int = 0
    cpu_us_per_s: float = 0.0  # CPU time that this copy may use; 0 = no known limit
    cpu_us_per_request: float = 0.0
    resolution_us: int = 1000  # least time between two batches of events
    answer_slack_us: int = 0  # a final answer may be this late after the deadline
    ask_within_us: int = 10_000_000  # discovery has to be asked within this time
    key_rest_us: int = 0  # pause of a key after an attempt that may still be running
    full_unproven: bool = False  # FULL may also be the outcome of work that had begun
    cold_share: float = 1.0  # least share of its capacity that an endpoint has when it starts
    cold_us: int = 0  # time after which a started endpoint has its full capacity
    tip_multiple: float = 1.0  # multiple of its present capacity whose arrival overloads an endpoint
    overload_for_us: int = 1_000_000  # time for which that load has to last
    goal: Goal = Goal()
    cross_zone_price: float = 0.0
    probe_price: float = 0.0
    waste_price: float = 0.0
    connection_price: float = 0.0
    handshake_price: float = 0.0
    late_fail_price: float = 0.0  # per unit of weight that fails after its objective
    peer_price: float = 0.0
    discovery_price: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes must not be empty")
        _check_positive(
            self, ("instances", "max_attempts", "resolution_us", "ask_within_us", "overload_for_us")
        )
        _check_not_negative(self, ("me", "idle_us", "connect_timeout_us", "answer_slack_us", "key_rest_us"))
        _check_not_negative(self, ("cold_share", "cold_us", "tip_multiple", "max_retry_after_us"))
        if any(not 0.0 <= rate < inf for rate in self.tenants):
            raise ValueError(f"tenants must be finite rates of 0 or more: {self.tenants}")


def _check_positive(owner: object, names: tuple[str, ...]) -> None:
    for name in names:
        if not 0 < getattr(owner, name) < inf:
            raise ValueError(f"{name} must be positive and finite: {getattr(owner, name)}")


def _check_not_negative(owner: object, names: tuple[str, ...]) -> None:
    for name in names:
        if not 0 <= getattr(owner, name) < inf:
            raise ValueError(f"{name} must be finite and not negative: {getattr(owner, name)}")


@dataclass(slots=True, init=False)
class Entry:
    """The entry of one endpoint in an endpoint list."""

    endpoint: int  # its id
    phase: int  # READY, DRAINING or GONE
    boot: int  # when the endpoint's process started, in µs; 0 = long ago
    rating: float  # relative size of the endpoint; 1 where no size is known
    cell: int  # endpoints of one cell share their idempotency keys, and often a rack
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
    """A request that the sidecar has received."""

    request: int  # its id
    cls: int  # index of its class in `Settings.classes`
    expires: int  # when its client stops waiting, in µs
    tenant: int  # index of its tenant in `Settings.tenants`
    key: int  # number of the object that it names; 0 = none
    work_us: int  # the client's estimate of its work; 0 = no estimate
    is_retry: bool  # the client marked it as a retry
    has_pending_body: bool  # its body is still being received: see `Balancer.request_completed`

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
    """The end of one attempt or, as the event of `Balancer.head`, the start of its answer."""

    request: int
    attempt_index: int  # position among the attempts of the request, from 0
    endpoint: int
    outcome: int  # OK ... NOT_SENT
    latency_us: int  # time since the attempt was sent
    is_final: bool  # the client has the final answer of the request
    report: Sequence[float] | None  # load report, in the order of `Settings.report_fields`

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
    """The result of one probe."""

    endpoint: int
    outcome: int
    latency_us: int
    report: Sequence[float] | None = None


@dataclass(slots=True, init=False)
class Send:
    """Start an attempt; the attempts of a request are numbered from 0 in the order sent."""

    request: int
    endpoint: int
    timeout_us: int

    def __init__(self, request: int, endpoint: int, timeout_us: int) -> None:
        self.request = request
        self.endpoint = endpoint
        self.timeout_us = timeout_us


@dataclass(slots=True, init=False)
class Timer:
    """Call `Balancer.timer` with this token after the delay."""

    token: int
    delay_us: int

    def __init__(self, token: int, delay_us: int) -> None:
        self.token = token
        self.delay_us = delay_us


@dataclass(slots=True, init=False)
class Refuse:
    """Final answer: the request is refused, and the client can retry it without a second effect."""

    request: int
    retry_after_us: int  # advice to the client; 0 = no advice

    def __init__(self, request: int, retry_after_us: int) -> None:
        self.request = request
        self.retry_after_us = retry_after_us


@dataclass(slots=True, init=False)
class Fail:
    """Final answer: the request failed; it may have taken effect."""

    request: int

    def __init__(self, request: int) -> None:
        self.request = request


@dataclass(slots=True, init=False)
class Cancel:
    """Cancel one attempt; its outcome is still reported."""

    request: int
    attempt_index: int

    def __init__(self, request: int, attempt_index: int) -> None:
        self.request = request
        self.attempt_index = attempt_index


@dataclass(slots=True, frozen=True)
class Probe:
    """Probe the health of an endpoint, which costs `Settings.probe_price`."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class Close:
    """Close this sidecar's idle connections to an endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to the changes of discovery's list, or end the subscription."""

    is_enabled: bool


@dataclass(slots=True, frozen=True)
class Fetch:
    """Fetch discovery's full list once."""


@dataclass(slots=True, frozen=True)
class Gossip:
    """Send a message to one sidecar of the tier, or to all where `target` is None."""

    target: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the operator's log."""

    text: str


Action = Send | Timer | Refuse | Fail | Cancel | Probe | Close | Watch | Fetch | Gossip | Log
