"""Errors of what comes over sockets, in a module of their own that stays plain Python.

Compiled, an exception with attributes loses the dictionary that holds them, three blocks each
time it is made (mypyc 1.18).
"""

from __future__ import annotations

from laurelstep.errors import LaurelstepError


class BadRequestError(LaurelstepError):
    """A caller's fault; the status tells it so."""

    cause = "a caller's request is not in form, comes too slowly, or meets a sidecar that is full or drained"
    remedy = "correct the caller by the status and the text of its answer; nothing was sent to an endpoint"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class MalformedResponseError(LaurelstepError):
    """An answer that is none of this protocol."""

    cause = "an endpoint's answer is not HTTP/1.1 as this program reads it, or longer than it may be"
    remedy = "look at the endpoint's server and at what stands between; its request may have run there"
