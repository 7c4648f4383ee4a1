"""The checks of a history of several processes, without I/O: events in, violations out.

Each violation names the request or the endpoint, and the process:

1. `unanswered`: a request has a final answer, unless its process was killed while the request was open, or
   was already down or stopping when it was sent. A process that exits unexpectedly must have answered its
   open requests. If a successor takes over, a request that was sent on a kept connection while the
   predecessor closed it, and that was not forwarded, is the client's to retry. `answered twice`: a request
   has no second answer.
2. `late`: the answer arrives within the request's deadline plus `lateness_us`, not counting the time for
   which the process was paused.
3. `executed twice`: a keyed or unsafe request is executed once among all endpoints.
4. `sent after drained`: no process forwards a request to an endpoint later than `drained_slack_us` after
   the endpoint was reported drained, until it is reported restored.
5. `drain broken`: a process that has read that an endpoint is draining or gone forwards no request to it
   later than `drain_grace_us` after that, until it may have read that the endpoint is ready, or is restarted.
6. `unexpected exit`: a process exits only after it was killed or told to stop.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from laurelstep.testing.processes.history import (
    Effect,
    EndpointDrained,
    EndpointRestored,
    EndpointUpdateRead,
    Event,
    ProcessEvent,
    ProcessPhase,
    RequestExecuted,
    RequestFailed,
    RequestForwarded,
    RequestStarted,
    ResponseReceived,
)

UNANSWERED: Final = "unanswered"
ANSWERED_TWICE: Final = "answered twice"
LATE: Final = "late"
EXECUTED_TWICE: Final = "executed twice"
SENT_AFTER_DRAINED: Final = "sent after drained"
DRAIN_BROKEN: Final = "drain broken"
UNEXPECTED_EXIT: Final = "unexpected exit"


@dataclass(frozen=True, slots=True)
class CheckLimits:
    """Tolerances of the checks, µs."""

    lateness_us: int = 0
    drain_grace_us: int = 500_000
    drained_slack_us: int = 0


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule; `subject` is the request, the write or the endpoint concerned."""

    rule: str
    process: int | None
    subject: str
    detail: str

    def __str__(self) -> str:
        place = "" if self.process is None else f" at process {self.process}"
        return f"{self.rule}: {self.subject}{place}: {self.detail}"


# Begin and end, µs.
Span = tuple[int, float]
NEVER: Final = float("inf")


def check_history(events: Sequence[Event], limits: CheckLimits) -> list[Violation]:
    """Return all violations, in the order of the rules."""
    process_events: dict[int, list[ProcessEvent]] = defaultdict(list)
    for event in events:
        if isinstance(event, ProcessEvent):
            process_events[event.process].append(event)
    return [
        *_check_responses(events, process_events, limits),
        *_check_duplicates(events),
        *_check_drained(events, limits),
        *_check_drains(events, limits),
        *(
            violation
            for process, its_events in process_events.items()
            for violation in _check_exits(process, its_events)
        ),
    ]


def _spans(
    process_events: Iterable[ProcessEvent], begin: Sequence[ProcessPhase], end: Sequence[ProcessPhase]
) -> list[Span]:
    """Return the spans from each phase in `begin` to the next one in `end`."""
    spans: list[Span] = []
    since: int | None = None
    for event in process_events:
        if event.phase in begin and since is None:
            since = event.at_us
        elif event.phase in end and since is not None:
            spans.append((since, event.at_us))
            since = None
    if since is not None:
        spans.append((since, NEVER))
    return spans


def _overlap(spans: Iterable[Span], begin: int, end: float) -> float:
    return sum(max(0.0, min(end, last) - max(begin, first)) for first, last in spans)


class _ProcessDowntime:
    """The spans in which one process could not serve its clients as usual."""

    def __init__(self, process_events: Sequence[ProcessEvent]) -> None:
        ended = (ProcessPhase.KILLED, ProcessPhase.ENDED)
        self.killed = _spans(process_events, (ProcessPhase.KILLED,), (ProcessPhase.READY,))
        self.down = _spans(process_events, ended, (ProcessPhase.READY,))
        self.stopping = _spans(process_events, (ProcessPhase.STOPPING,), (ProcessPhase.READY,))
        self.replaced = _spans(process_events, (ProcessPhase.RETIRING,), (ProcessPhase.RETIRED,))
        self.paused = _spans(process_events, (ProcessPhase.PAUSED,), (ProcessPhase.RESUMED, *ended))

    def explains_missing_answer(
        self, request: RequestStarted, failure: RequestFailed | None, was_forwarded: bool, limits: CheckLimits
    ) -> bool:
        """Whether rule 1 allows that the request has no answer.

        That is if the process was killed while the request was open, within its deadline; if it was down or
        stopping when the request was sent; or if the request crossed the close of an idle connection.
        """
        crosses_close = failure is not None and failure.is_reused_connection and not was_forwarded
        if failure is not None and crosses_close and _intersects(self.replaced, request.at_us, failure.at_us):
            return True
        due_us = request.at_us + request.deadline_us + limits.lateness_us
        due_us += int(min(_overlap(self.paused, request.at_us, NEVER), 1e18))
        end = due_us if failure is None else min(failure.at_us, due_us)
        was_stopping = _intersects([*self.stopping, *self.down], request.at_us, request.at_us)
        return was_stopping or _intersects(self.killed, request.at_us, end)


def _intersects(spans: Iterable[Span], begin: int, end: float) -> bool:
    return any(first <= end and last >= begin for first, last in spans)


def _check_responses(
    events: Sequence[Event], process_events: dict[int, list[ProcessEvent]], limits: CheckLimits
) -> Iterable[Violation]:
    """Rules 1 and 2."""
    responses: dict[str, list[ResponseReceived]] = defaultdict(list)
    failures: dict[str, RequestFailed] = {}
    for event in events:
        if isinstance(event, ResponseReceived):
            responses[event.request].append(event)
        elif isinstance(event, RequestFailed):
            failures[event.request] = event
    forwarded = {event.request for event in events if isinstance(event, RequestForwarded)}
    processes = {number: _ProcessDowntime(its_events) for number, its_events in process_events.items()}
    for event in events:
        if not isinstance(event, RequestStarted):
            continue
        answers, failure = responses[event.request], failures.get(event.request)
        process = processes.get(event.process) or _ProcessDowntime(())
        if len(answers) > 1:
            yield Violation(ANSWERED_TWICE, event.process, event.request, f"{len(answers)} answers")
        if answers:
            duration_us = (
                answers[0].at_us - event.at_us - _overlap(process.paused, event.at_us, answers[0].at_us)
            )
            if duration_us > event.deadline_us + limits.lateness_us:
                detail = (
                    f"after {duration_us / 1000:.0f} ms, with a deadline of {event.deadline_us / 1000:.0f} ms"
                )
                yield Violation(LATE, event.process, event.request, detail)
        elif not process.explains_missing_answer(event, failure, event.request in forwarded, limits):
            detail = "no answer" if failure is None else f"the connection ended: {failure.error}"
            yield Violation(UNANSWERED, event.process, event.request, detail)


def _check_duplicates(events: Sequence[Event]) -> Iterable[Violation]:
    """Rule 3."""
    started = {event.request: event for event in events if isinstance(event, RequestStarted)}
    executions: dict[tuple[Effect, str], list[RequestExecuted]] = defaultdict(list)
    for event in events:
        if not isinstance(event, RequestExecuted):
            continue
        request = started.get(event.request)
        if request is not None and request.effect != "safe":
            identity = request.key if request.effect == "keyed" and request.key else request.request
            executions[request.effect, identity].append(event)
    for (effect, identity), runs in executions.items():
        if len(runs) > 1:
            endpoints = ", ".join(event.endpoint for event in runs)
            process = started[runs[0].request].process
            yield Violation(
                EXECUTED_TWICE, process, runs[0].request, f"{effect} {identity} ran at {endpoints}"
            )


def _check_drained(events: Sequence[Event], limits: CheckLimits) -> Iterable[Violation]:
    """Rule 4."""
    spans = _drained_spans(events)
    for event in events:
        if isinstance(event, RequestForwarded):
            for first, last in spans.get(event.endpoint, ()):
                if first + limits.drained_slack_us < event.at_us < last:
                    detail = f"{event.request}, {(event.at_us - first) / 1000:.1f} ms after the report"
                    yield Violation(SENT_AFTER_DRAINED, event.process, event.endpoint, detail)


def _drained_spans(events: Sequence[Event]) -> dict[str, list[Span]]:
    """Return, by endpoint, the spans from a report as drained to the next report as restored."""
    spans: dict[str, list[Span]] = defaultdict(list)
    reports = [event for event in events if isinstance(event, EndpointDrained | EndpointRestored)]
    for event in sorted(reports, key=lambda report: report.at_us):
        drained = spans[event.endpoint]
        is_drained = bool(drained) and drained[-1][1] == NEVER
        if isinstance(event, EndpointDrained) and not is_drained:
            drained.append((event.at_us, NEVER))
        elif isinstance(event, EndpointRestored) and is_drained:
            drained[-1] = drained[-1][0], event.at_us
    return spans


def _check_drains(events: Sequence[Event], limits: CheckLimits) -> Iterable[Violation]:
    """Rule 5."""
    updates: dict[tuple[int, str], list[EndpointUpdateRead | ProcessEvent]] = defaultdict(list)
    starts: dict[int, list[ProcessEvent]] = defaultdict(list)
    for event in events:
        if isinstance(event, EndpointUpdateRead):
            updates[event.process, event.endpoint].append(event)
        elif isinstance(event, ProcessEvent) and event.phase == ProcessPhase.STARTED:
            starts[event.process].append(event)
    spans = {pair: _draining_spans([*reads, *starts[pair[0]]]) for pair, reads in updates.items()}
    for event in events:
        if isinstance(event, RequestForwarded):
            for first, last in spans.get((event.process, event.endpoint), ()):
                if first + limits.drain_grace_us < event.at_us < last:
                    detail = (
                        f"{event.request}, {(event.at_us - first) / 1000:.0f} ms after the process read it"
                    )
                    yield Violation(DRAIN_BROKEN, event.process, event.endpoint, detail)


def _draining_spans(updates: list[EndpointUpdateRead | ProcessEvent]) -> list[Span]:
    """Return the spans from the time a drain was read to the earliest time its end may have been read."""
    spans: list[Span] = []
    since: int | None = None
    for event in sorted(updates, key=_pushed_at):
        if isinstance(event, EndpointUpdateRead) and event.lifecycle != "ready":
            since = event.at_us if since is None else since
        elif since is not None:
            spans.append((since, _pushed_at(event)))
            since = None
    return spans if since is None else [*spans, (since, NEVER)]


def _pushed_at(event: EndpointUpdateRead | ProcessEvent) -> int:
    return event.pushed_at_us if isinstance(event, EndpointUpdateRead) else event.at_us


def _check_exits(process: int, process_events: Sequence[ProcessEvent]) -> Iterable[Violation]:
    """Rule 6."""
    is_expected = False
    for event in process_events:
        if event.phase == ProcessPhase.STARTED:
            is_expected = False
        elif event.phase in (ProcessPhase.KILLED, ProcessPhase.STOPPING):
            is_expected = True
        elif event.phase == ProcessPhase.ENDED and not is_expected:
            yield Violation(
                UNEXPECTED_EXIT, process, f"process {process}", "it was neither killed nor told to stop"
            )
