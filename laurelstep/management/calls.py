"""What may be asked at the second address, and what is answered. Pure.

Rules that everything here serves:

1. 2xx is yes, 4xx and 5xx are no.
2. A call that is made twice does no harm, and says yes twice.
3. What a call asks for is decided by the lifecycle; here it is only worded.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from laurelstep.lifecycle import Lifecycle

READY: Final = b"/api/ready"
TELEMETRY: Final = b"/api/telemetry"
EVACUATE: Final = b"/api/evacuate"
REJOIN: Final = b"/api/rejoin"
METHODS: Final = {READY: b"GET", TELEMETRY: b"GET", EVACUATE: b"POST", REJOIN: b"POST"}
# Of the text format, as Prometheus names it.
FIGURES_TYPE: Final = b"text/plain; version=0.0.4; charset=utf-8"
PLAIN_TYPE: Final = b"text/plain; charset=utf-8"


class Reply:
    """An answer to a call: status, text, and the methods that are allowed where the method was not."""

    __slots__ = ("allow", "body", "kind", "status")

    def __init__(self, status: int, body: str, kind: bytes = PLAIN_TYPE, allow: bytes = b"") -> None:
        self.status = status
        self.body = body.encode()
        self.kind = kind
        self.allow = allow

    def raw(self) -> bytes:
        """As it is written; the connection ends behind it."""
        allow = b"Allow: %b\r\n" % self.allow if self.allow else b""
        reason = HTTPStatus(self.status).phrase.encode()
        head = b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\n" % (self.status, reason, self.kind)
        return b"%bContent-Length: %d\r\n%bConnection: close\r\n\r\n%b" % (
            head, len(self.body), allow, self.body,
        )  # fmt: skip


# A subsystem's own calls: method and target; None for what is none of them.
MoreCalls = Callable[[bytes, bytes], Reply | None]


def reply_to(
    method: bytes,
    target: bytes,
    lifecycle: Lifecycle,
    now: float,
    figures: Callable[[], str],
    more: MoreCalls | None = None,
) -> Reply:
    """What a call is answered: by a subsystem whose call it is (`more`), by the figures, or by what the
    lifecycle says, at the time `now` on the loop's clock, in s.
    """
    if more is not None and (found := more(method, target)) is not None:
        return found
    path = target.partition(b"?")[0]
    expected = METHODS.get(path)
    if expected is None:
        return Reply(404, "no such call\n")
    if method != expected:
        return Reply(405, f"call it with {expected.decode()}\n", allow=expected)
    if path == TELEMETRY:
        return Reply(200, figures(), FIGURES_TYPE)
    if path == READY:
        return Reply(200 if lifecycle.is_ready else 503, f"{lifecycle.phase}\n")
    done = lifecycle.evacuate(now) if path == EVACUATE else lifecycle.rejoin(now)
    return Reply(200 if done else 409, f"{lifecycle.phase}\n")
