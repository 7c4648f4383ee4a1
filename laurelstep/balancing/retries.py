"""Retries: whether a request may be attempted again, where, and out of what budget."""

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

# Retry tokens earned by each first attempt, and the most that may be saved up:
# retries can add this share to the traffic, never multiply it.
TOKENS_EARNED: Final = 0.2
TOKENS_MAX: Final = 5.0
# Pause before the next attempt when no endpoint may be drawn, as a share of the objective.
BACKOFF_SHARE: Final = 0.02


class RetryPolicy:
    """The rules of repetition, and the owner of the retry budget."""

    __slots__ = ("never_ran_outcomes", "settings", "tokens")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # Outcomes that prove an attempt never ran.
        self.never_ran_outcomes = NEVER_RAN - {FULL} if settings.full_unproven else NEVER_RAN
        self.tokens = TOKENS_MAX / 2

    def earn_tokens(self) -> None:
        """A new request adds to the budget."""
        self.tokens = min(TOKENS_MAX, self.tokens + TOKENS_EARNED)

    def spend_token(self, outcome: int) -> bool:
        """Pay for one more attempt after this outcome; False where the budget is spent.

        Guards the endpoints' work; an attempt that never ran took none.
        """
        price = 0.0 if outcome in self.never_ran_outcomes else 1.0
        if self.tokens < price:
            return False
        self.tokens -= price
        return True

    def proves_never_ran(self, outcome: int) -> bool:
        """Whether an attempt with this outcome had no effect for sure."""
        return outcome in self.never_ran_outcomes

    def can_attempt(self, now: int, request: Request) -> bool:
        """Whether an attempt, the first or a further one, is allowed at all, wherever it goes."""
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        if request.is_streaming or now >= request.expires_at:
            return False
        if not self.settings.second_copies and request.has_outstanding_attempt():
            return False
        possible = request.first_possible_execution()
        if possible is None or request.request_class.effect == SAFE:
            return True
        return (
            request.request_class.effect == KEYED and now - possible.sent_at < request.request_class.window_us
        )

    def is_in_scope(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether a repeat at this endpoint would be recognized by its key."""
        possible = request.first_possible_execution()
        if possible is None or request.request_class.scope == SCOPE_ALL:
            return True
        if request.request_class.scope == SCOPE_ZONE:
            return endpoint.zone == possible.zone
        return endpoint.cell == possible.cell

    def is_refusal_safe(self, request: Request) -> bool:
        """Whether a client may be asked to retry: that has no second effect."""
        cls = request.request_class
        is_idempotent = cls.effect == SAFE or (cls.effect == KEYED and cls.scope == SCOPE_ALL)
        return is_idempotent or request.first_possible_execution() is None

    def backoff_us(self, cls: RequestClass) -> int:
        """Pause before the next attempt where none can be sent now, in µs."""
        return max(self.settings.resolution_us, int(BACKOFF_SHARE * cls.aim_us))

    def retry_after_us(self, cls: RequestClass) -> int:
        """The advice to a refused client, in µs; 0 where none is given.

        It may come back when this copy would itself try again; longer advice had retries
        come back together, and too late to be in time.
        """
        return self.backoff_us(cls) if self.settings.retry_after else 0
