"""The version vector of a copy's own outbox where copies share one: it reads the ledger and publishes to it.

The rules:

1. Statuses of writes in other logs are read from this copy's replica of the ledger. Applied and abandoned are
   final, so a copy that lags knows less, but nothing false.
2. A log is replayed only while this copy's agreement driver is ready and this process holds the log in the
   ledger. A process holds the log of its own incarnation from the start. It requests the lease on a
   log of an earlier incarnation first, once a write of that log is to be sent or its status published.
3. A lease request names all incarnations that this disk has known. Each of them, this one included, has its
   log in the store before the process does anything else. A process that was started on another copy of the
   disk therefore names fewer, and is fenced.
4. Statuses of own writes are published until the ledger shows them, in the order in which the outbox reported
   them. "All writes up to a number are final" waits until the abandoned writes of its log are published:
   otherwise the ledger would take them for applied.
5. At most `MAX_UNPUBLISHED` statuses wait to be published. The outbox reports a further one again later.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable, Iterable
from typing import Final

import msgspec

from laurelstep.engine.ports import Clock, Handle, Log
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.entries import LedgerEntry
from laurelstep.outbox.shared.messages import LeaseRequest, LeaseStatus, StatusUpdate
from laurelstep.outbox.shared.ports import AgreedLedger, Agreement
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = ["ReplicatedVersionVector"]

MAX_UNPUBLISHED: Final = 4_096
# Entries that wait for agreement at a time, and for how long each is submitted before it is checked again.
MAX_PENDING: Final = 16
AGREE_TIMEOUT_US: Final = 5_000_000
SUBMIT_INTERVAL_US: Final = 1_000_000
# Delay after a change of the ledger, so that changes in quick succession are handled once.
CHANGE_DELAY_US: Final = 20_000


class ReplicatedVersionVector:
    """A `VersionVector` and a `StatusPublisher`. It is created before the outbox opens, and does nothing
    until `begin` is called on the open outbox.
    """

    def __init__(self, ledger: AgreedLedger, clock: Clock, log: Log) -> None:
        self.ledger = ledger
        self.clock = clock
        self.log = log
        self.agreement: Agreement | None = None
        self.incarnation = 0
        self.on_change: Callable[[], None] = lambda: None
        self.lease_requests: dict[EdgeLog, LeaseRequest] = {}  # for the logs of all incarnations of this disk
        self.wanted_logs: set[EdgeLog] = set()
        self.fenced_logs: set[EdgeLog] = set()
        self.unpublished: dict[Dependency, tuple[WriteId, WriteStatus]] = {}
        self.pending: dict[Hashable, asyncio.Future[bool]] = {}
        self.submit_timer: Handle | None = None
        self.change_timer: Handle | None = None

    def begin(
        self,
        agreement: Agreement,
        edge_log: EdgeLog,
        edge_logs: Iterable[EdgeLog],
        on_change: Callable[[], None],
    ) -> None:
        """Start to request leases and publish statuses. `edge_log`: of this incarnation; `edge_logs`: all
        that this disk has known, stored durably. `on_change` is called after the ledger has changed.
        """
        self.agreement = agreement
        self.incarnation = edge_log.incarnation
        self.on_change = on_change
        known_holders = tuple(known_log.incarnation for known_log in edge_logs if known_log != edge_log)
        self.lease_requests = {
            known_log: LeaseRequest(known_log, self.incarnation, known_holders) for known_log in edge_logs
        }
        # This incarnation holds its own log without a request, but another one may take the lease on it.
        self.lease_requests[edge_log] = LeaseRequest(edge_log, self.incarnation, ())
        self.wanted_logs.add(edge_log)
        self._submit()

    def close(self) -> None:
        """Stop requesting leases and publishing statuses."""
        for handle in (self.submit_timer, self.change_timer):
            if handle is not None:
                handle.cancel()
        for future in list(self.pending.values()):
            future.cancel()

    # --- VersionVector and StatusPublisher -------------------------------------------------

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """The status of a write in this copy's replica of the ledger."""
        return self.ledger.write_status(dependency)

    def holds(self, edge_log: EdgeLog) -> bool:
        """Whether this process may replay the log now. If it does not hold the log, it requests the lease."""
        self._want_lease(edge_log)
        return self.agreement is not None and self.agreement.is_ready and self._is_held(edge_log)

    def publish(self, write_id: WriteId, write_status: WriteStatus) -> bool:
        """Publish the status of an own write. False if there is no room."""
        dependency = Dependency(*write_id)
        if dependency not in self.unpublished and len(self.unpublished) >= MAX_UNPUBLISHED:
            return False
        self.unpublished.pop(dependency, None)
        self.unpublished[dependency] = write_id, write_status
        self._want_lease(write_id.edge_log)
        return True

    def publish_low_watermark(self, edge_log: EdgeLog, number: int) -> bool:
        """Publish that all writes of an own log up to a number are final. Always True."""
        self.unpublished[Dependency(*edge_log, 0, True)] = WriteId(*edge_log, number), WriteStatus.APPLIED
        self._want_lease(edge_log)
        return True

    def is_unpublished(self, write_id: WriteId) -> bool:
        """Whether the ledger does not show the published status of an own write yet."""
        return Dependency(*write_id) in self.unpublished

    def force_lease(self, edge_log: EdgeLog) -> bool:
        """Take the lease on a log from whichever process holds it, because an operator says that this disk is
        the right one. False if this process holds the log; KeyError if this disk never had it.
        """
        request = self.lease_requests[edge_log]
        if self._is_held(edge_log):
            return False
        self.lease_requests[edge_log] = msgspec.structs.replace(request, is_forced=True)
        self.fenced_logs.discard(edge_log)
        self._want_lease(edge_log)
        self.on_ledger_change()
        return True

    def _want_lease(self, edge_log: EdgeLog) -> None:
        if edge_log not in self.wanted_logs:
            self.wanted_logs.add(edge_log)
            if self.agreement is not None:
                self.on_ledger_change()

    def _is_held(self, edge_log: EdgeLog) -> bool:
        return self.ledger.holder(edge_log) == self.incarnation

    # --- Submitting entries ---------------------------------------------------------------

    def on_ledger_change(self) -> None:
        """Submit entries and report the change after `CHANGE_DELAY_US`, because the ledger or the contact
        with a leader has changed.
        """
        if self.change_timer is None:
            self.change_timer = self.clock.at(self.clock.now() + CHANGE_DELAY_US, self._handle_change)

    def _handle_change(self) -> None:
        self.change_timer = None
        self._submit()
        self.on_change()

    def _submit(self) -> None:
        if self.submit_timer is not None:
            self.submit_timer.cancel()
        self.submit_timer = self.clock.at(self.clock.now() + SUBMIT_INTERVAL_US, self._submit)
        if self.agreement is None or not self.agreement.is_ready:
            return
        for edge_log in sorted(self.wanted_logs & self.lease_requests.keys()):
            self._request_lease(edge_log, self.lease_requests[edge_log])
        logs_with_abandoned = {
            dependency.edge_log
            for dependency, (_, write_status) in self.unpublished.items()
            if write_status is WriteStatus.ABANDONED
        }
        for dependency in list(self.unpublished):
            if not (dependency.before and dependency.edge_log in logs_with_abandoned):
                self._submit_status(dependency)

    def _request_lease(self, edge_log: EdgeLog, request: LeaseRequest) -> None:
        lease_status = self.ledger.lease_status(request)
        if lease_status is LeaseStatus.HELD and request.is_forced:  # an operator's demand applies once
            self.lease_requests[edge_log] = msgspec.structs.replace(request, is_forced=False)
        if lease_status is LeaseStatus.FENCED and edge_log not in self.fenced_logs:
            self.fenced_logs.add(edge_log)
            name = f"{edge_log.edge}/{edge_log.incarnation:016x}"
            self.log(
                f"outbox: {name}: fenced: another process with a copy of this "
                "disk replays this log, or the log is lost; stop one of the two processes"
            )
        entry = self.ledger.lease_entry(request)
        if entry is not None:
            self._agree(edge_log, entry, lambda: self.ledger.lease_status(request) is not LeaseStatus.OPEN)

    def _submit_status(self, dependency: Dependency) -> None:
        if not self._is_held(dependency.edge_log):
            if dependency.edge_log in self.fenced_logs:
                del self.unpublished[dependency]  # the ledger accepts a status from the holder only
            return
        write_id, write_status = self.unpublished[dependency]
        update = StatusUpdate(write_id, write_status, self.incarnation, dependency.before)
        entry = self.ledger.status_entry(update)
        if entry is None:
            del self.unpublished[dependency]
        else:
            self._agree(dependency, entry, lambda: self.ledger.agrees_with(update))

    def _agree(self, key: Hashable, entry: LedgerEntry, is_agreed: Callable[[], bool]) -> None:
        if key in self.pending or len(self.pending) >= MAX_PENDING or self.agreement is None:
            return
        future = self.pending[key] = self.agreement.agree(
            entry, is_agreed, self.clock.now() + AGREE_TIMEOUT_US
        )
        future.add_done_callback(lambda _: self._on_agreement_done(key))

    def _on_agreement_done(self, key: Hashable) -> None:
        del self.pending[key]
        if self.submit_timer is not None:
            self.on_ledger_change()
