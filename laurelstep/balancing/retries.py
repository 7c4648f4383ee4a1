"""Retries: whether and where a request may be attempted again, and the retry budget."""

from __future__ import annotations

from typing import Final

from laurelstep.balancing.endpoints import Endpoint
from laurelstep.balancing.events import (
    FULL,
    KEYED,
    NEVER_RAN,
    SAFE,
    SCOPE_ALL,
    SCOPE_ZONE,
    RequestClass,
    Settings,
)
from laurelstep.balancing.requests import Request

# Retry tokens that each new request earns, and the most that are kept: retries can add this share to
# the traffic, but not multiply it.
TOKENS_EARNED: Final = 0.2
TOKENS_MAX: Final = 5.0
# Pause before the next attempt when no endpoint is eligible, as a share of the objective.
BACKOFF_SHARE: Final = 0.02


class RetryPolicy:
    """Decides on retries and owns the retry budget."""

    __slots__ = ("never_ran_outcomes", "settings", "tokens")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # Outcomes that prove an attempt never ran.
        self.never_ran_outcomes = NEVER_RAN - {FULL} if settings.full_unproven else NEVER_RAN
        self.tokens = TOKENS_MAX / 2

    def earn_tokens(self) -> None:
        """Add the tokens of a new request to the budget."""
        self.tokens = min(TOKENS_MAX, self.tokens + TOKENS_EARNED)

    def spend_token(self, outcome: int) -> bool:
        """Pay for a retry after this outcome; returns False where the budget is used up.

        Guards the endpoints against work for retries. A retry after an attempt that never ran is free.
        """
        cost = 0.0 if outcome in self.never_ran_outcomes else 1.0
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def proves_never_ran(self, outcome: int) -> bool:
        """Return whether an attempt with this outcome certainly had no effect."""
        return outcome in self.never_ran_outcomes

    def can_attempt(self, now: int, request: Request) -> bool:
        """Return whether the request may have another attempt, or its first, whatever the endpoint."""
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        if request.is_streaming or now >= request.expires_at:
            return False
        if not self.settings.second_copies and request.has_outstanding_attempt():
            return False
        possible_execution = request.first_possible_execution()
        if possible_execution is None or request.request_class.effect == SAFE:
            return True
        return (
            request.request_class.effect == KEYED
            and now - possible_execution.sent_at < request.request_class.window_us
        )

    def is_in_scope(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether this endpoint would recognize the request's key if it has already run."""
        possible_execution = request.first_possible_execution()
        if possible_execution is None or request.request_class.scope == SCOPE_ALL:
            return True
        if request.request_class.scope == SCOPE_ZONE:
            return endpoint.zone == possible_execution.zone
        return endpoint.cell == possible_execution.cell

    def is_refusal_safe(self, request: Request) -> bool:
        """Return whether a retry by the client would have no second effect."""
        cls = request.request_class
        is_idempotent = cls.effect == SAFE or (cls.effect == KEYED and cls.scope == SCOPE_ALL)
        return is_idempotent or request.first_possible_execution() is None

    def backoff_us(self, cls: RequestClass) -> int:
        """Return the pause before the next attempt where none can be sent now, in µs."""
        return max(self.settings.resolution_us, int(BACKOFF_SHARE * cls.aim_us))

    def retry_after_us(self, cls: RequestClass) -> int:
        """Return the retry-after advice to a refused client, in µs; 0 = no advice.

        The client may retry when this copy itself would retry. With longer advice, clients retried at
        the same time, and too late for their objective.
        """
        return self.backoff_us(cls) if self.settings.retry_after else 0
