"""What an edge knows from copies upstream, and its next queries to them. Pure.

1. Queries ask for the statuses of writes in other edges' logs that the outbox waits for, and of own writes
   that may have run, and for leases on the logs of earlier incarnations. They also report what became of own
   writes without a replay gate: parked, no longer parked, abandoned, or applied by an operator's resolution;
   and each log's low watermark, up to which all writes are final.
2. One query is in flight at a time. Urgent items are sent at once. The others take turns: a round of up to
   `MAX_ROUND_QUERIES` queries is followed by a pause of 1 s, which doubles up to 8 s while nothing changes
   and is drawn at random between half and all of that. The pause is the shortest again after the link
   has come back or something has changed. While the edge is cut off, only `next_probe` is sent: if all writes
   wait for other edges or for leases, no replay is tried, and nothing else would show that the link is back.
3. APPLIED and ABANDONED are final; PARKED may change. A log of an earlier incarnation is held only once its
   lease is granted. A fenced log is not held again unless an operator forces the lease.
4. The driver makes the known holders of a log durable before it calls `request_lease`.
5. All updates are sent again every `REPEAT_INTERVAL_US`, because the ledger may have been lost with all the
   copies that kept it. A low watermark is sent after the abandoned writes of its log; if those were published
   before, it is sent only with their next repetition. A ledger that does not know them would take them as
   applied.
6. The outbox's limits bound the statuses and leases that are asked for; limits in this module bound all
   other state. If there is no room for an update that other edges wait for, `publish` returns False and the
   update is published later. The oldest updates on parked writes are evicted, and other edges then may not
   learn that those are parked. The oldest known statuses are evicted, and are queried again when needed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.known_statuses import FINAL_STATUSES, KnownStatuses
from laurelstep.outbox.shared.messages import (
    MAX_QUERY_ITEMS,
    LeaseRequest,
    LeaseStatus,
    QueryReply,
    ReplayQuery,
    StatusUpdate,
)
from laurelstep.outbox.shared.query_round import (
    MAX_ROUND_QUERIES,
    QueryBackoff,
    QueryOutcome,
    QueryRound,
    bounded_holders,
)
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = ["RemoteVersionVector"]

REPEAT_INTERVAL_US: Final = 60_000_000
# Remembered updates on own writes and low watermarks.
MAX_UPDATES: Final = 4_096


class RemoteVersionVector:
    """The `VersionVector` of an edge whose upstream keeps the ledger. `edge_log`: the log of this
    incarnation, which needs no lease.
    """

    def __init__(self, edge_log: EdgeLog, random: Random) -> None:
        self.edge_log = edge_log
        self.incarnation = edge_log.incarnation
        self._statuses = KnownStatuses()
        self._held_logs = {edge_log}
        self._fenced_logs: set[EdgeLog] = set()
        self._open_requests: dict[EdgeLog, LeaseRequest] = {}
        self._granted_requests: dict[EdgeLog, LeaseRequest] = {}  # repeated by rule 5
        self._updates: dict[Dependency, StatusUpdate] = {}
        self._low_watermarks: dict[EdgeLog, int] = {}
        self._published_low_watermarks: dict[EdgeLog, int] = {}
        self._unpublished_abandoned: dict[EdgeLog, set[int]] = {}  # numbers by log
        self._unpublished: set[Dependency] = set()
        self._dependency_round: QueryRound[Dependency] = QueryRound()
        self._lease_round: QueryRound[EdgeLog] = QueryRound()
        self._update_round: QueryRound[Dependency] = QueryRound()
        self._query_in_flight: ReplayQuery | None = None
        self._queries_left = 0  # remaining in this round
        self._backoff = QueryBackoff(random)
        self._repeat_at: int | None = None

    # --- Known state --------------------------------------------------------------------

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """The status last reported for a write of another log."""
        return self._statuses.get(dependency)

    def holds(self, edge_log: EdgeLog) -> bool:
        """Whether this process may replay the log."""
        return edge_log in self._held_logs

    def is_fenced(self, edge_log: EdgeLog) -> bool:
        """Whether another process holds the log."""
        return edge_log in self._fenced_logs

    # --- Statuses and leases ------------------------------------------------------------

    def watch(self, dependencies: Iterable[Dependency]) -> None:
        """Query the statuses of these dependencies until they are final or no longer needed."""
        for dependency in dependencies:
            if not self._statuses.is_final(dependency):
                self._dependency_round.add(dependency)

    def request_lease(self, edge_log: EdgeLog, known_holders: Iterable[int], is_forced: bool = False) -> None:
        """Request the lease on a log. `known_holders`: in the order in which they became known; the caller
        has made it durable that this incarnation is among them.
        """
        holders = [
            incarnation for incarnation in dict.fromkeys(known_holders) if incarnation != self.incarnation
        ]
        holders = list(bounded_holders(holders))
        if is_forced:
            self._fenced_logs.discard(edge_log)
            self._drop_intent_withdrawals(edge_log)
        if edge_log not in self._fenced_logs:
            self._open_requests[edge_log] = LeaseRequest(
                edge_log, self.incarnation, tuple(holders), is_forced
            )
            self._lease_round.add(edge_log)

    def on_fencing_reported(self, edge_log: EdgeLog) -> bool:
        """A gate refused a write of the log because another incarnation holds the lease. True if the log is
        fenced. False if the lease is requested again first, because the ledger may have been lost.
        """
        request = self._granted_requests.get(edge_log)
        if request is None or edge_log in self._fenced_logs:
            if edge_log not in self._open_requests:
                self._fence(edge_log)
            return edge_log in self._fenced_logs
        self._held_logs.discard(edge_log)
        del self._granted_requests[edge_log]
        self._open_requests[edge_log] = request
        self._lease_round.add(edge_log)
        return False

    def _fence(self, edge_log: EdgeLog) -> None:
        self._fenced_logs.add(edge_log)
        self._held_logs.discard(edge_log)
        self._granted_requests.pop(edge_log, None)
        self._open_requests.pop(edge_log, None)
        self._lease_round.drop(edge_log)
        self._drop_intent_withdrawals(edge_log)

    def _drop_intent_withdrawals(self, edge_log: EdgeLog) -> None:
        """Drop a log's intent withdrawals: they are about attempts of this process, and another process may
        have sent the writes since.
        """
        for dependency in [
            dependency
            for dependency, update in self._updates.items()
            if update.withdraw_intent and dependency.edge_log == edge_log
        ]:
            self._drop_update(dependency)

    # --- Updates on own writes ----------------------------------------------------------

    def publish(self, write_id: WriteId, write_status: WriteStatus) -> bool:
        """Report the status of an own write: UNKNOWN if it is no longer parked. False if there is no room."""
        dependency = Dependency(*write_id)
        if write_status is WriteStatus.APPLIED and write_id.number <= self._published_low_watermarks.get(
            write_id.edge_log, 0
        ):
            self._drop_update(dependency)
            return True
        previous = self._updates.get(dependency)
        if write_status is WriteStatus.UNKNOWN and (previous is None or previous.withdraw_intent):
            return True
        if not self._make_room(dependency, write_status):
            return False
        if write_status is WriteStatus.ABANDONED:
            self._unpublished_abandoned.setdefault(write_id.edge_log, set()).add(write_id.number)
        self._add_update(dependency, StatusUpdate(write_id, write_status, self.incarnation))
        return True

    def withdraw_intent(self, write_id: WriteId, parking: int) -> None:
        """Report that an operator resolved a parking as never run. `QueryOutcome.withdrawn_intents` names the
        write once the ledger agrees.
        """
        self._add_update(
            Dependency(*write_id),
            StatusUpdate(
                write_id, WriteStatus.UNKNOWN, self.incarnation, withdraw_intent=True, parking=parking
            ),
        )

    def publish_low_watermark(self, edge_log: EdgeLog, number: int) -> bool:
        """Report that all writes of an own log up to `number` are final. Always True."""
        if number <= self._low_watermarks.get(edge_log, 0):
            return True
        self._low_watermarks[edge_log] = number
        dependency = Dependency(*edge_log, 0, True)
        update = StatusUpdate(WriteId(*edge_log, number), WriteStatus.APPLIED, self.incarnation, before=True)
        if self._has_published_abandoned(edge_log):
            self._updates[dependency] = update  # rule 5
        else:
            self._add_update(dependency, update, is_urgent=False)
        return True

    def is_unpublished(self, write_id: WriteId) -> bool:
        """Whether an update on an own write has not been agreed upstream yet."""
        return Dependency(*write_id) in self._unpublished

    def _has_published_abandoned(self, edge_log: EdgeLog) -> bool:
        return any(
            update.write_status is WriteStatus.ABANDONED
            and update.write_id.edge_log == edge_log
            and dependency not in self._unpublished
            for dependency, update in self._updates.items()
        )

    def _make_room(self, dependency: Dependency, write_status: WriteStatus) -> bool:
        """Make room for an update; False if there is none. A final status evicts an update on a parked write,
        on an abandoned write that the ledger knows, or on a write of a fenced log, which the ledger would
        refuse.
        """
        if dependency in self._updates or len(self._updates) < MAX_UPDATES:
            return True
        if write_status not in FINAL_STATUSES:
            return False
        for other, update in self._updates.items():
            is_known = other not in self._unpublished and update.write_status is WriteStatus.ABANDONED
            if is_known or update.write_status is WriteStatus.PARKED or other.edge_log in self._fenced_logs:
                self._drop_update(other)
                return True
        return False

    def _add_update(self, dependency: Dependency, update: StatusUpdate, is_urgent: bool = True) -> None:
        self._updates[dependency] = update
        self._unpublished.add(dependency)
        if dependency.edge_log in self._held_logs:
            self._update_round.add(dependency, is_urgent)

    def _drop_update(self, dependency: Dependency) -> None:
        self._updates.pop(dependency, None)
        self._unpublished.discard(dependency)
        self._update_round.drop(dependency)
        self._settle_abandoned(dependency)

    def _settle_abandoned(self, dependency: Dependency) -> None:
        """The abandoned write was published or need not be any more. After the last one, the log's low
        watermark may be sent.
        """
        numbers = self._unpublished_abandoned.get(dependency.edge_log)
        if numbers is None:
            return
        numbers.discard(dependency.number)
        if not numbers:
            del self._unpublished_abandoned[dependency.edge_log]
            watermark_dependency = Dependency(*dependency.edge_log, 0, True)
            if watermark_dependency in self._unpublished and dependency.edge_log in self._held_logs:
                self._update_round.add(watermark_dependency, is_urgent=False)

    def _can_publish(self, dependency: Dependency) -> bool:
        if dependency not in self._unpublished or dependency.edge_log not in self._held_logs:
            return False
        return not dependency.before or dependency.edge_log not in self._unpublished_abandoned

    # --- Queries ------------------------------------------------------------------------

    def on_link_up(self, now: int) -> None:
        """The link to upstream is back: query at once."""
        self._backoff.end_pause(now)

    def query_delay_us(self, now: int) -> int:
        """µs until the next query may be sent, if there is anything to send."""
        if self._dependency_round.urgent or self._lease_round.urgent or self._update_round.urgent:
            return 0
        return max(0, self._backoff.next_query_at - now)

    def next_query(self, now: int, needs_status: Callable[[Dependency], bool]) -> ReplayQuery | None:
        """The query to send now, if there is one; the caller reports its end to `on_reply` or
        `on_query_failed`. `needs_status`: whether a dependency's status is still needed.
        """
        if self._repeat_at is None:
            self._repeat_at = now + REPEAT_INTERVAL_US
        elif now >= self._repeat_at:
            self._repeat_at = now + REPEAT_INTERVAL_US
            self._repeat_updates()
        if self._query_in_flight is not None or self.query_delay_us(now):
            return None
        if now < self._backoff.next_query_at:
            self._queries_left = 1  # for the urgent items
        elif not self._queries_left:
            item_count = max(len(self._dependency_round), len(self._lease_round), len(self._update_round))
            self._queries_left = min(MAX_ROUND_QUERIES, -(-item_count // MAX_QUERY_ITEMS))
        query = ReplayQuery(
            tuple(self._dependency_round.take(needs_status)),
            tuple(self._lease_request(edge_log) for edge_log in self._lease_round.take(self._is_requested)),
            tuple(self._updates[dependency] for dependency in self._update_round.take(self._can_publish)),
        )
        self._queries_left = max(0, self._queries_left - 1)
        if not (query.dependencies or query.lease_requests or query.status_updates):
            return None
        self._query_in_flight = query
        return query

    def next_probe(self, now: int) -> ReplayQuery | None:
        """An empty query to send while the edge is cut off, at the same pace as other queries."""
        if self._query_in_flight is not None or now < self._backoff.next_query_at:
            return None
        self._queries_left = 0
        self._query_in_flight = ReplayQuery()
        return self._query_in_flight

    @property
    def has_pending_items(self) -> bool:
        """Whether there is anything to ask or to report."""
        return bool(len(self._dependency_round) or len(self._lease_round) or len(self._update_round))

    def _is_requested(self, edge_log: EdgeLog) -> bool:
        return edge_log in self._open_requests or edge_log in self._granted_requests

    def _lease_request(self, edge_log: EdgeLog) -> LeaseRequest:
        return self._open_requests.get(edge_log) or self._granted_requests[edge_log]

    def _repeat_updates(self) -> None:
        """Queue all updates and granted lease requests again, by rule 5."""
        for dependency, update in self._updates.items():
            self._unpublished.add(dependency)
            if update.write_status is WriteStatus.ABANDONED:
                self._unpublished_abandoned.setdefault(dependency.edge_log, set()).add(dependency.number)
            if dependency.edge_log in self._held_logs:
                self._update_round.add(dependency, is_urgent=False)
        for edge_log in self._granted_requests:
            self._lease_round.add(edge_log, is_urgent=False)

    def on_query_failed(self, now: int) -> None:
        """The query in flight got no reply, or none that can be read."""
        self._query_in_flight, self._queries_left = None, 0
        self._backoff.start_pause(now)

    def on_reply(self, reply: QueryReply, now: int) -> QueryOutcome:
        """The reply to the query in flight. Items that a short reply leaves out are asked again."""
        query, self._query_in_flight = self._query_in_flight, None
        outcome = QueryOutcome()
        if query is None:
            return outcome
        has_progress = query == ReplayQuery()  # a probe was answered: the link may be back
        for dependency, write_status in zip(query.dependencies, reply.write_statuses, strict=False):
            has_progress |= self._on_write_status(dependency, write_status, outcome)
        for request, lease_status in zip(query.lease_requests, reply.lease_statuses, strict=False):
            has_progress |= self._on_lease_status(request, lease_status, outcome)
        for update, is_agreed in zip(query.status_updates, reply.agreements, strict=False):
            has_progress |= is_agreed
            if is_agreed:
                self._on_update_agreed(update, outcome)
        if has_progress:
            self._backoff.reset()
        if not self._queries_left:
            self._backoff.start_pause(now)
        return outcome

    def _on_write_status(
        self, dependency: Dependency, write_status: WriteStatus, outcome: QueryOutcome
    ) -> bool:
        if self._is_own_log(dependency.edge_log):
            if write_status is WriteStatus.APPLIED and not dependency.before:
                outcome.own_applied.append(dependency.write_id)
            return write_status is WriteStatus.APPLIED
        is_changed = self._statuses.update(dependency, write_status)
        if self._statuses.is_final(dependency):
            self._dependency_round.drop(dependency)
        outcome.has_changes |= is_changed
        return is_changed

    def _is_own_log(self, edge_log: EdgeLog) -> bool:
        return edge_log.edge == self.edge_log.edge and (
            edge_log in self._held_logs or edge_log in self._fenced_logs or edge_log in self._open_requests
        )

    def _on_lease_status(
        self, request: LeaseRequest, lease_status: LeaseStatus, outcome: QueryOutcome
    ) -> bool:
        edge_log = request.edge_log
        if not self._is_requested(edge_log) or self._lease_request(edge_log) is not request:
            return False  # a newer request replaced it
        if lease_status is LeaseStatus.FENCED:
            self._fence(edge_log)
            outcome.fenced_logs.append(edge_log)
            return True
        if lease_status is not LeaseStatus.HELD:
            return False
        self._lease_round.drop(edge_log)
        if edge_log in self._granted_requests:
            return False
        self._open_requests.pop(edge_log)
        # Repeated without force: an operator's demand applies once.
        self._granted_requests[edge_log] = LeaseRequest(edge_log, request.incarnation, request.known_holders)
        self._held_logs.add(edge_log)
        for dependency in self._updates:
            if dependency.edge_log == edge_log and dependency in self._unpublished:
                self._update_round.add(dependency)
        outcome.held_logs.append(edge_log)
        outcome.has_changes = True
        return True

    def _on_update_agreed(self, update: StatusUpdate, outcome: QueryOutcome) -> None:
        dependency = (
            Dependency(*update.write_id.edge_log, 0, True) if update.before else Dependency(*update.write_id)
        )
        if self._updates.get(dependency) is not update:
            return  # a newer update replaced it
        if update.withdraw_intent:
            outcome.withdrawn_intents.append(update.write_id)
            outcome.has_changes = True
        if update.before:
            self._published_low_watermarks[dependency.edge_log] = update.write_id.number
            self._drop_applied_below(update.write_id)
        if update.write_status is WriteStatus.UNKNOWN:
            self._drop_update(dependency)
            return
        self._unpublished.discard(dependency)
        self._update_round.drop(dependency)
        self._settle_abandoned(dependency)

    def _drop_applied_below(self, write_id: WriteId) -> None:
        """Drop updates on applied writes that the published low watermark covers."""
        applied = [
            dependency
            for dependency, update in self._updates.items()
            if dependency.edge_log == write_id.edge_log and not dependency.before
            and dependency.number <= write_id.number and update.write_status is WriteStatus.APPLIED
        ]  # fmt: skip
        for dependency in applied:
            self._drop_update(dependency)
