"""One version after the other: what the processes say, the files they meet by, and what callers
see of upgrades under load, with either process killed at each step."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import socket
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest
from laurelstep.hot_restart import predecessor, successor
from laurelstep.hot_restart.messages import (
    HELLO,
    MAX_HEADER_BYTES,
    MAX_STATE_BYTES,
    READY,
    HotRestartError,
    decode_header,
    decode_state,
    encode_header,
    encode_state,
    is_hello,
)
from laurelstep.hot_restart.predecessor import HotRestartServer
from laurelstep.hot_restart.rendezvous import RendezvousPoint
from laurelstep.hot_restart.stages import (
    SHARED_FRACTION,
    HotRestartEvent,
    HotRestartProgress,
    HotRestartStage,
)
from laurelstep.hot_restart.state import config_with_state
from laurelstep.hot_restart.successor import take_over
from laurelstep.settings import config_from
from laurelstep.subsystems.hot_restart import check_address_free, prepare_hot_restart
from laurelstep.testing import Effects, push

from tests.sockets import (
    SETTINGS,
    TEST_TIMEOUT_S,
    Endpoint,
    Message,
    Registry,
    Writer,
    answer,
    free_port,
    request,
    run,
    start_daemon,
    write_config,
)
from tests.upgrades import Deployment, Load, Version, kill

# --- What is said -----------------------------------------------------------------------


def test_what_one_writes_the_other_reads() -> None:
    raw = encode_state({"known": b'{"generation":1}', "discovery": b'"127.0.0.1:1"'})
    assert decode_header(encode_header(len(raw))) == len(raw) and is_hello(HELLO)
    assert decode_state(raw) == {"known": {"generation": 1}, "discovery": "127.0.0.1:1"}


@pytest.mark.parametrize(
    "line",
    [
        b"\n", b"nonsense\n", b"[]\n", b"{}\n", b'{"v": 2, "size": 1}\n', b'{"v": 1, "size": -1}\n',
        b'{"v": 1, "size": true}\n', b'{"v": 1, "size": "1"}\n', b"[" * 200 + b"\n",
        b'{"v": 1, "size": %d}\n' % (MAX_STATE_BYTES + 1),
    ],
)  # fmt: skip
def test_a_head_that_is_spoilt_foreign_or_of_the_future_is_refused(line: bytes) -> None:
    with pytest.raises(HotRestartError):
        decode_header(line)


@pytest.mark.parametrize("raw", [b"", b"[]", b"{", b"\xff", b"[" * 100_000])
def test_a_state_that_is_spoilt_is_refused(raw: bytes) -> None:
    with pytest.raises(HotRestartError):
        decode_state(raw)


def test_a_state_that_is_too_long_stays_behind() -> None:
    assert encode_state({"known": b'"%b"' % (b"x" * MAX_STATE_BYTES)}) == b"{}"


def test_each_event_has_one_stated_result_at_each_stage() -> None:
    moves = {
        (HotRestartEvent.HELLO, HotRestartStage.ALONE): HotRestartStage.OFFERED,
        (HotRestartEvent.READY, HotRestartStage.OFFERED): HotRestartStage.TAKEN_OVER,
        (HotRestartEvent.DISCONNECTED, HotRestartStage.OFFERED): HotRestartStage.ALONE,
        (HotRestartEvent.DISCONNECTED, HotRestartStage.TAKEN_OVER): HotRestartStage.ALONE,
    }
    for stage in HotRestartStage:
        for event in HotRestartEvent:
            one = HotRestartProgress()
            one.stage = stage
            assert one.handle(event) is ((event, stage) in moves)
            assert one.stage == moves.get((event, stage), stage)
            assert one.is_taken_over == (one.stage == HotRestartStage.TAKEN_OVER)
            assert one.resource_fraction == (1.0 if one.stage == HotRestartStage.ALONE else SHARED_FRACTION)


LIST = {"generation": 7, "reset": True, "instances": []}


@pytest.mark.parametrize(
    ("known", "discovery", "expected"),
    [
        (LIST, "127.0.0.1:1", 7),
        ({**LIST, "generation": 3}, "127.0.0.1:1", 5),  # older than what the platform told
        (LIST, "127.0.0.1:2", 0),  # another source's versions say nothing
        (None, "127.0.0.1:1", 5),
        ({**LIST, "generation": "7"}, "127.0.0.1:1", 5),
        ({**LIST, "instances": 7}, "127.0.0.1:1", 5),
    ],
)
def test_the_newer_list_is_used(known: Any, discovery: str, expected: int) -> None:
    raw = {"settings": SETTINGS, "discovery": "127.0.0.1:1", "known": {**LIST, "generation": 5}}
    found = config_with_state(config_from(raw, "test"), {"known": known, "discovery": discovery})
    assert found.known is not None and found.known["generation"] == expected


# --- Where they meet --------------------------------------------------------------------

ADDRESS = ("127.0.0.1", 7070)


def test_a_lock_tells_who_is_alive_and_goes_with_its_process(tmp_path: Path) -> None:
    first, second = RendezvousPoint(ADDRESS, str(tmp_path)), RendezvousPoint(ADDRESS, str(tmp_path))
    other = RendezvousPoint(("127.0.0.1", 7071), str(tmp_path))
    assert not first.register() and second.register() and not other.register()
    first.leave()
    third = RendezvousPoint(ADDRESS, str(tmp_path))
    assert third.register(), "the second is still there"
    second.leave()
    third.leave()
    assert not RendezvousPoint(ADDRESS, str(tmp_path)).register()


def test_a_stale_socket_file_is_nobody_and_is_replaced(tmp_path: Path) -> None:
    rendezvous = RendezvousPoint(ADDRESS, str(tmp_path))
    gone = rendezvous.listen()
    gone.close()
    with pytest.raises(ConnectionRefusedError):
        rendezvous.connect(1.0)
    door = rendezvous.listen()
    rendezvous.connect(1.0).close()
    newer = RendezvousPoint(ADDRESS, str(tmp_path))
    newer_door = newer.listen()
    rendezvous.leave()
    newer.connect(1.0).close()
    newer.leave()
    assert [path.suffix for path in tmp_path.iterdir()] == [".lock"]
    door.close()
    newer_door.close()


def test_a_folder_with_a_long_name_is_no_hindrance(tmp_path: Path) -> None:
    folder = tmp_path / ("x" * 200)
    folder.mkdir()
    rendezvous = RendezvousPoint(ADDRESS, str(folder))
    door = rendezvous.listen()
    rendezvous.connect(1.0).close()
    door.close()
    rendezvous.leave()


def test_a_folder_that_can_not_be_used_is_done_without(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    raw = {"settings": SETTINGS, "listen": "127.0.0.1:7070", "management": "127.0.0.1:7071"}
    environ = {"TMPDIR": str(tmp_path / "nowhere")}
    assert prepare_hot_restart(config_from(raw, "test"), environ) is None
    assert capfd.readouterr().err.count("no hot restart") == 1
    assert (
        prepare_hot_restart(config_from({**raw, "management": None}, "test"), {"TMPDIR": str(tmp_path)})
        is None
    )


class Peer:
    """A process that serves, as far as the one that comes can tell."""

    def __init__(self, rendezvous: RendezvousPoint, *parts: bytes, fds: list[int] | None = None) -> None:
        self.door = rendezvous.listen()
        self.door.setblocking(True)
        self.parts = parts
        self.fds = fds or []
        self.thread = threading.Thread(target=self._serve)
        self.thread.start()

    def _serve(self) -> None:
        one, _ = self.door.accept()
        with one:
            one.recv(100)
            for at, part in enumerate(self.parts):
                socket.send_fds(one, [part], self.fds if at == 0 else [])
            if not self.parts:
                one.recv(1)  # silent, until the other gives up

    def close(self) -> None:
        self.thread.join()
        self.door.close()


@pytest.fixture
def rendezvous(tmp_path: Path) -> Iterator[RendezvousPoint]:
    one = RendezvousPoint(ADDRESS, str(tmp_path))
    yield one
    one.leave()


def listener() -> socket.socket:
    return socket.create_server(("127.0.0.1", 0))


@pytest.mark.parametrize(
    ("parts", "what", "problem"),
    [
        ([b'{"v": 2, "size": 2}\n', b"{}"], "listener", "version 2"),
        ([b"x" * (MAX_HEADER_BYTES + 1)], "listener", "too long"),
        ([encode_header(2)], "listener", "closed the connection"),
        ([b'{"v"'], "listener", "closed the connection"),
        ([encode_header(2), b"{}"], "none", "0 descriptors"),
        ([encode_header(2), b"{}"], "two", "2 descriptors"),
        ([encode_header(2), b"{}"], "bound", "not a listening socket"),
        ([encode_header(2), b"{}"], "other", "another address"),
        ([encode_header(2), b"[]"], "listener", "not a JSON object"),
        ([], "none", "too long|timed out"),
    ],
)
def test_what_is_no_hot_restart_is_refused_and_leaves_no_descriptor(
    rendezvous: RendezvousPoint, parts: list[bytes], what: str, problem: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(successor, "TAKEOVER_TIMEOUT_S", 0.2 if not parts else 5.0)
    with listener() as good, listener() as other, socket.socket() as bound:
        fds = {
            "listener": [good.fileno()], "none": [], "two": [good.fileno(), good.fileno()],
            "bound": [bound.fileno()], "other": [other.fileno()],
        }[what]  # fmt: skip
        peer = Peer(rendezvous, *parts, fds=fds)
        before = len(os.listdir("/proc/self/fd"))
        address = good.getsockname()
        with pytest.raises(HotRestartError, match=problem):
            take_over(rendezvous, address)
        peer.close()
        assert len(os.listdir("/proc/self/fd")) < before  # the door and its connection are closed


def test_nobody_at_the_rendezvous_is_no_hot_restart(rendezvous: RendezvousPoint) -> None:
    with pytest.raises(HotRestartError, match="FileNotFoundError"):
        take_over(rendezvous, ADDRESS)


def test_one_successor_at_a_time_and_alone_again_when_it_is_lost(rendezvous: RendezvousPoint) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        changed: list[HotRestartStage] = []
        with listener() as good:
            one = HotRestartServer(
                loop,
                rendezvous,
                good,
                lambda give: give({}),
                lambda: changed.append(one.progress.stage),
                print,
            )

            async def come() -> socket.socket:
                channel = rendezvous.connect(1.0)
                channel.setblocking(False)
                await loop.sock_sendall(channel, HELLO)
                return channel

            first = await come()
            assert await loop.sock_recv(first, 100)
            second = await come()
            assert await loop.sock_recv(second, 100) == b"", "one is there already"
            first.close()
            while one.progress.stage != HotRestartStage.ALONE:
                await asyncio.sleep(0)
            third = await come()
            assert await loop.sock_recv(third, 100)
            await loop.sock_sendall(third, READY)
            while not one.progress.is_taken_over:
                await asyncio.sleep(0)
            assert changed == [
                HotRestartStage.OFFERED,
                HotRestartStage.ALONE,
                HotRestartStage.OFFERED,
                HotRestartStage.TAKEN_OVER,
            ]
            one.close()
            assert await loop.sock_recv(third, 100) in (b"", b"{}")
            for channel in (second, third):
                channel.close()

    run(main())


@pytest.mark.parametrize(
    "said", [b"GET / HTTP/1.1\r\n", READY, b"x" * (MAX_HEADER_BYTES + 1), HELLO + HELLO, b""]
)
def test_one_that_says_something_else_is_cut(
    rendezvous: RendezvousPoint, said: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(predecessor, "HELLO_TIMEOUT_S", 0.0 if not said else 5.0)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        with listener() as good:
            one = HotRestartServer(loop, rendezvous, good, lambda give: None, lambda: None, print)
            channel = rendezvous.connect(1.0)
            channel.setblocking(False)
            await loop.sock_sendall(channel, said)
            with contextlib.suppress(ConnectionResetError):  # it had not read all of it
                assert await loop.sock_recv(channel, 100) == b""
            while one.connections:
                await asyncio.sleep(0)
            assert one.progress.stage == HotRestartStage.ALONE
            channel.close()
            one.close()

    run(main())


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_one_that_can_not_be_accepted_yet_is_met_after_a_pause(
    rendezvous: RendezvousPoint, error: int
) -> None:
    """The loop does not turn for nothing meanwhile, and a close in that pause is one."""

    class Short:
        def __init__(self, door: socket.socket) -> None:
            self.door = door
            self.left = 3

        def accept(self) -> tuple[socket.socket, Any]:
            if self.left:
                self.left -= 1
                raise OSError(error, os.strerror(error))
            return self.door.accept()

        def __getattr__(self, name: str) -> Any:
            return getattr(self.door, name)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        with listener() as good:
            one = HotRestartServer(loop, rendezvous, good, lambda give: give({}), lambda: None, print)
            assert one.rendezvous_socket is not None
            short = Short(one.rendezvous_socket)
            one.rendezvous_socket = cast(socket.socket, short)
            channel = rendezvous.connect(1.0)
            channel.setblocking(False)
            await loop.sock_sendall(channel, HELLO)
            while one.accept_pause is None:
                await asyncio.sleep(0)
            assert short.left == 2 and not loop.remove_reader(short.fileno())
            assert await loop.sock_recv(channel, 100)
            assert not short.left
            channel.close()
            while one.connections:
                await asyncio.sleep(0)
            short.left = 1
            late = rendezvous.connect(1.0)
            while one.accept_pause is None:
                await asyncio.sleep(0)
            one.close()
            assert one.accept_pause is None
            late.close()

    run(main())


# --- Processes --------------------------------------------------------------------------

# For requests that are open while a process starts: on a busy machine that takes longer than their 4 s.
LONG_MS = 60_000
LONG = {**SETTINGS, "classes": [{**one, "deadline-us": LONG_MS * 1000} for one in SETTINGS["classes"]]}


def test_twenty_upgrades_under_load_lose_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        effects = Effects()
        async with Deployment(tmp_path, *(Endpoint(effects=effects) for _ in range(3))) as deployment:
            version = await deployment.start_ready()
            load = Load(deployment.port)
            for _ in range(20):
                newer = await deployment.start_ready()
                assert await version.stop() == b""
                version = newer
            met = await load.stop()
            assert await version.stop() == b""
        assert set(met) <= {"200", "crossed"} and met["200"] > 200, met
        assert met["crossed"] <= 5, met
        assert not [rid for rid in effects.executed_twice() if int(rid[1:]) % 3 != 0]
        assert [path.suffix for path in tmp_path.iterdir() if path.suffix != ".json"] == [".lock"]

    run(main())


def test_what_is_open_in_the_old_process_is_answered_by_it(tmp_path: Path) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if message.headers["x-request-id"].startswith("slow"):
                await release.wait()
            endpoint.effects.execute(message)
            writer.write(answer())

        endpoint = Endpoint(slow)
        async with Deployment(tmp_path, endpoint, settings=LONG) as deployment:
            old = await deployment.start_ready()
            open_ones = [
                asyncio.create_task(deployment.send(raw))
                for raw in (
                    request("pay", b"order", rid="slow-pay", deadline_ms=LONG_MS),
                    request("put", b"x" * 60_000, rid="slow-put", deadline_ms=LONG_MS),
                    request(rid="slow-page", deadline_ms=LONG_MS),
                )
            ]
            for _ in open_ones:
                await endpoint.arrived.acquire()
            new = await deployment.start_ready()
            stopping = asyncio.create_task(old.stop())
            assert (await deployment.send(request(rid="new"))).body == b"ok"
            release.set()
            for back in await asyncio.gather(*open_ones):
                assert back.status == 200 and back.headers["connection"] == "close"
            assert await stopping == b""
            await new.stop()
        assert not endpoint.effects.executed_twice() and sum(endpoint.effects.by_id.values()) == 4

    run(main())


async def tell(registry: Registry, *endpoints: Endpoint) -> None:
    """The second list, by each watch: one that has been silent for 3 s is opened anew."""
    while True:
        _, writer = await registry.watches.get()
        if not writer.is_closing():
            push(writer, 2, True, *(one.entry("s-2") for one in endpoints))


def test_the_new_process_has_the_list_that_the_old_one_was_told(tmp_path: Path) -> None:
    """A drain that was told, and a change since the configuration was written."""

    async def main() -> None:
        first = Endpoint()
        async with Endpoint() as second, Deployment(tmp_path, first) as deployment:
            old = await deployment.start_ready()
            async with asyncio.TaskGroup() as tasks:
                telling = tasks.create_task(tell(deployment.registry, second))
                while not second.requests:  # until it was told
                    await deployment.send(request(rid=os.urandom(4).hex()))
                telling.cancel()
            while not deployment.registry.watches.empty():
                deployment.registry.watches.get_nowait()
            new = await deployment.start_ready()
            target, _ = await deployment.registry.watches.get()
            assert "from=2" in target, "it goes on from there"
            count = len(first.requests)
            await old.stop()
            await deployment.send(request(rid="a"))
            assert len(first.requests) == count
            await new.stop()

    run(main())


@pytest.mark.parametrize("step", ["starting", "ready", "stopping"])
def test_the_new_process_goes_on_when_the_old_one_is_killed(tmp_path: Path, step: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with Deployment(tmp_path, endpoint) as deployment:
            old = await deployment.start_ready()
            if step == "starting":
                new = await deployment.start()
                kill(old)
                await old.process.wait()
                await new.wait_ready()
            else:
                new = await deployment.start_ready()
                if step == "stopping":
                    old.process.terminate()
                kill(old)
                await old.process.wait()
            for n in range(20):
                assert (await deployment.send(request(rid=f"r{n}"))).body == b"ok"
            newer = await deployment.start_ready()
            await new.stop()
            assert (await deployment.send(request(rid="last"))).body == b"ok"
            await newer.stop()

    run(main())


@pytest.mark.parametrize("step", ["starting", "offered", "ready"])
def test_the_old_process_goes_on_when_the_new_one_dies(tmp_path: Path, step: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with Deployment(tmp_path, endpoint) as deployment:
            old = await deployment.start_ready()
            if step == "offered":
                rendezvous = RendezvousPoint(("127.0.0.1", deployment.port), str(tmp_path))
                taken = await asyncio.to_thread(take_over, rendezvous, ("127.0.0.1", deployment.port))
                taken.listener.close()
                taken.channel.close()
                os.close(rendezvous._lock)
            else:
                new = await (deployment.start_ready() if step == "ready" else deployment.start())
                kill(new)
                await new.process.wait()
            for n in range(20):
                assert (await deployment.send(request(rid=f"r{n}"))).body == b"ok"
            # Alone again: a stop still waits for late callers, and a next version comes as ever.
            newer = await deployment.start_ready()
            await old.stop()
            assert (await deployment.send(request(rid="last"))).body == b"ok"
            await newer.stop()

    run(main())


def test_where_the_door_is_shut_the_address_is_shared(tmp_path: Path) -> None:
    """The older process lives and does not answer at its socket: SO_REUSEPORT."""

    async def main() -> None:
        endpoint = Endpoint()
        async with Deployment(tmp_path, endpoint) as deployment:
            old = await deployment.start_ready()
            (door,) = tmp_path.glob("*.sock")
            door.unlink()
            new = await deployment.start_ready()
            await old.stop()
            assert (await deployment.send(request(rid="a"))).body == b"ok"
            errors = await new.stop()
            assert errors.count(b"\n") == 1 and b"the address is shared" in errors

    run(main())


def test_an_address_in_use_by_no_predecessor_is_one_line_and_status_2(tmp_path: Path) -> None:
    async def main() -> None:
        first, second = tmp_path / "1", tmp_path / "2"
        first.mkdir()
        second.mkdir()
        async with Deployment(first) as deployment:
            old = await deployment.start_ready()
            other = await deployment.start(TMPDIR=str(second))
            _, errors = await other.process.communicate()
            assert other.process.returncode == 2
            assert errors.count(b"\n") == 1 and b"can't listen" in errors
            await old.stop()

    run(main())


def test_a_free_address_is_free_and_one_in_use_is_not() -> None:
    check_address_free("127.0.0.1", free_port())
    check_address_free("127.0.0.1", 0)
    with listener() as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        with pytest.raises(OSError, match="in use"):
            check_address_free(*one.getsockname())


def test_without_a_second_address_nothing_is_put_into_the_folder(tmp_path: Path) -> None:
    async def main() -> None:
        registry = Registry()
        async with await registry.start(), asyncio.timeout(TEST_TIMEOUT_S):
            told = {**write_config(tmp_path, registry), "TMPDIR": str(tmp_path)}
            process = await start_daemon({**told, "LB_LISTEN": f"127.0.0.1:{free_port()}"})
            await registry.watches.get()
            assert [path.name for path in tmp_path.iterdir()] == ["config.json"]
            process.terminate()
            await process.wait()

    run(main())


def test_evacuate_and_rejoin_while_two_versions_are_up(tmp_path: Path) -> None:
    """Each speaks for itself: the old one's drain does not send the new one's callers away."""

    async def main() -> None:
        endpoint = Endpoint()
        async with Deployment(tmp_path, endpoint) as deployment:
            old = await deployment.start_ready()
            new = await deployment.start_ready()
            assert await old.call("POST /api/evacuate") == 200
            assert await old.call("GET /api/ready") == 503 and await new.call("GET /api/ready") == 200
            assert await old.call("POST /api/rejoin") == 200
            await stop_both(old, new)

    async def stop_both(old: Version, new: Version) -> None:
        assert await old.stop() == b"" and await new.stop() == b""

    run(main())


def test_two_versions_together_keep_to_one_limit() -> None:
    raw = {"settings": SETTINGS, "limits": {"sockets": 384}, "management": "127.0.0.1:1"}
    found = config_from(json.loads(json.dumps(raw)), "test")
    assert (
        2 * 2 * found.max_shared_side_connections < 384
        and found.max_shared_side_connections < found.max_side_connections
    )


def test_descriptors_that_are_used_up_hinder_no_upgrade(tmp_path: Path) -> None:
    """A crowd holds every place of the callers while the new version starts; both keep to their
    halves, and requests on new connections go on being served."""

    async def main() -> None:
        async with Deployment(tmp_path, Endpoint(), limits={"sockets": 128}) as deployment:
            old = await deployment.start_ready()
            crowd = [await asyncio.open_connection("127.0.0.1", deployment.port) for _ in range(200)]
            new = await deployment.start_ready()
            for n in range(30):
                crowd.append(await asyncio.open_connection("127.0.0.1", deployment.port))
                assert (await deployment.send(request(rid=f"r{n}"))).body == b"ok"
            held = sum(len(os.listdir(f"/proc/{one.process.pid}/fd")) for one in (old, new))
            assert held <= 128
            assert await old.stop() == b""
            assert (await deployment.send(request(rid="last"))).body == b"ok"
            for _, writer in crowd:
                writer.transport.abort()
            assert await new.stop() == b""

    run(main())
