"""The demo's parts, without its daemon."""

from __future__ import annotations

from laurelstep.demo.run import DemoRun
from laurelstep.testing import Endpoint, close, sequence, serve

from tests.event_loops import run_limited


def test_a_client_whose_kept_connection_was_closed_at_rest_is_answered() -> None:
    """Guards against a run that counts as a broken promise what the daemon may do: it closes a connection
    that has rested for some seconds."""

    async def main() -> None:
        one = DemoRun(15.0, 200.0, 1)
        async with Endpoint(sequence(serve(), close(executes=False), serve())) as front:
            await one.send_request(front.port)
            await one.send_request(front.port)
            assert one.statistics.counts == {"asked": 2, "served": 2} and front.connection_count == 2
            assert len(one.idle_clients) == 1
            one.idle_clients[0].close()

    run_limited(main())
