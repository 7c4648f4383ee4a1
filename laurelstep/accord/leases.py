"""Leases by the agreed record: at most one process holds a name at a time, each by its own clock. Pure.

1. A grant is an entry: name, who holds it, for how long, and the number of the lease it follows. It holds
   only if that one is the last: so of two grants for one name, by a leader and by one that was, one does
   nothing. Its number is its place.
2. The holder counts from when it asked, which it knows by a number drawn for each: one that came again, with
   a lasting store as the same incarnation, has asked for none of what its former life was granted. It counts
   for (1 - drift) of the time. It holds by its own clock alone, whether or not it hears of the others.
3. All others count from when they learned of the grant, for (1 + drift) of the time. A leader grants a name
   to another only when it is over by this count. What a snapshot brings is learned when it arrives.
4. As a grant is learned after it was asked for, and no clock is off by more than the drift, the holder stops
   first.
5. The holder may renew at any time. It may give the lease back: it stops first, and says so then.
6. A new era may have begun without grants that its predecessor agreed (founding.py, rule 6). Whoever asked
   for those asked before it began: so after it learned of an era, a leader grants nothing for the longest
   lease there may be, by the count of rule 3.
7. No wall clock is read. A name is at most 64 characters, there are at most 64 names, and no lease is longer
   than the longest.
"""

from __future__ import annotations

import dataclasses
import math
import random
from typing import Annotated, Final

import msgspec

from laurelstep.accord.errors import EntryError
from laurelstep.accord.terms import Era

__all__ = ["NAMES_MOST", "NAME_MOST", "Leases"]

NAME_MOST: Final = 64
NAMES_MOST: Final = 64

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_MOST)]


class _Grant(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Rule 1; as a word to the leader, `after` is left to it."""

    name: Name
    after: int
    peer: int
    incarnation: int
    # Drawn by the holder: by it it knows when it asked.
    ask: int
    lease_us: Annotated[int, msgspec.Meta(gt=0, lt=1 << 48)]


class _Back(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Rule 5: that lease is given back."""

    name: Name
    number: int


class _Lease(msgspec.Struct, array_like=True, frozen=True):
    number: int
    grant: _Grant


_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[_Grant | _Back] = msgspec.msgpack.Decoder(_Grant | _Back)
_all: msgspec.msgpack.Decoder[dict[str, _Lease]] = msgspec.msgpack.Decoder(dict[str, _Lease])


@dataclasses.dataclass(slots=True)
class _Asked:
    name: str
    incarnation: int
    at: int


class Leases:
    """A Machine, and this process's count of time beside it."""

    def __init__(self, me: int, drift: float, longest_us: int, draw: random.Random) -> None:
        """`drift` and `longest_us` are the same in all processes."""
        self._me = me
        self._drift = drift
        self._longest_us = longest_us
        self._leases: dict[str, _Lease] = {}
        # When this process learned of a lease's number, µs; not there until `observe`.
        self._learned: dict[str, tuple[int, int]] = {}
        # The newest era that this process learned of, and when.
        self._era: tuple[Era, int] | None = None
        self._asked: dict[int, _Asked] = {}
        self._draw = draw
        self.ignored = 0

    # The machine

    def apply(self, index: int, data: bytes) -> None:
        try:
            entry = _decoder.decode(data)
        except (msgspec.DecodeError, ValueError):
            self.ignored += 1
            return
        last = self._leases.get(entry.name)
        number = 0 if last is None else last.number
        if isinstance(entry, _Back):
            if last is not None and entry.number == number:
                del self._leases[entry.name]
        elif entry.after == number and self._fits(entry, last):
            self._leases[entry.name] = _Lease(index, entry)
        else:
            self.ignored += 1

    def _fits(self, grant: _Grant, last: _Lease | None) -> bool:
        return grant.lease_us <= self._longest_us and (last is not None or len(self._leases) < NAMES_MOST)

    def dump(self) -> bytes:
        return _encode(dict(sorted(self._leases.items())))

    def load(self, raw: bytes) -> None:
        self._leases = _all.decode(raw) if raw else {}

    # The holder's side

    def ask(self, now: int, incarnation: int, name: str, lease_us: int) -> bytes:
        """The word to the leader that asks for the name, or renews it. Raises EntryError: out of bounds."""
        if not 0 < lease_us <= self._longest_us:
            raise EntryError(f"a lease of {lease_us} µs, of {self._longest_us} at most")
        if not 0 < len(name) <= NAME_MOST:
            raise EntryError(f"a name of {len(name)} characters, of {NAME_MOST} at most")
        ask = self._draw.getrandbits(64)
        self._asked[ask] = _Asked(name, incarnation, now)
        self._forget(name)
        return _encode(_Grant(name, 0, self._me, incarnation, ask, lease_us))

    def _forget(self, name: str) -> None:
        """Of one name's asks the last four are kept, and the one that holds."""
        holding = self._leases.get(name)
        held = holding.grant.ask if holding is not None else 0
        asks = [ask for ask, asked in self._asked.items() if asked.name == name and ask != held]
        for ask in asks[:-4]:
            del self._asked[ask]

    def holds(self, now: int, name: str) -> bool:
        """Whether this process holds the name; rule 2."""
        lease = self._leases.get(name)
        return lease is not None and now < self.ends(lease.grant)

    def ends(self, grant: _Grant) -> int:
        """When this process stops to hold by that grant: 0 where it is another's."""
        asked = self._asked.get(grant.ask)
        if grant.peer != self._me or asked is None:
            return 0
        if (asked.name, asked.incarnation) != (grant.name, grant.incarnation):
            return 0
        return asked.at + math.floor(grant.lease_us * (1 - self._drift))

    def give_back(self, name: str) -> bytes | None:
        """Stop holding; gives the word that says so, if there is a lease to give back."""
        lease = self._leases.get(name)
        self._asked = {ask: asked for ask, asked in self._asked.items() if asked.name != name}
        if lease is None or lease.grant.peer != self._me:
            return None
        return _encode(_Back(name, lease.number))

    # The leader's side

    def observe(self, now: int, era: Era) -> None:
        """After every step that changed the record: what is new is learned now."""
        if self._era is None or self._era[0] != era:
            self._era = (era, now)
        learned = {}
        for name, lease in self._leases.items():
            before = self._learned.get(name)
            known = before is not None and before[0] == lease.number
            learned[name] = before if before is not None and known else (lease.number, now)
        self._learned = learned

    def entry(self, now: int, era: Era, peer: int, incarnation: int, word: bytes) -> bytes | None:
        """What a leader proposes when it hears that word from that process; None: nothing, or not yet.

        `era` is the one it leads in.
        """
        self.observe(now, era)
        try:
            asked = _decoder.decode(word)
        except (msgspec.DecodeError, ValueError):
            self.ignored += 1
            return None
        last = self._leases.get(asked.name)
        if isinstance(asked, _Back):
            mine = last is not None and last.number == asked.number and last.grant.peer == peer
            return word if mine else None
        if (asked.peer, asked.incarnation) != (peer, incarnation):
            self.ignored += 1
            return None
        if not self._may_follow(now, last, asked):
            return None
        return _encode(msgspec.structs.replace(asked, after=0 if last is None else last.number))

    def _may_follow(self, now: int, last: _Lease | None, asked: _Grant) -> bool:
        """Rules 3 and 6."""
        if self._era is None or now < self._era[1] + self.others_wait(self._longest_us):
            return False
        if last is None or (last.grant.peer, last.grant.incarnation) == (asked.peer, asked.incarnation):
            return True
        _, learned_at = self._learned[asked.name]
        return now >= learned_at + self.others_wait(last.grant.lease_us)

    def others_wait(self, lease_us: int) -> int:
        """How long others wait for such a lease from when they learned of it, µs."""
        return math.ceil(lease_us * (1 + self._drift)) + 1
