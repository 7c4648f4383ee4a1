"""The formats shared by processes of different versions: the files and messages of a hot restart, and the
environment and channel of workers. Recorded with the code of 9af0195; they must not change."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any, cast

import pytest
from laurelstep.engine.static_members import StaticMembers
from laurelstep.hot_restart.messages import (
    HELLO,
    MAX_HEADER_BYTES,
    MAX_STATE_BYTES,
    READY,
    decode_header,
    encode_header,
    encode_state,
    is_hello,
)
from laurelstep.hot_restart.rendezvous import RendezvousPoint
from laurelstep.hot_restart.state import MAX_REPLICA_BYTES, collect_state, decode_replica, encode_replica
from laurelstep.settings import config_from
from laurelstep.workers.supervisor import LIST_REQUEST, NO_LIST, Supervisor, SupervisorSettings, WorkerProcess
from laurelstep.workers.worker import (
    MAX_LINE_BYTES,
    SLOT_VARIABLE,
    SupervisorChannel,
    WorkerSlot,
    join_supervisor,
    receive_endpoint_list,
    slot_from_environ,
)

from tests.sockets import SETTINGS, run


def test_the_messages_of_a_hot_restart() -> None:
    assert (HELLO, READY) == (b"laurelstep-handover 1\n", b"ready\n")
    assert is_hello(b"laurelstep-handover 1\n") and not is_hello(b"laurelstep-handover 2\n")
    assert (
        encode_header(812) == b'{"v": 1, "size": 812}\n' and decode_header(b'{"v": 1, "size": 812}\n') == 812
    )
    assert encode_state({"discovery": b'"h:1"', "known": b'{"generation":1}'}) == (
        b'{"discovery":"h:1","known":{"generation":1}}'
    )
    assert (MAX_HEADER_BYTES, MAX_STATE_BYTES, MAX_REPLICA_BYTES) == (256, 4_194_304, 1_048_576)


def test_the_state_of_a_hot_restart() -> None:
    config = config_from({"settings": SETTINGS, "discovery": "127.0.0.1:1"}, "test")
    assert collect_state(config, StaticMembers(), b'{"generation":1}') == {
        "discovery": b'"127.0.0.1:1"',
        "known": b'{"generation":1}',
    }
    memory = {b"a": b"b\xff", b"snapshot": b""}
    assert encode_replica(memory) == {"accord": b'{"YQ==":"Yv8=","c25hcHNob3Q=":""}'}
    assert decode_replica({"accord": {"YQ==": "Yv8=", "c25hcHNob3Q=": ""}}) == memory
    assert encode_replica({}) == {} and decode_replica({"accord": {"YQ==": "?"}}) is None


@pytest.mark.parametrize(
    ("host", "name"), [("127.0.0.1", "laurelstep-127.0.0.1-7070"), ("::1", "laurelstep-__1-7070")]
)
def test_the_files_of_a_hot_restart(tmp_path: Path, host: str, name: str) -> None:
    rendezvous = RendezvousPoint((host, 7070), str(tmp_path))
    with rendezvous.listen():
        assert {path.name for path in tmp_path.iterdir()} == {f"{name}.lock", f"{name}.sock"}
    rendezvous.leave()


def test_the_environment_of_a_worker() -> None:
    assert SLOT_VARIABLE == "LAURELSTEP_WORKER" and WorkerSlot(1, 3, 7).to_environ() == "1 3 7"
    assert (
        slot_from_environ({"LAURELSTEP_WORKER": "1 3 7"}) == WorkerSlot(1, 3, 7)
        and slot_from_environ({}) is None
    )


def test_the_lines_of_a_worker() -> None:
    async def main() -> None:
        supervisor_end, worker_end = socket.socketpair()
        with supervisor_end:
            supervisor_end.setblocking(False)
            loop = asyncio.get_running_loop()
            ended = asyncio.Event()
            await join_supervisor(loop, WorkerSlot(0, 1, worker_end.detach()), cast(Any, None), ended.set)
            assert await loop.sock_recv(supervisor_end, 100) == b'{"ready":true}\n'
        await ended.wait()

    run(main())
    lines: list[bytes] = []
    channel = SupervisorChannel(cast(Any, None), cast(Any, None), lambda: None)
    channel.send_line = lambda line: lines.append(line)  # type: ignore[method-assign]
    channel._send_endpoint_list([b'{"generation":1}'], None)
    channel._send_endpoint_list([], ValueError())
    assert lines == [b'{"known":{"generation":1}}\n', b'{"known":null}\n']


def test_the_lines_of_the_supervisor() -> None:
    lines: list[bytes] = []

    class Writer:
        def write(self, line: bytes) -> None:
            lines.append(line)

    async def main() -> None:
        supervisor = Supervisor(SupervisorSettings(1, 1, 1, 1), {})
        worker = WorkerProcess(cast(Any, None), asyncio.StreamReader())
        worker.writer = cast(Any, Writer())
        worker.is_ready = True
        supervisor.workers[1] = worker
        fetching = asyncio.create_task(supervisor._fetch_endpoint_list(0))
        while worker.list_answer is None:
            await asyncio.sleep(0)
        worker.list_answer.set_result(b'{"known":7}\n')
        assert await fetching == b'{"known":7}\n' and lines == [b'{"ask":"known"}\n']

    run(main())
    assert LIST_REQUEST == b'{"ask":"known"}\n'
    assert NO_LIST == b'{"known":null}\n' and MAX_LINE_BYTES == 134_217_728
    supervisor_end, worker_end = socket.socketpair()
    with supervisor_end, worker_end:
        supervisor_end.sendall(b'{"known":7}\n')
        assert receive_endpoint_list(worker_end.fileno()) == 7
