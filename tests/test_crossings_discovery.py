"""Lists at the instant in which something is owed: silence upon silence, trickled answers, and ends
in place of changes.

What holds is read off the stand-ins: when discovery was asked, and what it had told by then. Time is
made, the sockets are real."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

import pytest
from laurelstep.engine.endpoint_table import endpoint_number
from laurelstep.net.discovery import LIST_PATH, Discovery
from laurelstep.settings import read_platform
from laurelstep.testing import Listener, Reader, Writer, push, push_raw, read_message

from tests.event_loops import run_on_virtual_time
from tests.test_discovery import Sink, begin_response, entry, listing
from tests.test_listing import Copy
from tests.test_settings import file, platform

# What discovery has to tell counts as told this long after a silence began, or a fault ended, s.
TOLD_S = 6.0
# Where lists are pushed a change counts at once; the shortest grace of a drain is all there is, s.
GRACE_S = 0.25


class Highest:
    """Draws the longest pause each time."""

    def random(self) -> float:
        return 1.0


Script = Callable[["Scripted", Writer], Awaitable[None]]


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass(eq=False)
class Scripted(Listener):
    """Answers each call by the script that is next, and by the last one from then on."""

    scripts: list[Script]
    targets: list[str] = field(default_factory=list)
    asked_at: list[float] = field(default_factory=list)
    heard_at: float = 0.0  # when a watch last got a byte that counts
    has: list[dict[str, Any]] = field(default_factory=list)  # changes since version 41

    async def __aenter__(self) -> Self:
        self.server = await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.asked_at.append(now())
        script = self.scripts[min(len(self.targets), len(self.scripts) - 1)]
        if script is resets:
            self.targets.append("")
            writer.transport.abort()
            return
        self.targets.append((await read_message(reader)).start.split()[1])
        task = asyncio.ensure_future(script(self, writer))
        try:
            await reader.read()
        except ConnectionError:
            pass
        finally:
            task.cancel()
            writer.close()


# --- Scripts ----------------------------------------------------------------------------------


async def tells(one: Scripted, writer: Writer) -> None:
    """A watch in form: what changed, then an empty line every 2 s."""
    begin_response(writer)
    push(writer, 43, False, *one.has)
    while True:
        one.heard_at = now()
        await asyncio.sleep(2.0)
        push_raw(writer, b"\n")


async def tells_and_falls_silent(one: Scripted, writer: Writer) -> None:
    begin_response(writer)
    push(writer, 42, True, entry("s-1"), entry("s-2"))
    one.heard_at = now()


async def silent(one: Scripted, writer: Writer) -> None:
    """Not even a head."""


async def resets(one: Scripted, writer: Writer) -> None:
    """The connection is reset before anything is read."""


async def head_only(one: Scripted, writer: Writer) -> None:
    begin_response(writer)


async def unavailable(one: Scripted, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


async def ends_at_once(one: Scripted, writer: Writer) -> None:
    begin_response(writer)
    writer.write(b"0\r\n\r\n")


async def half_an_object(one: Scripted, writer: Writer) -> None:
    begin_response(writer)
    push_raw(writer, json.dumps(listing(43, entry("s-1", "draining")), indent=1).encode()[:40])


async def half_a_head(one: Scripted, writer: Writer) -> None:
    """A byte of it now and then."""
    for at in range(10_000):
        writer.write(b"HTTP/1.1 200 OK\r\nX: "[at : at + 1] or b"x")
        await asyncio.sleep(0.3)


async def spaces(one: Scripted, writer: Writer) -> None:
    """Bytes that end no line."""
    begin_response(writer)
    while True:
        push_raw(writer, b" ")
        await asyncio.sleep(0.3)


async def endless_object(one: Scripted, writer: Writer) -> None:
    begin_response(writer)
    push_raw(writer, b'{"generation":43,"reset":false,"instances":[')
    while True:
        push_raw(writer, b'{"instanceId":"s-9"},')
        await asyncio.sleep(0.3)


async def lines_only(one: Scripted, writer: Writer) -> None:
    begin_response(writer)
    while True:
        push_raw(writer, b"\n")
        await asyncio.sleep(2.0)


async def comes_slowly(one: Scripted, writer: Writer) -> None:
    begin_response(writer)
    raw = json.dumps(listing(43, *(entry(f"s-{n}") for n in range(500)), whole=True), indent=2).encode()
    for at in range(0, len(raw), 4096):
        push_raw(writer, raw[at : at + 4096])
        await asyncio.sleep(0.5)


# --- Silence, and what comes in place of a change -----------------------------------------------


def discovery(agent: Scripted, sink: Sink, pushed: bool, generation: int = 41) -> Discovery:
    """With the times of service, and the longest of each pause."""
    loop = asyncio.get_running_loop()
    one = Discovery(loop, f"127.0.0.1:{agent.port}", LIST_PATH, pushed, print)
    one.rng = Highest()  # type: ignore[assignment]
    one.start(sink, generation)
    if not pushed:
        one.watch(True)
    return one


async def told_after_silence(pushed: bool, faults: list[Script]) -> float:
    """How long after a watch fell silent a change was told, with such answers in between."""
    sink = Sink()
    async with Scripted([tells_and_falls_silent, *faults, tells]) as agent:
        one = discovery(agent, sink, pushed)
        assert (await sink.lists.get())[0] == 42
        fell_silent = agent.heard_at
        agent.has = [entry("s-1", "draining")]
        assert await sink.lists.get() == (43, ["s-1"])
        found = now() - fell_silent
        assert len(agent.targets) == len(faults) + 2
        assert all("from=42" in target for target in agent.targets[1:] if target)
        one.close()
        await one.wait_closed()
    return found


FAULTS = [silent, resets, head_only, unavailable, ends_at_once, half_an_object, half_a_head]


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda one: one.__name__)
def test_a_silent_watch_whose_renewal_fails_too_is_told_before_it_counts(fault: Script, pushed: bool) -> None:
    async def main() -> None:
        assert await told_after_silence(pushed, [fault]) < TOLD_S

    run_on_virtual_time(main())


@pytest.mark.parametrize("fault", [silent, resets, unavailable, ends_at_once], ids=lambda one: one.__name__)
def test_an_agent_is_asked_a_fourth_time_before_a_silence_counts(fault: Script) -> None:
    async def main() -> None:
        assert await told_after_silence(True, [fault, fault]) < TOLD_S

    run_on_virtual_time(main())


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@pytest.mark.parametrize("fault", [spaces, endless_object], ids=lambda one: one.__name__)
def test_bytes_that_are_no_progress_do_not_keep_a_watch_alive(fault: Script, pushed: bool) -> None:
    """The change would be owed for ever."""

    async def main() -> None:
        assert await told_after_silence(pushed, [fault]) < TOLD_S

    run_on_virtual_time(main())


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@pytest.mark.parametrize("fault", [resets, unavailable, ends_at_once], ids=lambda one: one.__name__)
def test_no_back_off_sleeps_past_the_return_of_discovery(fault: Script, pushed: bool) -> None:
    """An outage of some seconds, and a change at its end: whoever asked last just before has to ask
    again before the change counts."""

    async def main() -> None:
        sink = Sink()
        async with Scripted([fault]) as agent:
            one = discovery(agent, sink, pushed)
            while now() < 9.0 or agent.asked_at[-1] < now() - 0.01:
                await asyncio.sleep(0.005)
            back_at = now()
            agent.has = [entry("s-1", "draining")]
            agent.scripts = [tells]
            assert await sink.lists.get() == (43, ["s-1"])
            assert now() - back_at < (GRACE_S if pushed else TOLD_S)
            one.close()
            await one.wait_closed()

    run_on_virtual_time(main())


def test_a_call_that_was_given_up_and_one_more_end_before_a_change_counts() -> None:
    """Asked: a refusal just before discovery returns, and the first call after it gets no answer."""

    async def main() -> None:
        sink = Sink()
        async with Scripted([resets, silent, tells]) as agent:
            one = discovery(agent, sink, pushed=False)
            while not agent.targets:
                await asyncio.sleep(0.001)
            back_at = now()
            agent.has = [entry("s-1", "draining")]
            assert await sink.lists.get() == (43, ["s-1"])
            assert now() - back_at < TOLD_S
            one.close()
            await one.wait_closed()

    run_on_virtual_time(main())


def test_a_module_that_asks_again_does_not_end_a_watch_that_is_open() -> None:
    """Its own timer fires after the back-off here has opened one: one call, not two."""

    async def main() -> None:
        sink = Sink()
        async with Scripted([resets, tells]) as agent:
            one = discovery(agent, sink, pushed=False)
            await sink.failed.get()
            assert (await sink.lists.get())[0] == 43
            one.watch(True)
            await asyncio.sleep(5.0)
            assert len(agent.targets) == 2
            one.close()
            await one.wait_closed()

    run_on_virtual_time(main())


def test_empty_lines_are_no_whole_list() -> None:
    """From no version on the whole list is owed: a watch that only lives is asked for it again."""

    async def main() -> None:
        sink = Sink()
        async with Scripted([lines_only, tells]) as agent:
            one = discovery(agent, sink, pushed=True, generation=0)
            assert (await sink.lists.get())[0] == 43
            assert now() < 1.0 + TOLD_S and len(agent.targets) == 2
            await asyncio.sleep(20.0)
            assert len(agent.targets) == 2, "with the list known, empty lines do keep it open"
            one.close()
            await one.wait_closed()

    run_on_virtual_time(main())


def test_a_long_list_that_comes_slowly_is_waited_for() -> None:
    """In pieces over several seconds, each well under a second after the last."""

    async def main() -> None:
        sink = Sink()
        async with Scripted([comes_slowly]) as agent:
            one = discovery(agent, sink, pushed=True)
            version, names = await sink.lists.get()
            assert (version, len(names)) == (-1, 500) or (version, len(names)) == (43, 500)
            assert now() > 1.0 + TOLD_S and len(agent.targets) == 1
            one.close()
            await one.wait_closed()

    run_on_virtual_time(main())


def test_a_discovery_that_counts_anew_is_asked_for_its_whole_list() -> None:
    """It opens with changes of a lower version, where the list that is known is another's."""

    async def counts_anew(one: Scripted, writer: Writer) -> None:
        begin_response(writer)
        push(writer, 7, False, entry("s-1", "draining"))

    async def tells_all(one: Scripted, writer: Writer) -> None:
        begin_response(writer)
        push(writer, 7, True, entry("s-2"))

    async def main() -> None:
        sink = Sink()
        async with Scripted([counts_anew, tells_all]) as agent:
            one = discovery(agent, sink, pushed=True)
            assert await sink.lists.get() == (7, ["s-2"])
            assert [target.rpartition("=")[2] for target in agent.targets] == ["41", "0"]
            one.close()
            await one.wait_closed()

    run_on_virtual_time(main())


FORMS = [
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n",
    b"HTTP/1.1 200\r\ntransfer-encoding:chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
]


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("head", FORMS)
def test_heads_and_chunks_in_any_form(head: bytes, bytewise: bool) -> None:
    async def told(one: Scripted, writer: Writer) -> None:
        line = json.dumps(listing(43, entry("s-1")), indent=4).replace("\n", "\r\n").encode()
        raw = head + b"%X;name=value\r\n%b\r\n" % (len(line), line)
        for at in range(0, len(raw), 1 if bytewise else len(raw)):
            writer.write(raw[at : at + (1 if bytewise else len(raw))])
            await asyncio.sleep(0.0001)

    async def main() -> None:
        sink = Sink()
        async with Scripted([told]) as agent:
            one = discovery(agent, sink, pushed=True)
            assert await sink.lists.get() == (43, ["s-1"]) and len(agent.targets) == 1
            one.close()
            await one.wait_closed()

    run_on_virtual_time(main())


# --- Bad entries --------------------------------------------------------------------------------

BAD = [
    ({"instanceId": "s-bad", "hostPort": "127.0.0.1:9", "lifecycle": "terminating"}, "draining"),
    ({"instanceId": "s-bad", "hostPort": "nowhere", "lifecycle": "ready"}, "draining"),
    ({"instanceId": "s-bad", "hostPort": "127.0.0.1:9", "lifecycle": None}, "draining"),
    (entry("s-bad", "draining") | {"cell": None, "weight": "x", "startedAtMs": {}}, "draining"),
    (entry("s-bad") | {"zone": None, "cell": None, "weight": None, "startedAtMs": 5.5}, "ready"),
    (entry("s-bad") | {"zone": ["a"], "machineType": {}, "weight": "heavy", "cell": []}, "ready"),
    ({"hostPort": "127.0.0.1:9", "lifecycle": "ready"}, None),
    ({"instanceId": "s-\ud800", "hostPort": "127.0.0.1:9", "lifecycle": "ready"}, None),
    ("s-bad", None),
]


@pytest.mark.parametrize("steps", [False, True], ids=["short", "long"])
@pytest.mark.parametrize(("bad", "phase"), BAD)
def test_a_bad_entry_does_not_hide_the_drain_beside_it(bad: Any, phase: str | None, steps: bool) -> None:
    """What can't be read of one endpoint stops nothing of the others; it itself gets nothing new
    unless its state and address are clear."""

    async def main() -> None:
        copy = Copy()
        said: list[str] = []
        fill = [entry(f"f-{n}") for n in range(1_000)] if steps else []
        copy.at_once(True, [entry("s-bad"), entry("s-1"), *fill])
        async with Scripted([tells]) as agent:
            agent.has = [bad, entry("s-1", "draining"), *fill]
            loop = asyncio.get_running_loop()
            one = Discovery(loop, f"127.0.0.1:{agent.port}", LIST_PATH, True, said.append)
            one.start(copy.engine, 41)
            while one.generation != 43:
                await asyncio.sleep(0.01)
            assert len(agent.targets) == 1
            one.close()
            await one.wait_closed()
        places = copy.engine.endpoints.by_number
        assert places[endpoint_number("s-1")].withdrawn_at is not None
        assert (places[endpoint_number("s-bad")].withdrawn_at is not None) == (phase == "draining")
        assert len(said) <= 1, "one line, however many there are"

    run_on_virtual_time(main())


@pytest.mark.parametrize(
    "known",
    [
        7, [], {}, {"generation": 1}, {"generation": None, "instances": []},
        {"generation": -1, "instances": []}, {"generation": 1, "instances": 5},
    ],
    ids=str,
)  # fmt: skip
def test_a_known_list_that_can_not_be_read_does_not_end_the_start(tmp_path: Path, known: Any) -> None:
    said: list[str] = []
    environ = {"LB_CONFIG": file(tmp_path, platform(known=known), "config.json")}
    assert read_platform(environ, log=said.append).known is None
    assert len(said) == 1 and "known" in said[0] and "\n" not in said[0]


def test_of_a_known_list_the_good_entries_are_used(tmp_path: Path) -> None:
    said: list[str] = []
    known = {"generation": 7, "reset": True, "instances": [*(bad for bad, _ in BAD), entry("s-1")]}
    environ = {"LB_CONFIG": file(tmp_path, platform(known=known), "config.json")}
    found = read_platform(environ, log=said.append)
    copy = Copy()
    assert found.known is not None
    copy.engine.on_list(7, True, found.known["instances"])
    assert endpoint_number("s-1") in copy.engine.endpoints.by_number
    assert len(said) == 1
