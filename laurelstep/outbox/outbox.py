"""The queued writes of one edge: which are accepted, which are sent next, and what receipts say. Pure.

This is the interface that a driver uses:

    ticket = outbox.offer(offer, now, wall)     # FullError, CauseError, KeepError: the write is not queued
    # store the body, then encode(ticket.write), durably; then
    outbox.on_stored(write_id, now)             # only now answer 202; otherwise outbox.on_store_failed
    for change in outbox.due(now): ...          # writes to send, to expire, or to park as orphans
    change = outbox.on_replay_end(write_id, result, ...)  # the result of a write that was sent
    change = outbox.resolve(write_id, parking, resolution, wall)
    # for each change: store encode(change.state_change) durably in place of the last one; then
    outbox.apply(change, now)                   # if True, take the step that it announces; or outbox.undo

1. Between a transition and its `apply` or `undo`, its write takes no other transition.
2. All times are µs. `now` is monotonic. `wall` is the store's time, which continues across incarnations and
   never falls behind the time that has really passed (docs/design/clocks.md).
3. A write depends on the writes that its tokens name, and on the last write queued before it of its session
   and of its object.
4. A write that is final while its dependencies are not (resolved by an operator, or given up) stays in the
   graph until they are, because its followers still wait for them.
5. With `orphans` = "park", the followers of a write that was given up or lost are parked, each by a
   separate transition, and are blocked until then. A write that could not be stored was never queued, so
   nothing is parked because of it.
6. A keyed write is sent only while `send_us` is left of its window, which starts when it is queued. If an
   operator resolves that it never ran, its age and window start again.
7. After a restart the time that passed is taken from `wall` and is never less than zero. Where the store
   does not know how much time passed, or `wall` lies before a time that it recorded, a keyed write that may
   have run is parked, because what is left of its window is unknown.
8. While another process holds the lease on a log, nothing of the log is sent and nothing is added to it;
   its unsent writes are parked.
"""

from __future__ import annotations

from laurelstep.outbox.intake import WriteIntake
from laurelstep.outbox.messages import (
    OutboxBounds,
    QueuedClass,
    ReplayResult,
    Transition,
    WriteOffer,
    WriteTicket,
)
from laurelstep.outbox.remote_logs import RemoteLogs
from laurelstep.outbox.restore import OutboxRestore

__all__ = ["Outbox", "OutboxBounds", "QueuedClass", "ReplayResult", "Transition", "WriteOffer", "WriteTicket"]


class Outbox(WriteIntake, RemoteLogs, OutboxRestore):
    """The queued writes of one edge, in memory, under the rules at the head of the module."""
