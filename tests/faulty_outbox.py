"""Runs the program with a fault in its outbox, which the checker of a test has to find.

Usage: `python -m tests.faulty_outbox FAULT run ...`. `FAULTS` has the faults by name.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import msgspec
from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.outbox import driver, replay_queue
from laurelstep.outbox.driver import OutboxDriver
from laurelstep.outbox.messages import ReplayResult, Transition, WriteOffer, WriteTicket
from laurelstep.outbox.outbox import Outbox
from laurelstep.outbox.receipts import WriteReceipt, encode_receipt
from laurelstep.outbox.records import QueuedWrite, Resolution
from laurelstep.outbox.write_ids import WriteId


def forgets() -> None:
    """Ignore the writes that earlier incarnations queued."""
    real = Outbox.restore

    def restore(self: Outbox, writes: Any, *more: Any, **options: Any) -> list[Transition]:
        return real(self, [], *more)

    Outbox.restore = restore  # type: ignore[method-assign,assignment]


def sends_again() -> None:
    """Replay an unsafe write again after its answer was lost."""
    real = Outbox.on_replay_end

    def on_replay_end(self: Outbox, write_id: WriteId, end: ReplayResult, *more: Any) -> Transition:
        return real(self, write_id, ReplayResult.NOT_RUN if end is ReplayResult.MAY_HAVE_RUN else end, *more)

    Outbox.on_replay_end = on_replay_end  # type: ignore[method-assign,assignment]


def goes_first() -> None:
    """Replay the newest write first, without regard to its dependencies."""
    real = Outbox.offer

    def offer(self: Outbox, write: WriteOffer, *more: Any) -> WriteTicket:
        return real(self, without_dependencies(write), *more)

    def without_dependencies(write: WriteOffer) -> WriteOffer:
        return WriteOffer(
            write.cls,
            write.method_and_target,
            write.headers,
            write.size,
            write.digest,
            write.key,
            tenant=write.tenant,
        )

    Outbox.offer = offer  # type: ignore[method-assign,assignment]
    replay_queue.ReplayQueue.next = lambda self: self._ready.pop()  # type: ignore[method-assign]


def _change_replays(change: Callable[[QueuedWrite, bytes], tuple[QueuedWrite, bytes]]) -> None:
    real = OutboxDriver.replay_call

    def replay_call(self: OutboxDriver, write: QueuedWrite, body: bytes, *more: Any) -> Call:
        return real(self, *change(write, body), *more)

    OutboxDriver.replay_call = replay_call  # type: ignore[method-assign,assignment]


def drops_the_key() -> None:
    """Replay writes without their idempotency keys."""

    def change(write: QueuedWrite, body: bytes) -> tuple[QueuedWrite, bytes]:
        headers = tuple(header for header in write.headers if header[0] != b"idempotency-key")
        return msgspec.structs.replace(write, headers=headers), body

    _change_replays(change)


def garbles_the_body() -> None:
    """Replay writes with zeros instead of their bodies."""
    _change_replays(lambda write, body: (write, bytes(len(body))))


def refuses_what_it_keeps() -> None:
    """Answer 503 for writes that are queued."""
    OutboxDriver._accepted_answer = lambda self, write_id: Answer(Ending.REFUSED, 503)  # type: ignore[method-assign]


def sends_nothing() -> None:
    """Record writes as done without sending them."""

    async def finish_unsent(self: OutboxDriver, write_id: WriteId, *more: Any) -> None:
        await self._store_result(write_id, ReplayResult.ANSWERED, Answer(Ending.SERVED, 200))

    OutboxDriver._send = finish_unsent  # type: ignore[method-assign,assignment]


def tells_no_reason() -> None:
    """Leave the reason out of the receipts of parked writes."""

    def encode_without_reason(receipt: WriteReceipt) -> bytes:
        return msgspec.json.encode({**msgspec.json.decode(encode_receipt(receipt)), "reason": ""})

    driver.encode_receipt = encode_without_reason  # type: ignore[attr-defined]


def runs_what_is_given_up() -> None:
    """Replay parked writes that an operator gave up."""
    real = OutboxDriver.resolve

    def resolve(self: OutboxDriver, text: str, parking: int, resolution: Resolution) -> bool:
        return real(self, text, parking, Resolution.NEVER_RAN)

    OutboxDriver.resolve = resolve  # type: ignore[method-assign]


FAULTS = {
    fault.__name__: fault
    for fault in (
        forgets, sends_again, goes_first, drops_the_key, garbles_the_body, refuses_what_it_keeps,
        sends_nothing, tells_no_reason, runs_what_is_given_up,
    )
}  # fmt: skip


def main() -> int:
    FAULTS[sys.argv[1]]()
    from laurelstep.__main__ import main as run_program

    return run_program(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
