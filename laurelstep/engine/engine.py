"""Runs one `Balancer` in real time: supplies its clock, timers and request ids, and executes its actions.

The balancer is given one event at a time, and the actions that it returns are executed in order. Events
that an action causes are queued until the current event is done.

The steps of a request, by the methods that perform them: `take` accepts it (a recorder may claim it here),
`admit` passes it to the balancer, `AttemptController.start` and `on_attempt_ended` begin an attempt and
report its one outcome, `_enqueue` offers a request that can't have run to the write queue, `_answer` gives
the final answer, and `on_client_left` ends a request whose client has left. Endpoint lists arrive through
`on_list`.
"""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from typing import Any

from laurelstep.balancing.balancer import Balancer
from laurelstep.balancing.events import (
    LIST_CACHED,
    LIST_DELTA,
    LIST_FAILED,
    LIST_FULL,
    LIST_PARTIAL,
    OK,
    Action,
    Arrival,
    Cancel,
    Close,
    Entry,
    Fail,
    Fetch,
    Outcome,
    Refuse,
    Send,
    Settings,
    Timer,
    Watch,
)
from laurelstep.balancing.events import (
    Log as LogLine,
)
from laurelstep.engine.attempts import AttemptController
from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Answer, Attempt, Call, Ending
from laurelstep.engine.counters import RequestCounters
from laurelstep.engine.endpoint_table import EndpointTable
from laurelstep.engine.event_log import (
    EventKind,
    EventLog,
    discard_line,
    record_ending,
    record_failed_attempt,
)
from laurelstep.engine.id_claims import IdClaims
from laurelstep.engine.list_updates import apply_in_steps
from laurelstep.engine.names import NameTable
from laurelstep.engine.ports import (
    Clock,
    Decisions,
    Log,
    MemberSource,
    Recorder,
    Upstream,
    WriteQueue,
)
from laurelstep.engine.request_ids import RequestIdTable

# A method of `Decisions`: takes the time, in µs, and an event, and returns the actions to execute.
DecisionMethod = Callable[[int, Any], list[Action]]


class Engine:
    """One balancer with its endpoints, open calls and attempts.

    Endpoint lists are in the format of discovery. Every call that is passed to `take` gets one answer
    through its frontend by its `expires_at`, unless `on_client_left` is called first.
    """

    def __init__(
        self,
        clock: Clock,
        seed: int,
        settings: Settings,
        names: NameTable,
        upstream: Upstream,
        source: MemberSource,
        drain_grace_us: int,
        log: Log,
        recorder: Recorder | None = None,
        event_log: EventLog | None = None,
        request_ids: RequestIdTable | None = None,
    ) -> None:
        """`event_log` None: events are counted, and no lines are written. `request_ids`: the table of claimed
        ids that other processes share; None = one of its own.
        """
        self.clock = clock
        self.settings = settings
        self.names = names
        self.upstream = upstream
        self.source = source
        self.log = log
        self.recorder = recorder
        self.event_log = event_log or EventLog(clock.now, discard_line)
        self.write_queue: WriteQueue | None = None  # if there is one, set before the first request
        # The balancer must assume the same idle timeout of connections as the upstream uses.
        self.balancer = Balancer(seed, replace(settings, idle_us=upstream.idle_us))
        self.decisions: Decisions = self.balancer
        self.endpoints = EndpointTable(clock, names, upstream, drain_grace_us)
        self.calls: dict[int, Call] = {}
        self.open_request_ids: set[bytes] = set()  # X-Request-Id of each open call
        self.id_claims = IdClaims(settings, request_ids)
        self.counters = RequestCounters(len(settings.classes))
        self.attempts = AttemptController(self, clock, settings, upstream, self.endpoints, self.counters)
        # Answers that are being streamed to a client: the request's class and the endpoint that answers.
        self.forwarding: dict[BodyStream, tuple[int, int]] = {}
        self.last_call_id = 0
        self.events: deque[tuple[DecisionMethod, object, Call | None]] = deque()
        self.is_dispatching = False

    def now(self) -> int:
        """The time on the engine's clock, in µs."""
        return self.clock.now()

    # Events

    def start(self, cached_list: dict[str, Any] | None = None) -> None:
        """Start the source of endpoint lists and the balancer. `cached_list`: in the format of discovery;
        None if there is none, ValueError if it can't be parsed.
        """
        self.source.start(self, int(cached_list["generation"]) if cached_list else 0)
        self._dispatch(lambda now, _: self.decisions.start(now), None)
        if cached_list is not None:
            self._apply_list(LIST_CACHED, cached_list["instances"])

    def _dispatch(self, method: DecisionMethod, event: object, call: Call | None = None) -> None:
        if self.is_dispatching:
            self.events.append((method, event, call))
            return
        self.is_dispatching = True
        try:
            self._handle_event(method, event, call)
            while self.events:
                self._handle_event(*self.events.popleft())
        finally:
            self.is_dispatching = False

    def _handle_event(self, method: DecisionMethod, event: object, call: Call | None) -> None:
        try:
            for action in method(self.now(), event):
                self._carry_out(action)
        except Exception:
            # Guards the process and its clients against an exception in the balancer: the call is answered
            # with 500.
            self.log(traceback.format_exc().rstrip())
            self.balancer.discard_actions()
            if call is None:
                return
            if call.is_open:
                self._answer(call, Answer(Ending.FAILED, 500))
            # The balancer may still count the request as open.
            self._dispatch(self.decisions.client_disconnected, call.id)

    # Endpoint lists

    def on_list(self, generation: int, is_full: bool, entries: Sequence[Any]) -> None:
        """See `MemberSink.on_list`."""
        self._apply_list(LIST_FULL if is_full else LIST_DELTA, entries)

    def apply_list_in_steps(self, is_full: bool, entries: list[Any], received_at: int) -> Iterator[None]:
        """See `MemberSink.apply_list_in_steps`."""
        return apply_in_steps(self.endpoints, is_full, entries, received_at, self._dispatch_part)

    def _dispatch_part(self, entries: Sequence[Entry], has_more: bool) -> None:
        if entries or not has_more:
            self._dispatch_list(LIST_PARTIAL if has_more else LIST_DELTA, entries)

    def on_list_failed(self) -> None:
        """See `MemberSink.on_list_failed`."""
        self._dispatch_list(LIST_FAILED, ())

    def _apply_list(self, mode: int, raw: Sequence[Any]) -> None:
        entries = self.endpoints.apply(mode != LIST_DELTA, raw)
        self._dispatch_list(mode, entries)

    def _dispatch_list(self, mode: int, entries: Sequence[Entry]) -> None:
        self._dispatch(lambda now, _: self.decisions.members(now, mode, entries), None)

    # Requests

    def is_duplicate(self, call: Call) -> bool:
        """Whether the id of a call that is not taken yet is that of an open request, or of one that may have
        taken effect.
        """
        if call.client_request_id in self.open_request_ids:
            return True
        return self.recorder is None and self.id_claims.is_claimed(call)

    def claim_id(self, call: Call) -> bool:
        """Claim the id of a call that is about to be sent. If another one has it, reject the call: False."""
        if self.id_claims.claim(call):
            return True
        self._answer(call, Answer(Ending.FAILED, 409))
        self._dispatch(self.decisions.client_disconnected, call.id)
        return False

    def take(self, call: Call) -> None:
        """Accept a request. Its frontend may get the answer before this returns."""
        self.last_call_id += 1
        call.id = self.last_call_id
        self.calls[call.id] = call
        self.counters.taken[call.request_class] += 1
        self.open_request_ids.add(call.client_request_id)
        call.deadline_timer = self.clock.at(call.expires_at, self._on_deadline, call)
        if self._offer_to_recorder(call):
            return
        if self.write_queue is not None and self.write_queue.must_queue(call) and self._enqueue(call, None):
            return
        self.admit(call)

    def _offer_to_recorder(self, call: Call) -> bool:
        """Offer a call to the recorder; returns whether the recorder has taken it over."""
        if self.recorder is None:
            return False
        can_stream_answer = call.can_stream_answer
        call.is_recorded, call.can_stream_answer = True, False  # the recorder stores complete answers
        if self.recorder.begin(call, self):
            return True
        call.is_recorded, call.can_stream_answer = False, can_stream_answer
        return False

    def admit(self, call: Call) -> None:
        """Pass a call to the balancer. Does nothing if the call is no longer open."""
        if not call.is_open:
            return
        call.is_queued = call.is_claim_kept = False
        is_uploading = call.upload is not None and not call.upload.is_closed
        event = Arrival(
            call.id,
            call.request_class,
            call.expires_at,
            call.tenant,
            call.key,
            call.work_us,
            call.is_retry,
            is_uploading,
        )
        self._dispatch(self.decisions.request, event, call)

    def limit_upload(self, call: Call, expires_at: int) -> None:
        """Set the time, in µs, by which a call is answered whose upload is not complete. Its client may have
        written the last byte although that has not been read.
        """
        if call.is_open and call.expires_at != expires_at:
            self._set_deadline(call, expires_at)

    def _set_deadline(self, call: Call, expires_at: int) -> None:
        call.expires_at = expires_at
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
        call.deadline_timer = self.clock.at(expires_at, self._on_deadline, call)

    def on_upload_complete(self, call: Call) -> None:
        """The last byte of a call's upload was received: its time limit for the answer counts from now."""
        if not call.is_open:
            return
        self._set_deadline(call, min(call.expires_at, self.now() + call.time_after_upload_us))
        for attempt in call.attempts:
            attempt.times_out_at = min(attempt.times_out_at, call.expires_at)
        if not call.is_queued:
            self._dispatch(self._dispatch_upload_end, call, call)

    def _dispatch_upload_end(self, now: int, call: Call) -> list[Action]:
        return self.decisions.request_completed(now, call.id, call.expires_at)

    def on_client_left(self, call: Call) -> None:
        """The client has left: the call gets no answer. Does nothing if the call was answered."""
        if call.is_answer_held:
            self.counters.abandoned[call.request_class] += 1
            self._release_held_answer(call)
        elif call.is_open:
            self.counters.abandoned[call.request_class] += 1
            self.event_log.record(EventKind.ABANDONED, "client left", call.client_request_id)
            self._close_call(call)
            if call.is_queued:
                self._leave_queue(call)
                return
            if call.is_recorded and self.recorder is not None:
                self.recorder.on_client_left(call, self)
            self._dispatch(self.decisions.client_disconnected, call.id)

    def _on_deadline(self, call: Call) -> None:
        """The call's deadline: time out its attempts in flight, which makes the balancer fail the call."""
        for attempt in call.attempts:
            self.attempts.time_out(attempt)
        if call.is_queued:
            self._answer(call, Answer(Ending.FAILED, 504))
            self._leave_queue(call)
        elif call.is_open:  # guards the client against a balancer that still holds the request
            self._refuse_or_enqueue(call, Answer(Ending.FAILED, 504))
            self._dispatch(self.decisions.client_disconnected, call.id)

    def _enqueue(self, call: Call, answer: Answer | None) -> bool:
        """Offer a call to the write queue; returns whether the queue has taken it over. It is never offered
        a call that may have run or may still run, nor an upload of which an endpoint received the beginning:
        that part is no longer buffered.
        """
        if (
            self.write_queue is None
            or call.is_recorded
            or (call.upload is not None and call.upload.was_attached)
        ):
            return False
        for attempt in call.attempts:
            if attempt.is_in_flight or attempt.may_have_run:
                return False
        call.is_queued = True  # set before `enqueue`, which may settle the call at once
        if not self.write_queue.enqueue(call, answer, self):
            call.is_queued = False
            return False
        self.id_claims.keep(call)
        return True

    def _leave_queue(self, call: Call) -> None:
        call.is_queued = False
        if self.write_queue is not None:
            self.write_queue.on_call_closed(call)

    def _refuse_or_enqueue(self, call: Call, answer: Answer) -> None:
        """The balancer has refused or failed a call: offer it to the write queue, else answer it."""
        if not self._enqueue(call, answer):
            self._answer(call, answer)

    def _answer(self, call: Call, answer: Answer) -> None:
        call.is_answer_held = call.is_recorded and self.recorder is not None
        self._close_call(call)
        if call.is_answer_held and self.recorder is not None:
            call.deadline_timer = self.clock.at(
                call.expires_at, self.deliver, call, Answer(Ending.FAILED, 504)
            )
            self.recorder.finish(call, answer, self)
        else:
            self._send_final_answer(call, answer)

    def settle(self, call: Call, answer: Answer) -> None:
        """Give a call its final answer without the balancer. Does nothing if the call is not open."""
        if call.is_open:
            call.is_queued = False
            self._close_call(call)
            self._send_final_answer(call, answer)

    def refuse(self, call: Call) -> None:
        """Refuse a call of which nothing was sent, as its frontend can't hold it any longer. The write queue
        may take it over. Does nothing if the call is not open, or is in the queue already.
        """
        if call.is_open and not call.is_queued:
            self._refuse_or_enqueue(call, Answer(Ending.REFUSED, 503))
            self._dispatch(self.decisions.client_disconnected, call.id)

    def deliver(self, call: Call, answer: Answer) -> None:
        """Give a call the final answer that was held for the recorder, or another in its place. At the
        call's deadline that is a 504. Only the first answer of a call counts.
        """
        if call.is_answer_held:
            self._release_held_answer(call)
            self._send_final_answer(call, answer)

    def _send_final_answer(self, call: Call, answer: Answer) -> None:
        """Count and deliver a final answer. Every final answer goes through here."""
        if answer.ending != Ending.SERVED:
            record_ending(self.event_log, call, answer)
        stream = answer.stream
        if stream is None or stream.is_closed:
            self.counters.count_answer(call.request_class, answer.ending)
        else:
            stream.observer = self
            self.forwarding[stream] = call.request_class, answer.endpoint
        call.frontend.on_answer(call, answer)

    def on_stream_closed(self, stream: BodyStream) -> None:
        """A streamed answer has ended: complete, broken by the endpoint, or abandoned by the client."""
        cls, _ = self.forwarding.pop(stream)
        if stream.is_abandoned:
            self.counters.abandoned[cls] += 1
        else:
            self.counters.count_answer(cls, Ending.SERVED if stream.is_complete else Ending.FAILED)

    def open_request_count(self) -> int:
        """How many requests have been taken, are not answered, and have a client that still waits."""
        return len(self.forwarding) + sum(
            1 for call in self.calls.values() if call.is_open or call.is_answer_held
        )

    def in_flight_at(self, endpoint: int) -> int:
        """How many attempts are in flight at an endpoint, answers that it still streams included. Scans all
        open calls, so it is meant for occasional use.
        """
        in_flight = sum(1 for _, source in self.forwarding.values() if source == endpoint)
        for call in self.calls.values():
            for attempt in call.attempts:
                in_flight += attempt.is_in_flight and attempt.endpoint == endpoint
        return in_flight

    def _release_held_answer(self, call: Call) -> None:
        call.is_answer_held = False
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
            call.deadline_timer = None
        self._forget_if_done(call)

    def _close_call(self, call: Call) -> None:
        call.is_open = False
        self.open_request_ids.discard(call.client_request_id)
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
            call.deadline_timer = None
        self._forget_if_done(call)

    def _forget_if_done(self, call: Call) -> None:
        if call.is_open or call.is_answer_held:
            return
        for attempt in call.attempts:
            if attempt.is_in_flight:
                return
        if self.calls.pop(call.id, None) is not None:
            self.id_claims.release_unused(call)
        call.attempts.clear()  # each attempt refers to the call: breaks the reference cycle

    # Attempts

    def on_attempt_ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """An attempt has its one outcome: answer the call if it succeeded, and notify the balancer."""
        if self.write_queue is not None:
            self.write_queue.on_attempt_ended(attempt.endpoint, outcome)
        call = attempt.call
        if outcome != OK:
            listed = self.endpoints.by_number.get(attempt.endpoint)
            record_failed_attempt(self.event_log, attempt, outcome, "-" if listed is None else listed.name)
        if outcome == OK and answer is not None and call.is_open:
            answer.endpoint = attempt.endpoint
            self._answer(call, answer)
        took_us, report = self.now() - attempt.sent_at, self.names.parse_load_report(load) if load else None
        event = Outcome(
            call.id, attempt.attempt_index, attempt.endpoint, outcome, took_us, not call.is_open, report
        )  # fmt: skip
        self._dispatch(self.decisions.outcome, event, call)
        self._forget_if_done(call)

    # Actions

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send(request):
                if (call := self.calls.get(request)) is not None:
                    if call.attempts:
                        self.event_log.record(EventKind.RETRIED, "balancer", call.client_request_id)
                    self.attempts.start(call, action)
            case Timer(token, delay_us):
                self.clock.at(self.now() + delay_us, self._on_timer, token)
            case Refuse(request, after_us):
                if (call := self._open_call(request)) is not None:
                    self._refuse_or_enqueue(call, Answer(Ending.REFUSED, 503, retry_after_us=after_us))
            case Fail(request):
                if (call := self._open_call(request)) is not None:
                    status = 504 if self.now() >= call.expires_at else 502
                    self._refuse_or_enqueue(call, Answer(Ending.FAILED, status))
            case Cancel(request, attempt_index):
                if (call := self.calls.get(request)) is not None:
                    self.attempts.cancel(call.attempts[attempt_index])
            case Close(endpoint):
                self.upstream.close_idle(endpoint)
            case Watch(is_on):
                self.source.watch(is_on)
            case Fetch():
                self.source.fetch()
            case LogLine(text):
                self.log(text)
            case _:
                raise TypeError(f"the engine has no handler for the action {action!r}")

    def _open_call(self, request: int) -> Call | None:
        call = self.calls.get(request)
        return call if call is not None and call.is_open else None

    def _on_timer(self, token: int) -> None:
        self._dispatch(self.decisions.timer, token)
