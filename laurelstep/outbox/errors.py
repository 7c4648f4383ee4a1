"""The errors of the outbox, each with its cause and what an operator can do."""

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
    """Base of the errors about an edge's queued writes."""

    cause: ClassVar[str] = "an operation on the queued writes of this edge failed; nothing was changed"
    remedy: ClassVar[str] = "see the type of the error"


class CauseError(OutboxError, ValueError):
    """The dependencies that a request names for its write are invalid."""

    cause: ClassVar[str] = (
        "the dependencies that a request names for its write are invalid; the write was not queued"
    )
    remedy: ClassVar[str] = (
        "see the type of the error; the client can send the write without naming dependencies"
    )


class TokenError(CauseError):
    """A token or receipt is too long, malformed, or not signed with this secret."""

    cause: ClassVar[str] = "a receipt or token is forged, damaged, too long, or of edges with another secret"
    remedy: ClassVar[str] = (
        "give all edges and upstream copies the same outbox.secret_file; otherwise check that client"
    )


class FutureError(CauseError):
    """A receipt names a number that this edge's current incarnation has not given out."""

    cause: ClassVar[str] = "a receipt names a write that this edge has not queued yet"
    remedy: ClassVar[str] = "check whether another machine runs as this edge, and who has the edges' secret"


class CycleError(CauseError):
    """A write would depend on a write that depends on it."""

    cause: ClassVar[str] = "a repeat makes a queued write depend on a write that depends on it"
    remedy: ClassVar[str] = (
        "correct the client: a repeat names the same dependencies as the first request, or none"
    )


class LooseError(CauseError):
    """A request names more dependencies than a write may have."""

    cause: ClassVar[str] = "a write names more dependencies than one may have"
    remedy: ClassVar[str] = "correct the client: the receipt of its last write covers all its earlier writes"


class KeepError(OutboxError):
    """A write may not be queued: its class is not configured, or it lacks what the class requires."""

    cause: ClassVar[str] = (
        "a write is of a class that is not queued, or does not have what its class requires"
    )
    remedy: ClassVar[str] = (
        "name its class in outbox.classes, and see that its client sends a key if it is keyed"
    )


class FullError(OutboxError):
    """A bound of the outbox is reached. `retry_us`: when the client should retry, in µs from now."""

    cause: ClassVar[str] = (
        "the outbox is full: its bytes, its count of writes, or one tenant's share is used up"
    )
    remedy: ClassVar[str] = "restore the link, resolve parked writes, or raise the bound that the text names"

    def __init__(self, text: str, retry_us: int) -> None:
        super().__init__(text)
        self.retry_us = retry_us


class KeptRecordError(OutboxError, ValueError):
    """A record in the outbox's store can't be read."""

    cause: ClassVar[str] = "a record of a queued write can't be read, or is of a later version"
    remedy: ClassVar[str] = "run `laurelstep store verify PATH`; return to the later version if there was one"


class UnknownWriteError(OutboxError):
    """No write has this id, or its receipt has expired."""

    cause: ClassVar[str] = "no write with this id is known here, or its receipt has expired"
    remedy: ClassVar[str] = "query the edge that the receipt names, within outbox.receipt_s"


class VerdictError(OutboxError):
    """A resolution can't be applied: another one was given first, or the write is not parked."""

    cause: ClassVar[str] = "the write is not parked, or another verdict on this parking was given first"
    remedy: ClassVar[str] = (
        "read its receipt again: it has the state, the number of the parking and the verdict"
    )


class StepError(OutboxError):
    """A transition that the table of states does not allow."""

    cause: ClassVar[str] = "a queued write was given a transition that its state does not allow"
    remedy: ClassVar[str] = "report it with the text: this is a fault of the program; the write is unchanged"
