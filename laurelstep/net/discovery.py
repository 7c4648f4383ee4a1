"""Discovery: keeps the watch open, or asks when told to, and hands lists on."""

from __future__ import annotations

import asyncio
import functools
import json
import random
from collections.abc import Iterator
from typing import Any, cast

import httptools

from laurelstep.engine.listing import STEP, parse_in_steps, usable
from laurelstep.engine.ports import Log, MemberSink
from laurelstep.net.collector import Collector
from laurelstep.net.objects import Objects
from laurelstep.net.slices import Slices

# While nothing changes an empty line comes every 2 s: one that is half a second late is missed, and
# the watch is dead, as a network that is cut off says nothing. What it misses counts as told 6 s after
# the silence began: that leaves time for a second watch that is as silent behind its head, and a third.
SILENT_S = 2.5
# An agent on the own machine answers at once; a service of all sidecars takes calls in turn.
ANSWER_S, ANSWER_ASKED_S = 1.0, 2.0
# A silence is acted on this much later at most, drawn by each sidecar for itself: a fault that
# silences the watches of a fleet must not have them all ask at once.
SPREAD_S = 0.3
# The back-off after a call that failed at once. An agent costs nothing to ask, and what it has counts
# from when it has it: the longest pause leaves a short drain grace (250 ms) time for the answer. One
# that answers with what can't be read will not be better soon.
RETRY_S, RETRY_MOST_S, RETRY_SPOILT_MOST_S = 0.05, 0.2, 2.0
# A service of all sidecars is asked less often. A change counts as told 6 s after it could be had: this
# pause and a call that is not answered leave more than a second for the next.
RETRY_ASKED_S = 2.5
# A renewal waits for a part of that between half and all of it, drawn by each sidecar for itself:
# when discovery comes back, a fleet must not ask at once.
RETRY_PART = 0.5
# A discovery that answers with what can't be read does so at every call.
COMPLAIN_EVERY_S = 10.0
LIST_PATH = "/registry/instances"
OBJECT_MAX = 64 * 1024 * 1024  # of some 300,000 endpoints
# An object under way counts as silent while less than this comes of it, bytes/s: some entries a second.
# What trickles for ever would starve the changes behind it.
LEAST_RATE = 1024
# A longer object is read and applied in slices: this much takes a millisecond or two.
SHORT_OBJECT = 32 * 1024


class Stream(asyncio.Protocol):
    """One answer of discovery: a watch, or one whole list."""

    def __init__(self, owner: Discovery, target: str, watch: bool, again: bool = False) -> None:
        self.owner, self.target, self.watch = owner, target, watch
        self.address = owner.address
        self.again = again  # it was asked because the one before fell silent
        self.parser = httptools.HttpResponseParser(self)
        self.objects = Objects(OBJECT_MAX)
        self.paused_at: int | None = None  # on the engine's clock; objects since then wait
        self.transport: asyncio.Transport | None = None
        self.done = False  # whole, or given up: its end says nothing
        self.bad = False  # it held what can't be read
        self.answered = False  # its head has come
        self.complete = False  # its last byte has come
        self.reading: asyncio.Handle | None = None
        self.is_current = watch and owner.generation > 0  # the whole list is not owed
        self.heard = owner.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.done:
            self.transport.abort()
            return
        self.transport.write(f"GET {self.target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        if self.done:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.spoilt(error)
        else:
            if self.reading is None:
                self.read()

    def spoilt(self, error: Exception) -> None:
        self.owner.complain(f"bad line from discovery: {error}")
        self.bad = True
        self.fail()

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() < 200:
            return  # an interim head says nothing of the answer (RFC 9110, section 15.2)
        self.answered = True
        self.heard = self.owner.loop.time()

    def on_body(self, data: bytes) -> None:
        now = self.owner.loop.time()
        if not data.isspace():
            began = self.heard + len(data) / LEAST_RATE if self.objects.begun else now
            self.heard = min(began, now)
        elif self.is_current and not self.objects.begun and b"\n" in data:
            self.heard = now  # empty lines say that a watch lives, but not that something owed still comes
        self.objects.feed(data)

    def on_message_complete(self) -> None:
        self.complete = self.answered

    @property
    def silent_at(self) -> float:
        """When it is taken for dead, should nothing more come: time of the loop, s."""
        return self.heard + (self.owner.silent_s if self.answered else self.owner.answer_s)

    def read(self) -> None:
        """The objects that are whole, until one is so long that the next must wait."""
        self.reading = None
        if self.answered and self.parser.get_status_code() != 200:
            self.fail()
            return
        while not self.done:
            if self.owner.busy:
                if self.objects.begun:
                    self.pause()
                return
            try:
                found = self.objects.take()
            except ValueError as error:
                self.spoilt(error)
                return
            if found is not None:
                self._take(found)
            elif self.objects.more:  # a turn of the loop for what else is ready
                self.reading = self.owner.loop.call_soon(self.read)
                return
            else:
                break
        if self.complete and not self.done:
            self._ended_short()

    def _ended_short(self) -> None:
        """Guards against an answer that is over without what was asked for: its connection may
        stay open, and say nothing."""
        if self.objects.begun:
            self.spoilt(ValueError("an object that stops short"))
        else:
            self.fail()

    def _take(self, raw: bytearray) -> None:
        told_at, self.paused_at = self.paused_at, None
        self.heard = self.owner.loop.time()
        try:
            self.owner.take(raw, self, told_at)
        except ValueError as error:
            self.spoilt(error)
        else:
            self.is_current = self.watch
            if not self.watch and not self.owner.busy:
                self.stop()

    def pause(self) -> None:
        """Read no more, so that what waits is bounded. It counts as told from now on: so nothing is
        paused before there is something, or the next list would count from then, however late it comes."""
        if self.transport is not None and self.owner.sink is not None:
            if self.paused_at is None:
                self.paused_at = self.owner.sink.now()
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.done or self.transport is None:
            return
        self.heard = self.owner.loop.time()
        if self.paused_at is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        if self.reading is None:
            self.read()

    def stop(self) -> None:
        self.done = True
        self.owner.streams.discard(self)
        if self.reading is not None:
            self.reading.cancel()
        if self.transport is not None:
            self.transport.abort()

    def fail(self, silent: bool = False) -> None:
        if not self.done:
            if silent and self.objects.begun:
                self.owner.complain("bad line from discovery: silent in the middle of an object")
            self.stop()
            self.owner.lost(self, silent)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.watch or not self.complete:
            self.fail()  # a fetched list that is whole is read though its connection is over


def _list_of(told: Any, watch: bool) -> tuple[int, bool, list[Any]]:
    """Version, whether it is whole, and entries; ValueError. What was fetched is whole."""
    try:
        version, whole, entries = int(told["generation"]), told.get("reset"), told["instances"]
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"no list: {error!r}") from None
    if not isinstance(entries, list):
        raise ValueError("instances is no list")
    return version, not watch or bool(whole), entries


class Discovery:
    """Lists over HTTP, as the engine's source of members.

    `pushed`: the watch is kept open from the start on, and opened anew when it ends.
    Otherwise it is opened, and lists are fetched, when the engine says so.

    What falls silent is asked again at once, on a connection of its own and from the last
    version that was whole; what ends or fails is asked again after a back-off. Where lists are not
    pushed the engine hears of it, and may ask sooner.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        path: str,
        pushed: bool,
        log: Log,
        collector: Collector | None = None,
        seed: int = 0,
    ) -> None:
        self.loop = loop
        self.draw = random.Random(seed)
        self.address = address
        self.path = path
        self.pushed = pushed
        self.log = log
        self.complained = -COMPLAIN_EVERY_S  # when a line was last logged
        self.unsaid = 0  # lines since then that were not
        self.collector = collector  # of the process, where it is the balancer's
        self.sink: MemberSink | None = None
        self.generation = 0
        self.stream: Stream | None = None  # the watch
        self.retry_s = RETRY_S
        self.silent_s = SILENT_S
        self.answer_s = ANSWER_S if pushed else ANSWER_ASKED_S
        self.spread_s = SPREAD_S
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        self.slices = Slices(loop)
        self.listed = 0  # entries of the last long list
        self.busy = False  # a long list is being read and applied
        self.streams: set[Stream] = set()  # those that may have objects to read

    def start(self, sink: MemberSink, generation: int) -> None:
        self.sink = sink
        self.generation = generation
        if self.pushed:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Nothing changes for a watch that is open, or on its way."""
        if not on or self.stream is None or self.stream.done:
            self._watch(on)

    def _watch(self, on: bool, again: bool = False) -> None:
        if self.stream is not None:
            self.stream.stop()
            self.stream = None
        if on and not self.closed:
            target = f"{self.path}?watch=1&from={self.generation}"
            self.stream = self._ask(Stream(self, target, True, again))

    def move(self, address: str) -> None:
        """Watch at another address, from now on and from the start: the versions
        of its lists may be others. What was to be fetched is fetched there."""
        if self.closed:
            return
        self.address, self.generation, self.retry_s = address, 0, RETRY_S
        fetching = [one for one in self.streams if not one.watch]
        for one in fetching:
            one.stop()
        self._watch(True)
        if fetching:
            self.fetch()

    def fetch(self) -> None:
        self._fetch()

    def _fetch(self, again: bool = False) -> None:
        if not self.closed:
            self._ask(Stream(self, self.path, False, again))

    def _ask(self, stream: Stream) -> Stream:
        self.streams.add(stream)
        task = self.loop.create_task(self._connect(stream))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.loop.call_at(stream.silent_at, self._check, stream)
        return stream

    async def _connect(self, stream: Stream) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(self.answer_s):
                await self.loop.create_connection(lambda: stream, host, int(port))
        except TimeoutError:
            stream.fail(silent=True)
        except OSError:
            stream.fail()

    def _check(self, stream: Stream) -> None:
        """Guards against an answer that never comes, and one that stops without a word."""
        if stream.done:
            return
        if self.busy:
            stream.heard = self.loop.time()  # it was not listened to
        if stream.silent_at > self.loop.time():
            self.loop.call_at(stream.silent_at, self._check, stream)
        else:  # what came while this process stood still is read before the verdict
            self.loop.call_later(self.spread_s * self.draw.random(), self._judge, stream)

    def _judge(self, stream: Stream) -> None:
        if stream.silent_at > self.loop.time() or self.busy:
            self._check(stream)
        else:
            stream.fail(silent=True)

    def take(self, raw: bytearray, stream: Stream, told_at: int | None) -> None:
        """One list; ValueError on anything else, before any of it is used. A long one
        is only begun, and its stream hears of its end."""
        if len(raw) <= SHORT_OBJECT:
            version, whole, entries = _list_of(json.loads(raw), stream.watch)
            self._heed_restart(stream, version, whole)
            if self.sink is not None and self._counts(stream, version, whole):
                self.sink.listed(version, whole, list(self._usable(entries)))
                self.generation = version
            self.retry_s = RETRY_S
        elif self.sink is not None:
            self.busy = True
            if self.collector is not None:
                self.collector.begin()
            told_at = self.sink.now() if told_at is None else told_at
            steps = self._in_steps(raw, stream, self.sink, told_at)
            self.slices.run(steps, functools.partial(self._ended, stream))

    def _usable(self, entries: list[Any]) -> Iterator[dict[str, Any]]:
        for raw in entries:
            entry, wrong = usable(raw)
            if wrong:
                self.complain(f"bad entry from discovery: {wrong}")
            if entry is not None:
                yield entry

    def complain(self, text: str) -> None:
        """Guards the log against what goes on for hours: a line now and then, with how many came."""
        now = self.loop.time()
        if now < self.complained + COMPLAIN_EVERY_S:
            self.unsaid += 1
            return
        self.log(f"{text} ({self.unsaid} more like it before)" if self.unsaid else text)
        self.complained, self.unsaid = now, 0

    def _heed_restart(self, stream: Stream, version: int, whole: bool) -> None:
        """Guards against a discovery that counts anew and tells changes of a list that is not known
        here: they were passed over for ever. The whole list is asked for; ValueError."""
        if stream.watch and not whole and version < self.generation and not stream.done:
            known, self.generation = self.generation, 0
            raise ValueError(f"changes of version {version} after {known}")

    def _counts(self, stream: Stream, version: int, whole: bool) -> bool:
        """Whether a list says more than what was told before. A watch may begin anew with a
        whole list of any version; one that was fetched may come after newer changes."""
        return version >= self.generation or (whole and stream.watch)

    def _in_steps(self, raw: bytearray, stream: Stream, sink: MemberSink, told_at: int) -> Iterator[None]:
        told = yield from parse_in_steps(raw.decode())
        version, whole, found = _list_of(told, stream.watch)
        self.listed = len(found)
        entries: list[Any] = []
        for at in range(0, len(found), STEP):
            entries.extend(self._usable(found[at : at + STEP]))
            yield
        if stream.address != self.address:
            return  # moved while it was read: the new address has the word
        self._heed_restart(stream, version, whole)
        if self._counts(stream, version, whole):
            yield from sink.list_in_steps(whole, entries, told_at)
            if not stream.done:  # another source may be watched since
                self.generation = version
        self.retry_s = RETRY_S

    def _ended(self, stream: Stream, error: Exception | None) -> None:
        self.busy = False
        if self.collector is not None:
            self.collector.end(self.listed)
        if error is not None and not stream.done:
            stream.spoilt(error)
        elif not stream.watch:
            stream.stop()
        for one in list(self.streams):
            if not self.busy:
                one.resume()

    def lost(self, stream: Stream, silent: bool) -> None:
        if self.closed or self.sink is None or (stream.watch and stream is not self.stream):
            return
        if not self.pushed and (stream.again or not silent):
            self.sink.list_failed()  # the module may ask sooner than the back-off below
        if silent:  # whoever waited for it need not pause, and the verdict was spread already
            self._renew(stream, again=True)
        else:
            self.loop.call_later(self._back_off(stream), self._renew, stream)

    def _back_off(self, stream: Stream) -> float:
        """How long to wait after a call that failed, s."""
        part = RETRY_PART + (1.0 - RETRY_PART) * self.draw.random()
        if not self.pushed:
            return part * RETRY_ASKED_S
        pause = part * self.retry_s
        self.retry_s = min(RETRY_SPOILT_MOST_S if stream.bad else RETRY_MOST_S, 2.0 * self.retry_s)
        return pause

    def _renew(self, stream: Stream, again: bool = False) -> None:
        if not stream.watch:
            self._fetch(again)
        elif stream is self.stream:
            self._watch(True, again)

    def close(self) -> None:
        self.closed = True
        self.slices.close()
        self.watch(False)
        for one in list(self.streams):
            one.stop()
        for task in self.tasks:
            task.cancel()

    async def wait_closed(self) -> None:
        """After `close`: until no task is left."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))
