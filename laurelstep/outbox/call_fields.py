"""What a call's head says of its place among queued writes. Pure."""

from __future__ import annotations

from typing import Final

from laurelstep.engine.call import Call

__all__ = ["SEALED", "causality_tokens_of", "forwarded_headers", "object_of", "session_of"]

# Where the name of another edge's queued write is among a call's causes.
SEALED: Final = 3


def forwarded_headers(head: bytes) -> tuple[tuple[bytes, bytes], ...]:
    """The headers that are passed on, names in lower case."""
    found = []
    for line in head.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if colon:
            found.append((name.lower(), value.strip()))
    return tuple(found)


def causality_tokens_of(call: Call) -> str:
    """Receipts and tokens alike: each is a token."""
    return ",".join(part.decode("latin-1") for part in call.causal_dependencies[:2] if part)


def session_of(call: Call) -> bytes:
    """The session that the call names; empty if none."""
    return call.causal_dependencies[2] if call.causal_dependencies else b""


def object_of(call: Call) -> bytes:
    """The object that the call's query names; empty if none."""
    query = call.method_and_target.partition(b"?")[2]
    return next((part[4:] for part in query.split(b"&") if part.startswith(b"obj=")), b"")
