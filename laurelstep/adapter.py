"""Adapter: hosts many balancer instances for the simulator, over its wire protocol.

It decodes each event, passes it to its instance and encodes the actions that the instance returns. It
makes no balancing decisions and shares no state between instances.
"""

from __future__ import annotations

import gc
import sys
from typing import BinaryIO

from laurelstep import wire
from laurelstep.balancing.balancer import Balancer
from laurelstep.balancing.events import LIST_FAILED, OK, Action, Arrival, Entry, Outcome, ProbeResult

Lists = dict[int, tuple[Entry, ...]]


class Host:
    """All balancer instances of this process, and the endpoint lists by their numbers in the protocol."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.lists: Lists = {}

    def process_batch(self, batch: memoryview) -> bytes:
        """Process one batch of events and return the reply; raises `WireError` where it is malformed."""
        now, count, tail = wire.split_batch(batch)
        reply = wire.Reply()
        offset = wire.BATCH_HEAD.size
        for _ in range(count):
            instance = -1
            try:
                instance, actions = self.process_event(now, batch, offset, tail)
            except wire.WireError:
                raise
            except Exception as error:  # any exception of a balancer is reported in the reply
                (instance,) = wire.STOP.unpack_from(batch, offset + 1)
                reply.add_fault(instance, f"{type(error).__name__}: {error}")
                actions = []
            if actions:
                reply.add(instance, actions)
            offset += wire.EVENT_SIZE_BYTES
        return reply.encode()

    def process_event(
        self, now: int, batch: memoryview, offset: int, tail: memoryview
    ) -> tuple[int, list[Action]]:
        """Pass one event record to its instance; returns the instance's number (-1 = none) and its actions.

        `now` is in µs. The frequent kinds of events are checked first.
        """
        event_code = batch[offset]
        record_start = offset + 1
        if event_code == wire.EVENT_REQUEST:
            instance, request_id, class_index, tenant, key, expires_at, work_us, options = (
                wire.REQUEST.unpack_from(batch, record_start)
            )
            if (balancer := self.instances.get(instance)) is None:
                return instance, []
            if not options & wire.OPTION_WORK_HINT:
                work_us = 0
            is_retry = bool(options & wire.OPTION_RETRY)
            return instance, balancer.request(
                now, Arrival(request_id, class_index, expires_at, tenant, key, work_us, is_retry)
            )
        if event_code == wire.EVENT_OUTCOME:
            (
                instance,
                request_id,
                attempt_index,
                endpoint,
                outcome_code,
                latency_us,
                final_flag,
                report_length,
                *report_values,
            ) = wire.OUTCOME.unpack_from(batch, record_start)
            if (balancer := self.instances.get(instance)) is None:
                return instance, []
            if outcome_code not in wire.OUTCOMES:
                raise wire.WireError(f"unknown outcome {outcome_code}")
            report = report_values[:report_length] if report_length else None
            outcome = wire.OUTCOMES[outcome_code]
            attempt_end = Outcome(
                request_id, attempt_index, endpoint, outcome, latency_us, final_flag != 0, report
            )
            return instance, balancer.outcome(now, attempt_end)
        if event_code == wire.EVENT_TIMER:
            instance, token = wire.ID_VALUE.unpack_from(batch, record_start)
            balancer = self.instances.get(instance)
            return instance, balancer.timer(now, token) if balancer else []
        return self._process_rare_event(event_code, now, batch, record_start, tail)

    def _process_rare_event(
        self, event_code: int, now: int, batch: memoryview, record_start: int, tail: memoryview
    ) -> tuple[int, list[Action]]:
        if event_code == wire.EVENT_LIST_ENTRIES:
            list_number, tail_offset, count = wire.LIST_ENTRIES.unpack_from(batch, record_start)
            self.lists[list_number] = wire.read_entries(tail, tail_offset, count)
            return -1, []
        if event_code == wire.EVENT_START:
            instance, seed, tail_offset, size = wire.START.unpack_from(batch, record_start)
            settings = wire.read_settings(wire.read_tail(tail, tail_offset, size))
            balancer = self.instances[instance] = Balancer(seed, settings)
            return instance, balancer.start(now)
        (instance,) = wire.STOP.unpack_from(batch, record_start)
        if event_code == wire.EVENT_STOP:
            self.instances.pop(instance, None)
            return instance, []
        if not wire.EVENT_START < event_code < wire.EVENT_LIST_ENTRIES:
            raise wire.WireError(f"unknown event code {event_code}")
        running = self.instances.get(instance)
        return instance, self._process_instance_event(
            running, event_code, now, batch, record_start, tail
        ) if running else []

    def _process_instance_event(
        self,
        balancer: Balancer,
        event_code: int,
        now: int,
        batch: memoryview,
        record_start: int,
        tail: memoryview,
    ) -> list[Action]:
        if event_code == wire.EVENT_LIST:
            _, _, mode_code, list_number = wire.LIST.unpack_from(batch, record_start)
            if mode_code not in wire.LIST_MODES:
                raise wire.WireError(f"unknown list mode {mode_code}")
            is_failed = wire.LIST_MODES[mode_code] == LIST_FAILED
            if not is_failed and list_number not in self.lists:
                raise wire.WireError(f"unknown list number {list_number}: its entries were not sent")
            return balancer.members(
                now, wire.LIST_MODES[mode_code], () if is_failed else self.lists[list_number]
            )
        if event_code == wire.EVENT_RESPONSE_START:
            _, request_id, attempt_index, endpoint, latency_us = wire.RESPONSE_START.unpack_from(
                batch, record_start
            )
            return balancer.head(now, Outcome(request_id, attempt_index, endpoint, OK, latency_us))
        if event_code == wire.EVENT_CLIENT_DISCONNECTED:
            _, request_id = wire.ID_VALUE.unpack_from(batch, record_start)
            return balancer.client_disconnected(now, request_id)
        if event_code == wire.EVENT_PROBE_RESULT:
            _, endpoint, outcome_code, latency_us, report_length, *report_values = (
                wire.PROBE_RESULT.unpack_from(batch, record_start)
            )
            if outcome_code not in wire.OUTCOMES:
                raise wire.WireError(f"unknown outcome {outcome_code}")
            report = report_values[:report_length] if report_length else None
            return balancer.probed(
                now, ProbeResult(endpoint, wire.OUTCOMES[outcome_code], latency_us, report)
            )
        _, sender, tail_offset, size = wire.GOSSIP.unpack_from(batch, record_start)
        return balancer.gossip_received(now, sender, wire.read_tail(tail, tail_offset, size))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each batch with a reply until the input ends; raises `WireError` where it is malformed."""
    host = Host()
    while (batch := wire.read_frame(source)) is not None:
        sink.write(host.process_batch(batch))
        sink.flush()


def main() -> int:
    """Serve the simulator on standard input and output; returns the exit code."""
    gc.set_threshold(50_000, 20, 50)
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"laurelstep.adapter: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        print("laurelstep.adapter: the simulator closed its end of the reply pipe", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
