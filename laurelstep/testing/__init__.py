"""Stand-ins on loopback, for tests of whatever uses this balancer: endpoints that follow
a script and count what they execute, discovery, and callers.

    async with Endpoint(stall()) as bad, Endpoint() as good:
        client = Client.open({..., "known": whole_list(bad.entry("s-0"), good.entry("s-1"))})

Ports are the system's choice; nothing here sleeps or polls.
"""

from laurelstep.testing.callers import Caller, request
from laurelstep.testing.endpoints import (
    Effects,
    Endpoint,
    Handler,
    Listener,
    after,
    close,
    in_turn,
    paced,
    raw,
    refuse,
    reset,
    serve,
    spoil,
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
    "free_port",
    "free_udp_port",
    "in_turn",
    "paced",
    "push",
    "push_raw",
    "raw",
    "read_message",
    "refuse",
    "request",
    "reset",
    "serve",
    "spoil",
    "stall",
    "status",
    "whole_list",
]
