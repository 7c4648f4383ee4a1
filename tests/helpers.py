"""Small stand-ins for what a sidecar is told; they model no endpoints."""

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
PAGE = RequestClass(effect=SAFE, aim_us=200 * MS, deadline_us=SECOND)
PATIENT = RequestClass(effect=SAFE, aim_us=2_500 * MS, deadline_us=6 * SECOND)
SETTINGS = Settings(
    classes=(PAGE,),
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
    """The endpoints that requests may be sent to, in the order of the ring."""
    return [endpoint.id for _, endpoint in balancer.membership.ring.all]


def first_refused(admission: AdmissionController, now: int, held: range) -> int:
    """The least of these numbers of requests held at which one more is refused."""
    return next(count for count in held if admission.limit.exceeds_concurrency_limit(now, count))


class Driver:
    """Numbers the requests of one balancer and remembers what it sent."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.next = 0

    def ask(self, now: int, cls: int = 0, tenant: int = 0, key: int = 0) -> tuple[int, list[Action]]:
        self.next += 1
        expires = now + self.balancer.settings.classes[cls].deadline_us
        return self.next, self.balancer.request(now, Arrival(self.next, cls, expires, tenant, key))

    def serve(self, now: int, delay: int, cls: int = 0) -> bool:
        """One request answered after the delay; False if it was not sent."""
        rid, actions = self.ask(now, cls)
        if not (sent := sends(actions)):
            return False
        done = Outcome(rid, 0, sent[0].endpoint, OK, delay, is_final=True)
        self.balancer.outcome(now + delay, done)
        return True
