"""What the HTTP sides share: limits, header rules and the messages themselves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import TimerHandle

    from woadyard.net.upstream import Attempt

BODY_MAX = HEAD_MAX = 64 * 1024
# What concerns one connection alone, or is set anew on each side.
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"expect", b"content-length", b"x-deadline-ms", b"proxy-authenticate", b"proxy-authorization")
)  # fmt: skip
Headers = list[tuple[bytes, bytes]]


def pass_on(headers: Headers) -> bytes:
    """The lines of the headers that travel end to end."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    kept = (pair for pair in headers if pair[0].lower() not in HOP_BY_HOP)
    return b"".join(b"%b: %b\r\n" % (n, v) for n, v in kept if n.lower() not in named)


@dataclass(slots=True)
class Answer:
    """A final answer to a caller; `head` holds further header lines."""

    status: int
    head: bytes = b""
    body: bytes = b""


@dataclass(slots=True)
class Call:
    """One request of a caller, taken and not yet forgotten."""

    cls: int
    expires: int  # on the driver's clock, µs
    start: bytes  # method and target as they came
    head: bytes  # header lines to pass on
    body: bytes
    answer: Callable[[Answer], None]
    tenant: int = 0
    key: int = 0
    work_us: int = 0
    repeated: bool = False
    id: int = 0
    open: bool = True  # no final answer yet, and its client is there
    attempts: list[Attempt] = field(default_factory=list)
    timer: TimerHandle | None = None
