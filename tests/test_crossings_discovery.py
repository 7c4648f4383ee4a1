"""The client of discovery under combined faults: repeated stalls, responses that trickle in, and responses
that end instead of sending the changes.

The tests check when the stand-in was asked, and when its changes arrived. Time is virtual, the sockets are
real."""

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
from tests.test_settings import platform_json, write_file

# A change counts as received this long after a stall began or a fault ended, s; it must arrive before.
LIMIT_S = 6.0
# Where lists are pushed, a change counts as received at once. It must arrive within the shortest drain
# grace, s.
MIN_DRAIN_GRACE_S = 0.25


class LongestJitter:
    """A random number generator that makes each pause the longest possible."""

    def random(self) -> float:
        return 1.0


Script = Callable[["ScriptedDiscovery", Writer], Awaitable[None]]


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass(eq=False)
class ScriptedDiscovery(Listener):
    """A discovery that answers each request by the next script, and all further ones by the last script."""

    scripts: list[Script]
    targets: list[str] = field(default_factory=list)
    asked_at: list[float] = field(default_factory=list)
    last_progress_at: float = 0.0  # when the last script sent data that counts as progress, s
    changes: list[dict[str, Any]] = field(default_factory=list)  # changes since generation 41

    async def __aenter__(self) -> Self:
        self.server = await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.asked_at.append(now())
        script = self.scripts[min(len(self.targets), len(self.scripts) - 1)]
        if script is reset:
            self.targets.append("")
            writer.transport.abort()
            return
        self.targets.append((await read_message(reader)).start_line.split()[1])
        task = asyncio.ensure_future(script(self, writer))
        try:
            await reader.read()
        except ConnectionError:
            pass
        finally:
            task.cancel()
            writer.close()


# Scripts


async def send_changes(server: ScriptedDiscovery, writer: Writer) -> None:
    """A valid watch: the changes, then a heartbeat every 2 s."""
    begin_response(writer)
    push(writer, 43, False, *server.changes)
    while True:
        server.last_progress_at = now()
        await asyncio.sleep(2.0)
        push_raw(writer, b"\n")


async def send_list_and_stall(server: ScriptedDiscovery, writer: Writer) -> None:
    begin_response(writer)
    push(writer, 42, True, entry("s-1"), entry("s-2"))
    server.last_progress_at = now()


async def stall(server: ScriptedDiscovery, writer: Writer) -> None:
    """Send nothing, not even a head."""


async def reset(server: ScriptedDiscovery, writer: Writer) -> None:
    """Reset the connection before the request is read; see `ScriptedDiscovery._serve`."""


async def send_head_only(server: ScriptedDiscovery, writer: Writer) -> None:
    begin_response(writer)


async def send_503(server: ScriptedDiscovery, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


async def end_at_once(server: ScriptedDiscovery, writer: Writer) -> None:
    begin_response(writer)
    writer.write(b"0\r\n\r\n")


async def send_half_an_object(server: ScriptedDiscovery, writer: Writer) -> None:
    begin_response(writer)
    push_raw(writer, json.dumps(listing(43, entry("s-1", "draining")), indent=1).encode()[:40])


async def trickle_head(server: ScriptedDiscovery, writer: Writer) -> None:
    """Send one byte of the head at a time."""
    for at in range(10_000):
        writer.write(b"HTTP/1.1 200 OK\r\nX: "[at : at + 1] or b"x")
        await asyncio.sleep(0.3)


async def trickle_spaces(server: ScriptedDiscovery, writer: Writer) -> None:
    """Send white space without line breaks."""
    begin_response(writer)
    while True:
        push_raw(writer, b" ")
        await asyncio.sleep(0.3)


async def trickle_object(server: ScriptedDiscovery, writer: Writer) -> None:
    begin_response(writer)
    push_raw(writer, b'{"generation":43,"reset":false,"instances":[')
    while True:
        push_raw(writer, b'{"instanceId":"s-9"},')
        await asyncio.sleep(0.3)


async def send_heartbeats_only(server: ScriptedDiscovery, writer: Writer) -> None:
    begin_response(writer)
    while True:
        push_raw(writer, b"\n")
        await asyncio.sleep(2.0)


async def send_slowly(server: ScriptedDiscovery, writer: Writer) -> None:
    begin_response(writer)
    raw = json.dumps(listing(43, *(entry(f"s-{n}") for n in range(500)), is_full=True), indent=2).encode()
    for at in range(0, len(raw), 4096):
        push_raw(writer, raw[at : at + 4096])
        await asyncio.sleep(0.5)


# Stalls, and faults instead of a change


def discovery(agent: ScriptedDiscovery, sink: Sink, is_pushed: bool, generation: int = 41) -> Discovery:
    """A client with its real time-outs, and with the longest of each random pause."""
    loop = asyncio.get_running_loop()
    client = Discovery(loop, f"127.0.0.1:{agent.port}", LIST_PATH, is_pushed, print)
    client.rng = LongestJitter()  # type: ignore[assignment]
    client.start(sink, generation)
    if not is_pushed:
        client.watch(True)
    return client


async def delay_after_stall(is_pushed: bool, faults: list[Script]) -> float:
    """How long after a watch stalled a change arrived, s, if the requests in between fail by `faults`."""
    sink = Sink()
    async with ScriptedDiscovery([send_list_and_stall, *faults, send_changes]) as agent:
        client = discovery(agent, sink, is_pushed)
        assert (await sink.lists.get())[0] == 42
        stalled_at = agent.last_progress_at
        agent.changes = [entry("s-1", "draining")]
        assert await sink.lists.get() == (43, ["s-1"])
        found = now() - stalled_at
        assert len(agent.targets) == len(faults) + 2
        assert all("from=42" in target for target in agent.targets[1:] if target)
        client.close()
        await client.wait_closed()
    return found


FAULTS = [stall, reset, send_head_only, send_503, end_at_once, send_half_an_object, trickle_head]


@pytest.mark.parametrize("is_pushed", [True, False], ids=["pushed", "on-demand"])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_after_a_stall_and_a_failed_repetition_changes_arrive_in_time(fault: Script, is_pushed: bool) -> None:
    async def main() -> None:
        assert await delay_after_stall(is_pushed, [fault]) < LIMIT_S

    run_on_virtual_time(main())


@pytest.mark.parametrize("fault", [stall, reset, send_503, end_at_once], ids=lambda fault: fault.__name__)
def test_after_a_stall_an_agent_gets_a_fourth_request_in_time(fault: Script) -> None:
    async def main() -> None:
        assert await delay_after_stall(True, [fault, fault]) < LIMIT_S

    run_on_virtual_time(main())


@pytest.mark.parametrize("is_pushed", [True, False], ids=["pushed", "on-demand"])
@pytest.mark.parametrize("fault", [trickle_spaces, trickle_object], ids=lambda fault: fault.__name__)
def test_bytes_without_progress_do_not_keep_a_watch_open(fault: Script, is_pushed: bool) -> None:
    """Guards against a watch that stays open while its change never arrives."""

    async def main() -> None:
        assert await delay_after_stall(is_pushed, [fault]) < LIMIT_S

    run_on_virtual_time(main())


@pytest.mark.parametrize("is_pushed", [True, False], ids=["pushed", "on-demand"])
@pytest.mark.parametrize("fault", [reset, send_503, end_at_once], ids=lambda fault: fault.__name__)
def test_no_back_off_outlasts_the_recovery_of_discovery(fault: Script, is_pushed: bool) -> None:
    """After an outage of some seconds there is a change. A client whose request failed just before has to
    repeat it in time."""

    async def main() -> None:
        sink = Sink()
        async with ScriptedDiscovery([fault]) as agent:
            client = discovery(agent, sink, is_pushed)
            while now() < 9.0 or agent.asked_at[-1] < now() - 0.01:
                await asyncio.sleep(0.005)
            recovered_at = now()
            agent.changes = [entry("s-1", "draining")]
            agent.scripts = [send_changes]
            assert await sink.lists.get() == (43, ["s-1"])
            assert now() - recovered_at < (MIN_DRAIN_GRACE_S if is_pushed else LIMIT_S)
            client.close()
            await client.wait_closed()

    run_on_virtual_time(main())


def test_after_a_reset_and_a_stalled_request_changes_arrive_in_time() -> None:
    """On demand: a reset just before discovery recovers, and the first request after that stalls."""

    async def main() -> None:
        sink = Sink()
        async with ScriptedDiscovery([reset, stall, send_changes]) as agent:
            client = discovery(agent, sink, is_pushed=False)
            while not agent.targets:
                await asyncio.sleep(0.001)
            recovered_at = now()
            agent.changes = [entry("s-1", "draining")]
            assert await sink.lists.get() == (43, ["s-1"])
            assert now() - recovered_at < LIMIT_S
            client.close()
            await client.wait_closed()

    run_on_virtual_time(main())


def test_a_repeated_request_of_the_balancer_keeps_the_open_watch() -> None:
    """The balancer repeats its request after the back-off has opened a watch: no second watch is opened."""

    async def main() -> None:
        sink = Sink()
        async with ScriptedDiscovery([reset, send_changes]) as agent:
            client = discovery(agent, sink, is_pushed=False)
            await sink.failed.get()
            assert (await sink.lists.get())[0] == 43
            client.watch(True)
            await asyncio.sleep(5.0)
            assert len(agent.targets) == 2
            client.close()
            await client.wait_closed()

    run_on_virtual_time(main())


def test_heartbeats_do_not_replace_the_full_list() -> None:
    """Without a known generation the full list must arrive: a watch with heartbeats alone is repeated."""

    async def main() -> None:
        sink = Sink()
        async with ScriptedDiscovery([send_heartbeats_only, send_changes]) as agent:
            client = discovery(agent, sink, is_pushed=True, generation=0)
            assert (await sink.lists.get())[0] == 43
            assert now() < 1.0 + LIMIT_S and len(agent.targets) == 2
            await asyncio.sleep(20.0)
            assert len(agent.targets) == 2, "once the list is known, heartbeats keep the watch open"
            client.close()
            await client.wait_closed()

    run_on_virtual_time(main())


def test_a_long_list_that_arrives_slowly_is_applied() -> None:
    """The parts arrive over several seconds, each well under a second after the one before."""

    async def main() -> None:
        sink = Sink()
        async with ScriptedDiscovery([send_slowly]) as agent:
            client = discovery(agent, sink, is_pushed=True)
            version, names = await sink.lists.get()
            assert (version, len(names)) == (-1, 500) or (version, len(names)) == (43, 500)
            assert now() > 1.0 + LIMIT_S and len(agent.targets) == 1
            client.close()
            await client.wait_closed()

    run_on_virtual_time(main())


def test_a_discovery_that_restarts_its_generations_is_asked_for_the_full_list() -> None:
    """Its watch starts with changes of a lower generation, which do not apply to the known list."""

    async def send_changes_of_lower_generation(server: ScriptedDiscovery, writer: Writer) -> None:
        begin_response(writer)
        push(writer, 7, False, entry("s-1", "draining"))

    async def send_full_list(server: ScriptedDiscovery, writer: Writer) -> None:
        begin_response(writer)
        push(writer, 7, True, entry("s-2"))

    async def main() -> None:
        sink = Sink()
        async with ScriptedDiscovery([send_changes_of_lower_generation, send_full_list]) as agent:
            client = discovery(agent, sink, is_pushed=True)
            assert await sink.lists.get() == (7, ["s-2"])
            assert [target.rpartition("=")[2] for target in agent.targets] == ["41", "0"]
            client.close()
            await client.wait_closed()

    run_on_virtual_time(main())


FORMS = [
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n",
    b"HTTP/1.1 200\r\ntransfer-encoding:chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
]


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("head", FORMS)
def test_heads_and_chunks_in_any_valid_form(head: bytes, bytewise: bool) -> None:
    async def send_response(server: ScriptedDiscovery, writer: Writer) -> None:
        line = json.dumps(listing(43, entry("s-1")), indent=4).replace("\n", "\r\n").encode()
        raw = head + b"%X;name=value\r\n%b\r\n" % (len(line), line)
        for at in range(0, len(raw), 1 if bytewise else len(raw)):
            writer.write(raw[at : at + (1 if bytewise else len(raw))])
            await asyncio.sleep(0.0001)

    async def main() -> None:
        sink = Sink()
        async with ScriptedDiscovery([send_response]) as agent:
            client = discovery(agent, sink, is_pushed=True)
            assert await sink.lists.get() == (43, ["s-1"]) and len(agent.targets) == 1
            client.close()
            await client.wait_closed()

    run_on_virtual_time(main())


# Malformed entries

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
def test_a_malformed_entry_does_not_hide_a_drain_in_the_same_list(
    bad: Any, phase: str | None, steps: bool
) -> None:
    """A malformed entry does not affect the others. Its own endpoint gets no new requests, unless its
    lifecycle and address are well-formed."""

    async def main() -> None:
        engine_copy = Copy()
        log_lines: list[str] = []
        fill = [entry(f"f-{n}") for n in range(1_000)] if steps else []
        engine_copy.apply_at_once(True, [entry("s-bad"), entry("s-1"), *fill])
        async with ScriptedDiscovery([send_changes]) as agent:
            agent.changes = [bad, entry("s-1", "draining"), *fill]
            loop = asyncio.get_running_loop()
            client = Discovery(loop, f"127.0.0.1:{agent.port}", LIST_PATH, True, log_lines.append)
            client.start(engine_copy.engine, 41)
            while client.generation != 43:
                await asyncio.sleep(0.01)
            assert len(agent.targets) == 1
            client.close()
            await client.wait_closed()
        places = engine_copy.engine.endpoints.by_number
        assert places[endpoint_number("s-1")].withdrawn_at is not None
        assert (places[endpoint_number("s-bad")].withdrawn_at is not None) == (phase == "draining")
        assert len(log_lines) <= 1, "one log line, however many malformed entries there are"

    run_on_virtual_time(main())


@pytest.mark.parametrize(
    "known",
    [
        7, [], {}, {"generation": 1}, {"generation": None, "instances": []},
        {"generation": -1, "instances": []}, {"generation": 1, "instances": 5},
    ],
    ids=str,
)  # fmt: skip
def test_a_malformed_known_list_does_not_prevent_the_start(tmp_path: Path, known: Any) -> None:
    log_lines: list[str] = []
    environ = {"LB_CONFIG": write_file(tmp_path, platform_json(known=known), "config.json")}
    assert read_platform(environ, log=log_lines.append).known is None
    assert len(log_lines) == 1 and "known" in log_lines[0] and "\n" not in log_lines[0]


def test_the_well_formed_entries_of_a_known_list_are_used(tmp_path: Path) -> None:
    log_lines: list[str] = []
    known = {"generation": 7, "reset": True, "instances": [*(bad for bad, _ in BAD), entry("s-1")]}
    environ = {"LB_CONFIG": write_file(tmp_path, platform_json(known=known), "config.json")}
    found = read_platform(environ, log=log_lines.append)
    engine_copy = Copy()
    assert found.known is not None
    engine_copy.engine.on_list(7, True, found.known["instances"])
    assert endpoint_number("s-1") in engine_copy.engine.endpoints.by_number
    assert len(log_lines) == 1
