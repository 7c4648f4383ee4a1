"""What every process saw, and the rules that it is held against. Pure: events in, violations out.

Times in µs, all on the one monotonic clock of the machine. Rules that the checker counts; each names
the request or the endpoint, and the process:

1. `unanswered`: a request has one final answer, unless its process was down while it was open, or was
   told to stop before. One that crosses the end of a kept connection, while a next version takes over,
   and is sent to nobody is its client's to ask again. `answered twice`: it has no second one.
2. `late`: the answer comes within the request's deadline and `late_us`; time for which its process
   was paused is not counted.
3. `run twice`: what is keyed or unsafe takes effect once, wherever it was sent.
4. `sent after clear`: no request leaves any process for an endpoint later than `clear_slack_us`
   after an instant at which it was told clear, until it is told back.
5. `drain broken`: none leaves a process that has read that an endpoint drains or is gone, later
   than `grace_us` after that, until it may have read that it is ready, or starts from nothing.
6. `ended unasked`: a process ends only when it was killed or told to stop.

A request is sent when the relay has read it from its process: what a cut then keeps, and delivers late,
was sent before the cut. What was never read counts as not sent.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, Literal

UNANSWERED: Final = "unanswered"
ANSWERED_TWICE: Final = "answered twice"
LATE: Final = "late"
RUN_TWICE: Final = "run twice"
SENT_AFTER_CLEAR: Final = "sent after clear"
DRAIN_BROKEN: Final = "drain broken"
ENDED_UNASKED: Final = "ended unasked"

Effect = Literal["safe", "keyed", "unsafe"]


# --- Events -----------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Asked:
    """A client begins a request at its process."""

    at: int
    process: int
    request: str
    effect: Effect
    key: str | None
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Answered:
    """A client has read a whole final answer, which says whose it is if it was served."""

    at: int
    process: int
    request: str
    status: int


@dataclass(frozen=True, slots=True)
class Broken:
    """A client's connection ended, or did not come up, before there was an answer."""

    at: int
    process: int
    request: str
    error: str
    kept: bool = False  # the connection had carried another request before


@dataclass(frozen=True, slots=True)
class Sent:
    """A request has left a process for an endpoint."""

    at: int
    process: int
    endpoint: str
    request: str


@dataclass(frozen=True, slots=True)
class Ran:
    """An endpoint executed a request; a repeat that it dropped is no such event."""

    at: int
    endpoint: str
    request: str


@dataclass(frozen=True, slots=True)
class Told:
    """A process has read at `at` what was pushed to it at `pushed_at`."""

    at: int
    pushed_at: int
    process: int
    endpoint: str
    lifecycle: str


@dataclass(frozen=True, slots=True)
class Cleared:
    """Somebody was told that an endpoint is clear."""

    at: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class Returned:
    """It may be sent to again from now on."""

    at: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class Called:
    """An answer came at the second address to a call that was made at `asked_at`."""

    at: int
    asked_at: int
    process: int
    words: str
    status: int


class What(StrEnum):
    STARTED = "started"
    READY = "ready"
    PAUSED = "paused"
    RESUMED = "resumed"
    STOPPING = "told to stop"
    KILLED = "killed"
    ENDED = "ended"
    FOLLOWED = "followed by a next version"
    RETIRING = "told to stop, for the next version serves"
    RETIRED = "ended, for the next version serves"


@dataclass(frozen=True, slots=True)
class Turn:
    """What became of a process. What the test does to it is noted just before it does so."""

    at: int
    process: int
    what: What


Event = Asked | Answered | Broken | Sent | Ran | Told | Cleared | Returned | Called | Turn


@dataclass
class History:
    """In the order in which it was noted."""

    now: Callable[[], int]
    events: list[Event] = field(default_factory=list)

    def add(self, event: Event) -> None:
        self.events.append(event)

    def turn(self, process: int, what: What) -> None:
        self.add(Turn(self.now(), process, what))


# --- The checker ------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Rules:
    late_us: int = 0
    grace_us: int = 500_000
    clear_slack_us: int = 0


@dataclass(frozen=True, slots=True)
class Violation:
    name: str
    process: int | None
    subject: str  # the request; or the endpoint
    text: str

    def __str__(self) -> str:
        where = "" if self.process is None else f" at process {self.process}"
        return f"{self.name}: {self.subject}{where}: {self.text}"


Span = tuple[int, float]
NEVER: Final = float("inf")


def check(events: Sequence[Event], rules: Rules) -> list[Violation]:
    """All that was broken, rule by rule."""
    turns: dict[int, list[Turn]] = defaultdict(list)
    for event in events:
        if isinstance(event, Turn):
            turns[event.process].append(event)
    return [
        *_answers(events, turns, rules),
        *_run_twice(events),
        *_sent_after_clear(events, rules),
        *_drains(events, rules),
        *(violation for process in turns for violation in _ends(process, turns[process])),
    ]


def _spans(turns: Iterable[Turn], begin: Sequence[What], end: Sequence[What]) -> list[Span]:
    """From each `begin` to the next `end`."""
    spans: list[Span] = []
    since: int | None = None
    for turn in turns:
        if turn.what in begin and since is None:
            since = turn.at
        elif turn.what in end and since is not None:
            spans.append((since, turn.at))
            since = None
    if since is not None:
        spans.append((since, NEVER))
    return spans


def _overlap(spans: Iterable[Span], begin: int, end: float) -> float:
    return sum(max(0.0, min(end, last) - max(begin, first)) for first, last in spans)


class _Process:
    """When one process was not there for its clients."""

    def __init__(self, turns: Sequence[Turn]) -> None:
        gone = (What.KILLED, What.ENDED)
        self.down = _spans(turns, gone, (What.READY,))
        self.leaving = _spans(turns, (What.STOPPING,), (What.READY,))
        self.followed = _spans(turns, (What.RETIRING,), (What.RETIRED,))
        self.paused = _spans(turns, (What.PAUSED,), (What.RESUMED, *gone))

    def excuses(self, one: Asked, fault: Broken | None, sent: bool, rules: Rules) -> bool:
        """Whether it was down while the request was open, no longer than it may be; or had been told
        to stop when it was asked; or the request crossed the end of a connection at rest."""
        if fault is not None and fault.kept and not sent and _touches(self.followed, one.at, fault.at):
            return True
        due = one.at + one.deadline_us + rules.late_us
        due += int(min(_overlap(self.paused, one.at, NEVER), 1e18))
        end = due if fault is None else min(fault.at, due)
        return _touches(self.down, one.at, end) or _touches(self.leaving, one.at, one.at)


def _touches(spans: Iterable[Span], begin: int, end: float) -> bool:
    return any(first <= end and last >= begin for first, last in spans)


def _answers(events: Sequence[Event], turns: dict[int, list[Turn]], rules: Rules) -> Iterable[Violation]:
    """Rules 1 and 2."""
    answers: dict[str, list[Answered]] = defaultdict(list)
    broken: dict[str, Broken] = {}
    for event in events:
        if isinstance(event, Answered):
            answers[event.request].append(event)
        elif isinstance(event, Broken):
            broken[event.request] = event
    sent = {event.request for event in events if isinstance(event, Sent)}
    processes = {number: _Process(own) for number, own in turns.items()}
    for one in events:
        if not isinstance(one, Asked):
            continue
        got, fault = answers[one.request], broken.get(one.request)
        process = processes.get(one.process) or _Process(())
        if len(got) > 1:
            yield Violation(ANSWERED_TWICE, one.process, one.request, f"{len(got)} answers")
        if got:
            took = got[0].at - one.at - _overlap(process.paused, one.at, got[0].at)
            if took > one.deadline_us + rules.late_us:
                text = f"after {took / 1000:.0f} ms of {one.deadline_us / 1000:.0f}"
                yield Violation(LATE, one.process, one.request, text)
        elif not process.excuses(one, fault, one.request in sent, rules):
            text = "no answer" if fault is None else f"its connection ended: {fault.error}"
            yield Violation(UNANSWERED, one.process, one.request, text)


def _run_twice(events: Sequence[Event]) -> Iterable[Violation]:
    """Rule 3."""
    asked = {event.request: event for event in events if isinstance(event, Asked)}
    ran: dict[tuple[Effect, str], list[Ran]] = defaultdict(list)
    for event in events:
        if isinstance(event, Ran) and (one := asked.get(event.request)) and one.effect != "safe":
            ran[one.effect, one.key if one.effect == "keyed" and one.key else one.request].append(event)
    for (effect, name), times in ran.items():
        if len(times) > 1:
            where = ", ".join(event.endpoint for event in times)
            process = asked[times[0].request].process
            yield Violation(RUN_TWICE, process, times[0].request, f"{effect} {name} ran at {where}")


def _sent_after_clear(events: Sequence[Event], rules: Rules) -> Iterable[Violation]:
    """Rule 4."""
    spans = _by_endpoint(events)
    for event in events:
        if isinstance(event, Sent):
            for first, last in spans.get(event.endpoint, ()):
                if first + rules.clear_slack_us < event.at < last:
                    text = f"{event.request} {(event.at - first) / 1000:.1f} ms after it"
                    yield Violation(SENT_AFTER_CLEAR, event.process, event.endpoint, text)


def _by_endpoint(events: Sequence[Event]) -> dict[str, list[Span]]:
    """From each time that it was told clear to the next at which it was told back."""
    spans: dict[str, list[Span]] = defaultdict(list)
    for event in sorted((e for e in events if isinstance(e, Cleared | Returned)), key=lambda e: e.at):
        own = spans[event.endpoint]
        is_clear = bool(own) and own[-1][1] == NEVER
        if isinstance(event, Cleared) and not is_clear:
            own.append((event.at, NEVER))
        elif isinstance(event, Returned) and is_clear:
            own[-1] = own[-1][0], event.at
    return spans


def _drains(events: Sequence[Event], rules: Rules) -> Iterable[Violation]:
    """Rule 5."""
    told: dict[tuple[int, str], list[Told | Turn]] = defaultdict(list)
    starts: dict[int, list[Turn]] = defaultdict(list)
    for event in events:
        if isinstance(event, Told):
            told[event.process, event.endpoint].append(event)
        elif isinstance(event, Turn) and event.what == What.STARTED:
            starts[event.process].append(event)
    spans = {pair: _leaving([*own, *starts[pair[0]]]) for pair, own in told.items()}
    for event in events:
        if isinstance(event, Sent):
            for first, last in spans.get((event.process, event.endpoint), ()):
                if first + rules.grace_us < event.at < last:
                    text = f"{event.request} {(event.at - first) / 1000:.0f} ms after it was told"
                    yield Violation(DRAIN_BROKEN, event.process, event.endpoint, text)


def _leaving(told: list[Told | Turn]) -> list[Span]:
    """From when it was surely read that one leaves, to when the contrary can first have been."""
    spans: list[Span] = []
    since: int | None = None
    for event in sorted(told, key=_pushed_at):
        if isinstance(event, Told) and event.lifecycle != "ready":
            since = event.at if since is None else since
        elif since is not None:
            spans.append((since, _pushed_at(event)))
            since = None
    return spans if since is None else [*spans, (since, NEVER)]


def _pushed_at(event: Told | Turn) -> int:
    return event.pushed_at if isinstance(event, Told) else event.at


def _ends(process: int, turns: Sequence[Turn]) -> Iterable[Violation]:
    """Rule 6."""
    asked = False
    for turn in turns:
        if turn.what == What.STARTED:
            asked = False
        elif turn.what in (What.KILLED, What.STOPPING):
            asked = True
        elif turn.what == What.ENDED and not asked:
            yield Violation(ENDED_UNASKED, process, f"process {process}", "nobody told it to")
