"""The demo's parts, without its daemon."""

from __future__ import annotations

from laurelstep.demo.world import World, ask
from laurelstep.testing import Endpoint, close, in_turn, serve
from tests.test_testing import run


def test_a_client_whose_kept_connection_was_closed_at_rest_is_answered() -> None:
    """Guards against a run that counts as a broken promise what the daemon may do: it closes a connection
    that has rested for some seconds."""

    async def main() -> None:
        world = World(15.0, 200.0, 1)
        async with Endpoint(in_turn(serve(), close(executes=False), serve())) as front:
            await ask(world, front.port)
            await ask(world, front.port)
            assert world.totals == {"asked": 2, "served": 2} and front.opened == 2
            assert len(world.idle) == 1
            world.idle[0].close()

    run(main())
