"""Discovery: keeps the watch open, or asks when told to, and hands lists on."""

from __future__ import annotations

import asyncio
import functools
import json
import random
from collections.abc import Iterator
from typing import Any

from laurelstep.engine.list_updates import STEP_ENTRIES, normalize_entry, parse_in_steps
from laurelstep.engine.ports import Log, MemberSink
from laurelstep.net.collector import Collector
from laurelstep.net.cooperative_task import CooperativeTask
from laurelstep.net.discovery_stream import DiscoveryStream

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
RETRY_S, MAX_RETRY_S, MAX_RETRY_MALFORMED_S = 0.05, 0.2, 2.0
# A service of all sidecars is asked less often. A change counts as told 6 s after it could be had: this
# pause and a call that is not answered leave more than a second for the next.
RETRY_ASKED_S = 2.5
# A renewal waits for a part of that between half and all of it, drawn by each sidecar for itself:
# when discovery comes back, a fleet must not ask at once.
RETRY_PART = 0.5
# A discovery that answers with what can't be read does so at every call.
LOG_EVERY_S = 10.0
LIST_PATH = "/registry/instances"
# A longer object is read and applied in slices: this much takes a millisecond or two.
SHORT_OBJECT = 32 * 1024


def parse_list(told: Any, watch: bool) -> tuple[int, bool, list[Any]]:
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

    `is_pushed`: the watch is kept open from the start on, and opened anew when it ends.
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
        is_pushed: bool,
        log: Log,
        collector: Collector | None = None,
        seed: int = 0,
    ) -> None:
        self.loop = loop
        self.draw = random.Random(seed)
        self.address = address
        self.path = path
        self.is_pushed = is_pushed
        self.log = log
        self.logged_at = -LOG_EVERY_S  # when a line was last logged
        self.unlogged = 0  # lines since then that were not
        self.collector = collector  # of the process, where it is the balancer's
        self.sink: MemberSink | None = None
        self.generation = 0
        self.stream: DiscoveryStream | None = None  # the watch
        self.retry_s = RETRY_S
        self.silent_s = SILENT_S
        self.answer_s = ANSWER_S if is_pushed else ANSWER_ASKED_S
        self.spread_s = SPREAD_S
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        self.background = CooperativeTask(loop)
        self.last_list_size = 0  # entries of the last long list
        self.busy = False  # a long list is being read and applied
        self.streams: set[DiscoveryStream] = set()  # those that may have objects to read

    def start(self, sink: MemberSink, generation: int) -> None:
        """Tell lists to the sink, of later versions than `generation`."""
        self.sink = sink
        self.generation = generation
        if self.is_pushed:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Nothing changes for a watch that is open, or on its way."""
        if not on or self.stream is None or self.stream.is_closed:
            self._watch(on)

    def _watch(self, on: bool, is_renewal: bool = False) -> None:
        if self.stream is not None:
            self.stream.stop()
            self.stream = None
        if on and not self.closed:
            target = f"{self.path}?watch=1&from={self.generation}"
            self.stream = self._ask(DiscoveryStream(self, target, True, is_renewal))

    def change_address(self, address: str) -> None:
        """Watch at another address, from now on and from the start: the versions
        of its lists may be others. What was to be fetched is fetched there.
        """
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
        """Ask for the whole list once."""
        self._fetch()

    def _fetch(self, is_renewal: bool = False) -> None:
        if not self.closed:
            self._ask(DiscoveryStream(self, self.path, False, is_renewal))

    def _ask(self, stream: DiscoveryStream) -> DiscoveryStream:
        self.streams.add(stream)
        task = self.loop.create_task(self._connect(stream))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.loop.call_at(stream.silent_at, self._check, stream)
        return stream

    async def _connect(self, stream: DiscoveryStream) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(self.answer_s):
                await self.loop.create_connection(lambda: stream, host, int(port))
        except TimeoutError:
            stream.fail(silent=True)
        except OSError:
            stream.fail()

    def _check(self, stream: DiscoveryStream) -> None:
        """Guards against an answer that never comes, and one that stops without a word."""
        if stream.is_closed:
            return
        if self.busy:
            stream.heard_at = self.loop.time()  # it was not listened to
        if stream.silent_at > self.loop.time():
            self.loop.call_at(stream.silent_at, self._check, stream)
        else:  # what came while this process stood still is read before the verdict
            self.loop.call_later(self.spread_s * self.draw.random(), self._on_silence, stream)

    def _on_silence(self, stream: DiscoveryStream) -> None:
        if stream.silent_at > self.loop.time() or self.busy:
            self._check(stream)
        else:
            stream.fail(silent=True)

    def on_object(self, raw: bytearray, stream: DiscoveryStream, told_at: int | None) -> None:
        """One list; ValueError on anything else, before any of it is used. A long one
        is only begun, and its stream hears of its end.
        """
        if len(raw) <= SHORT_OBJECT:
            version, whole, entries = parse_list(json.loads(raw), stream.watch)
            self._check_restart(stream, version, whole)
            if self.sink is not None and self._counts(stream, version, whole):
                self.sink.on_list(version, whole, list(self._usable_entries(entries)))
                self.generation = version
            self.retry_s = RETRY_S
        elif self.sink is not None:
            self.busy = True
            if self.collector is not None:
                self.collector.pause()
            told_at = self.sink.now() if told_at is None else told_at
            steps = self._in_steps(raw, stream, self.sink, told_at)
            self.background.run(steps, functools.partial(self._on_list_applied, stream))

    def _usable_entries(self, entries: list[Any]) -> Iterator[dict[str, Any]]:
        for raw in entries:
            entry, wrong = normalize_entry(raw)
            if wrong:
                self.log_rarely(f"bad entry from discovery: {wrong}")
            if entry is not None:
                yield entry

    def log_rarely(self, text: str) -> None:
        """Guards the log against what goes on for hours: a line now and then, with how many came."""
        now = self.loop.time()
        if now < self.logged_at + LOG_EVERY_S:
            self.unlogged += 1
            return
        self.log(f"{text} ({self.unlogged} more like it before)" if self.unlogged else text)
        self.logged_at, self.unlogged = now, 0

    def _check_restart(self, stream: DiscoveryStream, version: int, whole: bool) -> None:
        """Guards against a discovery that counts anew and tells changes of a list that is not known
        here: they were passed over for ever. The whole list is asked for; ValueError.
        """
        if stream.watch and not whole and version < self.generation and not stream.is_closed:
            known, self.generation = self.generation, 0
            raise ValueError(f"changes of version {version} after {known}")

    def _counts(self, stream: DiscoveryStream, version: int, whole: bool) -> bool:
        """Whether a list says more than what was told before. A watch may begin anew with a
        whole list of any version; one that was fetched may come after newer changes.
        """
        return version >= self.generation or (whole and stream.watch)

    def _in_steps(
        self, raw: bytearray, stream: DiscoveryStream, sink: MemberSink, told_at: int
    ) -> Iterator[None]:
        told = yield from parse_in_steps(raw.decode())
        version, whole, found = parse_list(told, stream.watch)
        self.last_list_size = len(found)
        entries: list[Any] = []
        for at in range(0, len(found), STEP_ENTRIES):
            entries.extend(self._usable_entries(found[at : at + STEP_ENTRIES]))
            yield
        if stream.address != self.address:
            return  # moved while it was read: the new address has the word
        self._check_restart(stream, version, whole)
        if self._counts(stream, version, whole):
            yield from sink.apply_list_in_steps(whole, entries, told_at)
            if not stream.is_closed:  # another source may be watched since
                self.generation = version
        self.retry_s = RETRY_S

    def _on_list_applied(self, stream: DiscoveryStream, error: Exception | None) -> None:
        self.busy = False
        if self.collector is not None:
            self.collector.resume(self.last_list_size)
        if error is not None and not stream.is_closed:
            stream.reject(error)
        elif not stream.watch:
            stream.stop()
        for one in list(self.streams):
            if not self.busy:
                one.resume()

    def on_lost(self, stream: DiscoveryStream, silent: bool) -> None:
        """Ask again: at once behind a silence, else after a back-off."""
        if self.closed or self.sink is None or (stream.watch and stream is not self.stream):
            return
        if not self.is_pushed and (stream.is_renewal or not silent):
            self.sink.on_list_failed()  # the module may ask sooner than the back-off below
        if silent:  # whoever waited for it need not pause, and the verdict was spread already
            self._renew(stream, is_renewal=True)
        else:
            self.loop.call_later(self._back_off(stream), self._renew, stream)

    def _back_off(self, stream: DiscoveryStream) -> float:
        """How long to wait after a call that failed, s."""
        part = RETRY_PART + (1.0 - RETRY_PART) * self.draw.random()
        if not self.is_pushed:
            return part * RETRY_ASKED_S
        pause = part * self.retry_s
        self.retry_s = min(MAX_RETRY_MALFORMED_S if stream.is_malformed else MAX_RETRY_S, 2.0 * self.retry_s)
        return pause

    def _renew(self, stream: DiscoveryStream, is_renewal: bool = False) -> None:
        if not stream.watch:
            self._fetch(is_renewal)
        elif stream is self.stream:
            self._watch(True, is_renewal)

    def close(self) -> None:
        """Ask nothing more, and close what is open."""
        self.closed = True
        self.background.close()
        self.watch(False)
        for one in list(self.streams):
            one.stop()
        for task in self.tasks:
            task.cancel()

    async def wait_closed(self) -> None:
        """After `close`: until no task is left."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))
