"""What predecessor and successor say to each other. Pure.

Over a Unix socket in `$TMPDIR`, the successor speaks first:

    laurelstep-handover 1                       the protocol that it speaks
        {"v": 1, "size": 812}  + a descriptor   the clients' listener, and how long what follows is
        ... 812 bytes                           the state, in JSON
    ready                                       it accepts clients now

The connection stays open: its end is the end of the other process.

1. Nothing is taken of a message that is longer than it may be, of another version, or unreadable.
2. What the state lacks, or has in a form that is not known, is done without: it only saves the successor from
   learning anew. The list counts as told when the platform tells it.
3. These bytes cross between versions: they never change but with `VERSION`.
"""

from __future__ import annotations

import json
from typing import Any, Final

from laurelstep.errors import LaurelstepError

VERSION: Final = 1
HELLO: Final = b"laurelstep-handover %d\n" % VERSION
READY: Final = b"ready\n"
MAX_HEADER_BYTES: Final = 256
# Of some 10,000 endpoints; what is longer stays behind. Both processes hold it for a moment.
MAX_STATE_BYTES: Final = 4 * 1024 * 1024


class HotRestartError(LaurelstepError):
    """Nothing can be taken over; the text says why, on one line."""

    cause = "the state or the listener could not be taken over from the process of the version before"
    remedy = "nothing if it was lost once: the new process starts without it; else compare the two versions"


def is_hello(line: bytes) -> bool:
    """Whether a successor speaks this version of the protocol."""
    return line == HELLO


def encode_header(state_size: int) -> bytes:
    """The line before a state of this many bytes."""
    return json.dumps({"v": VERSION, "size": state_size}).encode() + b"\n"


def decode_header(line: bytes) -> int:
    """The size of the state that a header announces, in bytes. Raises `HotRestartError`."""
    try:
        header = json.loads(line)
        version, size = header["v"], header["size"]
    except (ValueError, KeyError, TypeError, RecursionError):
        raise HotRestartError("the head is unreadable") from None
    if version != VERSION:
        raise HotRestartError(f"version {version!r}, expected {VERSION}")
    if type(size) is not int or not 0 <= size <= MAX_STATE_BYTES:
        raise HotRestartError(f"a state of {size!r} bytes")
    return size


def encode_state(state: dict[str, bytes]) -> bytes:
    """The state as it is sent, its values being JSON; an empty one where it would be too long."""
    members = (json.dumps(name).encode() + b":" + value for name, value in state.items())
    raw = b"{%b}" % b",".join(members)
    return raw if len(raw) <= MAX_STATE_BYTES else b"{}"


def decode_state(raw: bytes) -> dict[str, Any]:
    """The state that was sent. Raises `HotRestartError`."""
    try:
        state = json.loads(raw)
    except (ValueError, RecursionError):
        raise HotRestartError("the state is unreadable") from None
    if not isinstance(state, dict):
        raise HotRestartError("the state is no object")
    return state
