"""Counters of the requests that an engine has taken, by their result."""

from __future__ import annotations

from laurelstep.engine.call import Ending


class RequestCounters:
    """Counts since the start, indexed by class number. Each request in `taken` that is no longer open is
    counted once: in `answered`, `deferred` or `errored` by the `Ending` of its final answer, or in
    `abandoned` if its client left first.

    Open requests are counted by `Engine.open_request_count`.
    """

    __slots__ = ("abandoned", "answered", "deferred", "errored", "sends", "taken")

    def __init__(self, classes: int) -> None:
        self.taken = [0] * classes
        self.answered = [0] * classes
        self.deferred = [0] * classes
        self.errored = [0] * classes
        self.abandoned = [0] * classes
        self.sends = 0  # attempts whose last byte was written

    def count_answer(self, cls: int, ending: Ending) -> None:
        """Count the final answer of a request, by class and ending."""
        if ending == Ending.SERVED:
            self.answered[cls] += 1
        elif ending == Ending.REFUSED:
            self.deferred[cls] += 1
        else:
            self.errored[cls] += 1
