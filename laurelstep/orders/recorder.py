"""Joins the engine and the store: intent before the module is told, the answer before it leaves.

The rules:

1. One request of an order is in hand at a time; others that name it wait for its answer.
2. Nothing is sent before the intent is durable; `served` and `refused` leave only once the
   record says the same. A failure promises nothing and leaves at once.
3. What the store can't do, the setting decides: `fail` the order with nothing sent, or `pass`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass, field

from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.engine.ports import Log, Recorded
from laurelstep.orders.book import (
    OrderClass,
    Orders,
    another_body,
    answer_of,
    digest_of,
    encode_answer,
    encode_intent,
    may_have_run,
    order_key,
    order_name,
)
from laurelstep.store import FolderDisk, Options, Store, StoreError

# Requests that wait for one order's answer; guards memory against one that is repeated for ever.
FOLLOWERS_MOST = 32


@dataclass(eq=False)
class Hand:
    """One order in hand: the request that stands for it, and those that wait."""

    key: bytes
    digest: bytes
    keep_ms: int
    leader: Call
    followers: list[Call] = field(default_factory=list)
    admitted: bool = False


class OrderRecorder:
    """The engine's `Recorder` on a `Store`, on the loop that opened it."""

    def __init__(
        self,
        store: Store,
        orders: Orders,
        classes: Mapping[str, int],
        log: Log,
    ) -> None:
        self.store = store
        self.passes = orders.unavailable == "pass"
        self.log = log
        self.classes: dict[int, tuple[str, OrderClass]] = {
            classes[name]: (name, settings) for name, settings in orders.classes.items()
        }
        self.in_hand: dict[bytes, Hand] = {}
        self.leading: dict[Call, Hand] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    @classmethod
    async def open(cls, orders: Orders, classes: Mapping[str, int], log: Log) -> OrderRecorder:
        """`StoreError` if the store can't be opened."""
        options = Options(max_bytes=orders.max_bytes)
        store = await Store.open(FolderDisk(orders.store_path), options, log)
        return cls(store, orders, classes, log)

    async def close(self) -> None:
        """What is being written is finished first."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))
        await self.store.close()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # --- Before the module is told --------------------------------------------------

    def begin(self, call: Call, engine: Recorded) -> bool:
        found = self.classes.get(call.cls)
        name = order_name(found[1], call.order, call.body) if found is not None else None
        if found is None or name is None:
            return False
        key, digest = order_key(found[0], name), digest_of(call)
        hand = self.in_hand.get(key)
        if hand is None:
            hand = Hand(key, digest, found[1].keep_ms, call)
            self.in_hand[key] = self.leading[call] = hand
            self._spawn(self._begin(hand, engine))
        elif hand.digest != digest:
            engine.settle(call, another_body())
        elif len(hand.followers) >= FOLLOWERS_MOST:
            engine.settle(call, may_have_run())
        else:
            hand.followers.append(call)
        return True

    async def _begin(self, hand: Hand, engine: Recorded) -> None:
        try:
            record = await self.store.get(hand.key)
            if record is not None:
                self._settle_all(hand, answer_of(record, hand.digest), engine)
                return
            await self.store.put(hand.key, encode_intent(hand.digest), hand.keep_ms)
        except (StoreError, ValueError):
            if not self.passes:
                # An earlier life may have sent it: no refusal.
                self._settle_all(hand, may_have_run(), engine)
                return
        await self._admit(hand, engine)

    async def _admit(self, hand: Hand, engine: Recorded) -> None:
        """The intent is durable: the first request of this order that still waits goes on."""
        while not hand.leader.open:
            self.leading.pop(hand.leader, None)
            if not hand.followers:
                await self._take_back(hand)
                return
            hand.leader = hand.followers.pop(0)
            self.leading[hand.leader] = hand
        hand.admitted = True
        engine.admit(hand.leader)

    async def _take_back(self, hand: Hand) -> None:
        """Nothing was sent: as if it had never been named."""
        try:
            await self.store.delete(hand.key)
        except StoreError:
            self.log("orders: an intent that was not used could not be taken back")
        finally:
            self._drop(hand)

    # --- Before the final answer leaves ---------------------------------------------

    def finish(self, call: Call, answer: Answer, engine: Recorded) -> None:
        hand = self.leading.get(call)
        if hand is None or not hand.admitted:
            engine.deliver(call, answer)  # it waited for another's answer, or for the store
            return
        if answer.ending is Ending.FAILED:
            engine.deliver(call, answer)
        self._spawn(self._finish(hand, answer, engine))

    async def _finish(self, hand: Hand, answer: Answer, engine: Recorded) -> None:
        told = answer
        try:
            if answer.ending is Ending.REFUSED:
                await self.store.delete(hand.key)
            else:
                record = encode_answer(hand.digest, answer)
                await self.store.put(hand.key, record, hand.keep_ms)
        except StoreError:
            # A later life would know of the intent alone, and say so.
            told = answer if self.passes else may_have_run()
        engine.deliver(hand.leader, told)
        self._settle_all(hand, told, engine)

    # --- Those that leave -----------------------------------------------------------

    def gone(self, call: Call, engine: Recorded) -> None:
        hand = self.leading.get(call)
        if hand is None:
            for other in self.in_hand.values():
                if call in other.followers:
                    other.followers.remove(call)
                    break
        elif hand.admitted and call.tried:
            self._settle_all(hand, may_have_run(), engine)
        elif hand.admitted:
            hand.admitted = False
            self._spawn(self._admit(hand, engine))

    def _settle_all(self, hand: Hand, answer: Answer, engine: Recorded) -> None:
        followers, hand.followers = hand.followers, []
        self._drop(hand)
        for call in (hand.leader, *followers):
            engine.settle(call, answer)

    def _drop(self, hand: Hand) -> None:
        self.leading.pop(hand.leader, None)
        if self.in_hand.get(hand.key) is hand:
            del self.in_hand[hand.key]
