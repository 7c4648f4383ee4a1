"""A peer that reads slowly keeps its connection; one that reads nothing loses it. In both directions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

import pytest
from laurelstep.flow_control.buffer_budget import BufferBudget
from laurelstep.net.client_connection import ClientConnection
from laurelstep.net.deadline_sweeper import DeadlineSweeper
from laurelstep.net.endpoint_connection import EndpointConnection
from laurelstep.net.write_backlog import WriteBacklog, acknowledged_bytes

from tests.sockets import (
    Endpoint,
    Message,
    Reader,
    Sidecar,
    Writer,
    answer,
    read_message,
    request,
    run,
    sidecar,
)

LARGE = bytes(range(256)) * 64_000  # 16 MB, more than the kernel takes of one connection
# More than a peer has to take in the time between two checks, and less than makes a full socket writable.
STEP_BYTES = 400_000
PIECE_BYTES = 16 * 1024

T = TypeVar("T")


async def wait_until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0)


def expire(sweeper: DeadlineSweeper[T]) -> None:
    """Let the time-outs of a sweeper pass."""
    for item in sweeper.waiting_since:
        sweeper.waiting_since[item] -= sweeper.timeout_s
    sweeper.run()


async def expire_until(sweeper: DeadlineSweeper[T], holds: Callable[[], bool]) -> None:
    """Let one time-out after the other pass: the kernel may still take a little of what is written."""
    while not holds():
        expire(sweeper)
        await asyncio.sleep(0)


async def read_until_acknowledged(reader: Reader, peer: ClientConnection | EndpointConnection) -> bytes:
    """Read from a connection until `STEP_BYTES` are acknowledged to its peer since the peer's last check.

    The peer's socket may become writable meanwhile, which ends one wait; the next one counts anew.
    """
    assert peer.transport is not None
    received = b""
    while acknowledged_bytes(peer.transport) < peer.backlog.acknowledged_bytes + STEP_BYTES:
        received += await reader.read(PIECE_BYTES)
    return received


def encoded_answer(framing: str) -> bytes:
    if framing == "length":
        return answer(200, LARGE)
    return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LARGE


async def stalled_answer(proxy: Sidecar) -> tuple[Reader, Writer]:
    """A client with a large answer of which the kernel takes no more."""
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port, limit=PIECE_BYTES)
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    writer.write(request())
    await wait_until(lambda: bool(proxy.server.write_stalled.waiting_since))
    writer.transport.resume_reading()  # type: ignore[attr-defined]
    return reader, writer


@pytest.mark.parametrize("framing", ["length", "end"])
def test_an_answer_that_is_read_slowly_is_not_cut_off(framing: str) -> None:
    """Guards against a client that is reset while it reads at 64 kB a second: the event loop reports a full
    socket as writable only when a third of its send buffer is free.
    """

    async def main() -> None:
        async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(encoded_answer(framing))
            if framing == "end":
                writer.close()

        async with sidecar(Endpoint(handler)) as proxy:
            reader, writer = await stalled_answer(proxy)
            (client,) = proxy.server.connections
            assert client.transport is not None
            received = b""
            for _ in range(2):
                received += await read_until_acknowledged(reader, client)
                expire(proxy.server.write_stalled)
                assert not client.is_closing
            end = LARGE if framing == "length" else b"\r\n0\r\n\r\n"
            while not received.endswith(end):
                received += await reader.readexactly(1) + await reader.read(1 << 20)
            writer.close()

    run(main())


def test_a_closing_connection_waits_for_a_client_that_reads_slowly() -> None:
    """Guards against the same once the connection is being closed, as after SIGTERM."""

    async def main() -> None:
        may_end = asyncio.Event()

        async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(200, LARGE))

        async with sidecar(Endpoint(handler)) as proxy:
            reader, writer = await stalled_answer(proxy)
            (client,) = proxy.server.connections
            assert client.transport is not None
            proxy.server.stop(may_end.set)
            proxy.server.shutdown.stop_listening()
            await read_until_acknowledged(reader, client)
            expire(proxy.server.write_stalled)
            assert not client.transport.is_closing()
            while await reader.read(1 << 20):
                pass
            writer.close()
            await may_end.wait()

    run(main())


def test_an_answer_that_is_not_read_any_more_is_cut_off() -> None:
    async def main() -> None:
        async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(200, LARGE))

        async with sidecar(Endpoint(handler)) as proxy:
            reader, writer = await stalled_answer(proxy)
            (client,) = proxy.server.connections
            assert client.transport is not None
            await read_until_acknowledged(reader, client)
            expire(proxy.server.write_stalled)
            assert proxy.server.connections
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await expire_until(proxy.server.write_stalled, lambda: not proxy.server.connections)
            writer.transport.abort()

    run(main())


class GatedEndpoint(Endpoint):
    """An endpoint whose connections are read by the test until `may_serve` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.may_serve = asyncio.Event()
        self.accepted: asyncio.Queue[Reader] = asyncio.Queue()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.open_connections.add(writer)
        self.accepted.put_nowait(reader)
        await self.may_serve.wait()


@pytest.mark.parametrize("reads", [True, False])
def test_an_upload_is_given_up_only_if_its_endpoint_reads_nothing(reads: bool) -> None:
    """Guards against an upload that is refused while its endpoint reads it at 64 kB a second."""

    async def main() -> None:
        endpoint = GatedEndpoint()
        async with sidecar(endpoint) as proxy:
            reader, writer = await proxy.connect()
            head = request("pay").replace(b"Content-Length: 0", b"Content-Length: %d" % len(LARGE))
            writer.write(head + LARGE)
            await wait_until(lambda: bool(proxy.upstream.write_stalled.waiting_since))
            (link,) = proxy.upstream.connections
            assert link.transport is not None
            endpoint_reader = await endpoint.accepted.get()
            await read_until_acknowledged(endpoint_reader, link)
            expire(proxy.upstream.write_stalled)
            assert not link.transport.is_closing()
            (endpoint_writer,) = endpoint.open_connections
            if reads:
                await read_until_acknowledged(endpoint_reader, link)
                expire(proxy.upstream.write_stalled)
                assert not link.transport.is_closing()
            else:
                endpoint_writer.transport.pause_reading()  # type: ignore[attr-defined]
                await expire_until(proxy.upstream.write_stalled, link.transport.is_closing)
                assert (await read_message(reader)).status == 503
            writer.transport.abort()
            await wait_until(lambda: not proxy.server.connections)
            endpoint_writer.transport.abort()
            endpoint.may_serve.set()

    run(main())


def test_progress_that_is_not_known_is_no_progress() -> None:
    class UnknownSocket:
        def getsockopt(self, *arguments: int) -> bytes:
            raise OSError

    class Transport(asyncio.WriteTransport):
        def get_extra_info(self, name: str, default: object = None) -> object:
            return UnknownSocket()

    async def main() -> None:
        sweeper: DeadlineSweeper[object] = DeadlineSweeper(
            asyncio.get_running_loop(), 10.0, lambda item: None
        )
        backlog = WriteBacklog(BufferBudget(0), sweeper)
        backlog.await_progress(backlog, Transport())
        assert backlog in sweeper.waiting_since and not backlog.has_progress(Transport())
        sweeper.close()

    run(main())
