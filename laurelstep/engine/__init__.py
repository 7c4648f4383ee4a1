"""The engine: drives one `Balancer` on a clock. Requests come in, attempts go out, and
each request gets exactly one final answer. It knows no HTTP caller, no ASGI and no
subsystem; what it works with is named in `laurelstep.engine.ports`.
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
