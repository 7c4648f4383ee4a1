"""The rules that every run of the soak must keep. Pure.

1. No process ends by itself, and all of them together keep to the memory limit.
2. Each request gets one final answer by its time, unless its process was killed or its client left.
3. No id and no key is executed twice, and none that was refused is executed at all.
4. A sound answer is not cut off, and the first bytes of a long one come in time.
5. Plain requests are answered promptly, whatever other clients do.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from laurelstep.testing.soak.plan import KILL_AFTER_STOP_S
from laurelstep.testing.soak.records import Exchange, RequestEnd, RunRecord

# A final answer may be this much later than the request's time, of which the last part is for the machine
# that runs the soak.
LATENESS_S: Final = 0.5
MACHINE_SLACK_S: Final = 0.7
# What ends within this time of a SIGKILL may have ended by it.
KILL_SLACK_S: Final = 1.0
# After SIGTERM new connections come for this long; later ones may be reset.
NEW_CONNECTIONS_S: Final = 0.4
REFUSED_STATUSES: Final = (429, 503)
# The share of plain requests that may be slow, and what slow means.
MAX_SLOW_SHARE: Final = 0.02
SLOW_S: Final = 1.5


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that a run broke."""

    rule: str
    detail: str


def violations(record: RunRecord, memory_mb: float) -> list[Violation]:
    """All violations of a run with this memory limit, in MB."""
    return [
        *_process_violations(record, memory_mb),
        *_answer_violations(record),
        *_effect_violations(record),
        *_latency_violations(record),
    ]


def _process_violations(record: RunRecord, memory_mb: float) -> Iterator[Violation]:
    for text in record.unexpected_ends:
        yield Violation("process ended", text)
    peak = max((sample.megabytes for sample in record.memory), default=0.0)
    if peak > memory_mb:
        yield Violation("memory", f"{peak:.1f} MB of {memory_mb:.0f}")


def _is_excused(record: RunRecord, exchange: Exchange) -> bool:
    """Whether a kill, or a time without a process, explains why an exchange has no answer."""
    ended = exchange.ended_at
    if any(kill - KILL_SLACK_S <= ended <= kill + KILL_SLACK_S for kill in record.kills):
        return True
    if any(exchange.written_at <= end and ended >= begin for begin, end in record.down):
        return True
    return exchange.is_first and any(
        stop + NEW_CONNECTIONS_S <= exchange.written_at and ended <= stop + KILL_AFTER_STOP_S
        for stop in record.stops
    )


def _answer_violations(record: RunRecord) -> Iterator[Violation]:
    for exchange in record.exchanges:
        name = f"{exchange.scenario} {exchange.request_id}"
        late_s = (exchange.first_byte_at or exchange.ended_at) - exchange.written_at - exchange.wait_s
        if exchange.end is RequestEnd.LEFT or _is_excused(record, exchange):
            continue
        if exchange.end in (RequestEnd.LOST, RequestEnd.UNANSWERED):
            yield Violation("no answer", f"{name}: {exchange.end.value}, {late_s:.2f} s after its time")
        elif late_s > LATENESS_S + MACHINE_SLACK_S:
            yield Violation("late answer", f"{name}: {exchange.status}, {late_s:.2f} s after its time")
        elif exchange.must_be_served and exchange.end is RequestEnd.CUT:
            yield Violation("cut off", name)
        elif exchange.must_be_served and exchange.status != 200 and exchange.request_id in record.begun:
            yield Violation("sound answer not served", f"{name}: {exchange.status}")


def _effect_violations(record: RunRecord) -> Iterator[Violation]:
    for name, counts in (("id", record.effects), ("key", record.keys)):
        for text, count in counts.items():
            if count > 1:
                yield Violation("executed twice", f"{name} {text}: {count} times")
    for exchange in record.exchanges:
        was_refused = exchange.end is RequestEnd.ANSWERED and exchange.status in REFUSED_STATUSES
        if was_refused and exchange.is_unsafe and record.effects[exchange.request_id]:
            yield Violation("refused and executed", f"{exchange.scenario} {exchange.request_id}")


def _latency_violations(record: RunRecord) -> Iterator[Violation]:
    slow = sum(latency > SLOW_S for latency in record.latencies)
    if record.latencies and slow > MAX_SLOW_SHARE * len(record.latencies):
        yield Violation("slow service", f"{slow} of {len(record.latencies)} plain requests over {SLOW_S} s")
