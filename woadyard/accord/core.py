"""The core: one process's share of the agreed record. Interface; the rules follow."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from woadyard.accord.ports import Machine
from woadyard.accord.terms import Effects, Era, Timing

__all__ = ["Core"]


class Core:
    """One process. Every method is a step: it takes the time in µs and gives what is to be done.

    `due` is the time of the next `tick`, and changes with every step. `incarnation` changes too, where a process has to
    come again as another one (founding.py, rule 7): read it, don't keep it.
    """

    role: str  # "leader", "candidate", "follower", "frozen" or "learner"
    leader: int | None
    term: int
    era: Era
    committed: int
    applied: int
    known: bool
    incarnation: int
    due: int
    counters: dict[str, int]
    # The leader hears words: peer, incarnation, data.
    heard: Callable[[int, int, bytes], None]

    def __init__(
        self,
        me: int,
        peers: int,
        seats: int,
        incarnation: int,
        machine: Machine,
        timing: Timing,
        draw: random.Random,
        kept: Mapping[bytes, bytes] | None = None,
    ) -> None:
        """`incarnation`: 64 random bits, for a start from nothing; what is `kept` has its own. Raises KeptError."""
        raise NotImplementedError

    def start(self, now: int) -> Effects:
        """Once, before any other step."""
        raise NotImplementedError

    def receive(self, now: int, peer: int, raw: bytes) -> Effects:
        """Take a datagram. Never raises for any bytes: what is unreadable or foreign is dropped and counted."""
        raise NotImplementedError

    def tick(self, now: int) -> Effects:
        """Do what is due. Harmless at any time."""
        raise NotImplementedError

    def propose(self, now: int, data: bytes) -> Effects:
        """Put an entry in order. Raises NotLeadingError, BusyError, EntryError (over ENTRY_MOST bytes)."""
        raise NotImplementedError

    def word(self, now: int, data: bytes) -> Effects:
        """A small message to whoever leads, unordered and perhaps lost. Raises EntryError (over WORD_MOST)."""
        raise NotImplementedError

    def in_touch(self, now: int) -> bool:
        """Whether this process has heard lately of a leader that a majority follows."""
        raise NotImplementedError

    def retire(self) -> dict[bytes, bytes]:
        """Stop for good: later steps do nothing. Gives what a successor of the same incarnation is made from."""
        raise NotImplementedError
