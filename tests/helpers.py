"""Helpers that create balancers and send them events; they do not simulate endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from laurelstep.balancing.admission import AdmissionController
from laurelstep.balancing.balancer import Balancer
from laurelstep.balancing.events import (
    LIST_FULL,
    OK,
    READY,
    SAFE,
    Action,
    Arrival,
    Entry,
    Outcome,
    RequestClass,
    Send,
    Settings,
)

MS = 1_000
SECOND = 1_000_000
SHORT_CLASS = RequestClass(effect=SAFE, aim_us=200 * MS, deadline_us=SECOND)
LONG_CLASS = RequestClass(effect=SAFE, aim_us=2_500 * MS, deadline_us=6 * SECOND)
SETTINGS = Settings(
    classes=(SHORT_CLASS,),
    can_cancel=True,
    second_copies=True,
    max_attempts=3,
    cold_share=0.2,
    cold_us=20 * SECOND,
    tip_multiple=3.0,
)


def fleet(size: int, boot: int = 0) -> list[Entry]:
    return [Entry(100 + n, READY, boot, 1.0, n // 4, n % 2, 0) for n in range(size)]


def started(size: int = 8, seed: int = 1, settings: Settings = SETTINGS, **changes: object) -> Balancer:
    balancer = Balancer(seed, replace(settings, **changes))  # type: ignore[arg-type]
    balancer.start(0)
    balancer.members(0, LIST_FULL, fleet(size))
    return balancer


def sends(actions: Iterable[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def on_ring(balancer: Balancer) -> list[int]:
    """Return the ids of the endpoints that requests may be sent to, in the order of the ring."""
    return [endpoint.id for _, endpoint in balancer.membership.ring.all]


def first_refused(admission: AdmissionController, now: int, candidates: range) -> int:
    """Return the least of these numbers of requests in flight that exceeds the concurrency limit."""
    return next(count for count in candidates if admission.limit.exceeds_concurrency_limit(now, count))


class Driver:
    """Sends requests with consecutive ids to one balancer."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.last_request_id = 0

    def send_request(self, now: int, cls: int = 0, tenant: int = 0, key: int = 0) -> tuple[int, list[Action]]:
        self.last_request_id += 1
        expires = now + self.balancer.settings.classes[cls].deadline_us
        return self.last_request_id, self.balancer.request(
            now, Arrival(self.last_request_id, cls, expires, tenant, key)
        )

    def serve(self, now: int, latency_us: int, cls: int = 0) -> bool:
        """Send one request and answer it after `latency_us`; returns False if it was not sent."""
        request_id, actions = self.send_request(now, cls)
        if not (sent_actions := sends(actions)):
            return False
        outcome = Outcome(request_id, 0, sent_actions[0].endpoint, OK, latency_us, is_final=True)
        self.balancer.outcome(now + latency_us, outcome)
        return True
