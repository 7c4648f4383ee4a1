"""What became of the requests that an engine took: counted once each, where it happens."""

from __future__ import annotations

from laurelstep.engine.call import Ending


class RequestCounters:
    """Counts since the start. By class number: final answers by their ending, and those
    whose client left before; each request that was taken ends in one of them.

    What is open is not counted here: the engine's own table has it.
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
        """A request of a class has its final answer."""
        if ending == Ending.SERVED:
            self.answered[cls] += 1
        elif ending == Ending.REFUSED:
            self.deferred[cls] += 1
        else:
            self.errored[cls] += 1
