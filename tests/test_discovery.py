"""The client of discovery: splitting the stream into objects, and stalled watches and fetches."""

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

MAX_OBJECT_BYTES = 1 << 20


def entry(name: str, lifecycle: str = "ready") -> dict[str, Any]:
    return {"instanceId": name, "hostPort": "127.0.0.1:9", "lifecycle": lifecycle}


def listing(generation: int, *entries: dict[str, Any], is_full: bool = False) -> dict[str, Any]:
    return {"generation": generation, "reset": is_full, "instances": list(entries)}


# Objects in a stream


def take_all(decoder: JsonStreamDecoder) -> list[Any]:
    found = []
    while (raw := decoder.next_object()) is not None or decoder.has_more:
        if raw is not None:
            found.append(json.loads(raw))
    return found


TWO = (listing(1, entry('a "quoted\\" {name}')), listing(2, entry("b"), is_full=True))


@pytest.mark.parametrize("indent", [None, 2])
def test_objects_split_at_every_byte(indent: int | None) -> None:
    raw = "\n".join(json.dumps(one, indent=indent) for one in TWO).encode() + b"\n\n"
    for cut in range(len(raw) + 1):
        decoder = JsonStreamDecoder(MAX_OBJECT_BYTES)
        decoder.feed(raw[:cut])
        found = take_all(decoder)
        decoder.feed(raw[cut:])
        assert [*found, *take_all(decoder)] == list(TWO) and not decoder.has_partial_object


def test_two_objects_in_one_chunk_need_no_line_break_between_them() -> None:
    decoder = JsonStreamDecoder(MAX_OBJECT_BYTES)
    decoder.feed(b"".join(json.dumps(one).encode() for one in TWO))
    assert take_all(decoder) == list(TWO)


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
def test_any_objects_in_chunks_of_any_size(
    values: list[dict[str, Any]], indent: int, ascii_only: bool, sizes: list[int]
) -> None:
    raw = " \n".join(
        json.dumps(one, indent=indent or None, ensure_ascii=ascii_only) for one in values
    ).encode()
    decoder, found = JsonStreamDecoder(MAX_OBJECT_BYTES), []
    for size in sizes:
        decoder.feed(raw[:size])
        raw = raw[size:]
        found += take_all(decoder)
    decoder.feed(raw)
    assert found + take_all(decoder) == values


@pytest.mark.parametrize(
    "raw",
    [b"[1]", b"x", b"}", b'{"a": nope}', b"{not json", b'{"a": tru, ', b'{"a": Infinity}', b'{"a" \x00'],
)
def test_malformed_json_is_an_error_at_once(raw: bytes) -> None:
    decoder = JsonStreamDecoder(MAX_OBJECT_BYTES)
    decoder.feed(raw)
    with pytest.raises(ValueError):
        take_all(decoder)


@pytest.mark.parametrize("raw", [b'{"a": t', b'{"a": "x', b'{"a": "x\\', b'{"a": 1', b"{", b'{"a": nul'])
def test_an_incomplete_object_is_not_an_error(raw: bytes) -> None:
    decoder = JsonStreamDecoder(MAX_OBJECT_BYTES)
    decoder.feed(raw)
    assert take_all(decoder) == [] and decoder.has_partial_object


def test_the_buffer_is_bounded() -> None:
    endless = JsonStreamDecoder(1000)
    endless.feed(b'{"instances": [' + b"{}," * 400)
    deep = JsonStreamDecoder(MAX_OBJECT_BYTES)
    deep.feed(b'{"a":' * 100)
    long_string = JsonStreamDecoder(MAX_OBJECT_BYTES)
    long_string.feed(b'{"a": "' + b"x" * SCAN_BYTES)
    for decoder, match in ((endless, "more than 1000"), (deep, "deeper"), (long_string, "without a brace")):
        with pytest.raises(ValueError, match=match):
            take_all(decoder)


def test_one_call_scans_only_a_part_of_an_indented_list_of_10_000() -> None:
    value = listing(1, *(entry(f"s-{n}") for n in range(10_000)), is_full=True)
    decoder = JsonStreamDecoder(MAX_OBJECT_BYTES * 64)
    decoder.feed(json.dumps(value, indent=2).encode())
    call_count, found, before = 0, None, 0
    while found is None:
        found = decoder.next_object()
        call_count += 1
        if found is None:
            assert decoder.has_more and decoder.position - before <= 2 * SCAN_BYTES
            before = decoder.position
    assert json.loads(found) == value and call_count > 10


# Stalled watches and fetches


@dataclass(eq=False)
class Agent(Listener):
    """A discovery that the test answers: puts each request into `asked`, with its request line and writer."""

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
        await self.asked.put((message.start_line, writer))
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        self.open.discard(writer)
        writer.close()


@dataclass(eq=False)
class Sink:
    """Records the lists and failures that a source reports."""

    lists: asyncio.Queue[tuple[int, list[str]]] = field(default_factory=asyncio.Queue)
    failed: asyncio.Queue[None] = field(default_factory=asyncio.Queue)
    received_at: list[int] = field(default_factory=list)  # arrival times of long lists, µs

    def now(self) -> int:
        return int(asyncio.get_running_loop().time() * 1e6)

    def on_list(self, generation: int, is_full: bool, entries: Sequence[Any]) -> None:
        self.lists.put_nowait((generation, [one["instanceId"] for one in entries]))

    def apply_list_in_steps(self, is_full: bool, entries: list[Any], received_at: int) -> Iterator[None]:
        names = [one["instanceId"] for one in entries]
        self.received_at.append(received_at)
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
    agent: Agent, sink: Sink, is_pushed: bool, stall_timeout_s: float = 0.05, response_timeout_s: float = 0.05
) -> Discovery:
    """A discovery client with short time-outs; the real ones are covered by another test."""
    client = Discovery(asyncio.get_running_loop(), f"127.0.0.1:{agent.port}", LIST_PATH, is_pushed, print)
    client.stall_timeout_s, client.response_timeout_s, client.max_jitter_s = (
        stall_timeout_s,
        response_timeout_s,
        0.0,
    )
    client.start(sink, 41)
    return client


def test_the_time_outs_leave_time_for_further_requests_within_6_s() -> None:
    for response_timeout_s in (module.RESPONSE_TIMEOUT_S, module.RESPONSE_TIMEOUT_ON_DEMAND_S):
        assert module.STALL_TIMEOUT_S + module.MAX_JITTER_S + response_timeout_s < 6.0
    total_s = (
        module.STALL_TIMEOUT_S + module.RESPONSE_TIMEOUT_S + 2 * module.MAX_JITTER_S + module.RETRY_DELAY_S
    )
    assert total_s < 6.0, "an agent gets a third request"
    assert module.STALL_TIMEOUT_S > 2.0, "an empty line comes every 2 s"


@pytest.mark.parametrize("is_pushed", [True, False])
def test_a_watch_that_stalls_within_an_object_is_repeated_at_once(is_pushed: bool) -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            client = source(agent, sink, is_pushed)
            if not is_pushed:
                client.watch(True)
            _, watch = await agent.asked.get()
            begin_response(watch)
            push(watch, 42, False, entry("s-1"))
            assert await sink.lists.get() == (42, ["s-1"])
            push_raw(watch, json.dumps(listing(43, entry("s-2")), indent=1).encode()[:-9])
            push_raw(watch, b"\n")  # an empty line does not complete the object
            start, watch = await agent.asked.get()
            assert "from=42 " in start, "from the last generation that was applied completely"
            begin_response(watch)
            push(watch, 43, False, entry("s-2"))
            assert await sink.lists.get() == (43, ["s-2"])
            assert sink.failed.empty()
            client.close()
            await client.wait_closed()

    run(main())


@pytest.mark.parametrize("is_pushed", [True, False])
def test_a_fetch_without_a_response_is_repeated_and_then_reported(is_pushed: bool) -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            client = source(agent, sink, is_pushed)
            client.fetch()
            fetches = 0
            while fetches < (3 if is_pushed else 2):
                start, watch = await agent.asked.get()
                if "watch" in start:
                    begin_response(watch)
                else:
                    fetches += 1
            if not is_pushed:
                await sink.failed.get()  # the balancer decides when to fetch again
            client.close()
            await client.wait_closed()

    run(main())


@pytest.mark.parametrize("tail", [b"", b'{"instanceId": "s-1"'])
def test_a_fetch_that_stalls_within_its_list_is_repeated(tail: bytes) -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            client = source(agent, sink, is_pushed=False)
            client.fetch()
            _, first = await agent.asked.get()
            reply(first, b'{"generation": 50, "reset": true, "instances": [' + tail, declared=500)
            _, second = await agent.asked.get()
            reply(second, json.dumps(listing(50, entry("s-1"), is_full=True), indent=2).encode())
            assert await sink.lists.get() == (50, ["s-1"])
            client.close()
            await client.wait_closed()

    run(main())


@pytest.mark.parametrize("headers", [b"", b"Connection: close\r\n"])
def test_a_response_that_ends_within_its_list_is_reported_once(headers: bytes, logged: Logged) -> None:
    """Guards against waiting for more data on a connection that stays open after an incomplete list."""

    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            client = source(agent, sink, is_pushed=False, stall_timeout_s=60.0, response_timeout_s=60.0)
            client.log = log
            client.fetch()
            _, first = await agent.asked.get()
            reply(first, b'{"generation": 50, "reset": true, "instances": [', more=headers)
            await sink.failed.get()
            assert sink.lists.empty()
            client.close()
            await client.wait_closed()

    run(main())
    assert logged().count("bad line from discovery") == 1


def test_a_long_list_whose_connection_closes_after_it_is_applied() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            client = source(agent, sink, is_pushed=False, stall_timeout_s=60.0, response_timeout_s=60.0)
            client.fetch()
            _, first = await agent.asked.get()
            names = [f"s-{n}" for n in range(3_000)]
            raw = json.dumps(listing(50, *map(entry, names), is_full=True), indent=2).encode()
            reply(first, raw, more=b"Connection: close\r\n")
            first.close()
            version, told = await sink.lists.get()
            assert version == -1 and sorted(told) == sorted(names)
            while client.streams:
                await asyncio.sleep(0)
            assert sink.failed.empty() and client.generation == 50
            client.close()
            await client.wait_closed()

    run(main())


def test_a_fetched_list_older_than_the_watch_is_ignored() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            client = source(agent, sink, is_pushed=True, stall_timeout_s=60.0, response_timeout_s=60.0)
            _, watch = await agent.asked.get()
            client.fetch()
            _, fetch = await agent.asked.get()
            begin_response(watch)
            push(watch, 44, False, entry("s-1", "draining"))
            assert await sink.lists.get() == (44, ["s-1"])
            reply(fetch, json.dumps(listing(43, entry("s-1"), is_full=True)).encode())
            while len(client.streams) > 1:
                await asyncio.sleep(0)
            assert sink.lists.empty() and client.generation == 44
            push(watch, 1, True, entry("s-9"))  # a watch may start again with any generation
            assert await sink.lists.get() == (1, ["s-9"])
            client.close()
            await client.wait_closed()

    run(main())


def test_a_change_of_address_repeats_watch_and_fetch_there() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as old, Agent() as new:
            client = source(old, sink, is_pushed=True, stall_timeout_s=60.0, response_timeout_s=60.0)
            _, watch = await old.asked.get()
            client.fetch()
            _, fetch = await old.asked.get()
            begin_response(watch)
            push(watch, 90, True, entry("s-old"))
            reply(fetch, json.dumps(listing(91, entry("s-old"), is_full=True)).encode())
            client.change_address(f"127.0.0.1:{new.port}")
            starts = {(await new.asked.get())[0].split()[1] for _ in range(2)}
            assert starts == {LIST_PATH, f"{LIST_PATH}?watch=1&from=0"}
            while old.open:
                await asyncio.sleep(0)
            assert sink.lists.empty(), "no list of the old address is applied"
            client.close()
            await client.wait_closed()

    run(main())


@pytest.mark.parametrize("extra", [b"", b"\n"])
def test_a_long_list_is_dated_by_its_own_arrival(extra: bytes) -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            client = source(agent, sink, is_pushed=True, stall_timeout_s=60.0, response_timeout_s=60.0)
            client.background.slice_s = 0.0  # each step runs in its own iteration of the loop
            _, watch = await agent.asked.get()
            begin_response(watch)
            entries = [entry(f"s-{n}") for n in range(1_000)]
            push(watch, 42, True, *entries)
            while not client.is_applying_list:
                await asyncio.sleep(0)
            if extra:
                push_raw(watch, extra)
            assert (await sink.lists.get())[0] == -1
            while client.is_applying_list:
                await asyncio.sleep(0)
            before = sink.now()
            push(watch, 43, True, *entries)
            assert (await sink.lists.get())[0] == -1
            assert sink.received_at[0] <= before <= sink.received_at[1]
            client.close()
            await client.wait_closed()

    run(main())


def test_a_list_that_waits_for_a_long_one_is_dated_by_the_pause() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            client = source(agent, sink, is_pushed=True, stall_timeout_s=60.0, response_timeout_s=60.0)
            client.background.slice_s = 0.0
            _, watch = await agent.asked.get()
            begin_response(watch)
            raw = json.dumps(listing(43, *(entry(f"s-{n}") for n in range(1_000)), is_full=True)).encode()
            push_raw(watch, json.dumps(listing(42, *(entry(f"s-{n}") for n in range(20_000)))).encode())
            push_raw(watch, raw[:100])
            stream = client.stream
            assert stream is not None
            while stream.paused_at is None:
                await asyncio.sleep(0)
            paused_at = stream.paused_at
            assert (await sink.lists.get())[0] == -1
            while client.is_applying_list:
                await asyncio.sleep(0)
            push_raw(watch, raw[100:])
            assert (await sink.lists.get())[0] == -1
            assert sink.received_at[1] == paused_at
            client.close()
            await client.wait_closed()

    run(main())


def test_a_long_list_of_the_old_address_is_not_applied() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as old, Agent() as new:
            client = source(old, sink, is_pushed=True, stall_timeout_s=60.0, response_timeout_s=60.0)
            client.background.slice_s = 0.0  # each step runs in its own iteration of the loop
            _, watch = await old.asked.get()
            begin_response(watch)
            push(watch, 90, True, *(entry(f"s-{n}") for n in range(3_000)))
            while not client.is_applying_list:
                await asyncio.sleep(0)
            client.change_address(f"127.0.0.1:{new.port}")
            _, watch = await new.asked.get()
            begin_response(watch)
            push(watch, 3, True, entry("t-0"))
            assert await sink.lists.get() == (3, ["t-0"]) and client.generation == 3
            client.close()
            await client.wait_closed()

    run(main())


def test_changes_missed_during_a_stall_arrive_with_the_next_watch() -> None:
    """Six of ten endpoints are replaced while the watch is stalled."""

    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            client = source(agent, sink, is_pushed=True)
            _, watch = await agent.asked.get()
            begin_response(watch)
            push(watch, 42, True, *(entry(f"s-{n}") for n in range(10)))
            await sink.lists.get()
            start, watch = await agent.asked.get()  # nothing arrived, not even an empty line
            assert "from=42 " in start
            begin_response(watch)
            gone = [entry(f"s-{n}", "gone") for n in range(6)]
            push(watch, 48, False, *gone, *(entry(f"t-{n}") for n in range(6)))
            version, names = await sink.lists.get()
            assert version == 48 and len(names) == 12
            client.close()
            await client.wait_closed()

    run(main())


def test_empty_lines_keep_a_watch_open() -> None:
    async def main() -> None:
        sink = Sink()
        async with Agent() as agent:
            client = source(agent, sink, is_pushed=True, stall_timeout_s=60.0, response_timeout_s=60.0)
            _, watch = await agent.asked.get()
            begin_response(watch)
            stream = client.stream
            assert stream is not None
            push_raw(watch, b"\n")
            while not stream.has_head:
                await asyncio.sleep(0)
            stream.last_progress_at = 0.0
            push_raw(watch, b"\n")
            while stream.last_progress_at == 0.0:
                await asyncio.sleep(0)
            push_raw(watch, b"{")  # within an object empty lines do not count as progress
            push_raw(watch, b"\n")
            while not stream.decoder.has_partial_object:
                await asyncio.sleep(0)
            assert client.stream is stream
            client.close()
            await client.wait_closed()

    run(main())
