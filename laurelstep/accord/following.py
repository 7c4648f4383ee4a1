"""A seat's side of what a leader sends. Pure. Raft, section 5.3 and 7.

1. A message of an earlier term is answered with the later one, and changes nothing.
2. Entries are taken where the one before them matches; what contradicts them is cut, never what is agreed.
3. Agreed is what the leader calls agreed, as far as this log is known to match.
4. A log of another era is replaced by the first whole snapshot of this one, and is kept until then.
"""

from __future__ import annotations

import msgspec

from laurelstep.accord.messages import Ack, Append, Chunk, Chunked
from laurelstep.accord.snapshots import Assembly
from laurelstep.accord.state import State

__all__ = ["Following"]


class Following:
    """See the rules."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._assembly = Assembly()

    def on_append(self, peer: int, message: Append) -> None:
        """The era is this process's own: the core saw to it."""
        state = self._state
        if not self._led_by(peer, message):
            return
        log = state.log
        if log.era != message.era:
            self._ack(peer, message, ok=False, match=-1)
        elif message.previous < log.start:
            # Agreed long ago; go on from there.
            self._ack(peer, message, ok=False, match=state.committed)
        elif log.term_at(message.previous) != message.previous_term:
            match = min(log.last, max(state.committed, message.previous - 1))
            self._ack(peer, message, ok=False, match=match)
        else:
            match = self._take(message)
            state.commit_to(min(message.commit, match))
            self._ack(peer, message, ok=True, match=match)

    def _take(self, message: Append) -> int:
        """Rule 2; gives the last place that matches."""
        state = self._state
        index = message.previous
        for entry in message.entries:
            index += 1
            term = state.log.term_at(index)
            if term == entry.term:
                continue
            if term is not None:
                state.cut(index - 1)
            state.take(entry)
        return index

    def on_chunk(self, peer: int, message: Chunk) -> None:
        state = self._state
        if not self._led_by(peer, message):
            return
        if state.log.era == message.era and message.index <= state.committed:
            self._ack(peer, message, ok=True, match=message.index)
            return
        got = self._assembly.add(message)
        snapshot = self._assembly.whole()
        if snapshot is None:
            state.send(
                peer,
                Chunked(
                    message.era,
                    state.incarnation,
                    state.term,
                    message.index,
                    message.crc,
                    got if got < message.total else 0,
                    message.round,
                ),
            )
            return
        try:
            state.install(snapshot)
        except msgspec.DecodeError:
            state.counters["unreadable"] += 1
            return
        self._ack(peer, message, ok=True, match=snapshot.index)

    def _led_by(self, peer: int, message: Append | Chunk) -> bool:
        """Rule 1."""
        state = self._state
        if message.term < state.term:
            self._ack(peer, message, ok=False, match=0)
            return False
        if message.term > state.term:
            state.enter_term(message.term)
        state.follow(peer)
        return True

    def _ack(self, peer: int, message: Append | Chunk, ok: bool, match: int) -> None:
        state = self._state
        state.send(peer, Ack(state.promised, state.incarnation, state.term, ok, match, message.round))
