"""What can go wrong with writes that are kept: each type with its cause and what an operator can do."""

from __future__ import annotations

from typing import ClassVar

from laurelstep.errors import LaurelstepError

__all__ = [
    "CauseError",
    "CycleError",
    "FullError",
    "FutureError",
    "KeepError",
    "KeptRecordError",
    "LooseError",
    "OutboxError",
    "StepError",
    "TokenError",
    "UnknownWriteError",
    "VerdictError",
]


class OutboxError(LaurelstepError):
    """Any fault of the writes kept at an edge."""

    cause: ClassVar[str] = (
        "something about the writes kept at this edge could not be done; nothing was changed"
    )
    remedy: ClassVar[str] = "see the type of the error"


class CauseError(OutboxError, ValueError):
    """What a write is said to follow can't be used."""

    cause: ClassVar[str] = "what a write is said to follow can't be used; the write was not kept"
    remedy: ClassVar[str] = (
        "see the type of the error; the client can send the write without the name it gave"
    )


class TokenError(CauseError):
    """A token or receipt that no edge with this secret gave, or one that is too long."""

    cause: ClassVar[str] = "a receipt or token is forged, damaged, too long, or of edges with another secret"
    remedy: ClassVar[str] = (
        "give all edges and upstream copies one outbox.secret_file; else look at that client"
    )


class FutureError(CauseError):
    """A receipt of this edge's present life whose number was not given out."""

    cause: ClassVar[str] = "a receipt names a write that this edge has not kept yet"
    remedy: ClassVar[str] = (
        "look for another machine that runs as this edge, or for who has the edges' secret"
    )


class CycleError(CauseError):
    """A write would follow what follows it."""

    cause: ClassVar[str] = "a write that is kept already is said to follow a write that follows it"
    remedy: ClassVar[str] = (
        "correct the client: a repeat names the same writes before it as the first try, or none"
    )


class LooseError(CauseError):
    """More causes than one write may have."""

    cause: ClassVar[str] = "a write names more writes before it than one may have"
    remedy: ClassVar[str] = (
        "correct the client: the receipt of its last write stands for all that came before"
    )


class KeepError(OutboxError):
    """This write is none that may be kept."""

    cause: ClassVar[str] = "a write is of a class that is not kept, or is not as its class demands"
    remedy: ClassVar[str] = (
        "name its class in outbox.classes, and see that its client sends a key if it is keyed"
    )


class FullError(OutboxError):
    """A bound is reached. `retry_us`: when to return."""

    cause: ClassVar[str] = "no more can be kept: bytes, count or one tenant's share is used up"
    remedy: ClassVar[str] = (
        "bring the link back, judge what is parked, or raise the bound that the text names"
    )

    def __init__(self, text: str, retry_us: int) -> None:
        super().__init__(text)
        self.retry_us = retry_us


class KeptRecordError(OutboxError, ValueError):
    """A record in the outbox's store can't be read."""

    cause: ClassVar[str] = "a record of a kept write can't be read, or is of a later version"
    remedy: ClassVar[str] = (
        "run `laurelstep store verify PATH`; go back to the later version if there was one"
    )


class UnknownWriteError(OutboxError):
    """No write of this name, or its receipt's time is over."""

    cause: ClassVar[str] = "no write of this name is known here, or the time of its receipt is over"
    remedy: ClassVar[str] = "ask the edge that the receipt names, within outbox.receipt_s"


class VerdictError(OutboxError):
    """A verdict that can't hold: another was given, or the write is not parked."""

    cause: ClassVar[str] = "the write is not parked, or another verdict on this parking was first"
    remedy: ClassVar[str] = (
        "read its receipt again: it tells the state, the number of the parking and the verdict"
    )


class StepError(OutboxError):
    """A step that the table of states does not have."""

    cause: ClassVar[str] = "a kept write was to take a step that its state does not allow"
    remedy: ClassVar[str] = "report it with the text: the fault is in the program; the write stays as it was"
