"""The program with a fault in its outbox, which a checker must find: `python -m tests.faulty_outbox FAULT
run ...`."""

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
    """What earlier lives kept."""
    real = Outbox.restore

    def restore(self: Outbox, writes: Any, *more: Any, **options: Any) -> list[Transition]:
        return real(self, [], *more)

    Outbox.restore = restore  # type: ignore[method-assign,assignment]


def sends_again() -> None:
    """An unsafe write whose answer was lost."""
    real = Outbox.on_replay_end

    def on_replay_end(self: Outbox, write_id: WriteId, end: ReplayResult, *more: Any) -> Transition:
        return real(self, write_id, ReplayResult.NOT_RUN if end is ReplayResult.MAY_HAVE_RUN else end, *more)

    Outbox.on_replay_end = on_replay_end  # type: ignore[method-assign,assignment]


def goes_first() -> None:
    """What came last, whatever it follows."""
    real = Outbox.offer

    def offer(self: Outbox, one: WriteOffer, *more: Any) -> WriteTicket:
        return real(self, alone(one), *more)

    def alone(one: WriteOffer) -> WriteOffer:
        return WriteOffer(
            one.cls, one.method_and_target, one.headers, one.size, one.digest, one.key, tenant=one.tenant
        )

    Outbox.offer = offer  # type: ignore[method-assign,assignment]
    replay_queue.ReplayQueue.next = lambda self: self._ready.pop()  # type: ignore[method-assign]


def _replays(change: Callable[[QueuedWrite, bytes], tuple[QueuedWrite, bytes]]) -> None:
    real = OutboxDriver.replay_call

    def call(self: OutboxDriver, write: QueuedWrite, body: bytes, *more: Any) -> Call:
        return real(self, *change(write, body), *more)

    OutboxDriver.replay_call = call  # type: ignore[method-assign,assignment]


def drops_the_key() -> None:
    def change(write: QueuedWrite, body: bytes) -> tuple[QueuedWrite, bytes]:
        headers = tuple(one for one in write.headers if one[0] != b"idempotency-key")
        return msgspec.structs.replace(write, headers=headers), body

    _replays(change)


def garbles_the_body() -> None:
    _replays(lambda write, body: (write, bytes(len(body))))


def refuses_what_it_keeps() -> None:
    OutboxDriver._kept = lambda self, write_id: Answer(Ending.REFUSED, 503)  # type: ignore[method-assign]


def sends_nothing() -> None:
    async def send(self: OutboxDriver, write_id: WriteId, *more: Any) -> None:
        await self._end(write_id, ReplayResult.ANSWERED, Answer(Ending.SERVED, 200))

    OutboxDriver._send = send  # type: ignore[method-assign,assignment]


def tells_no_reason() -> None:
    def told(receipt: WriteReceipt) -> bytes:
        return msgspec.json.encode({**msgspec.json.decode(encode_receipt(receipt)), "reason": ""})

    driver.encode_receipt = told  # type: ignore[attr-defined]


def runs_what_is_given_up() -> None:
    real = OutboxDriver.resolve

    def resolve(self: OutboxDriver, text: str, parking: int, resolution: Resolution) -> bool:
        return real(self, text, parking, Resolution.NEVER_RAN)

    OutboxDriver.resolve = resolve  # type: ignore[method-assign]


FAULTS = {
    one.__name__: one
    for one in (
        forgets, sends_again, goes_first, drops_the_key, garbles_the_body, refuses_what_it_keeps,
        sends_nothing, tells_no_reason, runs_what_is_given_up,
    )
}  # fmt: skip


def main() -> int:
    FAULTS[sys.argv[1]]()
    from laurelstep.__main__ import main as program

    return program(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
