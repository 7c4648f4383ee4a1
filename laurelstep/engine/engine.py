"""Drives one `Balancer` in real time: clock, timers, ids, and its actions.

What happens is told to the module as one event at a time, and the actions that come back are carried
out in their order; events that an action brings about wait until the present one is done.

The steps of a request, each by its name here: `take` (a recorder may come in between), `admit` (the
module is told), `AttemptController.start` and `on_attempt_ended` (an attempt and its one outcome),
`_enqueue` (a write queue may take what can't have run), `_answer` (the final answer leaves), `on_client_left`
(its client left). Lists come by `on_list`.
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

# Tells the module one thing: the time, and what happened.
Method = Callable[[int, Any], list[Action]]


class Engine:
    """One copy of the balancer with all that it holds.

    `known` of `start` and the lists of `source` are in discovery's form. Every call
    handed to `take` gets one answer through its front by its `expires_at`, unless `on_client_left`
    is called first.
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
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.names = names
        self.upstream = upstream
        self.source = source
        self.log = log
        self.recorder = recorder
        self.write_queue: WriteQueue | None = None  # set before the first request, where there is one
        # The module's view of resting connections is to be that of the sockets.
        self.balancer = Balancer(seed, replace(settings, idle_us=upstream.idle_us))
        self.decisions: Decisions = self.balancer
        self.endpoints = EndpointTable(clock, names, upstream, drain_grace_us)
        self.calls: dict[int, Call] = {}
        self.open_request_ids: set[bytes] = set()  # the ids of the requests that are open
        self.counters = RequestCounters(len(settings.classes))
        self.attempts = AttemptController(self, clock, settings, upstream, self.endpoints, self.counters)
        # Answers on their way to a caller: their class, and the endpoint they come from.
        self.forwarding: dict[BodyStream, tuple[int, int]] = {}
        self.next_id = 0
        self.events: deque[tuple[Method, object, Call | None]] = deque()
        self.dispatching = False

    def now(self) -> int:
        """The time on the engine's clock, in us."""
        return self.clock.now()

    # --- Events -------------------------------------------------------------------

    def start(self, known: dict[str, Any] | None = None) -> None:
        """ValueError if the known list can't be read."""
        self.source.start(self, int(known["generation"]) if known else 0)
        self._dispatch(lambda now, _: self.decisions.start(now), None)
        if known is not None:
            self._apply_list(LIST_CACHED, known["instances"])

    def _dispatch(self, method: Method, event: object, call: Call | None = None) -> None:
        if self.dispatching:
            self.events.append((method, event, call))
            return
        self.dispatching = True
        try:
            self._handle_event(method, event, call)
            while self.events:
                self._handle_event(*self.events.popleft())
        finally:
            self.dispatching = False

    def _handle_event(self, method: Method, event: object, call: Call | None) -> None:
        try:
            for action in method(self.now(), event):
                self._carry_out(action)
        except Exception:
            # Guards the process and its callers against a fault of the module.
            self.log(traceback.format_exc().rstrip())
            self.balancer.discard_actions()
            if call is None:
                return
            if call.is_open:
                self._answer(call, Answer(Ending.FAILED, 500))
            # The module may still count it among the requests that it holds.
            self._dispatch(self.decisions.client_disconnected, call.id)

    # --- Endpoint lists -------------------------------------------------------------

    def on_list(self, version: int, whole: bool, entries: Sequence[Any]) -> None:
        """See `MemberSink.on_list`."""
        self._apply_list(LIST_FULL if whole else LIST_DELTA, entries)

    def apply_list_in_steps(self, whole: bool, entries: list[Any], told_at: int) -> Iterator[None]:
        """A long list that was told at a time, applied step by step as this is iterated."""
        return apply_in_steps(self.endpoints, whole, entries, told_at, self._dispatch_part)

    def _dispatch_part(self, entries: Sequence[Entry], more: bool) -> None:
        if entries or not more:
            self._dispatch_list(LIST_PARTIAL if more else LIST_DELTA, entries)

    def on_list_failed(self) -> None:
        """See `MemberSink.on_list_failed`."""
        self._dispatch_list(LIST_FAILED, ())

    def _apply_list(self, mode: int, raw: Sequence[Any]) -> None:
        entries = self.endpoints.apply(mode != LIST_DELTA, raw)
        self._dispatch_list(mode, entries)

    def _dispatch_list(self, mode: int, entries: Sequence[Entry]) -> None:
        self._dispatch(lambda now, _: self.decisions.members(now, mode, entries), None)

    # --- Requests -----------------------------------------------------------------

    def take(self, call: Call) -> None:
        """Take a request. Its front may be answered before this returns."""
        self.next_id += 1
        call.id = self.next_id
        self.calls[call.id] = call
        self.counters.taken[call.request_class] += 1
        self.open_request_ids.add(call.client_request_id)
        call.deadline_timer = self.clock.at(call.expires_at, self._on_deadline, call)
        if self._is_recorded(call):
            return
        if self.write_queue is not None and self.write_queue.must_queue(call) and self._enqueue(call, None):
            return
        self.admit(call)

    def _is_recorded(self, call: Call) -> bool:
        """Whether a recorder has it in hand."""
        if self.recorder is None:
            return False
        streams = call.can_stream_answer
        call.is_recorded, call.can_stream_answer = True, False  # the record holds whole answers
        if self.recorder.begin(call, self):
            return True
        call.is_recorded, call.can_stream_answer = False, streams
        return False

    def admit(self, call: Call) -> None:
        """The module is told of a call that is open."""
        if not call.is_open:
            return
        call.is_queued = False
        coming = call.upload is not None and not call.upload.is_closed
        event = Arrival(
            call.id,
            call.request_class,
            call.expires_at,
            call.tenant,
            call.key,
            call.work_us,
            call.is_retry,
            coming,
        )
        self._dispatch(self.decisions.request, event, call)

    def on_upload_complete(self, call: Call) -> None:
        """The last byte of a call's upload has come: its time counts from now."""
        if not call.is_open:
            return
        call.expires_at = min(call.expires_at, self.now() + call.time_after_upload_us)
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
        call.deadline_timer = self.clock.at(call.expires_at, self._on_deadline, call)
        for attempt in call.attempts:
            attempt.times_out_at = min(attempt.times_out_at, call.expires_at)
        if not call.is_queued:
            self._dispatch(self._dispatch_upload_end, call, call)

    def _dispatch_upload_end(self, now: int, call: Call) -> list[Action]:
        return self.decisions.request_completed(now, call.id, call.expires_at)

    def on_client_left(self, call: Call) -> None:
        """The client left: nothing more is owed. Nothing happens if it was answered."""
        if call.is_answer_held:
            self.counters.abandoned[call.request_class] += 1
            self._release(call)
        elif call.is_open:
            self.counters.abandoned[call.request_class] += 1
            self._close(call)
            if call.is_queued:
                self._leave_queue(call)
                return
            if call.is_recorded and self.recorder is not None:
                self.recorder.on_client_left(call, self)
            self._dispatch(self.decisions.client_disconnected, call.id)

    def _on_deadline(self, call: Call) -> None:
        """The client's deadline: what is out timed out, and the module answers."""
        for attempt in call.attempts:
            self.attempts.time_out(attempt)
        if call.is_queued:
            self._answer(call, Answer(Ending.FAILED, 504))
            self._leave_queue(call)
        elif call.is_open:  # guards the caller should the module have held it to the end
            self._refuse_or_enqueue(call, Answer(Ending.FAILED, 504))
            self._dispatch(self.decisions.client_disconnected, call.id)

    def _enqueue(self, call: Call, answer: Answer | None) -> bool:
        """Whether the write queue has a call from here on. It is never asked about one that may have run, or
        may yet, nor about an upload that an endpoint had the beginning of: that is not here any more.
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
        call.is_queued = True  # before it is asked: it may settle at once
        if not self.write_queue.enqueue(call, answer, self):
            call.is_queued = False
            return False
        return True

    def _leave_queue(self, call: Call) -> None:
        call.is_queued = False
        if self.write_queue is not None:
            self.write_queue.on_call_closed(call)

    def _refuse_or_enqueue(self, call: Call, answer: Answer) -> None:
        """The module refuses it, or fails it."""
        if not self._enqueue(call, answer):
            self._answer(call, answer)

    def _answer(self, call: Call, answer: Answer) -> None:
        call.is_answer_held = call.is_recorded and self.recorder is not None
        self._close(call)
        if call.is_answer_held and self.recorder is not None:
            call.deadline_timer = self.clock.at(
                call.expires_at, self.deliver, call, Answer(Ending.FAILED, 504)
            )
            self.recorder.finish(call, answer, self)
        else:
            self._send_final_answer(call, answer)

    def settle(self, call: Call, answer: Answer) -> None:
        """A final answer that the module has no part in."""
        if call.is_open:
            call.is_queued = False
            self._close(call)
            self._send_final_answer(call, answer)

    def deliver(self, call: Call, answer: Answer) -> None:
        """A held answer leaves; at the call's time, what is known by then."""
        if call.is_answer_held:
            self._release(call)
            self._send_final_answer(call, answer)

    def _send_final_answer(self, call: Call, answer: Answer) -> None:
        """The one place where a final answer leaves."""
        stream = answer.stream
        if stream is None or stream.is_closed:
            self.counters.count_answer(call.request_class, answer.ending)
        else:
            stream.observer = self
            self.forwarding[stream] = call.request_class, answer.endpoint
        call.frontend.on_answer(call, answer)

    def on_stream_closed(self, stream: BodyStream) -> None:
        """The last of an answer that was passed on while it came has left, or never will."""
        cls, _ = self.forwarding.pop(stream)
        if stream.is_abandoned:
            self.counters.abandoned[cls] += 1
        else:
            self.counters.count_answer(cls, Ending.SERVED if stream.is_complete else Ending.FAILED)

    def open_request_count(self) -> int:
        """Requests taken that have no final answer yet, their clients still there."""
        return len(self.forwarding) + sum(
            1 for call in self.calls.values() if call.is_open or call.is_answer_held
        )

    def in_flight_at(self, endpoint: int) -> int:
        """Attempts that are out at an endpoint, and answers that still come from it. Looks at
        all that is open: for one who asks now and then.
        """
        out = sum(1 for _, where in self.forwarding.values() if where == endpoint)
        for call in self.calls.values():
            for attempt in call.attempts:
                out += attempt.is_in_flight and attempt.endpoint == endpoint
        return out

    def _release(self, call: Call) -> None:
        call.is_answer_held = False
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
            call.deadline_timer = None
        self._forget(call)

    def _close(self, call: Call) -> None:
        call.is_open = False
        self.open_request_ids.discard(call.client_request_id)
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
            call.deadline_timer = None
        self._forget(call)

    def _forget(self, call: Call) -> None:
        if call.is_open or call.is_answer_held:
            return
        for attempt in call.attempts:
            if attempt.is_in_flight:
                return
        self.calls.pop(call.id, None)
        call.attempts.clear()  # each holds the call: the cycle ends here

    # --- Attempts -----------------------------------------------------------------

    def on_attempt_ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """An attempt has its one outcome: it may be the final answer, and the module is told."""
        if self.write_queue is not None:
            self.write_queue.on_attempt_ended(attempt.endpoint, outcome)
        call = attempt.call
        if outcome == OK and answer is not None and call.is_open:
            answer.endpoint = attempt.endpoint
            self._answer(call, answer)
        delay_us, report = self.now() - attempt.sent_at, self.names.parse_load_report(load) if load else None
        event = Outcome(
            call.id, attempt.copy, attempt.endpoint, outcome, delay_us, not call.is_open, report
        )  # fmt: skip
        self._dispatch(self.decisions.outcome, event, call)
        self._forget(call)

    # --- Actions ------------------------------------------------------------------

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send(request):
                if (call := self.calls.get(request)) is not None:
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
            case Cancel(request, copy):
                if (call := self.calls.get(request)) is not None:
                    self.attempts.cancel(call.attempts[copy])
            case Close(endpoint):
                self.upstream.close_idle(endpoint)
            case Watch(on):
                self.source.watch(on)
            case Fetch():
                self.source.fetch()
            case LogLine(text):
                self.log(text)
            case _:
                raise TypeError(f"{action!r} is not of this deployment")

    def _open_call(self, request: int) -> Call | None:
        call = self.calls.get(request)
        return call if call is not None and call.is_open else None

    def _on_timer(self, token: int) -> None:
        self._dispatch(self.decisions.timer, token)
