"""The demo's parts, without its daemon."""

from __future__ import annotations

from laurelstep.demo.run import DemoRun
from laurelstep.testing import Endpoint, close, sequence, serve

from tests.event_loops import run_limited


def test_a_request_on_a_kept_connection_that_was_closed_is_answered() -> None:
    """The daemon closes a connection that has been idle for some seconds. Guards against counting that as an
    unanswered request."""

    async def main() -> None:
        demo = DemoRun(15.0, 200.0, 1)
        async with Endpoint(sequence(serve(), close(executes=False), serve())) as endpoint:
            await demo.send_request(endpoint.port)
            await demo.send_request(endpoint.port)
            assert demo.statistics.counts == {"asked": 2, "served": 2} and endpoint.connection_count == 2
            assert len(demo.idle_clients) == 1
            demo.idle_clients[0].close()

    run_limited(main())
