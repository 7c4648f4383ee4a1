"""Which calls claim their ids, and when a claim ends: the rules of `request_ids`, applied to calls."""

from __future__ import annotations

from laurelstep.balancing.events import UNSAFE, Settings
from laurelstep.engine.call import Call
from laurelstep.engine.request_ids import RequestIdTable


class IdClaims:
    """The claims of one engine's calls in a table that other processes may share."""

    def __init__(self, settings: Settings, table: RequestIdTable | None) -> None:
        """`table` None: one that no other process shares."""
        self.settings = settings
        self.table = table or RequestIdTable()

    def _must_claim(self, call: Call) -> bool:
        """Whether the id of a call may be sent once only. Endpoints tell repeats of keyed ones by key, and a
        recorder answers the repeats of what it has recorded.
        """
        is_unsafe = self.settings.classes[call.request_class].effect == UNSAFE
        return is_unsafe and call.claims_id and not call.is_recorded

    def is_claimed(self, call: Call) -> bool:
        """Whether the id of a call that is not taken yet may have taken effect under an earlier one."""
        return self._must_claim(call) and call.client_request_id in self.table

    def claim(self, call: Call) -> bool:
        """Claim the id of a call that is about to be sent; False if it must not be sent."""
        if not call.has_claimed_id and self._must_claim(call):
            call.has_claimed_id = self.table.claim(call.client_request_id)
            return call.has_claimed_id
        return True

    def keep(self, call: Call) -> None:
        """Keep the id of a call claimed that the write queue sends later, under an id of its own."""
        self.claim(call)
        call.is_claim_kept = call.is_queued

    def release_unused(self, call: Call) -> None:
        """Release the id of a call that has ended if nothing may have run, nor may run later."""
        if not call.has_claimed_id or call.is_claim_kept:
            return
        if not any([attempt.may_have_run for attempt in call.attempts]):
            self.table.release(call.client_request_id)
