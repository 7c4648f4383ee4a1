"""Reads the fields of a call that decide how it is queued: headers, tokens, session, object. Pure."""

from __future__ import annotations

from typing import Final

from laurelstep.engine.call import Call

__all__ = ["SEALED_INDEX", "causality_tokens_of", "forwarded_headers", "object_of", "session_of"]

# Index in `Call.causal_dependencies` of the sealed message of an edge that replays a queued write.
SEALED_INDEX: Final = 3


def forwarded_headers(header_lines: bytes) -> tuple[tuple[bytes, bytes], ...]:
    """The names, in lower case, and values of the header lines that are forwarded upstream."""
    headers = []
    for line in header_lines.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if colon:
            headers.append((name.lower(), value.strip()))
    return tuple(headers)


def causality_tokens_of(call: Call) -> str:
    """The causality tokens in the call's headers, comma-separated; a receipt is a token too."""
    return ",".join(part.decode("latin-1") for part in call.causal_dependencies[:2] if part)


def session_of(call: Call) -> bytes:
    """The session that the call belongs to; empty if none."""
    return call.causal_dependencies[2] if call.causal_dependencies else b""


def object_of(call: Call) -> bytes:
    """The object that the call's query parameter `obj` names; empty if none."""
    query = call.method_and_target.partition(b"?")[2]
    return next((part[4:] for part in query.split(b"&") if part.startswith(b"obj=")), b"")
