"""A request as it is written to an endpoint."""

from __future__ import annotations

from typing import Final

from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Attempt

# Of the time left to the client an endpoint is told so much less, or this part of it if that is less: the
# request may have waited to be read, and what is written leaves at the end of the event loop's turn.
DEADLINE_MARGIN_US: Final = 20_000
DEADLINE_MARGIN_PART: Final = 8


def endpoint_deadline_ms(left_us: int) -> int:
    """The deadline to tell an endpoint, ms, where so many us are left to the client: rounded down, and
    one at least.
    """
    return max(1, (left_us - min(DEADLINE_MARGIN_US, left_us // DEADLINE_MARGIN_PART)) // 1000)


def encode_request(attempt: Attempt, now: int) -> bytes:
    """All of a request whose body is here, at the time `now` in us."""
    call = attempt.call
    wait_ms = endpoint_deadline_ms(attempt.times_out_at - now)
    plain = call.method_and_target.startswith(b"GET ") and not call.body
    length = b"" if plain else b"Content-Length: %d\r\n" % len(call.body)
    wait = b"X-Deadline-Ms: %d\r\n" % wait_ms
    return b"%b HTTP/1.1\r\n%b%b%b\r\n%b" % (
        call.method_and_target,
        call.header_lines,
        wait,
        length,
        call.body,
    )


def encode_upload_head(attempt: Attempt, upload: BodyStream, now: int) -> bytes:
    """The head of a request whose body follows as it comes, at the time `now` in us."""
    call = attempt.call
    # Counted by the endpoint from the last byte on, as by the client.
    wait = b"X-Deadline-Ms: %d\r\n" % endpoint_deadline_ms(
        min(call.time_after_upload_us, call.expires_at - now)
    )
    framing = b"Transfer-Encoding: chunked\r\n"
    if upload.length >= 0:
        framing = b"Content-Length: %d\r\n" % upload.length
    return b"%b HTTP/1.1\r\n%b%b%b\r\n" % (call.method_and_target, call.header_lines, wait, framing)
