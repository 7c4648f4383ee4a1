"""The client of discovery: watches or fetches endpoint lists over HTTP, and passes them to the engine."""

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

# While nothing changes, discovery sends an empty line as a heartbeat every 2 s. If one is half a second late,
# the watch counts as stalled, because a network partition gives no other sign. Changes that it misses count
# as received 6 s after the stall began: that leaves time for a second watch that stalls after its head, and
# for a third.
STALL_TIMEOUT_S = 2.5
# Limits for the head of a response. An agent on the same machine answers at once; a discovery service that
# all sidecars share, and that is used on demand, answers requests in turn.
RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_ON_DEMAND_S = 1.0, 2.0
# Each sidecar reacts to a stall after a random delay of up to this: a fault that stalls the watches of a
# whole fleet must not make all of them send a request at once.
MAX_JITTER_S = 0.3
# The back-off after a failed request to an agent, from the first to the longest pause. A request to an agent
# is cheap, and a change counts as received as soon as the agent has it: the longest pause leaves time for the
# answer within a short drain grace (250 ms). An agent that sends malformed lists will not recover soon.
RETRY_DELAY_S, MAX_RETRY_DELAY_S, MAX_RETRY_DELAY_MALFORMED_S = 0.05, 0.2, 2.0
# The pause after a failed request to a shared service, which gets fewer requests. A change counts as received
# 6 s after it was available: this pause and one request without an answer leave more than a second for the
# next.
RETRY_DELAY_ON_DEMAND_S = 2.5
# Each pause is multiplied by a random factor between this and 1: when discovery comes back, a fleet must not
# send its requests all at once.
MIN_RETRY_FACTOR = 0.5
# A discovery that sends malformed lists does so in every response.
LOG_INTERVAL_S = 10.0
LIST_PATH = "/registry/instances"
# A longer object is parsed and applied in steps; one of this size takes a millisecond or two.
SHORT_OBJECT_BYTES = 32 * 1024


def parse_list(parsed: Any, is_watch: bool) -> tuple[int, bool, list[Any]]:
    """The generation of a list, whether it is full, and its entries. A list that was fetched, not `is_watch`,
    is always full. ValueError if `parsed` is no list of endpoints.
    """
    try:
        generation, is_full, entries = int(parsed["generation"]), parsed.get("reset"), parsed["instances"]
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"not an endpoint list: {error!r}") from None
    if not isinstance(entries, list):
        raise ValueError("not an endpoint list: instances is not an array")
    return generation, not is_watch or bool(is_full), entries


class Discovery:
    """Fetches and watches endpoint lists over HTTP, as the engine's `MemberSource`.

    `is_pushed`: the watch is kept open from the start, and opened again when it ends. Otherwise lists are
    watched and fetched when the engine requests it.

    A request that stalls is repeated at once, on a new connection and from the last generation that was
    applied completely. One that ends or fails is repeated after a back-off. If lists are not pushed, the
    engine is notified of that and may repeat the request sooner.
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
        self.rng = random.Random(seed)
        self.address = address
        self.path = path
        self.is_pushed = is_pushed
        self.log = log
        self.last_logged_at = -LOG_INTERVAL_S  # when a line was last logged
        self.suppressed_lines = 0  # lines since then that were not logged
        self.collector = collector  # the garbage collector; None where the balancer does not own the process
        self.sink: MemberSink | None = None
        self.generation = 0
        self.stream: DiscoveryStream | None = None  # the watch
        self.retry_delay_s = RETRY_DELAY_S
        self.stall_timeout_s = STALL_TIMEOUT_S
        self.response_timeout_s = RESPONSE_TIMEOUT_S if is_pushed else RESPONSE_TIMEOUT_ON_DEMAND_S
        self.max_jitter_s = MAX_JITTER_S
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_closed = False
        self.background = CooperativeTask(loop)
        self.last_list_size = 0  # number of entries of the last long list
        self.is_applying_list = False  # a long list is being parsed and applied in steps
        self.streams: set[DiscoveryStream] = set()  # all that are not closed

    def start(self, sink: MemberSink, generation: int) -> None:
        """Start to pass lists later than `generation` to the sink."""
        self.sink = sink
        self.generation = generation
        if self.is_pushed:
            self.watch(True)

    def watch(self, is_on: bool) -> None:
        """Open or close the watch. Does nothing if it is to be opened and is open or connecting."""
        if not is_on or self.stream is None or self.stream.is_closed:
            self._watch(is_on)

    def _watch(self, is_on: bool, is_renewal: bool = False) -> None:
        if self.stream is not None:
            self.stream.stop()
            self.stream = None
        if is_on and not self.is_closed:
            target = f"{self.path}?watch=1&from={self.generation}"
            self.stream = self._request(DiscoveryStream(self, target, True, is_renewal))

    def change_address(self, address: str) -> None:
        """Use another address from now on. Its generations are unrelated, so the new watch starts without
        one. Fetches in progress are repeated there.
        """
        if self.is_closed:
            return
        self.address, self.generation, self.retry_delay_s = address, 0, RETRY_DELAY_S
        fetching = [stream for stream in self.streams if not stream.is_watch]
        for stream in fetching:
            stream.stop()
        self._watch(True)
        if fetching:
            self.fetch()

    def fetch(self) -> None:
        """Request the full list once."""
        self._fetch()

    def _fetch(self, is_renewal: bool = False) -> None:
        if not self.is_closed:
            self._request(DiscoveryStream(self, self.path, False, is_renewal))

    def _request(self, stream: DiscoveryStream) -> DiscoveryStream:
        self.streams.add(stream)
        task = self.loop.create_task(self._connect(stream))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.loop.call_at(stream.stalls_at, self._check_stall, stream)
        return stream

    async def _connect(self, stream: DiscoveryStream) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(self.response_timeout_s):
                await self.loop.create_connection(lambda: stream, host, int(port))
        except TimeoutError:
            stream.fail(is_stalled=True)
        except OSError:
            stream.fail()

    def _check_stall(self, stream: DiscoveryStream) -> None:
        """Check repeatedly for a stall: a response may never arrive, or stall without being closed."""
        if stream.is_closed:
            return
        if self.is_applying_list:
            stream.last_progress_at = self.loop.time()  # reading was paused, so it may have sent data
        if stream.stalls_at > self.loop.time():
            self.loop.call_at(stream.stalls_at, self._check_stall, stream)
        else:  # data that arrived while this process was suspended is read before the stream is closed
            self.loop.call_later(self.max_jitter_s * self.rng.random(), self._on_stall, stream)

    def _on_stall(self, stream: DiscoveryStream) -> None:
        if stream.stalls_at > self.loop.time() or self.is_applying_list:
            self._check_stall(stream)
        else:
            stream.fail(is_stalled=True)

    def on_object(self, raw: bytearray, stream: DiscoveryStream, received_at: int | None) -> None:
        """Apply a list. A long one is applied in the background, and its stream is resumed afterwards.
        ValueError, with nothing applied, if `raw` is no list.
        """
        if len(raw) <= SHORT_OBJECT_BYTES:
            generation, is_full, entries = parse_list(json.loads(raw), stream.is_watch)
            self._check_restart(stream, generation, is_full)
            if self.sink is not None and self._is_newer(stream, generation, is_full):
                self.sink.on_list(generation, is_full, list(self._usable_entries(entries)))
                self.generation = generation
            self.retry_delay_s = RETRY_DELAY_S
        elif self.sink is not None:
            self.is_applying_list = True
            if self.collector is not None:
                self.collector.pause()
            received_at = self.sink.now() if received_at is None else received_at
            steps = self._apply_in_steps(raw, stream, self.sink, received_at)
            self.background.run(steps, functools.partial(self._on_list_applied, stream))

    def _usable_entries(self, entries: list[Any]) -> Iterator[dict[str, Any]]:
        for raw in entries:
            entry, problem = normalize_entry(raw)
            if problem:
                self.log_limited(f"bad entry from discovery: {problem}")
            if entry is not None:
                yield entry

    def log_limited(self, text: str) -> None:
        """Guards the log against a fault that lasts for hours: logs one line per `LOG_INTERVAL_S`, with the
        number of suppressed lines.
        """
        now = self.loop.time()
        if now < self.last_logged_at + LOG_INTERVAL_S:
            self.suppressed_lines += 1
            return
        self.log(
            f"{text} ({self.suppressed_lines} similar lines suppressed)" if self.suppressed_lines else text
        )
        self.last_logged_at, self.suppressed_lines = now, 0

    def _check_restart(self, stream: DiscoveryStream, generation: int, is_full: bool) -> None:
        """Guards against a discovery that has restarted its generations and sends changes of a list that is
        not known here: such changes would be ignored for ever. ValueError for these; the next watch requests
        the full list.
        """
        if stream.is_watch and not is_full and generation < self.generation and not stream.is_closed:
            previous, self.generation = self.generation, 0
            raise ValueError(f"changes of generation {generation} after generation {previous}")

    def _is_newer(self, stream: DiscoveryStream, generation: int, is_full: bool) -> bool:
        """Whether a list is to be applied. A full list of a watch always is, whatever its generation. A list
        that was fetched may arrive after newer changes, and is not.
        """
        return generation >= self.generation or (is_full and stream.is_watch)

    def _apply_in_steps(
        self, raw: bytearray, stream: DiscoveryStream, sink: MemberSink, received_at: int
    ) -> Iterator[None]:
        parsed = yield from parse_in_steps(raw.decode())
        generation, is_full, raw_entries = parse_list(parsed, stream.is_watch)
        self.last_list_size = len(raw_entries)
        entries: list[Any] = []
        for start in range(0, len(raw_entries), STEP_ENTRIES):
            entries.extend(self._usable_entries(raw_entries[start : start + STEP_ENTRIES]))
            yield
        if stream.address != self.address:
            return  # the address was changed meanwhile, and only lists of the new one count
        self._check_restart(stream, generation, is_full)
        if self._is_newer(stream, generation, is_full):
            yield from sink.apply_list_in_steps(is_full, entries, received_at)
            if not stream.is_closed:  # the address may have been changed meanwhile
                self.generation = generation
        self.retry_delay_s = RETRY_DELAY_S

    def _on_list_applied(self, stream: DiscoveryStream, error: Exception | None) -> None:
        self.is_applying_list = False
        if self.collector is not None:
            self.collector.resume(self.last_list_size)
        if error is not None and not stream.is_closed:
            stream.reject(error)
        elif not stream.is_watch:
            stream.stop()
        for open_stream in list(self.streams):
            if not self.is_applying_list:
                open_stream.resume()

    def on_stream_lost(self, stream: DiscoveryStream, is_stalled: bool) -> None:
        """Repeat a request: at once if it stalled, else after a back-off."""
        if self.is_closed or self.sink is None or (stream.is_watch and stream is not self.stream):
            return
        if not self.is_pushed and (stream.is_renewal or not is_stalled):
            self.sink.on_list_failed()  # the balancer may request it sooner than the back-off below
        if is_stalled:  # a stall has taken long enough, and the reaction to it was delayed at random already
            self._retry(stream, is_renewal=True)
        else:
            self.loop.call_later(self._back_off(stream), self._retry, stream)

    def _back_off(self, stream: DiscoveryStream) -> float:
        """How long to wait after a request that failed, s."""
        factor = MIN_RETRY_FACTOR + (1.0 - MIN_RETRY_FACTOR) * self.rng.random()
        if not self.is_pushed:
            return factor * RETRY_DELAY_ON_DEMAND_S
        pause = factor * self.retry_delay_s
        self.retry_delay_s = min(
            MAX_RETRY_DELAY_MALFORMED_S if stream.is_malformed else MAX_RETRY_DELAY_S,
            2.0 * self.retry_delay_s,
        )
        return pause

    def _retry(self, stream: DiscoveryStream, is_renewal: bool = False) -> None:
        if not stream.is_watch:
            self._fetch(is_renewal)
        elif stream is self.stream:
            self._watch(True, is_renewal)

    def close(self) -> None:
        """Close all streams, and send no more requests."""
        self.is_closed = True
        self.background.close()
        self.watch(False)
        for stream in list(self.streams):
            stream.stop()
        for task in self.tasks:
            task.cancel()

    async def wait_closed(self) -> None:
        """Wait until all tasks have ended. Called after `close`."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))
