"""Drives one `Balancer` in real time: clock, timers, ids, and its actions.

It translates and obeys. What happens is told to the module as one event at a
time, and the actions that come back are carried out in their order; events
that an action brings about wait until the present one is done.

The steps of a request, each by its name here: `take` (a recorder may come in between),
`admit` (the module is told), `_send` (an attempt is about to be sent), `ended` (its one
outcome), `_keep` (a keeper may have what can't have run), `_answer` (the final answer leaves),
`gone` (its client left). Lists come by `listed`.
"""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from typing import Any

from laurelstep.engine.call import Answer, Attempt, Call, Ending
from laurelstep.engine.flow import Flow
from laurelstep.engine.listing import apply_in_steps
from laurelstep.engine.members import Members
from laurelstep.engine.names import Names
from laurelstep.engine.ports import Clock, Decisions, Keeper, Log, MemberSource, Recorder, Upstream
from laurelstep.engine.tally import Tally
from laurelstep.interface import (
    CANCELLED,
    FULL,
    KEYED,
    LIST_CACHED,
    LIST_DELTA,
    LIST_FAILED,
    LIST_FULL,
    LIST_PART,
    MOOT,
    NEVER_RAN,
    OK,
    TIMEOUT,
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
from laurelstep.interface import (
    Log as LogLine,
)
from laurelstep.policy import Balancer

# Tells the module one thing: the time, and what happened.
Method = Callable[[int, Any], list[Action]]


class Engine:
    """One copy of the balancer with all that it holds.

    `known` of `start` and the lists of `source` are in discovery's form. Every call
    handed to `take` gets one answer through its front by its `expires`, unless `gone`
    is called first.
    """

    def __init__(
        self,
        clock: Clock,
        seed: int,
        settings: Settings,
        names: Names,
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
        self.keeper: Keeper | None = None  # set before the first request, where there is one
        # The module's view of resting connections is to be that of the sockets.
        self.balancer = Balancer(seed, replace(settings, idle_us=upstream.idle_us))
        self.decisions: Decisions = self.balancer
        self.members = Members(clock, names, upstream, drain_grace_us)
        self.calls: dict[int, Call] = {}
        self.open_names: set[bytes] = set()  # the ids of the requests that are open
        self.tally = Tally(len(settings.classes))
        # Answers on their way to a caller: their class, and the endpoint they come from.
        self.passing: dict[Flow, tuple[int, int]] = {}
        self.next_id = 0
        self.events: deque[tuple[Method, object, Call | None]] = deque()
        self.telling = False

    def now(self) -> int:
        return self.clock.now()

    # --- Events -------------------------------------------------------------------

    def start(self, known: dict[str, Any] | None = None) -> None:
        """ValueError if the known list can't be read."""
        self.source.start(self, int(known["generation"]) if known else 0)
        self._tell(lambda now, _: self.decisions.start(now), None)
        if known is not None:
            self._list(LIST_CACHED, known["instances"])

    def _tell(self, method: Method, event: object, call: Call | None = None) -> None:
        if self.telling:
            self.events.append((method, event, call))
            return
        self.telling = True
        try:
            self._step(method, event, call)
            while self.events:
                self._step(*self.events.popleft())
        finally:
            self.telling = False

    def _step(self, method: Method, event: object, call: Call | None) -> None:
        try:
            for action in method(self.now(), event):
                self._do(action)
        except Exception:
            # Guards the process and its callers against a fault of the module.
            self.log(traceback.format_exc().rstrip())
            self.balancer.out.clear()
            if call is not None and call.open:
                self._answer(call, Answer(Ending.FAILED, 500))

    # --- Members ------------------------------------------------------------------

    def listed(self, version: int, whole: bool, entries: Sequence[Any]) -> None:
        self._list(LIST_FULL if whole else LIST_DELTA, entries)

    def list_in_steps(self, whole: bool, entries: list[Any], told_at: int) -> Iterator[None]:
        """A long list that was told at a time, applied step by step as this is iterated."""
        return apply_in_steps(self.members, whole, entries, told_at, self._tell_part)

    def _tell_part(self, entries: Sequence[Entry], more: bool) -> None:
        if entries or not more:
            self._tell_list(LIST_PART if more else LIST_DELTA, entries)

    def list_failed(self) -> None:
        self._tell_list(LIST_FAILED, ())

    def _list(self, mode: int, raw: Sequence[Any]) -> None:
        entries = self.members.apply(mode != LIST_DELTA, raw)
        self._tell_list(mode, entries)

    def _tell_list(self, mode: int, entries: Sequence[Entry]) -> None:
        self._tell(lambda now, _: self.decisions.members(now, mode, entries), None)

    # --- Requests -----------------------------------------------------------------

    def take(self, call: Call) -> None:
        """Take a request. Its front may be answered before this returns."""
        self.next_id += 1
        call.id = self.next_id
        self.calls[call.id] = call
        self.tally.taken[call.cls] += 1
        self.open_names.add(call.name)
        call.timer = self.clock.at(call.expires, self._expire, call)
        if self._is_recorded(call):
            return
        if self.keeper is not None and self.keeper.comes_first(call) and self._keep(call, None):
            return
        self.admit(call)

    def _is_recorded(self, call: Call) -> bool:
        """Whether a recorder has it in hand."""
        if self.recorder is None:
            return False
        streams = call.streams
        call.recorded, call.streams = True, False  # the record holds whole answers
        if self.recorder.begin(call, self):
            return True
        call.recorded, call.streams = False, streams
        return False

    def admit(self, call: Call) -> None:
        """The module is told of a call that is open."""
        if not call.open:
            return
        call.with_keeper = False
        coming = call.upload is not None and not call.upload.over
        event = Arrival(
            call.id, call.cls, call.expires, call.tenant, call.key, call.work_us, call.repeated, coming
        )
        self._tell(self.decisions.request, event, call)

    def whole(self, call: Call) -> None:
        """The last byte of a call's upload has come: its time counts from now."""
        if not call.open:
            return
        call.expires = min(call.expires, self.now() + call.span)
        if call.timer is not None:
            call.timer.cancel()
        call.timer = self.clock.at(call.expires, self._expire, call)
        for attempt in call.attempts:
            attempt.until = min(attempt.until, call.expires)
        if not call.with_keeper:
            self._tell(self._tell_whole, call, call)

    def _tell_whole(self, now: int, call: Call) -> list[Action]:
        return self.decisions.whole(now, call.id, call.expires)

    def gone(self, call: Call) -> None:
        """The client left: nothing more is owed. Nothing happens if it was answered."""
        if call.held:
            self.tally.abandoned[call.cls] += 1
            self._let_go(call)
        elif call.open:
            self.tally.abandoned[call.cls] += 1
            self._over(call)
            if call.with_keeper:
                self._leave_keeper(call)
                return
            if call.recorded and self.recorder is not None:
                self.recorder.gone(call, self)
            self._tell(self.decisions.gone, call.id)

    def _expire(self, call: Call) -> None:
        """The client's deadline: what is out timed out, and the module answers."""
        for attempt in call.attempts:
            if attempt.out:
                self._time_out(attempt)
        if call.with_keeper:
            self._answer(call, Answer(Ending.FAILED, 504))
            self._leave_keeper(call)
        elif call.open:  # guards the caller should the module have held it to the end
            self._give_up(call, Answer(Ending.FAILED, 504))
            self._tell(self.decisions.gone, call.id)

    def _keep(self, call: Call, answer: Answer | None) -> bool:
        """Whether a keeper has a call from here on. It is never asked about one that may have run, or
        may yet, nor about an upload that an endpoint had the beginning of: that is not here any more."""
        if self.keeper is None or call.recorded or (call.upload is not None and call.upload.begun):
            return False
        for attempt in call.attempts:
            if attempt.out or attempt.may_have_run:
                return False
        call.with_keeper = True  # before it is asked: it may settle at once
        if not self.keeper.keep(call, answer, self):
            call.with_keeper = False
            return False
        return True

    def _leave_keeper(self, call: Call) -> None:
        call.with_keeper = False
        if self.keeper is not None:
            self.keeper.left(call)

    def _give_up(self, call: Call, answer: Answer) -> None:
        """The module refuses it, or fails it."""
        if not self._keep(call, answer):
            self._answer(call, answer)

    def _answer(self, call: Call, answer: Answer) -> None:
        call.held = call.recorded and self.recorder is not None
        self._over(call)
        if call.held and self.recorder is not None:
            call.timer = self.clock.at(call.expires, self.deliver, call, Answer(Ending.FAILED, 504))
            self.recorder.finish(call, answer, self)
        else:
            self._final(call, answer)

    def settle(self, call: Call, answer: Answer) -> None:
        """A final answer that the module has no part in."""
        if call.open:
            call.with_keeper = False
            self._over(call)
            self._final(call, answer)

    def deliver(self, call: Call, answer: Answer) -> None:
        """A held answer leaves; at the call's time, what is known by then."""
        if call.held:
            self._let_go(call)
            self._final(call, answer)

    def _final(self, call: Call, answer: Answer) -> None:
        """The one place where a final answer leaves."""
        flow = answer.flow
        if flow is None or flow.over:
            self.tally.end(call.cls, answer.ending)
        else:
            flow.watcher = self
            self.passing[flow] = call.cls, answer.endpoint
        call.front.answered(call, answer)

    def passed(self, flow: Flow) -> None:
        """The last of an answer that was passed on while it came has left, or never will."""
        cls, _ = self.passing.pop(flow)
        if flow.left:
            self.tally.abandoned[cls] += 1
        else:
            self.tally.end(cls, Ending.SERVED if flow.whole else Ending.FAILED)

    def current(self) -> int:
        """Requests taken that have no final answer yet, their clients still there."""
        return len(self.passing) + sum(1 for call in self.calls.values() if call.open or call.held)

    def out_at(self, endpoint: int) -> int:
        """Attempts that are out at an endpoint, and answers that still come from it. Looks at
        all that is open: for one who asks now and then."""
        out = sum(1 for _, where in self.passing.values() if where == endpoint)
        for call in self.calls.values():
            for attempt in call.attempts:
                out += attempt.out and attempt.endpoint == endpoint
        return out

    def _let_go(self, call: Call) -> None:
        call.held = False
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        self._forget(call)

    def _over(self, call: Call) -> None:
        call.open = False
        self.open_names.discard(call.name)
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        self._forget(call)

    def _forget(self, call: Call) -> None:
        if call.open or call.held:
            return
        for attempt in call.attempts:
            if attempt.out:
                return
        self.calls.pop(call.id, None)
        call.attempts.clear()  # each holds the call: the cycle ends here

    # --- Attempts -----------------------------------------------------------------

    def may_start(self, attempt: Attempt, now: int) -> bool:
        if not attempt.call.open or now >= min(attempt.until, attempt.write_by):
            return False
        return self.members.may_receive(attempt.endpoint, now)

    def _repeat_until(self, call: Call) -> int:
        """When the window for repeats of a keyed call ends; else its time. Guards against a repeat
        that was decided within the window and is written past it, on a connection that came up late."""
        cls = self.settings.classes[call.cls]
        if cls.effect == KEYED:
            for attempt in call.attempts:
                if attempt.out or attempt.may_have_run:
                    return attempt.sent + cls.window_us
        return call.expires

    def _send(self, action: Send) -> None:
        call = self.calls.get(action.request)
        if call is None:
            return
        now = self.now()
        until = min(call.expires, now + action.timeout_us) if action.timeout_us else call.expires
        attempt = Attempt(self, call, len(call.attempts), action.endpoint, now, until)
        attempt.write_by = min(until, self._repeat_until(call))
        call.attempts.append(attempt)
        # An upload that an endpoint had the beginning of is not here any more.
        spent = call.upload is not None and call.upload.begun
        if spent or attempt.copy >= self.settings.max_attempts or not self.may_start(attempt, now):
            self.ended(attempt, MOOT, None, b"")
            return
        call.tried += 1
        call.endpoint = self.members.places[attempt.endpoint].name
        if attempt.write_by < attempt.until:
            attempt.timer = self.clock.at(attempt.write_by, self._end_unwritten, attempt)
        else:
            self._set_time_out(attempt)
        self.upstream.send(attempt)

    def _set_time_out(self, attempt: Attempt) -> None:
        if attempt.until < attempt.call.expires:
            attempt.timer = self.clock.at(attempt.until, self._time_out, attempt)

    def _end_unwritten(self, attempt: Attempt) -> None:
        """It may be written no longer. Guards against last bytes that the endpoint takes past the
        window for repeats; and its client need not wait for a connection that is of no more use."""
        if attempt.may_have_run:
            self._set_time_out(attempt)
        else:
            self.upstream.cancel(attempt)
            self.ended(attempt, MOOT, None, b"")

    def written(self, attempt: Attempt) -> None:
        """The last byte of an attempt was written: from now on it may run."""
        self.tally.sends += 1
        attempt.may_have_run = True
        if attempt.call.upload is not None:
            attempt.sent = self.now()  # what the endpoint takes counts from here

    def _time_out(self, attempt: Attempt) -> None:
        if attempt.out:
            self.upstream.cancel(attempt)
            self.ended(attempt, TIMEOUT, None, b"")

    def ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """The one outcome of an attempt."""
        if not attempt.out:
            return
        attempt.out = False
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        if outcome in NEVER_RAN and not (outcome == FULL and self.settings.full_unproven):
            attempt.may_have_run = False
        if self.keeper is not None:
            self.keeper.heard(attempt.endpoint, outcome)
        call = attempt.call
        if outcome == OK and answer is not None and call.open:
            answer.endpoint = attempt.endpoint
            self._answer(call, answer)
        event = Outcome(
            call.id,
            attempt.copy,
            attempt.endpoint,
            outcome,
            self.now() - attempt.sent,
            not call.open,
            self.names.report(load) if load else None,
        )
        self._tell(self.decisions.outcome, event, call)
        self._forget(call)

    # --- Actions ------------------------------------------------------------------

    def _do(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case Timer(token, delay_us):
                self.clock.at(self.now() + delay_us, self._fired, token)
            case Refuse(request, after_us):
                if (call := self._open_call(request)) is not None:
                    self._give_up(call, Answer(Ending.REFUSED, 503, retry_after_us=after_us))
            case Fail(request):
                if (call := self._open_call(request)) is not None:
                    status = 504 if self.now() >= call.expires else 502
                    self._give_up(call, Answer(Ending.FAILED, status))
            case Cancel(request, copy):
                self._cancel(request, copy)
            case Close(endpoint):
                self.upstream.free(endpoint)
            case Watch(on):
                self.source.watch(on)
            case Fetch():
                self.source.fetch()
            case LogLine(text):
                self.log(text)
            case _:
                raise TypeError(f"{action!r} is not of this deployment")

    def _cancel(self, request: int, copy: int) -> None:
        call = self.calls.get(request)
        if call is not None and call.attempts[copy].out:
            self.upstream.cancel(call.attempts[copy])
            self.ended(call.attempts[copy], CANCELLED, None, b"")

    def _open_call(self, request: int) -> Call | None:
        call = self.calls.get(request)
        return call if call is not None and call.open else None

    def _fired(self, token: int) -> None:
        self._tell(self.decisions.timer, token)
