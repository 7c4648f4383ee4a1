"""The list's clock: objects in any layout, silence on a watch and on a poll, and who hears of it."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, Self

import pytest
from hypothesis import given
from hypothesis import strategies as st
from laurelstep.net import discovery as module
from laurelstep.net.discovery import LIST_PATH, Discovery
from laurelstep.net.json_stream import SCAN_BYTES, JsonStreamDecoder
from laurelstep.net.log import log
from laurelstep.testing import Listener, Reader, Writer, push, push_raw, read_message

from tests.conftest import Logged
from tests.sockets import run

MOST = 1 << 20


def entry(name: str, lifecycle: str = "ready") -> dict[str, Any]:
    return {"instanceId": name, "hostPort": "127.0.0.1:9", "lifecycle": lifecycle}


def listing(version: int, *entries: dict[str, Any], whole: bool = False) -> dict[str, Any]:
    return {"generation": version, "reset": whole, "instances": list(entries)}


# --- Objects in a stream ----------------------------------------------------------------


def taken(objects: JsonStreamDecoder) -> list[Any]:
    found = []
    while (raw := objects.next_object()) is not None or objects.has_more:
        if raw is not None:
            found.append(json.loads(raw))
    return found


TWO = (listing(1, entry('a "quoted\\" {name}')), listing(2, entry("b"), whole=True))


@pytest.mark.parametrize("indent", [None, 2])
def test_objects_cut_at_every_byte(indent: int | None) -> None:
    raw = "\n".join(json.dumps(one, indent=indent) for one in TWO).encode() + b"\n\n"
    for cut in range(len(raw) + 1):
        objects = JsonStreamDecoder(MOST)
        objects.feed(raw[:cut])
        found = taken(objects)
        objects.feed(raw[cut:])
        assert [*found, *taken(objects)] == list(TWO) and not objects.has_partial_object


def test_two_objects_in_one_chunk_need_no_line_between_them() -> None:
    objects = JsonStreamDecoder(MOST)
    objects.feed(b"".join(json.dumps(one).encode() for one in TWO))
    assert taken(objects) == list(TWO)


TEXT = st.text('ab\\"{}[]:,\n é', max_size=4)
VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=6,
)


@given(
    st.lists(st.dictionaries(TEXT, VALUE, max_size=3), max_size=3),
    st.integers(0, 3),
    st.booleans(),
    st.lists(st.integers(1, 40), max_size=8),
)
def test_any_objects_in_any_chunks(
    values: list[dict[str, Any]], indent: int, ascii_only: bool, sizes: list[int]
) -> None:
    raw = " \n".join(
        json.dumps(one, indent=indent or None, ensure_ascii=ascii_only) for one in values
    ).encode()
    objects, found = JsonStreamDecoder(MOST), []
    for size in sizes:
        objects.feed(raw[:size])
        raw = raw[size:]
        found += taken(objects)
    objects.feed(raw)
    assert found + taken(objects) == values


@pytest.mark.parametrize(
    "raw",
    [b"[1]", b"x", b"}", b'{"a": nope}', b"{not json", b'{"a": tru, ', b'{"a": Infinity}', b'{"a" \x00'],
)
def test_what_can_be_no_json_is_an_error_at_once(raw: bytes) -> None:
    objects = JsonStreamDecoder(MOST)
    objects.feed(raw)
    with pytest.raises(ValueError):
        taken(objects)


@pytest.mark.parametrize("raw", [b'{"a": t', b'{"a": "x', b'{"a": "x\\', b'{"a": 1', b"{", b'{"a": nul'])
def test_what_only_stops_short_is_waited_for(raw: bytes) -> None:
    objects = JsonStreamDecoder(MOST)
    objects.feed(raw)
    assert taken(objects) == [] and objects.has_partial_object


def test_what_is_kept_is_bounded() -> None:
    endless = JsonStreamDecoder(1000)
    endless.feed(b'{"instances": [' + b"{}," * 400)
    deep = JsonStreamDecoder(MOST)
    deep.feed(b'{"a":' * 100)
    wordy = JsonStreamDecoder(MOST)
    wordy.feed(b'{"a": "' + b"x" * SCAN_BYTES)
    for objects, match in ((endless, "more than 1000"), (deep, "deeper"), (wordy, "without a brace")):
        with pytest.raises(ValueError, match=match):
            taken(objects)


def test_a_call_looks_at_a_part_of_an_indented_list_of_10_000() -> None:
    value = listing(1, *(entry(f"s-{n}") for n in range(10_000)), whole=True)
    objects = JsonStreamDecoder(MOST * 64)
    objects.feed(json.dumps(value, indent=2).encode())
    calls, found, before = 0, None, 0
    while found is None:
        found = objects.next_object()
        calls += 1
        if found is None:
            assert objects.has_more and objects.position - before <= 2 * SCAN_BYTES
            before = objects.position
    assert json.loads(found) == value and calls > 10


# --- Silence ----------------------------------------------------------------------------


@dataclass(eq=False)
class Agent(Listener):
    """Each call is put into `asked`, unanswered, with its request line and its writer."""

    asked: asyncio.Queue[tuple[str, Writer]] = field(default_factory=asyncio.Queue)
    open: set[Writer] = field(default_factory=set)

    async def __aenter__(self) -> Self:
        self.server = await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        message = await read_message(reader)
        self.open.add(writer)
        await self.asked.put((message.start, writer))
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        self.open.discard(writer)
        writer.close()


@dataclass(eq=False)
class Sink:
    """Takes lists, and remembers them."""

    lists: asyncio.Queue[tuple[int, list[str]]] = field(default_factory=asyncio.Queue)
    failed: asyncio.Queue[None] = field(default_factory=asyncio.Queue)
    received_at: list[int] = field(default_factory=list)  # of long lists

    def now(self) -> int:
        return int(asyncio.get_running_loop().time() * 1e6)

    def on_list(self, version: int, whole: bool, entries: Sequence[Any]) -> None:
        self.lists.put_nowait((version, [one["instanceId"] for one in entries]))

    def apply_list_in_steps(self, whole: bool, entries: list[Any], told_at: int) -> Iterator[None]:
        names = [one["instanceId"] for one in entries]
        self.received_at.append(told_at)
        yield
        self.lists.put_nowait((-1, names))

    def on_list_failed(self) -> None:
        self.failed.put_nowait(None)


def begin_response(writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")


def reply(writer: Writer, raw: bytes, declared: int | None = None, more: bytes = b"") -> None:
    size = len(raw) if declared is None else declared
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (size, more, raw))


def source(
    agent: Agent, sink: Sink, pushed: bool, silent_s: float = 0.05, answer_s: float = 0.05
) -> Discovery:
    """One that loses patience soon; how soon it does in service is another test's."""
    one = Discovery(asyncio.get_running_loop(), f"127.0.0.1:{agent.port}", LIST_PATH, pushed, print)
    one.stall_timeout_s, one.response_timeout_s, one.max_jitter_s = silent_s, answer_s, 0.0
    one.start(sink, 41)
    return one


def test_the_times_leave_room_for_a_second_try_before_the_list_counts_as_told() -> None:
    for answer_s in (module.RESPONSE_TIMEOUT_S, module.RESPONSE_TIMEOUT_ON_DEMAND_S):
        assert module.STALL_TIMEOUT_S + module.MAX_JITTER_S + answer_s < 6.0
    three = (
        module.STALL_TIMEOUT_S + module.RESPONSE_TIMEOUT_S + 2 * module.MAX_JITTER_S + module.RETRY_DELAY_S
    )
    assert three < 6.0, "an agent is asked a third time"
    assert module.STALL_TIMEOUT_S > 2.0, "an empty line comes every 2 s"


@pytest.mark.parametrize("pushed", [True, False])
def test_a_watch_that_falls_silent_in_an_object_is_asked_again_at_once(pushed: bool) -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            one = source(agent, sink, pushed)
            if not pushed:
                one.watch(True)
            _, watch = await agent.asked.get()
            begin_response(watch)
            push(watch, 42, False, entry("s-1"))
            assert await sink.lists.get() == (42, ["s-1"])
            push_raw(watch, json.dumps(listing(43, entry("s-2")), indent=1).encode()[:-9])
            push_raw(watch, b"\n")  # an empty line is no rest of an object
            start, watch = await agent.asked.get()
            assert "from=42 " in start, "from the last version that was whole"
            begin_response(watch)
            push(watch, 43, False, entry("s-2"))
            assert await sink.lists.get() == (43, ["s-2"])
            assert sink.failed.empty()
            one.close()
            await one.wait_closed()

    run(main())


@pytest.mark.parametrize("pushed", [True, False])
def test_a_poll_that_is_never_answered_is_asked_again_and_then_told(pushed: bool) -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            one = source(agent, sink, pushed)
            one.fetch()
            polls = 0
            while polls < (3 if pushed else 2):
                start, watch = await agent.asked.get()
                if "watch" in start:
                    begin_response(watch)
                else:
                    polls += 1
            if not pushed:
                await sink.failed.get()  # the module says when to ask again
            one.close()
            await one.wait_closed()

    run(main())


@pytest.mark.parametrize("tail", [b"", b'{"instanceId": "s-1"'])
def test_a_poll_answered_with_half_a_list_is_asked_again(tail: bytes) -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            one = source(agent, sink, pushed=False)
            one.fetch()
            _, first = await agent.asked.get()
            reply(first, b'{"generation": 50, "reset": true, "instances": [' + tail, declared=500)
            _, second = await agent.asked.get()
            reply(second, json.dumps(listing(50, entry("s-1"), whole=True), indent=2).encode())
            assert await sink.lists.get() == (50, ["s-1"])
            one.close()
            await one.wait_closed()

    run(main())


@pytest.mark.parametrize("kept", [b"", b"Connection: close\r\n"])
def test_an_answer_that_is_over_with_half_a_list_is_told_once(kept: bytes, logged: Logged) -> None:
    """Its connection may stay open, and nothing more would come on it."""

    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            one = source(agent, sink, pushed=False, silent_s=60.0, answer_s=60.0)
            one.log = log
            one.fetch()
            _, first = await agent.asked.get()
            reply(first, b'{"generation": 50, "reset": true, "instances": [', more=kept)
            await sink.failed.get()
            assert sink.lists.empty()
            one.close()
            await one.wait_closed()

    run(main())
    assert logged().count("bad line from discovery") == 1


def test_a_long_poll_whose_connection_ends_behind_it_is_taken() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            one = source(agent, sink, pushed=False, silent_s=60.0, answer_s=60.0)
            one.fetch()
            _, first = await agent.asked.get()
            names = [f"s-{n}" for n in range(3_000)]
            raw = json.dumps(listing(50, *map(entry, names), whole=True), indent=2).encode()
            reply(first, raw, more=b"Connection: close\r\n")
            first.close()
            version, told = await sink.lists.get()
            assert version == -1 and sorted(told) == sorted(names)
            while one.streams:
                await asyncio.sleep(0)
            assert sink.failed.empty() and one.generation == 50
            one.close()
            await one.wait_closed()

    run(main())


def test_a_poll_answered_after_a_newer_line_of_the_watch_is_passed_over() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            one = source(agent, sink, pushed=True, silent_s=60.0, answer_s=60.0)
            _, watch = await agent.asked.get()
            one.fetch()
            _, poll = await agent.asked.get()
            begin_response(watch)
            push(watch, 44, False, entry("s-1", "draining"))
            assert await sink.lists.get() == (44, ["s-1"])
            reply(poll, json.dumps(listing(43, entry("s-1"), whole=True)).encode())
            while len(one.streams) > 1:
                await asyncio.sleep(0)
            assert sink.lists.empty() and one.generation == 44
            push(watch, 1, True, entry("s-9"))  # a watch may begin anew
            assert await sink.lists.get() == (1, ["s-9"])
            one.close()
            await one.wait_closed()

    run(main())


def test_a_move_while_a_poll_is_out_asks_the_new_address() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as old, Agent() as new:
            one = source(old, sink, pushed=True, silent_s=60.0, answer_s=60.0)
            _, watch = await old.asked.get()
            one.fetch()
            _, poll = await old.asked.get()
            begin_response(watch)
            push(watch, 90, True, entry("s-old"))
            reply(poll, json.dumps(listing(91, entry("s-old"), whole=True)).encode())
            one.change_address(f"127.0.0.1:{new.port}")
            starts = {(await new.asked.get())[0].split()[1] for _ in range(2)}
            assert starts == {LIST_PATH, f"{LIST_PATH}?watch=1&from=0"}
            while old.open:
                await asyncio.sleep(0)
            assert sink.lists.empty(), "nothing of the old address is taken"
            one.close()
            await one.wait_closed()

    run(main())


@pytest.mark.parametrize("meanwhile", [b"", b"\n"])
def test_a_long_list_counts_from_when_it_came_not_from_the_one_before(meanwhile: bytes) -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            one = source(agent, sink, pushed=True, silent_s=60.0, answer_s=60.0)
            one.background.slice_s = 0.0  # a step a turn
            _, watch = await agent.asked.get()
            begin_response(watch)
            entries = [entry(f"s-{n}") for n in range(1_000)]
            push(watch, 42, True, *entries)
            while not one.is_applying_list:
                await asyncio.sleep(0)
            if meanwhile:
                push_raw(watch, meanwhile)
            assert (await sink.lists.get())[0] == -1
            while one.is_applying_list:
                await asyncio.sleep(0)
            before = sink.now()
            push(watch, 43, True, *entries)
            assert (await sink.lists.get())[0] == -1
            assert sink.received_at[0] <= before <= sink.received_at[1]
            one.close()
            await one.wait_closed()

    run(main())


def test_a_list_that_waits_for_a_long_one_counts_from_when_it_came() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            one = source(agent, sink, pushed=True, silent_s=60.0, answer_s=60.0)
            one.background.slice_s = 0.0
            _, watch = await agent.asked.get()
            begin_response(watch)
            raw = json.dumps(listing(43, *(entry(f"s-{n}") for n in range(1_000)), whole=True)).encode()
            push_raw(watch, json.dumps(listing(42, *(entry(f"s-{n}") for n in range(20_000)))).encode())
            push_raw(watch, raw[:100])
            stream = one.stream
            assert stream is not None
            while stream.paused_at is None:
                await asyncio.sleep(0)
            paused_at = stream.paused_at
            assert (await sink.lists.get())[0] == -1
            while one.is_applying_list:
                await asyncio.sleep(0)
            push_raw(watch, raw[100:])
            assert (await sink.lists.get())[0] == -1
            assert sink.received_at[1] == paused_at
            one.close()
            await one.wait_closed()

    run(main())


def test_a_long_list_that_is_read_as_discovery_moves_is_not_taken() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as old, Agent() as new:
            one = source(old, sink, pushed=True, silent_s=60.0, answer_s=60.0)
            one.background.slice_s = 0.0  # a step a turn
            _, watch = await old.asked.get()
            begin_response(watch)
            push(watch, 90, True, *(entry(f"s-{n}") for n in range(3_000)))
            while not one.is_applying_list:
                await asyncio.sleep(0)
            one.change_address(f"127.0.0.1:{new.port}")
            _, watch = await new.asked.get()
            begin_response(watch)
            push(watch, 3, True, entry("t-0"))
            assert await sink.lists.get() == (3, ["t-0"]) and one.generation == 3
            one.close()
            await one.wait_closed()

    run(main())


def test_changes_missed_in_a_silence_are_told_by_the_next_answer() -> None:
    """Six in ten endpoints are replaced while the watch is silent."""

    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            one = source(agent, sink, pushed=True)
            _, watch = await agent.asked.get()
            begin_response(watch)
            push(watch, 42, True, *(entry(f"s-{n}") for n in range(10)))
            await sink.lists.get()
            start, watch = await agent.asked.get()  # nothing came, not even an empty line
            assert "from=42 " in start
            begin_response(watch)
            gone = [entry(f"s-{n}", "gone") for n in range(6)]
            push(watch, 48, False, *gone, *(entry(f"t-{n}") for n in range(6)))
            version, names = await sink.lists.get()
            assert version == 48 and len(names) == 12
            one.close()
            await one.wait_closed()

    run(main())


def test_empty_lines_keep_a_watch_open() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            one = source(agent, sink, pushed=True, silent_s=60.0, answer_s=60.0)
            _, watch = await agent.asked.get()
            begin_response(watch)
            stream = one.stream
            assert stream is not None
            push_raw(watch, b"\n")
            while not stream.has_head:
                await asyncio.sleep(0)
            stream.last_progress_at = 0.0
            push_raw(watch, b"\n")
            while stream.last_progress_at == 0.0:
                await asyncio.sleep(0)
            push_raw(watch, b"{")  # but once an object has begun they say nothing
            push_raw(watch, b"\n")
            while not stream.decoder.has_partial_object:
                await asyncio.sleep(0)
            assert one.stream is stream
            one.close()
            await one.wait_closed()

    run(main())
