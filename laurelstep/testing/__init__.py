"""Stand-ins on loopback for tests of programs that use this balancer: scripted endpoints that count what they
execute, discovery servers and a client.

    async with Endpoint(stall()) as bad, Endpoint() as good:
        client = Client.open({..., "known": whole_list(bad.entry("s-0"), good.entry("s-1"))})

The operating system assigns the ports. Nothing here sleeps or polls except `delayed` and the heartbeats of
`DiscoveryServer`; both take their times as parameters.
"""

from laurelstep.testing.callers import Caller, request
from laurelstep.testing.discovery import DiscoveryServer
from laurelstep.testing.endpoints import (
    Effects,
    Endpoint,
    Handler,
    Listener,
    after,
    close,
    delayed,
    malformed,
    raw,
    refuse,
    reset,
    sequence,
    serve,
    stall,
    status,
)
from laurelstep.testing.messages import (
    Message,
    Reader,
    Writer,
    answer,
    free_port,
    free_udp_port,
    read_message,
)
from laurelstep.testing.registry import Registry, push, push_raw, whole_list

__all__ = [
    "Caller",
    "DiscoveryServer",
    "Effects",
    "Endpoint",
    "Handler",
    "Listener",
    "Message",
    "Reader",
    "Registry",
    "Writer",
    "after",
    "answer",
    "close",
    "delayed",
    "free_port",
    "free_udp_port",
    "malformed",
    "push",
    "push_raw",
    "raw",
    "read_message",
    "refuse",
    "request",
    "reset",
    "sequence",
    "serve",
    "stall",
    "status",
    "whole_list",
]
