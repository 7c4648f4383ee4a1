"""What the two processes say to each other. Pure.

Over a Unix socket in `$TMPDIR`, the one that comes speaks first:

    laurelstep-handover 1                       what it speaks
        {"v": 1, "size": 812}  + a descriptor   the callers' listener, and how long what follows is
        ... 812 bytes                           the state, in JSON
    ready                                       it takes callers now

The connection stays open: its end is the end of the other process.

Rules that everything here serves:

1. Nothing is taken of a message that is longer than it may be, of another version, or unreadable.
2. What the state lacks, or has in a form that is not known, is done without: it only saves
   the one that comes from learning anew. The list counts as told when the platform tells it.
"""

from __future__ import annotations

import json
from typing import Any, Final

from laurelstep.errors import LaurelstepError

VERSION: Final = 1
HELLO: Final = b"laurelstep-handover %d\n" % VERSION
READY: Final = b"ready\n"
HEAD_MAX: Final = 256
# Of some 10,000 endpoints; what is longer stays behind. Both processes hold it for a moment.
STATE_MAX: Final = 4 * 1024 * 1024


class HandoverError(LaurelstepError):
    """It can't be used; the text says why, on one line."""

    cause = "the state or the listener could not be taken over from the process of the version before"
    remedy = "nothing if it was lost once: the new process starts without it; else compare the two versions"


def is_hello(line: bytes) -> bool:
    return line == HELLO


def head(size: int) -> bytes:
    return json.dumps({"v": VERSION, "size": size}).encode() + b"\n"


def size_in(line: bytes) -> int:
    """The size of the state that a head announces; `HandoverError`."""
    try:
        told = json.loads(line)
        version, size = told["v"], told["size"]
    except (ValueError, KeyError, TypeError, RecursionError):
        raise HandoverError("the head is unreadable") from None
    if version != VERSION:
        raise HandoverError(f"version {version!r}, expected {VERSION}")
    if type(size) is not int or not 0 <= size <= STATE_MAX:
        raise HandoverError(f"a state of {size!r} bytes")
    return size


def pack(state: dict[str, bytes]) -> bytes:
    """The state as it is sent, its values being JSON; an empty one where it would be too long."""
    raw = b"{%b}" % b",".join(json.dumps(name).encode() + b":" + value for name, value in state.items())
    return raw if len(raw) <= STATE_MAX else b"{}"


def unpack(raw: bytes) -> dict[str, Any]:
    try:
        state = json.loads(raw)
    except (ValueError, RecursionError):
        raise HandoverError("the state is unreadable") from None
    if not isinstance(state, dict):
        raise HandoverError("the state is no object")
    return state
