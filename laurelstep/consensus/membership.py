"""Membership changes: the leader decides which incarnations vote. No I/O. Dissertation 4.1 (single-server
changes) and 4.2.1 (catching up new servers).

1. A member is an incarnation of a voter. The numbers of the voters never change. A process that restarts with
   an empty state is a new incarnation, and votes only once the configuration names it.
2. The leader requests the identity of a voter, with a nonce, in three cases: the voter is not a member; it
   has not answered for an election timeout; or another incarnation answered than the expected one.
3. If an incarnation other than the member answers, the member no longer exists: it existed before the nonce
   was drawn, the other one exists after it, and the address of a voter has one owner at a time. The answer
   counts only while the configuration names the same incarnation as when the nonce was drawn.
4. An incarnation that no longer exists is removed. The new one is sent the log, and is added once it has all
   committed entries. Removal and addition are separate changes, one at a time, so that any two majorities of
   successive configurations overlap.
5. A change is proposed only once an entry of the leader's own term (Ongaro's correction of 2015) and the
   previous change are committed.
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
    """A pending request for a voter's identity."""

    nonce: int
    # The incarnation that the configuration named when the request was sent, None if the voter was no member.
    member_incarnation: int | None
    requested_at_us: int


class MembershipManager:
    """Replaces ended incarnations of voters while this replica leads. See the rules of the module."""

    def __init__(self, state: ReplicaState, leader: Leader) -> None:
        self._state = state
        self._leader = leader
        self._queries: dict[int, _IdentityQuery] = {}

    def reset(self) -> None:
        """Discard pending queries. Called when this replica becomes the leader."""
        self._queries = {}

    def on_heartbeat(self) -> None:
        """Look for ended and new incarnations. Called with each heartbeat round of the leader."""
        if not self._leader.is_leading:
            return
        for voter_id in self._state.other_voters:
            if self._needs_identity(voter_id):
                self._request_identity(voter_id)
        self._leader.unexpected_voters.clear()
        self._add_caught_up()

    def _needs_identity(self, voter_id: int) -> bool:
        """Whether the current incarnation of a voter is uncertain (rule 2)."""
        if voter_id in self._leader.unexpected_voters:
            return True
        progress = self._leader.progress.get(voter_id)
        return progress is None or self._is_response_overdue(progress.last_response_us)

    def _is_response_overdue(self, last_response_us: int) -> bool:
        state = self._state
        return state.now_us - last_response_us > state.timing.election_timeout_us

    def _request_identity(self, voter_id: int) -> None:
        state = self._state
        query = self._queries.get(voter_id)
        if query is not None and state.now_us - query.requested_at_us < state.timing.election_timeout_us:
            return
        nonce = state.rng.getrandbits(64)
        member_incarnation = state.log.config.members.get(voter_id)
        self._queries[voter_id] = _IdentityQuery(nonce, member_incarnation, state.now_us)
        state.send(voter_id, IdentityRequest(nonce))

    def on_identity_response(self, peer: int, message: IdentityResponse) -> None:
        """Remove an ended incarnation, and replicate to the new one (rules 3 and 4)."""
        query = self._queries.get(peer)
        if not self._leader.is_leading or query is None or query.nonce != message.nonce:
            return
        del self._queries[peer]
        member_incarnation = self._state.log.config.members.get(peer)
        if member_incarnation != query.member_incarnation:
            return
        if member_incarnation is None:
            progress = self._leader.progress.get(peer)
            if progress is None or progress.incarnation != message.incarnation:
                self._leader.track(peer, message.incarnation)
        elif member_incarnation != message.incarnation and self.may_change():
            self._remove(peer)
            # The new incarnation is already known, so no further request is needed.
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
        """Add the first new incarnation that has all committed entries (rule 4)."""
        state = self._state
        for voter_id, progress in self._leader.progress.items():
            if not self.may_change():
                return
            if voter_id in state.log.config.members or progress.match_index < state.committed_index:
                continue
            if self._is_response_overdue(progress.last_response_us):
                continue
            state.counters[ReplicaCounter.MEMBERS_ADDED] += 1
            self._leader.propose_config({**state.log.config.members, voter_id: progress.incarnation})
            return
