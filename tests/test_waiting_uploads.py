"""Uploads that wait for an attempt: none begins for a client that has left, and all get one answer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from laurelstep.net.client_connection import ClientConnection

from tests.sockets import (
    TEST_TIMEOUT_S,
    Endpoint,
    Reader,
    Sidecar,
    Writer,
    read_message,
    request,
    run,
    sidecar,
)

MB = 1 << 20
# More than the kernel takes of one connection, so that a close stands behind bytes that have not arrived.
LARGE = bytes(range(256)) * 64_000  # 16 MB


async def wait_until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0)


def encoded_upload(framing: str, body: bytes = LARGE) -> bytes:
    head = request("pay", rid="upload")
    if framing == "length":
        return head.replace(b"Content-Length: 0", b"Content-Length: %d" % len(body)) + body
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + chunks


@asynccontextmanager
async def waiting_upload(
    endpoint: Endpoint, data: bytes, limit_bytes: int
) -> AsyncIterator[tuple[Sidecar, ClientConnection, Reader, Writer]]:
    """An upload that was taken while no endpoint is listed. `limit_bytes`: the budget for requests."""
    async with sidecar(endpoint, known=False) as proxy:
        proxy.server.request_budget.limit = limit_bytes
        proxy.server.unseen_limit_s = 0.0  # as if the time had passed
        reader, writer = await proxy.connect()
        writer.write(data)
        await wait_until(lambda: bool(proxy.engine.calls))
        (client,) = proxy.server.connections
        yield proxy, client, reader, writer
        writer.transport.abort()
        await wait_until(lambda: not proxy.server.connections)
        assert proxy.server.request_budget.used == 0 and not proxy.engine.calls


def check_paused(proxy: Sidecar) -> None:
    """Let the time pass after which a paused connection is checked."""
    paused = proxy.server.paused
    for connection in paused.waiting_since:
        paused.waiting_since[connection] -= paused.timeout_s
    paused.run()


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("closes", ["close", "half-close"])
def test_no_attempt_begins_for_a_client_that_left_behind_a_large_upload(framing: str, closes: str) -> None:
    """Guards against an unsafe upload that runs although its client has gone: with reading paused, the end of
    its connection did not reach this machine.
    """

    async def main() -> None:
        endpoint = Endpoint()
        async with waiting_upload(endpoint, encoded_upload(framing), 64 * MB) as (proxy, client, _, writer):
            if closes == "close":
                writer.close()
            else:
                writer.write_eof()
            await wait_until(lambda: not proxy.engine.calls)
            proxy.apply_list(endpoint.entry())
            assert client.upload is None and endpoint.connection_count == 0
            assert sum(proxy.engine.counters.abandoned) == 1

    run(main())


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_waiting_upload_is_refused_if_its_client_may_have_left_unseen(framing: str) -> None:
    """Guards against the same with an upload that is too large to be read before its attempt."""

    async def main() -> None:
        endpoint = Endpoint()
        async with waiting_upload(endpoint, encoded_upload(framing), 2 * MB) as (proxy, client, reader, _):
            await wait_until(lambda: client in proxy.server.paused.waiting_since)
            await wait_until(client.may_hide_close)
            assert client.reserved_bytes <= MB
            check_paused(proxy)
            assert not proxy.engine.calls
            message = await read_message(reader)
            assert message.status == 503 and message.headers["connection"] == "close"
            proxy.apply_list(endpoint.entry())
            assert endpoint.connection_count == 0 and sum(proxy.engine.counters.deferred) == 1

    run(main())


@pytest.mark.parametrize("is_late", [True, False])
def test_an_upload_whose_attempt_is_connecting_is_judged_when_that_may_begin(is_late: bool) -> None:
    """Guards against an upload that is refused because its connection takes a while to be opened."""

    async def main() -> None:
        endpoint = Endpoint()
        data = encoded_upload("length")
        async with waiting_upload(endpoint, data, 2 * MB) as (proxy, client, reader, _):
            await wait_until(lambda: client in proxy.server.paused.waiting_since)
            await wait_until(client.may_hide_close)
            (call,) = proxy.engine.calls.values()
            proxy.apply_list(endpoint.entry())
            await wait_until(lambda: any(attempt.is_in_flight for attempt in call.attempts))
            check_paused(proxy)
            assert call.is_open
            if not is_late:
                proxy.server.unseen_limit_s = TEST_TIMEOUT_S
            assert (await read_message(reader)).status == (503 if is_late else 200)
            assert len(endpoint.requests) == (0 if is_late else 1)

    run(main())


def test_a_waiting_upload_is_kept_if_all_of_it_has_arrived() -> None:
    """Nothing stands before a close but bytes that have arrived, so that it would be seen."""

    async def main() -> None:
        endpoint = Endpoint()
        body = LARGE[: MB + 100_000]  # the kernel holds what is not read
        async with waiting_upload(endpoint, encoded_upload("length", body), 2 * MB) as (
            proxy, client, reader, _,
        ):  # fmt: skip
            await wait_until(lambda: client in proxy.server.paused.waiting_since)
            await wait_until(lambda: not client.may_hide_close())
            check_paused(proxy)
            assert client in proxy.server.paused.waiting_since
            proxy.apply_list(endpoint.entry())
            assert (await read_message(reader)).status == 200
            assert endpoint.requests[0].body == body

    run(main())


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_waiting_upload_is_kept_if_its_client_could_send_more(framing: str) -> None:
    """The receive buffer has room, so that a close would be seen."""

    async def main() -> None:
        endpoint = Endpoint()
        data = encoded_upload(framing, LARGE[: 2 * MB])
        async with waiting_upload(endpoint, data[: MB + 40_000], 2 * MB) as (proxy, client, reader, writer):
            await wait_until(lambda: client in proxy.server.paused.waiting_since)
            check_paused(proxy)
            assert client in proxy.server.paused.waiting_since
            proxy.apply_list(endpoint.entry())
            await wait_until(lambda: client.upload is not None and client.upload.was_attached)
            writer.write(data[MB + 40_000 :])
            assert (await read_message(reader)).status == 200

    run(main())


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_waiting_upload_whose_client_stays_is_served(framing: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with waiting_upload(endpoint, encoded_upload(framing), 64 * MB) as (proxy, client, reader, _):
            await wait_until(lambda: client.upload is None)  # read to its end
            proxy.apply_list(endpoint.entry())
            assert (await read_message(reader)).status == 200
            assert endpoint.requests[0].body == LARGE

    run(main())


def test_a_stop_refuses_a_waiting_upload() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        half = encoded_upload("length")[: 8 * MB]
        async with waiting_upload(endpoint, half, 64 * MB) as (proxy, client, reader, writer):
            await wait_until(lambda: client.body_byte_count > 7 * MB)
            ended = asyncio.Event()
            proxy.server.stop(ended.set)
            proxy.server.shutdown.stop_listening()
            proxy.server.shutdown.refuse_incomplete()
            assert (await read_message(reader)).status == 503
            writer.close()
            await ended.wait()

    run(main())
