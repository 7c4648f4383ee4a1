"""The real sidecar over loopback sockets, each test for one trap."""

from __future__ import annotations

import pytest

from tests.sockets import (
    Endpoint,
    Message,
    Writer,
    answer,
    read_message,
    request,
    run,
    sidecar,
)


def test_a_request_passes_and_its_answer_comes_back_whole() -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(
            answer(body=b"x" * 60_000, headers="Content-Type: image/png\r\nX-Load: queue=2,qps=9\r\n")
        )

    async def main() -> None:
        endpoint = Endpoint(reply)
        async with sidecar(endpoint) as one:
            back = await one.ask(request("put", b"b" * 50_000, "X-Other: 1\r\nConnection: X-Other\r\n"))
            assert back.start.startswith("HTTP/1.1 200") and back.body == b"x" * 60_000
            assert back.headers["content-type"] == "image/png"
            (got,) = endpoint.got
            assert got.start == "POST /put?obj=7f3a HTTP/1.1" and got.body == b"b" * 50_000
            assert got.headers["x-request-id"] == "r1" and got.headers["idempotency-key"] == "k1"
            assert 0 < int(got.headers["x-deadline-ms"]) <= 4000
            assert "x-other" not in got.headers, "named by Connection: it ends here"
            (told,) = one.driver.balancer.endpoints.values()
            assert told.waiting == 2.0, "the socket's queue is the settings' waiting"

    run(main())


@pytest.mark.parametrize("cls", ["page", "pay"])
def test_connections_are_kept_on_both_sides(cls: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            for n in range(5):
                writer.write(request(cls, rid=f"r{n}"))
                assert (await read_message(reader)).body == b"ok"
            assert endpoint.opened == 1 and len(one.server.callers) == 1
            assert not one.driver.calls and not one.driver.balancer.requests

    run(main())
