"""Encodes a request for an endpoint."""

from __future__ import annotations

from typing import Final

from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Attempt

# The deadline sent to an endpoint is shorter than the client's remaining time by the smaller of
# DEADLINE_MARGIN_US and the remaining time divided by DEADLINE_MARGIN_DIVISOR: the request may have waited to
# be read, and written bytes leave only at the end of the event loop iteration.
DEADLINE_MARGIN_US: Final = 20_000
DEADLINE_MARGIN_DIVISOR: Final = 8


def endpoint_deadline_ms(left_us: int) -> int:
    """The deadline to send to an endpoint, in ms, when the client has `left_us` µs left: rounded down, at
    least 1.
    """
    return max(1, (left_us - min(DEADLINE_MARGIN_US, left_us // DEADLINE_MARGIN_DIVISOR)) // 1000)


def encode_request(attempt: Attempt, now: int) -> bytes:
    """Encode a request with its whole body. `now` is the engine's time, in µs."""
    call = attempt.call
    deadline_ms = endpoint_deadline_ms(attempt.times_out_at - now)
    has_no_body = call.method_and_target.startswith(b"GET ") and not call.body
    length = b"" if has_no_body else b"Content-Length: %d\r\n" % len(call.body)
    deadline = b"X-Deadline-Ms: %d\r\n" % deadline_ms
    return b"%b HTTP/1.1\r\n%b%b%b\r\n%b" % (
        call.method_and_target,
        call.header_lines,
        deadline,
        length,
        call.body,
    )


def encode_upload_head(attempt: Attempt, upload: BodyStream, now: int) -> bytes:
    """Encode the head of a request whose body is streamed after it. `now` is the engine's time, in µs."""
    call = attempt.call
    # The endpoint counts the deadline from the last byte of the body, as the client does.
    deadline = b"X-Deadline-Ms: %d\r\n" % endpoint_deadline_ms(
        min(call.time_after_upload_us, call.expires_at - now)
    )
    framing = b"Transfer-Encoding: chunked\r\n"
    if upload.length >= 0:
        framing = b"Content-Length: %d\r\n" % upload.length
    return b"%b HTTP/1.1\r\n%b%b%b\r\n" % (call.method_and_target, call.header_lines, deadline, framing)
