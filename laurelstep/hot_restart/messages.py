"""The messages between predecessor and successor. Pure.

They are sent over a Unix socket in `$TMPDIR`. The successor sends first; the predecessor's are indented:

    laurelstep-handover 1                       protocol and version
        {"v": 1, "size": 812}  + a descriptor   the clients' listener, and the size of the state in bytes
        ... 812 bytes                           the state, in JSON
    ready                                       the successor accepts clients now

The connection stays open: its end means that the other process has exited.

1. A message that is too long, of another version, or malformed is rejected as a whole.
2. A part of the state that is missing or in an unknown form is ignored: the state only saves the successor
   from learning it anew. The endpoint list counts as received only when discovery sends it.
3. These bytes are exchanged between versions: they change only together with `VERSION`.
"""

from __future__ import annotations

import json
from typing import Any, Final

from laurelstep.errors import LaurelstepError

VERSION: Final = 1
HELLO: Final = b"laurelstep-handover %d\n" % VERSION
READY: Final = b"ready\n"
MAX_HEADER_BYTES: Final = 256
# Enough for some 10,000 endpoints; a longer state is not sent. Both processes hold it briefly in memory.
MAX_STATE_BYTES: Final = 4 * 1024 * 1024


class HotRestartError(LaurelstepError):
    """Nothing can be taken over; the text is one line with the reason."""

    cause = "the state or the listener could not be taken over from the previous version's process"
    remedy = (
        "nothing if it happened once: the new process starts without it; otherwise compare the two versions"
    )


def is_hello(line: bytes) -> bool:
    """Whether a successor's first line names this version of the protocol."""
    return line == HELLO


def encode_header(state_size: int) -> bytes:
    """Return the line before a state of this many bytes."""
    return json.dumps({"v": VERSION, "size": state_size}).encode() + b"\n"


def decode_header(line: bytes) -> int:
    """Return the size of the state that a header announces, in bytes. Raises `HotRestartError`."""
    try:
        header = json.loads(line)
        version, size = header["v"], header["size"]
    except (ValueError, KeyError, TypeError, RecursionError):
        raise HotRestartError("the header is malformed") from None
    if version != VERSION:
        raise HotRestartError(f"protocol version {version!r}, expected {VERSION}")
    if type(size) is not int or not 0 <= size <= MAX_STATE_BYTES:
        raise HotRestartError(f"invalid state size of {size!r} bytes")
    return size


def encode_state(state: dict[str, bytes]) -> bytes:
    """Return the state as it is sent, its values being JSON; an empty one if it would be too long."""
    members = (json.dumps(name).encode() + b":" + value for name, value in state.items())
    raw = b"{%b}" % b",".join(members)
    return raw if len(raw) <= MAX_STATE_BYTES else b"{}"


def decode_state(raw: bytes) -> dict[str, Any]:
    """Return the state that was sent. Raises `HotRestartError`."""
    try:
        state = json.loads(raw)
    except (ValueError, RecursionError):
        raise HotRestartError("the state is malformed") from None
    if not isinstance(state, dict):
        raise HotRestartError("the state is not a JSON object")
    return state
