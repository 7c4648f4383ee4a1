"""The balancer in process: an async client, and middleware for ASGI 3 hosts.

    async with Client.open("operator.toml") as client:
        reply = await client.send(Request(cls="view", method="GET", target="/view?obj=7f"))

The library sets no signal handlers and changes neither the garbage collector nor the event loop policy nor
the process's limits. It logs to the logger `laurelstep`.
"""

from laurelstep.engine.call import Ending
from laurelstep.library.asgi import BalancerMiddleware
from laurelstep.library.client import Client, ClientError, Member, Reply, Request, RequestError
from laurelstep.settings import ConfigError

__all__ = [
    "BalancerMiddleware",
    "Client",
    "ClientError",
    "ConfigError",
    "Ending",
    "Member",
    "Reply",
    "Request",
    "RequestError",
]
