"""Which incarnations vote: the leader's changes to the configuration. Pure. Dissertation 4.1 (one server at a
time), 4.2.1 (catching up).

1. A member is an incarnation of a voter. The voters' numbers never change; a process that restarts with an
   empty state is a new incarnation, and votes once the configuration names it.
2. The leader asks a voter who it is, with a nonce: where it is no member, where no answer came for an
   election timeout, and where another incarnation answered than the expected one.
3. The answer of another incarnation than the member's says that the member is gone for good: it lived before
   the nonce was made, the other one after, and a voter's address has one owner at a time. It counts only
   while the configuration names the same incarnation as when the nonce was made.
4. A dead incarnation is removed; the new one is sent the log, and added once it has all that is committed.
   Never one replaced by the other at once, and never two changes at a time: any two majorities of successive
   configurations overlap.
5. A change is proposed only when an entry of the leader's own term is committed (Ongaro's correction of
   2015), and the last change is.
"""

from __future__ import annotations

import dataclasses

from laurelstep.consensus.counters import ReplicaCounter
from laurelstep.consensus.leader import Leader
from laurelstep.consensus.messages import IdentityRequest, IdentityResponse
from laurelstep.consensus.state import ReplicaState

__all__ = ["MembershipManager"]


@dataclasses.dataclass(slots=True)
class _IdentityQuery:
    nonce: int
    # The incarnation that the configuration named when the question was asked.
    member: int | None
    asked_at_us: int


class MembershipManager:
    """Replaces dead incarnations of voters while this replica leads. See the rules."""

    def __init__(self, state: ReplicaState, leader: Leader) -> None:
        self._state = state
        self._leader = leader
        self._queries: dict[int, _IdentityQuery] = {}

    def reset(self) -> None:
        """Begin anew: this replica leads from now on."""
        self._queries = {}

    def on_heartbeat(self) -> None:
        """Look for dead and new incarnations, with each round of the leader's heartbeats."""
        if not self._leader.is_leading:
            return
        for voter_id in self._state.other_voters:
            if self._needs_identity(voter_id):
                self._request_identity(voter_id)
        self._leader.unexpected_voters.clear()
        self._add_caught_up()

    def _needs_identity(self, voter_id: int) -> bool:
        """Whether it is unclear which incarnation is there (rule 2)."""
        if voter_id in self._leader.unexpected_voters:
            return True
        progress = self._leader.progress.get(voter_id)
        return progress is None or self._is_silent(progress.last_response_us)

    def _is_silent(self, last_response_us: int) -> bool:
        state = self._state
        return state.now_us - last_response_us > state.timing.election_timeout_us

    def _request_identity(self, voter_id: int) -> None:
        state = self._state
        query = self._queries.get(voter_id)
        if query is not None and state.now_us - query.asked_at_us < state.timing.election_timeout_us:
            return
        nonce = state.rng.getrandbits(64)
        member = state.log.config.members.get(voter_id)
        self._queries[voter_id] = _IdentityQuery(nonce, member, state.now_us)
        state.send(voter_id, IdentityRequest(nonce))

    def on_identity_response(self, peer: int, message: IdentityResponse) -> None:
        """Remove a dead incarnation, and track the new one (rules 3 and 4)."""
        query = self._queries.get(peer)
        if not self._leader.is_leading or query is None or query.nonce != message.nonce:
            return
        del self._queries[peer]
        member = self._state.log.config.members.get(peer)
        if member != query.member:
            return
        if member is None:
            progress = self._leader.progress.get(peer)
            if progress is None or progress.incarnation != message.incarnation:
                self._leader.track(peer, message.incarnation)
        elif member != message.incarnation and self.may_change():
            self._remove(peer)
            # The new incarnation is known already: no need to ask again.
            self._leader.track(peer, message.incarnation)

    def may_change(self) -> bool:
        """Whether the configuration may be changed now (rule 5)."""
        state = self._state
        is_last_change_committed = state.log.config.index <= state.committed_index
        return self._leader.has_committed_in_term and is_last_change_committed

    def _remove(self, voter_id: int) -> None:
        members = dict(self._state.log.config.members)
        del members[voter_id]
        self._state.counters[ReplicaCounter.MEMBERS_REMOVED] += 1
        self._leader.propose_config(members)

    def _add_caught_up(self) -> None:
        """Add the first new incarnation that has all that is committed (rule 4)."""
        state = self._state
        for voter_id, progress in self._leader.progress.items():
            if not self.may_change():
                return
            if voter_id in state.log.config.members or progress.match_index < state.committed_index:
                continue
            if self._is_silent(progress.last_response_us):
                continue
            state.counters[ReplicaCounter.MEMBERS_ADDED] += 1
            self._leader.propose_config({**state.log.config.members, voter_id: progress.incarnation})
            return
