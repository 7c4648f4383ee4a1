"""Errors in requests and responses received over sockets. This module is not compiled with mypyc.

A compiled exception class with attributes leaks their dictionary, three memory blocks for each instance
(mypyc 1.18).
"""

from __future__ import annotations

from laurelstep.errors import LaurelstepError


class BadRequestError(LaurelstepError):
    """A request that is rejected. `status` is the HTTP status of the rejection."""

    cause = (
        "a client's request is malformed, arrives too slowly, or reaches a sidecar that is full or draining"
    )
    remedy = "correct the client as the answer's status and text indicate; nothing was sent to an endpoint"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class MalformedResponseError(LaurelstepError):
    """An endpoint's answer that is malformed or too large."""

    cause = "an endpoint's answer is not HTTP/1.1 as this program accepts it, or exceeds the size limit"
    remedy = "check the endpoint's server and any proxy in between; the request may have run there"
