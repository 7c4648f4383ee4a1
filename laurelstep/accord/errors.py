"""What can go wrong in what is shared: each type with its cause and what an operator can do."""

from __future__ import annotations

from typing import ClassVar

from laurelstep.errors import LaurelstepError

__all__ = [
    "AccordError",
    "BusyError",
    "EntryError",
    "KeptError",
    "LinkError",
    "NotLeadingError",
    "StoreFaultError",
]


class AccordError(LaurelstepError):
    """Any fault of what the processes of a tier share."""

    cause: ClassVar[str] = "something the processes of a tier share could not be done"
    remedy: ClassVar[str] = "read the message; see that a majority of the seats is up and hears each other"


class NotLeadingError(AccordError):
    """A proposal was made where another process leads, or none. `leader` is its number, if known."""

    cause: ClassVar[str] = "this process does not lead, so it can't put an entry in order"
    remedy: ClassVar[str] = "ask the process that leads; where none does, bring a majority of the seats back"

    def __init__(self, leader: int | None) -> None:
        super().__init__("no process leads" if leader is None else f"peer {leader} leads")
        self.leader = leader


class BusyError(AccordError):
    """Too many proposals wait for agreement."""

    cause: ClassVar[str] = "as many proposals as are allowed wait for agreement"
    remedy: ClassVar[str] = "ask again in a second; if it stays, see that a majority of the seats is up"


class EntryError(AccordError, ValueError):
    """An entry or a word is longer than a datagram carries."""

    cause: ClassVar[str] = "what was to be agreed is longer than one datagram carries"
    remedy: ClassVar[str] = "name fewer things, or name them by zone, cell or kind"


class LinkError(AccordError, ValueError):
    """A datagram is too long, or goes to no listed peer."""

    cause: ClassVar[str] = "a datagram over 256 bytes, or to a peer that is not in the list"
    remedy: ClassVar[str] = "see that `peers` lists every process of the tier, in the same order everywhere"


class KeptError(AccordError):
    """What a lasting store gave back can't be read."""

    cause: ClassVar[str] = "what was kept of the record is not readable, or of another list of peers"
    remedy: ClassVar[str] = "move the folder in `store_path` away; the process comes again from nothing"


class StoreFaultError(AccordError):
    """The disk under a lasting store fails, for now: this store is of no more use, one opened anew may be."""

    cause: ClassVar[str] = "the disk under what a process keeps for the tier fails for now"
    remedy: ClassVar[str] = "see to the disk; the process takes part again by itself"
