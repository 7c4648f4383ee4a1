"""What an edge has learned from upstream's copies, and what it asks and tells them next. Pure.

1. Asked for are the fates of the foreign writes that the outbox waits for and of its own that may have run,
   and claims of the logs of former lives. Told is what becomes of own writes that no gate saw: parked,
   parked no more, given up, in by a resolution; and up to which number all of a log are over.
2. One ask is out at a time. What is new goes at once; the rest in turns, `ROUND_MOST` asks of them, then a
   pause of 1 s, doubled up to 8 s while nothing changes, drawn between half and all of it. When the link
   is back, and when something has changed, the pause is the shortest again. While the edge is cut off nothing
   is asked but `probe`: where nothing is sent, as all waits for others or for claims, a link that is back is
   seen by nothing else.
3. APPLIED and ABANDONED are final; PARKED may change. A log of a former life is held only once a claim is;
   one that is fenced is not held again unless an operator claims it.
4. That the logs' holders are durable before a claim is asked is for the driver: it calls `claim` after that.
5. What was told is told again each `AGAIN_US`: the record may have been lost with all that kept it. "All up
   to a number are over" goes behind those given up, and where those were told before, only as they are told
   again: in a record that does not know them they would be taken for in.
6. What is asked for is bounded by what the outbox keeps, all else here. What others wait for and finds no
   room (`tell` says False) is told later; of parked writes and of fates, the oldest are forgotten: that costs
   an explanation, or a question more.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.known_statuses import FINAL_STATUSES, KnownStatuses
from laurelstep.outbox.shared.messages import (
    QUERIED_MOST,
    LeaseRequest,
    LeaseStatus,
    QueryReply,
    ReplayQuery,
    StatusUpdate,
)
from laurelstep.outbox.shared.query_round import ROUND_MOST, QueryBackoff, QueryOutcome, QueryRound, bounded
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = ["RemoteVersionVector"]

AGAIN_US: Final = 60_000_000
# Statements of own writes that are remembered.
SAID_MOST: Final = 4_096


class RemoteVersionVector:
    """A `VersionVector` behind which upstream's record stands. `edge_log`: of this life, which needs no
    claim.
    """

    def __init__(self, edge_log: EdgeLog, random: Random) -> None:
        self.edge_log = edge_log
        self.incarnation = edge_log.incarnation
        self._statuses = KnownStatuses()
        self._held = {edge_log}
        self._fenced: set[EdgeLog] = set()
        self._open_claims: dict[EdgeLog, LeaseRequest] = {}
        self._claimed: dict[EdgeLog, LeaseRequest] = {}  # of those that are held: asked again by rule 5
        self._said: dict[Dependency, StatusUpdate] = {}
        self._low: dict[EdgeLog, int] = {}
        self._told_low: dict[EdgeLog, int] = {}
        self._ungiven: dict[EdgeLog, set[int]] = {}  # by log: given up, and not told yet
        self._untold: set[Dependency] = set()
        self._asked: QueryRound[Dependency] = QueryRound()
        self._claims: QueryRound[EdgeLog] = QueryRound()
        self._tells: QueryRound[Dependency] = QueryRound()
        self._out: ReplayQuery | None = None
        self._left = 0  # asks of this round that are still to come
        self._backoff = QueryBackoff(random)
        self._again_at: int | None = None

    # --- What is known ----------------------------------------------------------------

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """What was last heard of a write of another log."""
        return self._statuses.get(dependency)

    def holds(self, edge_log: EdgeLog) -> bool:
        """This process may replay the log."""
        return edge_log in self._held

    def fenced(self, edge_log: EdgeLog) -> bool:
        """Another process holds the log."""
        return edge_log in self._fenced

    # --- What is to be asked ----------------------------------------------------------

    def watch(self, dependencies: Iterable[Dependency]) -> None:
        """Their fates are of use from now on."""
        for dependency in dependencies:
            if not self._statuses.is_final(dependency):
                self._asked.add(dependency)

    def request_lease(self, edge_log: EdgeLog, known_holders: Iterable[int], is_forced: bool = False) -> None:
        """Ask for it. `known`: as they came; that this life is among them is durable."""
        others = [
            incarnation for incarnation in dict.fromkeys(known_holders) if incarnation != self.incarnation
        ]
        others = list(bounded(others))
        if is_forced:
            self._fenced.discard(edge_log)
            self._drop_unbegun(edge_log)
        if edge_log not in self._fenced:
            self._open_claims[edge_log] = LeaseRequest(edge_log, self.incarnation, tuple(others), is_forced)
            self._claims.add(edge_log)

    def on_fencing_reported(self, edge_log: EdgeLog) -> bool:
        """A gate refused a write of it as another life's. True if that is so; otherwise the record may have
        been lost, and it is claimed again first.
        """
        request = self._claimed.get(edge_log)
        if request is None or edge_log in self._fenced:
            if edge_log not in self._open_claims:
                self._fence(edge_log)
            return edge_log in self._fenced
        self._held.discard(edge_log)
        del self._claimed[edge_log]
        self._open_claims[edge_log] = request
        self._claims.add(edge_log)
        return False

    def _fence(self, edge_log: EdgeLog) -> None:
        self._fenced.add(edge_log)
        self._held.discard(edge_log)
        self._claimed.pop(edge_log, None)
        self._open_claims.pop(edge_log, None)
        self._claims.drop(edge_log)
        self._drop_unbegun(edge_log)

    def _drop_unbegun(self, edge_log: EdgeLog) -> None:
        """The word was on what this process sent. Another may have sent it since."""
        for dependency in [
            dependency
            for dependency, told in self._said.items()
            if told.withdraw_intent and dependency.edge_log == edge_log
        ]:
            self._unsay(dependency)

    # --- What is to be told -----------------------------------------------------------

    def publish(self, write_id: WriteId, write_status: WriteStatus) -> bool:
        """What became of an own write: UNKNOWN if it is parked no more. False if there is no room."""
        dependency = Dependency(*write_id)
        if write_status is WriteStatus.APPLIED and write_id.number <= self._told_low.get(
            write_id.edge_log, 0
        ):
            self._unsay(dependency)
            return True
        before = self._said.get(dependency)
        if write_status is WriteStatus.UNKNOWN and (before is None or before.withdraw_intent):
            return True
        if not self._room(dependency, write_status):
            return False
        if write_status is WriteStatus.ABANDONED:
            self._ungiven.setdefault(write_id.edge_log, set()).add(write_id.number)
        self._say(dependency, StatusUpdate(write_id, write_status, self.incarnation))
        return True

    def withdraw_intent(self, write_id: WriteId, parking: int) -> None:
        """An operator says of a parking that it never ran. `QueryOutcome.unbegun` has it once the record
        says so.
        """
        self._say(
            Dependency(*write_id),
            StatusUpdate(
                write_id, WriteStatus.UNKNOWN, self.incarnation, withdraw_intent=True, parking=parking
            ),
        )

    def publish_low_watermark(self, edge_log: EdgeLog, number: int) -> bool:
        """All of an own log up to a number are over."""
        if number <= self._low.get(edge_log, 0):
            return True
        self._low[edge_log] = number
        dependency = Dependency(*edge_log, 0, True)
        told = StatusUpdate(WriteId(*edge_log, number), WriteStatus.APPLIED, self.incarnation, before=True)
        if self._has_told_gone(edge_log):
            self._said[dependency] = told  # rule 5
        else:
            self._say(dependency, told, urgent=False)
        return True

    def is_unpublished(self, write_id: WriteId) -> bool:
        """What was told of an own write is not known upstream yet."""
        return Dependency(*write_id) in self._untold

    def _has_told_gone(self, edge_log: EdgeLog) -> bool:
        return any(
            told.write_status is WriteStatus.ABANDONED
            and told.write_id.edge_log == edge_log
            and dependency not in self._untold
            for dependency, told in self._said.items()
        )

    def _room(self, dependency: Dependency, write_status: WriteStatus) -> bool:
        """Final ones make room for themselves among those parked, those given up that the record knows, and
        those of a fenced log, of which it would believe nothing.
        """
        if dependency in self._said or len(self._said) < SAID_MOST:
            return True
        if write_status not in FINAL_STATUSES:
            return False
        for one, told in self._said.items():
            is_known = one not in self._untold and told.write_status is WriteStatus.ABANDONED
            if is_known or told.write_status is WriteStatus.PARKED or one.edge_log in self._fenced:
                self._unsay(one)
                return True
        return False

    def _say(self, dependency: Dependency, told: StatusUpdate, urgent: bool = True) -> None:
        self._said[dependency] = told
        self._untold.add(dependency)
        if dependency.edge_log in self._held:
            self._tells.add(dependency, urgent)

    def _unsay(self, dependency: Dependency) -> None:
        self._said.pop(dependency, None)
        self._untold.discard(dependency)
        self._tells.drop(dependency)
        self._given(dependency)

    def _given(self, dependency: Dependency) -> None:
        """It was told, or is not to be told any more: the log's number may go."""
        numbers = self._ungiven.get(dependency.edge_log)
        if numbers is None:
            return
        numbers.discard(dependency.number)
        if not numbers:
            del self._ungiven[dependency.edge_log]
            low = Dependency(*dependency.edge_log, 0, True)
            if low in self._untold and dependency.edge_log in self._held:
                self._tells.add(low, urgent=False)

    def _tellable(self, dependency: Dependency) -> bool:
        if dependency not in self._untold or dependency.edge_log not in self._held:
            return False
        return not dependency.before or dependency.edge_log not in self._ungiven

    # --- Asking -----------------------------------------------------------------------

    def on_link_up(self, now: int) -> None:
        """There is a way upstream again."""
        self._backoff.end(now)

    def wait(self, now: int) -> int:
        """µs until something may be asked, if anything is to be."""
        if self._asked.new or self._claims.new or self._tells.new:
            return 0
        return max(0, self._backoff.next_at - now)

    def next(self, now: int, needs_status: Callable[[Dependency], bool]) -> ReplayQuery | None:
        """What is to be asked now; `answered` or `failed` is called for it. `needs_status`: whether a fate is
        still of use.
        """
        if self._again_at is None:
            self._again_at = now + AGAIN_US
        elif now >= self._again_at:
            self._again_at = now + AGAIN_US
            self._tell_again()
        if self._out is not None or self.wait(now):
            return None
        if now < self._backoff.next_at:
            self._left = 1  # for what is new
        elif not self._left:
            most = max(len(self._asked), len(self._claims), len(self._tells))
            self._left = min(ROUND_MOST, -(-most // QUERIED_MOST))
        ask = ReplayQuery(
            tuple(self._asked.take(needs_status)),
            tuple(self._claim_of(edge_log) for edge_log in self._claims.take(self._is_claim)),
            tuple(self._said[dependency] for dependency in self._tells.take(self._tellable)),
        )
        self._left = max(0, self._left - 1)
        if not (ask.dependencies or ask.lease_requests or ask.status_updates):
            return None
        self._out = ask
        return ask

    def probe(self, now: int) -> ReplayQuery | None:
        """While cut off: an ask without a question, at the pace of the others."""
        if self._out is not None or now < self._backoff.next_at:
            return None
        self._left = 0
        self._out = ReplayQuery()
        return self._out

    @property
    def waits(self) -> bool:
        """There is something to ask or tell."""
        return bool(len(self._asked) or len(self._claims) or len(self._tells))

    def _is_claim(self, edge_log: EdgeLog) -> bool:
        return edge_log in self._open_claims or edge_log in self._claimed

    def _claim_of(self, edge_log: EdgeLog) -> LeaseRequest:
        return self._open_claims.get(edge_log) or self._claimed[edge_log]

    def _tell_again(self) -> None:
        """Rule 5."""
        for dependency, told in self._said.items():
            self._untold.add(dependency)
            if told.write_status is WriteStatus.ABANDONED:
                self._ungiven.setdefault(dependency.edge_log, set()).add(dependency.number)
            if dependency.edge_log in self._held:
                self._tells.add(dependency, urgent=False)
        for edge_log in self._claimed:
            self._claims.add(edge_log, urgent=False)

    def on_query_failed(self, now: int) -> None:
        """No answer, or none that can be read."""
        self._out, self._left = None, 0
        self._backoff.begin(now)

    def on_reply(self, answer: QueryReply, now: int) -> QueryOutcome:
        """To the ask that is out. What an answer is too short for is asked again."""
        ask, self._out = self._out, None
        news = QueryOutcome()
        if ask is None:
            return news
        moved = ask == ReplayQuery()  # a probe: the link may be back
        for dependency, write_status in zip(ask.dependencies, answer.write_statuses, strict=False):
            moved |= self._learn(dependency, write_status, news)
        for request, became in zip(ask.lease_requests, answer.lease_statuses, strict=False):
            moved |= self._settle(request, became, news)
        for told, is_agreed in zip(ask.status_updates, answer.agreements, strict=False):
            moved |= is_agreed
            if is_agreed:
                self._has_been_told(told, news)
        if moved:
            self._backoff.shorten()
        if not self._left:
            self._backoff.begin(now)
        return news

    def _learn(self, dependency: Dependency, write_status: WriteStatus, news: QueryOutcome) -> bool:
        if self._own(dependency.edge_log):
            if write_status is WriteStatus.APPLIED and not dependency.before:
                news.own_applied.append(dependency.write_id)
            return write_status is WriteStatus.APPLIED
        is_new = self._statuses.update(dependency, write_status)
        if self._statuses.is_final(dependency):
            self._asked.drop(dependency)
        news.changed |= is_new
        return is_new

    def _own(self, edge_log: EdgeLog) -> bool:
        return edge_log.edge == self.edge_log.edge and (
            edge_log in self._held or edge_log in self._fenced or edge_log in self._open_claims
        )

    def _settle(self, request: LeaseRequest, became: LeaseStatus, news: QueryOutcome) -> bool:
        edge_log = request.edge_log
        if not self._is_claim(edge_log) or self._claim_of(edge_log) is not request:
            return False  # something else is asked for it by now
        if became is LeaseStatus.FENCED:
            self._fence(edge_log)
            news.fenced.append(edge_log)
            return True
        if became is not LeaseStatus.HELD:
            return False
        self._claims.drop(edge_log)
        if edge_log in self._claimed:
            return False
        self._open_claims.pop(edge_log)
        # Asked again without force: an operator's word counts once.
        self._claimed[edge_log] = LeaseRequest(edge_log, request.incarnation, request.known_holders)
        self._held.add(edge_log)
        for dependency in self._said:
            if dependency.edge_log == edge_log and dependency in self._untold:
                self._tells.add(dependency)
        news.held.append(edge_log)
        news.changed = True
        return True

    def _has_been_told(self, told: StatusUpdate, news: QueryOutcome) -> None:
        dependency = (
            Dependency(*told.write_id.edge_log, 0, True) if told.before else Dependency(*told.write_id)
        )
        if self._said.get(dependency) is not told:
            return  # something else is to be told of it by now
        if told.withdraw_intent:
            news.withdrawn.append(told.write_id)
            news.changed = True
        if told.before:
            self._told_low[dependency.edge_log] = told.write_id.number
            self._drop_below(told.write_id)
        if told.write_status is WriteStatus.UNKNOWN:
            self._unsay(dependency)
            return
        self._untold.discard(dependency)
        self._tells.drop(dependency)
        self._given(dependency)

    def _drop_below(self, write_id: WriteId) -> None:
        """In, and told by a number now."""
        below = [
            dependency
            for dependency, told in self._said.items()
            if dependency.edge_log == write_id.edge_log and not dependency.before
            and dependency.number <= write_id.number and told.write_status is WriteStatus.APPLIED
        ]  # fmt: skip
        for dependency in below:
            self._unsay(dependency)
