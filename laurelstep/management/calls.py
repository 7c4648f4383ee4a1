"""The calls at the management address and their replies. Does no I/O.

Rules of this module:

1. Status 2xx means success, 4xx and 5xx mean failure.
2. Calls are idempotent: a repeated call succeeds again and changes nothing.
3. The lifecycle decides whether a drain starts or ends; this module only converts the result to a reply.
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
METRICS_TEXT: Final = b"text/plain; version=0.0.4; charset=utf-8"
PLAIN_TEXT: Final = b"text/plain; charset=utf-8"


class Reply:
    """The reply to a call. `allow` is the method that the call requires, set with status 405."""

    __slots__ = ("allow", "body", "content_type", "status")

    def __init__(self, status: int, body: str, content_type: bytes = PLAIN_TEXT, allow: bytes = b"") -> None:
        self.status = status
        self.body = body.encode()
        self.content_type = content_type
        self.allow = allow

    def encode(self) -> bytes:
        """The HTTP response. The connection is closed after it."""
        allow = b"Allow: %b\r\n" % self.allow if self.allow else b""
        reason = HTTPStatus(self.status).phrase.encode()
        head = b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\n" % (self.status, reason, self.content_type)
        return b"%bContent-Length: %d\r\n%bConnection: close\r\n\r\n%b" % (
            head, len(self.body), allow, self.body,
        )  # fmt: skip


# Answers the calls of subsystems, by method and target; None for a call that is not theirs.
SubsystemCalls = Callable[[bytes, bytes], Reply | None]


def reply_to(
    method: bytes,
    target: bytes,
    lifecycle: Lifecycle,
    now: float,
    render_metrics: Callable[[], str],
    subsystem_calls: SubsystemCalls | None = None,
) -> Reply:
    """Execute a call and return its reply. The calls of subsystems take precedence. `now` is the time of the
    event loop in seconds.
    """
    if subsystem_calls is not None and (reply := subsystem_calls(method, target)) is not None:
        return reply
    path = target.partition(b"?")[0]
    expected = METHODS.get(path)
    if expected is None:
        return Reply(404, "no such call\n")
    if method != expected:
        return Reply(405, f"call it with {expected.decode()}\n", allow=expected)
    if path == TELEMETRY:
        return Reply(200, render_metrics(), METRICS_TEXT)
    if path == READY:
        return Reply(200 if lifecycle.is_ready else 503, f"{lifecycle.phase}\n")
    done = lifecycle.evacuate(now) if path == EVACUATE else lifecycle.rejoin(now)
    return Reply(200 if done else 409, f"{lifecycle.phase}\n")
