"""Leader election within one epoch. No I/O. Raft, sections 5.2 and 5.4.1; dissertation 9.6 (PreVote).

1. A voter campaigns only if its incarnation is a member in its own log's configuration and it is not frozen.
2. A campaign starts with PreVotes. The candidate increments the term only with a majority of PreVotes, so a
   replica that was partitioned does not disrupt the leader with a new term when it returns.
3. A voter grants a PreVote if the candidate's log is at least as up to date as its own, the requested term is
   later than its own, and it has heard from no leader for an election timeout.
4. A voter votes for one incarnation per term, whose log is at least as up to date as its own. The vote is
   persisted before it is sent.
5. A vote counts only if it comes from the incarnation that the candidate's newest configuration names; a
   majority of that configuration elects the leader. A process that restarts with an empty state is another
   incarnation, so it can't vote a second time because it forgot its first vote.
6. A voter that has no log of this epoch yet regards every candidate's log as at least as up to date.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from laurelstep.consensus.messages import RequestVoteRequest, RequestVoteResponse, short_incarnation
from laurelstep.consensus.state import ReplicaRole, ReplicaState
from laurelstep.consensus.timing import NEVER_US

__all__ = ["Election", "has_majority"]


def has_majority(members: Mapping[int, int], voters: Collection[int]) -> bool:
    """Whether `voters` include a majority of the members."""
    return 2 * sum(1 for voter_id in members if voter_id in voters) > len(members)


class Election:
    """Runs campaigns of this replica, and votes for others. See the rules of the module."""

    def __init__(self, state: ReplicaState, on_elected: Callable[[], None]) -> None:
        self._state = state
        self._on_elected = on_elected
        self._is_pre_vote = True
        self._votes: set[int] = set()

    def can_campaign(self) -> bool:
        """Whether this replica may start a campaign (rule 1)."""
        state = self._state
        member_incarnation = state.log.config.members.get(state.replica_id)
        return state.has_current_log and member_incarnation == state.incarnation

    def due_us(self) -> int:
        """Return the time at which `tick` must be called, in µs; NEVER_US if not at all."""
        state = self._state
        if state.role in (ReplicaRole.FOLLOWER, ReplicaRole.CANDIDATE) and self.can_campaign():
            return state.election_deadline_us
        return NEVER_US

    def tick(self) -> None:
        """Start a campaign if the election timer has expired."""
        if self._state.now_us >= self.due_us():
            self._campaign(is_pre_vote=True)

    def _campaign(self, is_pre_vote: bool) -> None:
        state = self._state
        state.role, state.leader_id = ReplicaRole.CANDIDATE, None
        state.reset_election_timer()
        self._is_pre_vote, self._votes = is_pre_vote, {state.replica_id}
        if not is_pre_vote:
            state.term += 1
            state.voted_for = (state.replica_id, state.incarnation)
            state.persist_hard_state()
        term = self._requested_term()
        for voter_id, incarnation in state.log.config.members.items():
            if voter_id != state.replica_id:
                request = RequestVoteRequest(
                    state.promised_epoch,
                    short_incarnation(incarnation),
                    state.incarnation,
                    term,
                    state.log.last_term,
                    state.log.last_index,
                    is_pre_vote,
                )
                state.send(voter_id, request)
        self._count_votes()

    def _requested_term(self) -> int:
        """Return the term that the current campaign asks votes for."""
        return self._state.term + 1 if self._is_pre_vote else self._state.term

    def _count_votes(self) -> None:
        if not self.has_enough_votes(self._votes):
            return
        if self._is_pre_vote:
            self._campaign(is_pre_vote=False)
        else:
            self._on_elected()

    def has_enough_votes(self, votes: Collection[int]) -> bool:
        """Whether the votes are enough to elect this replica (rule 5)."""
        return has_majority(self._state.log.config.members, votes)

    def on_vote_request(self, peer: int, message: RequestVoteRequest) -> None:
        """Answer a candidate. The caller has checked that the request is of this replica's epoch."""
        if message.is_pre_vote:
            self._answer_pre_vote(peer, message)
        else:
            self._answer_vote(peer, message)

    def _answer_pre_vote(self, peer: int, message: RequestVoteRequest) -> None:
        term = self._state.term
        granted = message.term > term and self._is_up_to_date(message) and not self._has_live_leader()
        self._respond(peer, message, message.term if granted else term, granted)

    def _answer_vote(self, peer: int, message: RequestVoteRequest) -> None:
        state = self._state
        if message.term > state.term:
            state.enter_term(message.term)
        granted = (
            message.term == state.term and self._may_vote_for(peer, message) and self._is_up_to_date(message)
        )
        if granted:
            state.voted_for = (peer, message.incarnation)
            state.persist_hard_state()
            state.reset_election_timer()
        self._respond(peer, message, state.term, granted)

    def _respond(self, peer: int, message: RequestVoteRequest, term: int, granted: bool) -> None:
        state = self._state
        response = RequestVoteResponse(
            state.promised_epoch,
            state.incarnation,
            message.incarnation,
            term,
            granted,
            message.is_pre_vote,
        )
        state.send(peer, response)

    def _may_vote_for(self, peer: int, message: RequestVoteRequest) -> bool:
        """Whether this replica has not voted in this term, or has voted for this candidate (rule 4)."""
        return self._state.voted_for in (None, (peer, message.incarnation))

    def _is_up_to_date(self, message: RequestVoteRequest) -> bool:
        """Whether the candidate's log is at least as up to date as this one (Raft, section 5.4.1)."""
        log = self._state.log
        if log.epoch != message.epoch:
            return True
        return (message.last_log_term, message.last_log_index) >= (log.last_term, log.last_index)

    def _has_live_leader(self) -> bool:
        """Whether a leader was heard from within the last election timeout (rule 3)."""
        state = self._state
        if state.role == ReplicaRole.LEADER:
            return True
        since_contact_us = state.now_us - state.last_leader_contact_us
        return state.leader_id is not None and since_contact_us < state.timing.election_timeout_us

    def on_vote_response(self, peer: int, message: RequestVoteResponse) -> None:
        """Count a granted vote, or enter the later term of a voter that refused."""
        state = self._state
        if message.epoch != state.promised_epoch or message.candidate != state.incarnation:
            return
        if not message.granted:
            if message.term > state.term:
                state.enter_term(message.term)
            return
        is_for_campaign = message.is_pre_vote == self._is_pre_vote and message.term == self._requested_term()
        if state.role != ReplicaRole.CANDIDATE or not is_for_campaign:
            return
        if state.log.config.members.get(peer) == message.incarnation:
            self._votes.add(peer)
            self._count_votes()
