"""The engine: runs one `Balancer` in real time. It takes requests, sends attempts to endpoints and gives
each request exactly one final answer. It depends on no HTTP server, ASGI application or subsystem; the
interfaces that it uses are declared in `laurelstep.engine.ports`.
"""

from laurelstep.engine.call import Answer, Attempt, Call, Ending, Headers
from laurelstep.engine.clock import LoopClock
from laurelstep.engine.endpoint_table import endpoint_number
from laurelstep.engine.engine import Engine
from laurelstep.engine.names import NameTable
from laurelstep.engine.ports import (
    CallHost,
    Clock,
    Frontend,
    Handle,
    Log,
    MemberSink,
    MemberSource,
    Recorder,
    Upstream,
)

__all__ = [
    "Answer",
    "Attempt",
    "Call",
    "CallHost",
    "Clock",
    "Ending",
    "Engine",
    "Frontend",
    "Handle",
    "Headers",
    "Log",
    "LoopClock",
    "MemberSink",
    "MemberSource",
    "NameTable",
    "Recorder",
    "Upstream",
    "endpoint_number",
]
