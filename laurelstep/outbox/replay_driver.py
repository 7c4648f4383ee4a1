"""Replay of queued writes: takes each due step, sends writes upstream, and stores their results.

Each state change of a write is durable before the step that it announces: OUT before the write is sent, DONE
before its receipt says so. A final state that can't be stored is retried until it is.
"""

from __future__ import annotations

import asyncio
from typing import Final

from laurelstep.balancing.events import ERROR, FULL, NO_CONNECT, OK, RESET, TIMEOUT
from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.net.message import encode_headers
from laurelstep.net.request import parse_cost_hint, parse_object_key
from laurelstep.outbox.driver_state import DriverState
from laurelstep.outbox.outbox import ReplayResult, Transition
from laurelstep.outbox.records import FINAL, QueuedWrite, WriteEvent, WriteState
from laurelstep.outbox.replay_front import ReplayFront
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import WriteId
from laurelstep.store import StoreError

# Attempt outcomes which show that the link to the endpoint works, and those which do not.
ANSWERED: Final = frozenset((OK, ERROR, FULL))
UNANSWERED: Final = frozenset((TIMEOUT, NO_CONNECT, RESET))
# A larger answer body is not stored, and so is missing in the receipt.
MAX_STORED_ANSWER_BYTES: Final = 64 * 1024
REPLAY_INTERVAL_US: Final = 1_000_000
# Delay before another try to store the result of a replay.
STATE_RETRY_S: Final = 1.0
UNPARKING_EVENTS: Final = (WriteEvent.NEVER_RAN, WriteEvent.UNFENCED)


class ReplayDriver(DriverState):
    """The periodic pass of one driver: checks the link, sends due writes, publishes finished ones."""

    def on_attempt_ended(self, endpoint: int, outcome: int) -> None:
        """Update the link's state from an attempt's outcome (see `laurelstep.balancing.events`).

        Called for the attempts of every request, live or replayed.
        """
        if outcome in ANSWERED:
            self.cutoff.on_response(self.now())
        elif outcome in UNANSWERED:
            self.cutoff.on_failure(endpoint, self.now())
        if self.cutoff.is_cut_off != self.was_cut_off:
            self._on_cutoff_change()

    def _on_cutoff_change(self) -> None:
        self.was_cut_off = self.cutoff.is_cut_off
        self.log(
            "outbox: cut off: writes are kept" if self.was_cut_off else "outbox: back: writes go upstream"
        )
        if self.sharing is not None and not self.was_cut_off:
            self.sharing.version_vector.on_link_up(self.now())
        self.wake()

    def _check_endpoints(self) -> None:
        """Update the link's state from the endpoint list and the time.

        Goes through all endpoints, and so runs at most twice per `REPLAY_INTERVAL_US`.
        """
        assert self.engine is not None
        now = self.now()
        if now < self.next_endpoint_check_at:
            return
        self.next_endpoint_check_at = now + REPLAY_INTERVAL_US // 2
        endpoints = self.engine.endpoints.by_number.values()
        self.cutoff.on_endpoint_count(sum(1 for endpoint in endpoints if endpoint.withdrawn_at is None), now)
        if self.cutoff.is_cut_off != self.was_cut_off:
            self._on_cutoff_change()

    def wake(self) -> None:
        """Schedule a pass for the next iteration of the event loop."""
        if self.closing or self.engine is None:
            return
        if self.replay_timer is not None:
            self.replay_timer.cancel()
        self.replay_timer = self.loop.call_soon(self._run_pass)

    def _run_pass(self) -> None:
        self.replay_timer = self.loop.call_later(REPLAY_INTERVAL_US / 1e6, self._run_pass)
        if self.closing:
            return
        self._check_endpoints()
        for change in self.outbox.due(self.now()):
            self.spawn(self.take_step(change))
        self._publish_finished()
        new_dependencies = self.outbox.take_new_dependencies()
        if self.sharing is not None:
            self.sharing.version_vector.watch(new_dependencies)
            self.sharing.send_due_query()
        if expired_receipts := self.outbox.expired_receipts(self.now(), self._is_unpublished):
            self.spawn(self._forget(expired_receipts))

    def _publish_finished(self) -> None:
        """Publish the status of finished writes to the edges whose writes may depend on them.

        Abandoned writes come first: a low watermark counts every write up to it that is not known to be
        abandoned as applied.
        """
        finished, self.unpublished = self.unpublished + self.outbox.take_finished(), []
        status_publisher = self.status_publisher
        if status_publisher is None or not finished:
            self.applied_by_gate.clear()  # these statuses may be published once more than needed
            return
        abandoned = [entry for entry in finished if entry[1] is WriteStatus.ABANDONED]
        self.unpublished = [
            (write_id, write_status)
            for write_id, write_status in abandoned
            if status_publisher.publish(write_id, write_status) is False
        ]
        if not self.unpublished:
            for edge_log in {write_id.edge_log for write_id, _ in finished}:
                if number := self.outbox.low_watermark(edge_log):
                    status_publisher.publish_low_watermark(edge_log, number)
        for write_id, write_status in finished:
            if write_status is WriteStatus.ABANDONED:
                continue
            if write_id in self.applied_by_gate:
                self.applied_by_gate.discard(write_id)
            elif status_publisher.publish(write_id, write_status) is False:
                self.unpublished.append((write_id, write_status))

    def _is_unpublished(self, write_id: WriteId) -> bool:
        """Whether the status of a write that was given up still has to be published."""
        return self.status_publisher is not None and (
            self.status_publisher.is_unpublished(write_id)
            or any(waiting_id == write_id for waiting_id, _ in self.unpublished)
        )

    async def _forget(self, write_ids: list[WriteId]) -> None:
        """Delete writes whose receipts have expired.

        The highest numbers of the logs are stored first, so that a deleted write never looks like one that
        has not been queued yet.
        """
        try:
            await self.store.put_logs(self.outbox.edge_logs())
        except StoreError:
            return
        for write_id in write_ids:
            if await self.store.delete_write(write_id, 0):
                self.outbox.forget(write_id)

    async def take_step(self, change: Transition) -> None:
        """Make a transition durable, then do what it announces."""
        try:
            await self.store.put_state(change.state_change)
        except StoreError as error:
            self.log(f"outbox: {change.write_id}: state not stored: {error}")
            self.outbox.undo(change, self.now())
            return
        may_send = self._apply(change)
        if change.event is WriteEvent.SEND and may_send:
            await self._send(change.write_id)
        elif change.event is WriteEvent.SEND:  # storing it took longer than its window
            await self._store_result(change.write_id, ReplayResult.NOT_RUN, Answer(Ending.FAILED, 502))
        self.wake()

    def _apply(self, change: Transition) -> bool:
        """Apply a durable transition; False if the write may not be sent, as in `Outbox.apply`."""
        if self.sharing is not None:
            self.sharing.on_step_durable(change)
        may_send = self.outbox.apply(change, self.now())
        state = change.state_change.state
        if self.status_publisher is not None and (
            state is WriteState.PARKED or change.event in UNPARKING_EVENTS
        ):
            self.status_publisher.publish(
                change.write_id, WriteStatus.PARKED if state is WriteState.PARKED else WriteStatus.UNKNOWN
            )
        if change.event is WriteEvent.FOUND_APPLIED:
            self.log(f"outbox: {change.write_id}: upstream's record says that it is in: done")
        if state is WriteState.PARKED:
            self.parked[change.write_id] = change.state_change.parking
            self.log(f"outbox: {change.write_id}: parked: {change.state_change.reason.name.lower()}")
        else:
            self.parked.pop(change.write_id, None)
        if state in FINAL:
            self.retried.discard(change.write_id)
        if self.sharing is not None:
            self.sharing.on_step_applied(change)
        return may_send

    async def _send(self, write_id: WriteId) -> None:
        """Send a write upstream, and store the result."""
        replay = ReplayFront(write_id)
        call = await self.bodies.load_call(write_id, replay)
        if call is None:
            await self._store_result(write_id, ReplayResult.NOT_RUN, Answer(Ending.FAILED, 502))
            return
        self.in_flight[write_id] = replay
        try:
            async with self.background_replay:
                assert self.engine is not None
                self.engine.take(call)
            answer = await replay.answer
        finally:
            del self.in_flight[write_id]
            if call.upload is not None:
                call.upload.abandon()
        if self.sharing is not None:
            result = self.sharing.replay_result(call, replay, answer)
        elif answer.ending is Ending.SERVED:
            result = ReplayResult.ANSWERED
        elif answer.ending is Ending.REFUSED or replay.never_ran:
            result = ReplayResult.NOT_RUN
        else:
            result = ReplayResult.MAY_HAVE_RUN
        await self._store_result(write_id, result, answer)

    def replay_call(self, write: QueuedWrite, body: bytes, replay: ReplayFront) -> Call:
        """The engine call that replays a queued write."""
        assert self.engine is not None
        cls = self.class_numbers[write.cls]
        fields = dict(write.headers)
        call = Call(
            request_class=cls,
            expires_at=self.engine.now() + self.engine.settings.classes[cls].deadline_us,
            method_and_target=write.method_and_target,
            header_lines=encode_headers(write.headers),
            body=body,
            frontend=replay,
            # Not the client's own id: the client may still send a request with that.
            client_request_id=b"outbox " + str(write.write_id).encode(),
            tenant=self.tenants.get(write.tenant, 0),
            key=parse_object_key(write.method_and_target.partition(b"?")[2]),
            work_us=parse_cost_hint(fields.get(b"x-cost-hint", b"")),
            is_retry=write.write_id in self.retried,
        )
        call.claims_id = False
        if self.sharing is not None:
            self.sharing.mark_as_replay(call, write)
        return call

    async def _store_result(self, write_id: WriteId, result: ReplayResult, answer: Answer) -> None:
        if result is ReplayResult.MAY_HAVE_RUN:
            self.retried.add(write_id)
        status, headers, body = answer.status, tuple(answer.headers), answer.body
        if result is not ReplayResult.ANSWERED:
            status, headers, body = 0, (), b""
        change = self.outbox.on_replay_end(
            write_id,
            result,
            self.now(),
            self.wall(),
            status,
            headers,
            body if len(body) <= MAX_STORED_ANSWER_BYTES else b"",
        )
        while True:
            try:
                await self.store.put_state(change.state_change)
                break
            except StoreError as error:
                self.log(f"outbox: {write_id}: its end is not written: {error}")
                if self.closing:
                    return
                await asyncio.sleep(STATE_RETRY_S)
        self._apply(change)
