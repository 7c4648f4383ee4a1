"""Drives one `Balancer` in real time: clock, timers, ids, and its actions.

It translates and obeys. What happens is told to the module as one event at a
time, and the actions that come back are carried out in their order; events
that an action brings about wait until the present one is done.
"""

from __future__ import annotations

import asyncio
import time
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b
from math import ceil, nan
from typing import Any

from woadyard.interface import (
    BUSY as CPU_BUSY,
)
from woadyard.interface import (
    CANCELLED,
    DRAINING,
    ERROR_RATE,
    GONE,
    HELD,
    LATENCY_MS,
    LIST_CACHED,
    LIST_DELTA,
    LIST_FAILED,
    LIST_FULL,
    MOOT,
    OK,
    READY,
    SERVED_RATE,
    TIMEOUT,
    WAITING,
    Action,
    Arrival,
    Cancel,
    Close,
    Entry,
    Fail,
    Fetch,
    Log,
    Outcome,
    Refuse,
    Send,
    Settings,
    Timer,
    Watch,
)
from woadyard.net.discovery import Discovery
from woadyard.net.message import Answer, Call, log
from woadyard.net.upstream import Attempt, Upstream
from woadyard.policy import Balancer

PHASES = {"ready": READY, "draining": DRAINING, "gone": GONE}
# Load-report names on the socket; those of the settings may differ.
REPORT_NAMES = {
    "inflight": HELD,
    "queue": WAITING,
    "util": CPU_BUSY,
    "latency_ms": LATENCY_MS,
    "qps": SERVED_RATE,
    "eps": ERROR_RATE,
}


class Names:
    """Numbers of the names that travel on the sockets."""

    def __init__(self, raw: dict[str, Any], settings: Settings) -> None:
        self.classes = {str(entry["name"]): n for n, entry in enumerate(raw["classes"])}
        self.tenants = {str(entry["name"]): n for n, entry in enumerate(raw.get("accounts", ()))}
        self.zones = {str(name): n for n, name in enumerate(raw.get("zones", ()))}
        self.kinds = {str(name): n for n, name in enumerate(raw.get("kinds", ()))}
        self.fields = {name: at for at, name in enumerate(settings.report_fields)}

    def report(self, raw: bytes) -> list[float] | None:
        """A load report in the settings' order; what can't be read is left out."""
        if not raw or not self.fields:
            return None
        values = [nan] * len(self.fields)
        for part in raw.split(b","):
            name, _, value = part.decode("latin-1").strip().partition("=")
            at = self.fields.get(REPORT_NAMES.get(name, name))
            if at is not None:
                try:
                    values[at] = float(value)
                except ValueError:
                    continue
        return values


def endpoint_number(instance: str) -> int:
    """From the name alone, so that all sidecars sort and group alike, and do
    so after a restart; 64 bits, so that two hardly ever meet."""
    return int.from_bytes(blake2b(instance.encode(), digest_size=8).digest(), "big")


class Place:
    """What the shell keeps of one listed endpoint."""

    __slots__ = ("address", "boot", "left_at", "started_ms")

    def __init__(self, address: str, started_ms: int, boot: int) -> None:
        self.address, self.started_ms, self.boot = address, started_ms, boot
        self.left_at: int | None = None  # told draining or gone


class Driver:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seed: int,
        settings: Settings,
        names: Names,
        upstream: Upstream,
        drain_grace_us: int,
        wall_us: Callable[[], int] = lambda: time.time_ns() // 1000,
    ) -> None:
        self.loop, self.settings, self.names, self.upstream = loop, settings, names, upstream
        # The module's view of resting connections is to be that of the sockets.
        self.balancer = Balancer(seed, replace(settings, idle_us=int(upstream.resting.seconds * 1e6)))
        self.drain_grace_us = drain_grace_us
        self.wall_us = wall_us
        self.discovery: Discovery | None = None
        self.places: dict[int, Place] = {}
        self.calls: dict[int, Call] = {}
        self.names_open: set[bytes] = set()  # the ids of the requests that are open
        self.next_id = 0
        self.todo: deque[tuple[Callable[..., list[Action]], tuple[Any, ...], Call | None]] = deque()
        self.busy = False
        upstream.ended, upstream.may_start = self.ended, self.may_start

    # --- Clock and events ---------------------------------------------------------

    @staticmethod
    def now() -> int:
        return time.monotonic_ns() // 1000

    def at(self, due: int, call: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
        """Call no sooner than due: loops round delays, so the time is checked."""
        delay = ceil(max(0, due - self.now()) / 1000) / 1000
        return self.loop.call_later(delay, self._due, due, call, args)

    def _due(self, due: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.now() < due:
            self.at(due, call, *args)
        else:
            call(*args)

    def tell(self, method: Callable[..., list[Action]], *args: Any, call: Call | None = None) -> None:
        self.todo.append((method, args, call))
        if self.busy:
            return
        self.busy = True
        try:
            while self.todo:
                self._step(*self.todo.popleft())
        finally:
            self.busy = False

    def _step(self, method: Callable[..., list[Action]], args: tuple[Any, ...], call: Call | None) -> None:
        try:
            for action in method(self.now(), *args):
                self._do(action)
        except Exception:
            # Guards the process and its callers against a fault of the module.
            log(traceback.format_exc().rstrip())
            self.balancer.out.clear()
            if call is not None and call.open:
                self._answer(call, Answer(500))

    def start(self, known: dict[str, Any] | None) -> None:
        self.tell(self.balancer.start)
        if known is not None:
            self._list(LIST_CACHED, known["instances"])
        if self.discovery is not None:
            self.discovery.generation = int(known["generation"]) if known else 0
            self.discovery.on_failed = self._list_failed
            if self.discovery.pushed:
                self.discovery.watch(True)

    # --- Discovery --------------------------------------------------------------------

    def listed(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        self._list(LIST_FULL if whole else LIST_DELTA, entries)

    def _list_failed(self) -> None:
        self.tell(self.balancer.members, LIST_FAILED, ())

    def _list(self, mode: int, raw: list[dict[str, Any]]) -> None:
        try:
            read = [self._entry(one) for one in raw]
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            raise ValueError(f"no entry: {error!r}") from None
        now = self.now()
        # Guards memory where endpoints come and go: past the grace nothing may start there.
        left = [(n, one.left_at) for n, one in self.places.items() if one.left_at is not None]
        for number, left_at in left:
            if now >= left_at + self.drain_grace_us:
                del self.places[number]
        if mode != LIST_DELTA:  # a whole list replaces: what it leaves out is gone
            named = {entry.endpoint for entry, _ in read}
            for number, place in self.places.items():
                if number not in named:
                    self._leave(now, number, place)
        for entry, place in read:
            self._place(now, entry, place)
        self.tell(self.balancer.members, mode, [entry for entry, _ in read])

    def _entry(self, raw: dict[str, Any]) -> tuple[Entry, Place]:
        number = endpoint_number(raw["instanceId"])
        phase = PHASES[raw["lifecycle"]]
        address, started_ms = str(raw.get("hostPort", "")), int(raw.get("startedAtMs", 0))
        if phase == READY:
            host, _, port = address.rpartition(":")
            if not host or not 0 < int(port) < 65536:
                raise ValueError(f"no address: {address}")
        old = self.places.get(number)
        # Converted once: a clock that is set must not feign a restart.
        same = old is not None and old.started_ms == started_ms
        boot = old.boot if old is not None and same else self._boot(started_ms)
        entry = Entry(
            endpoint=number,
            phase=phase,
            boot=boot,
            rating=float(raw.get("weight", 1.0)),
            cell=int(raw.get("cell", 0)),
            zone=self.names.zones.get(raw.get("zone", ""), 0),
            kind=self.names.kinds.get(raw.get("machineType", ""), 0),
        )
        return entry, Place(address, started_ms, boot)

    def _boot(self, started_ms: int) -> int:
        """Wall time of a start on the module's clock, which is monotonic."""
        if started_ms <= 0:
            return 0
        boot = self.now() - (self.wall_us() - started_ms * 1000)
        return boot or 1  # 0 would mean long ago

    def _place(self, now: int, entry: Entry, place: Place) -> None:
        number, old = entry.endpoint, self.places.get(entry.endpoint)
        if entry.phase != READY:
            if old is not None:
                self._leave(now, number, old)
            return
        self.places[number] = place
        same = old is not None and old.left_at is None
        if old is None or not same or (old.address, old.started_ms) != (place.address, place.started_ms):
            host, _, port = place.address.rpartition(":")
            self.upstream.place(number, host, int(port))

    def _leave(self, now: int, number: int, place: Place) -> None:
        if place.left_at is None:
            place.left_at = now
            self.upstream.remove(number)

    # --- Callers ----------------------------------------------------------------------

    def take(self, call: Call) -> None:
        self.next_id += 1
        call.id = self.next_id
        self.calls[call.id] = call
        self.names_open.add(call.name)
        call.timer = self.at(call.expires, self._expire, call)
        event = Arrival(call.id, call.cls, call.expires, call.tenant, call.key, call.work_us, call.repeated)
        self.tell(self.balancer.request, event, call=call)

    def gone(self, call: Call) -> None:
        """The client closed its connection."""
        if call.open:
            self._over(call)
            self.tell(self.balancer.gone, call.id)

    def _expire(self, call: Call) -> None:
        """The client's deadline: what is out timed out, and the module answers."""
        for attempt in call.attempts:
            if attempt.out:
                self._time_out(attempt)
        if call.open:  # guards the caller should the module have held it to the end
            self._answer(call, Answer(504))
            self.tell(self.balancer.gone, call.id)

    def _answer(self, call: Call, answer: Answer) -> None:
        self._over(call)
        call.answer(answer)

    def _over(self, call: Call) -> None:
        call.open = False
        self.names_open.discard(call.name)
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        self._drop(call)

    def _drop(self, call: Call) -> None:
        if not call.open and not any(attempt.out for attempt in call.attempts):
            self.calls.pop(call.id, None)
            call.attempts.clear()  # each holds the call: the cycle ends here

    # --- Attempts ---------------------------------------------------------------------

    def may_start(self, attempt: Attempt, now: int) -> bool:
        place = self.places.get(attempt.endpoint)
        if place is None or not attempt.call.open or now >= attempt.until:
            return False
        return place.left_at is None or now < place.left_at + self.drain_grace_us

    def _send(self, action: Send) -> None:
        now, call = self.now(), self.calls.get(action.request)
        if call is None:
            return
        left = action.timeout_us or call.expires - now
        attempt = Attempt(call, len(call.attempts), action.endpoint, now, min(call.expires, now + left))
        call.attempts.append(attempt)
        if attempt.copy >= self.settings.max_attempts or not self.may_start(attempt, now):
            self.ended(attempt, MOOT, None, b"")
            return
        if attempt.until < call.expires:
            attempt.timer = self.at(attempt.until, self._time_out, attempt)
        self.upstream.send(attempt)

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
        call = attempt.call
        if outcome == OK and answer is not None and call.open:
            self._answer(call, answer)
        over = not call.open
        event = Outcome(
            call.id,
            attempt.copy,
            attempt.endpoint,
            outcome,
            self.now() - attempt.sent,
            over,
            self.names.report(load),
        )
        self.tell(self.balancer.outcome, event, call=call)
        self._drop(call)

    # --- Actions ----------------------------------------------------------------------

    def _do(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case Timer(token, delay_us):
                self.at(self.now() + delay_us, self._fired, token)
            case Refuse(request, after_us):
                if (call := self._open_call(request)) is not None:
                    after = b"Retry-After: %.3f\r\n" % (after_us / 1e6) if after_us > 0 else b""
                    self._answer(call, Answer(503, after))
            case Fail(request):
                if (call := self._open_call(request)) is not None:
                    self._answer(call, Answer(504 if self.now() >= call.expires else 502))
            case Cancel(request, copy):
                if (found := self.calls.get(request)) is not None and found.attempts[copy].out:
                    self.upstream.cancel(found.attempts[copy])
                    self.ended(found.attempts[copy], CANCELLED, None, b"")
            case Close(endpoint):
                self.upstream.free(endpoint)
            case Watch(on):
                if self.discovery is not None:
                    self.discovery.watch(on)
            case Fetch():
                if self.discovery is not None:
                    self.discovery.fetch()
            case Log(text):
                log(text)
            case _:
                raise TypeError(f"{action!r} is not of this deployment")

    def _open_call(self, request: int) -> Call | None:
        call = self.calls.get(request)
        return call if call is not None and call.open else None

    def _fired(self, token: int) -> None:
        self.tell(self.balancer.timer, token)
