"""The writes kept at one edge: what is taken, what goes out next, what is told. Pure.

The interface; a driver does the rest:

    ticket = outbox.offer(offer, now, wall)     # FullError, CauseError, KeepError: not kept
    # body, then journal.encode(ticket.write), made durable; then
    outbox.stored(write id, now)                     # and only now the 202; or outbox.unstored(write id, now)
    for change in outbox.due(now): ...          # what goes out, expires, or is orphaned
    change = outbox.ended(write id, end, ...)        # of a write that was sent
    change = outbox.judge(write id, parking, resolution)
    # each change: journal.encode(change.state_change) made durable in place of the last one; then
    outbox.apply(change, now)                   # only now the step that it announces, if True; or outbox.undo

1. Between a change and its `apply` or `undo` its write takes no other.
2. All times are µs: `now` monotonic, `wall` the store's time, which runs on from life to life: it never stays
   behind the time that has truly passed (docs/design/clocks.md).
3. A write follows what its tokens name, and the last write kept before it of its session and of its object.
4. A write that is final while its causes are not (judged, or given up) stays in the graph until they are:
   what follows it still waits for them.
5. With `orphans` = "park", those that follow a write given up or lost are parked, each with a change of its
   own, and halted until then. A write that could not be stored was never kept: nothing is parked for it.
6. A keyed write goes out only while `send_us` is left of its window, counted from when it was kept. An
   operator's "it never ran" begins age and window anew.
7. After a restart the time that passed is told by `wall`, and never less than none. Where the store does not
   know how much that was, or `wall` stands before what was written by it, a keyed write that may have run is
   parked: its window can't be known.
8. Of a log that is another process's nothing is sent and nothing new is kept; what was to be sent is parked.
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
    """The queued writes of one edge, in memory; see the module's rules."""
