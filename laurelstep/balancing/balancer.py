"""The façade of the balancing decisions: one `Balancer` per sidecar takes events and returns actions.

`laurelstep.balancing.events` defines the settings, events and actions. There is no I/O, no clock and
no thread: each method takes the time (µs) and one event and returns actions. The other modules of the
package hold the rules and their state; this module applies them in order.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from laurelstep.balancing.admission import AdmissionController
from laurelstep.balancing.connections import IdleConnectionMonitor
from laurelstep.balancing.endpoints import Endpoint
from laurelstep.balancing.events import (
    CANCELLED,
    ERROR,
    FULL,
    KEYED,
    LIST_FAILED,
    OK,
    QUEUED,
    RESET,
    TIMEOUT,
    Action,
    Arrival,
    Cancel,
    Close,
    Entry,
    Fail,
    Outcome,
    ProbeResult,
    Refuse,
    Send,
    Settings,
    Timer,
    Watch,
)
from laurelstep.balancing.key_queues import KeyQueues
from laurelstep.balancing.latency import LatencyTracker
from laurelstep.balancing.membership import Membership
from laurelstep.balancing.outliers import HEALTH_FACTORS, OutlierDetector
from laurelstep.balancing.priorities import PriorityWeights
from laurelstep.balancing.requests import Attempt, Request, RequestTable
from laurelstep.balancing.retries import RetryPolicy
from laurelstep.balancing.selection import EndpointSelector
from laurelstep.balancing.slow_start import SlowStart
from laurelstep.balancing.subsets import SubsetPlan
from laurelstep.balancing.zones import ZoneSpillover

# The token of a timer is a value (the id of a request, or 0) times TIMER_KINDS, plus the timer's kind.
TIMER_HELD_REQUEST: Final = 0
TIMER_SUBSCRIBE: Final = 1
TIMER_KINDS: Final = 2
# Largest plausible number of queued requests in a load report; a larger one is ignored.
REPORTED_QUEUED_MAX: Final = 1e6


class Balancer:
    """Makes every balancing decision of one copy; the same seed and events give the same actions."""

    def __init__(self, seed: int, settings: Settings) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.request_table = RequestTable()
        self.membership = Membership(settings, self.rng)
        self.subsets = SubsetPlan(settings)
        self.latencies = LatencyTracker(settings.classes)
        self.outliers = OutlierDetector(settings, self.latencies, self.subsets)
        self.slow_start = SlowStart(settings, self.latencies, self.subsets)
        self.spillover = ZoneSpillover(self.latencies.longest_objective_us)
        self.admission = AdmissionController(self.latencies, settings.goal)
        self.priorities = PriorityWeights(settings, self.latencies.longest_objective_us)
        self.retries = RetryPolicy(settings)
        self.connections = IdleConnectionMonitor(settings, self.latencies)
        self.key_queues = KeyQueues(settings.key_rest_us)
        self.selector = EndpointSelector(
            self.rng,
            self.membership,
            self.subsets,
            self.latencies,
            self.outliers,
            self.slow_start,
            self.spillover,
        )
        fields = settings.report_fields
        self._queued_field = fields.index(QUEUED) if QUEUED in fields else len(fields)
        self._actions: list[Action] = []

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        """The endpoints by id: the listed ones, and removed ones with attempts outstanding."""
        return self.membership.by_id

    @property
    def requests(self) -> dict[int, Request]:
        """The requests without a final answer, by id."""
        return self.request_table.open

    def discard_actions(self) -> None:
        """Discard the actions of an event whose method raised an exception."""
        self._actions.clear()

    # --- Endpoint list -----------------------------------------------------------------

    def start(self, now: int) -> list[Action]:
        """Start the balancer; the caller passes a cached list next, if there is one."""
        self.outliers.start(now)
        self.slow_start.start(now)
        if self.settings.asks_discovery:
            self._set_timer(TIMER_SUBSCRIBE, 0, self.membership.first_subscribe_delay_us())
        return self._take_actions(now)

    def members(self, now: int, mode: int, entries: Sequence[Entry]) -> list[Action]:
        """Apply an endpoint list by its mode: LIST_FULL, _DELTA, _CACHED, _FAILED or _PARTIAL."""
        if mode == LIST_FAILED:
            # Guards against a lost subscription: subscribe again after a randomized delay.
            if self.settings.asks_discovery:
                self._set_timer(TIMER_SUBSCRIBE, 0, self.membership.subscribe_backoff_us())
        elif self.membership.apply_list(now, mode, entries):
            self.subsets.rebuild_subsets(self.membership.ring)
            self.admission.limit.set_endpoints_per_copy(self.subsets.endpoints_per_copy)
        return self._take_actions(now)

    def count_ejected(self, now: int) -> int:
        """Count the ready endpoints that are ejected now; has no side effect."""
        return self.outliers.count_ejected(now, self.membership.by_id.values())

    # --- Requests ----------------------------------------------------------------------

    def request(self, now: int, event: Arrival) -> list[Action]:
        """Admit a new request and send, hold, refuse or fail it; it gets exactly one final answer."""
        request = Request(now, event, self.settings.classes[event.cls], max(1, len(self.settings.tenants)))
        self.request_table.add(request)
        self.retries.earn_tokens()
        # Only the entry tier sheds load: no work was done for the request yet. A refusal in a later
        # tier would waste the work of the tiers before it.
        is_admitted = self.settings.stage > 0 or self._admits(now, event)
        if is_admitted and (not request.key or self._enqueue(now, request)):
            self._send_or_hold(now, request)
        else:
            self._refuse_or_fail(now, request)
        return self._take_actions(now)

    def request_completed(self, now: int, request_id: int, expires_at: int) -> list[Action]:
        """Start the latency measurement of a request whose body is complete; ignored once it is closed.

        Guards the measured endpoint latencies and the concurrency limit against a slow upload:
        until its body is complete, a request puts no load on its endpoint, and its duration is not
        a latency.
        """
        request = self.request_table.open.get(request_id)
        if request is not None:
            was_pending = request.has_pending_body
            self.request_table.complete_body(now, request, expires_at)
            for attempt in request.attempts:
                if was_pending and attempt.is_outstanding and attempt.has_pending_body:
                    self._begin_attempt(now, attempt)
        return self._take_actions(now)

    def head(self, now: int, event: Outcome) -> list[Action]:
        """Record that the answer to a request of a streamed class has started."""
        request = self.request_table.open.get(event.request)
        if request is not None:
            request.is_streaming = True
        return self._take_actions(now)

    def client_disconnected(self, now: int, request_id: int) -> list[Action]:
        """Close the request of a client that has disconnected; it needs no answer."""
        request = self.request_table.open.get(request_id)
        if request is not None:
            if self.admission.is_answer_due(now, request):
                self.admission.record_outcome(now, request, TIMEOUT)
            self._close_request(request)
        return self._take_actions(now)

    def timer(self, now: int, token: int) -> list[Action]:
        """Handle the end of a `Timer`'s delay: subscribe to discovery, or try a held request again."""
        value, kind = divmod(token, TIMER_KINDS)
        if kind == TIMER_SUBSCRIBE and self.settings.asks_discovery:
            self._actions.append(Watch(True))
        elif (request := self.request_table.open.get(value)) and not request.has_outstanding_attempt():
            self._send_or_hold(now, request)
        return self._take_actions(now)

    def probed(self, now: int, event: ProbeResult) -> list[Action]:
        """Take the result of a `Probe`; it is not used."""
        return self._take_actions(now)

    def gossip_received(self, now: int, sender: int, payload: bytes) -> list[Action]:
        """Take a message from another sidecar of this tier; it is not used."""
        return self._take_actions(now)

    # --- Outcomes ----------------------------------------------------------------------

    def outcome(self, now: int, event: Outcome) -> list[Action]:
        """Take the outcome of one attempt; the caller reports exactly one for each `Send`."""
        request = self.request_table.find(event.request)
        attempt = (
            request.attempts[event.attempt_index]
            if request and event.attempt_index < len(request.attempts)
            else None
        )
        # The attempt was rejected on a new connection. The endpoint may lack capacity only for new
        # connections and still serve requests on idle ones. Guards against copies that all avoid the
        # endpoint and then return to it at the same time, and against capacity left idle while
        # another copy holds the remaining connections. Drawback: if the endpoint's queue was full,
        # an idle connection is used too soon.
        is_new_connection_rejected = (
            event.outcome == FULL and attempt is not None and attempt.connection_idle_us < 0
        )
        endpoint = self.membership.by_id.get(event.endpoint)
        if endpoint is not None:
            self._observe_endpoint(now, event, endpoint, attempt)
            if event.outcome in HEALTH_FACTORS:
                segment = request.segment if request else 0
                self.outliers.record_failure(
                    now, endpoint, event.outcome, segment, is_new_connection_rejected
                )
        if request is not None and attempt is not None:
            if not request.has_pending_body:
                self._learn_from_attempt(now, event, request, attempt, endpoint)
            self._end_attempt(now, event.outcome, attempt, is_new_connection_rejected)
            self.key_queues.record_outcome(now, request, event.outcome)
            self._retry_or_close(now, event, request)
        return self._take_actions(now)

    def _observe_endpoint(
        self, now: int, event: Outcome, endpoint: Endpoint, attempt: Attempt | None
    ) -> None:
        if attempt is None or not attempt.has_pending_body:
            # An endpoint may be removed and listed again during an upload: the attempt counts at the
            # endpoint object that it was sent to, not at the new one.
            counting_endpoint = endpoint if attempt is None else attempt.endpoint
            self.membership.record_attempt_end(counting_endpoint)
            counting_endpoint.silent_since = now
        if event.report and self._queued_field < len(event.report):
            queued = event.report[self._queued_field]
            if 0.0 <= queued < REPORTED_QUEUED_MAX:
                endpoint.reported_queued, endpoint.reported_at = queued, now

    def _learn_from_attempt(
        self, now: int, event: Outcome, request: Request, attempt: Attempt, endpoint: Endpoint | None
    ) -> None:
        """Update latencies, health and zone spillover from an attempt whose request body is complete."""
        is_served = event.outcome == OK
        if self.subsets.local_halves and event.outcome != CANCELLED:
            took_us = event.latency_us if is_served else max(event.latency_us, request.request_class.aim_us)
            self.spillover.record(now, attempt.zone == self.settings.zone, took_us)
        if endpoint is not None and is_served:
            self.outliers.record_success(now, endpoint, request.segment)
            self.slow_start.record_served(now, endpoint)
            self.latencies.record(request.class_index, event.latency_us)
            self.outliers.learn_speed(now, endpoint, request.class_index, event.latency_us)
            endpoint.latest_answered_sent_at = max(endpoint.latest_answered_sent_at, attempt.sent_at)

    def _end_attempt(
        self, now: int, outcome: int, attempt: Attempt, is_new_connection_rejected: bool
    ) -> None:
        attempt.is_outstanding = False
        attempt.never_ran = self.retries.proves_never_ran(outcome)
        if outcome in (OK, ERROR, FULL):
            if not is_new_connection_rejected:
                attempt.endpoint.idle_since.append(now)
            self.connections.record_answered(attempt)
        elif outcome == RESET:
            self.connections.record_lost(attempt)

    def _retry_or_close(self, now: int, event: Outcome, request: Request) -> None:
        """Retry or close the request after one of its attempts has ended."""
        if request.id not in self.request_table.open:
            self.key_queues.mark_changed(request)
            self.request_table.forget_if_complete(request)
        elif event.is_final or event.outcome == OK:
            self.admission.record_outcome(now, request, event.outcome)
            self._close_request(request)
        elif not request.has_outstanding_attempt():
            self._schedule_retry(now, request, event.outcome)

    def _schedule_retry(self, now: int, request: Request, outcome: int) -> None:
        """Retry a request whose attempts have all failed, within the retry budget, or answer it."""
        if not self.retries.spend_token(outcome):
            self.admission.record_outcome(now, request, outcome)
            self._refuse_or_fail(now, request)
            return
        if not self.retries.can_attempt(now, request):
            self.admission.record_outcome(now, request, outcome)
        self._send_or_hold(now, request)

    # --- Attempts ----------------------------------------------------------------------

    def _admits(self, now: int, event: Arrival) -> bool:
        stuck_count = self.admission.count_stuck(now, self.request_table.open.values())
        in_flight = len(self.request_table.open) - self.request_table.uploading_count - stuck_count
        rank = self.priorities.rank(now, event, self.latencies.by_class)
        return self.admission.admits(now, in_flight, rank, self.rng.random())

    def _enqueue(self, now: int, request: Request) -> bool:
        """Put the request into the queue of its key; returns False where it has to be refused.

        Requests of one key run one at a time. A request is refused unsent if the requests before
        it are expected to take longer than its objective.
        """
        requests_ahead = self.key_queues.enqueue(now, request)
        expected_wait_us = requests_ahead * self.latencies.by_class[request.class_index].mean
        last_retry_at = request.held_until() - self.retries.backoff_us(request.request_class)
        self._set_timer(TIMER_HELD_REQUEST, request.id, max(0, last_retry_at - now))
        return expected_wait_us < request.request_class.aim_us

    def _send_or_hold(self, now: int, request: Request) -> None:
        """Send the request now, hold it for a later try within its objective, or refuse or fail it."""
        if not self.retries.can_attempt(now, request):
            self._refuse_or_fail(now, request)
            return
        has_turn = self.key_queues.has_turn(now, request)
        if has_turn:
            endpoint = self.selector.pick(now, request)
            if endpoint is not None and self._send(now, request, endpoint):
                return
        backoff_us = self.retries.backoff_us(request.request_class)
        if now + backoff_us >= request.held_until():
            self._refuse_or_fail(now, request)
        elif has_turn:
            self._set_timer(TIMER_HELD_REQUEST, request.id, backoff_us)

    def _may_send(self, now: int, request: Request, endpoint: Endpoint) -> bool:
        """Return whether a send obeys the rules on attempts, hedging, keys, drains and order."""
        if not self.retries.can_attempt(now, request) or not endpoint.is_ready:
            return False
        if not self.key_queues.has_turn(now, request):
            return False
        return request.request_class.effect != KEYED or self.retries.is_in_scope(request, endpoint)

    def _send(self, now: int, request: Request, endpoint: Endpoint) -> bool:
        """Send the request if the rules and the slow-start budget allow it; every send passes here."""
        if not self._may_send(now, request, endpoint) or not self.slow_start.spend(now, endpoint):
            return False
        attempt = Attempt(endpoint, now, request.has_pending_body)
        request.attempts.append(attempt)
        if self.connections.choose_connection(now, attempt):
            self._actions.append(Close(endpoint.id))
        if not request.has_pending_body:
            self._begin_attempt(now, attempt)
        self.key_queues.record_send(request)
        self.outliers.record_send(now)
        self._actions.append(Send(request.id, endpoint.id, request.expires_at - now))
        return True

    def _begin_attempt(self, now: int, attempt: Attempt) -> None:
        attempt.begin(now)
        self.connections.watch(attempt)

    # --- Final answers -----------------------------------------------------------------

    def _refuse_or_fail(self, now: int, request: Request) -> None:
        """Refuse or fail the request; no other method gives a final answer.

        A refusal promises that a retry has no second effect, so it is given only where that is certain.
        """
        if request.is_streaming:
            return
        if self.retries.is_refusal_safe(request):
            self._actions.append(Refuse(request.id, self.retries.retry_after_us(request.request_class)))
        else:
            self._actions.append(Fail(request.id))
        self._close_request(request)

    def _close_request(self, request: Request) -> None:
        """Close the request: nothing more is sent for it, and its outstanding attempts are cancelled."""
        self.request_table.close(request)
        self.key_queues.remove(request)
        if self.settings.can_cancel and not request.is_streaming:
            for index, attempt in enumerate(request.attempts):
                if attempt.is_outstanding:
                    self._actions.append(Cancel(request.id, index))

    def _set_timer(self, kind: int, value: int, delay_us: int) -> None:
        self._actions.append(Timer(value * TIMER_KINDS + kind, delay_us))

    def _take_actions(self, now: int) -> list[Action]:
        while self.key_queues.changed_keys:
            self._advance_key(now, self.key_queues.changed_keys.pop())
        actions, self._actions = self._actions, []
        return actions

    def _advance_key(self, now: int, key: int) -> None:
        """Send the next request of a key, at once or after the key's rest."""
        request = self.key_queues.next_request(now, key)
        if request is None:
            return
        rest_us = self.key_queues.remaining_rest_us(now, request)
        if rest_us > 0:
            self._set_timer(TIMER_HELD_REQUEST, request.id, rest_us)
        else:
            self._send_or_hold(now, request)
