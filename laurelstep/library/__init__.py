"""The balancer inside a process: an async client, and middleware for ASGI 3 hosts.

    async with Client.open("operator.toml") as client:
        reply = await client.send(Request(cls="view", method="GET", target="/view?obj=7f"))

It is a good guest: no signal handlers, no change of the collector, of the loop policy
or of the process's limits; it logs to the logger `laurelstep`.
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
