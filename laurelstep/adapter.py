"""Adapter: hosts many balancer instances on the simulator's wire.

It decodes, hands each event to the instance it is for and encodes what the
instance returns. It decides nothing and shares nothing between instances.
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
    """All instances of this process, and the wire's numbered lists."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.lists: Lists = {}

    def batch(self, body: memoryview) -> bytes:
        """Play one batch of events and return the reply. Raises `WireError` where it can't be read."""
        now, count, tail = wire.frame_head(body)
        reply = wire.Reply()
        offset = wire.BATCH_HEAD.size
        for _ in range(count):
            instance = -1
            try:
                instance, actions = self.event(now, body, offset, tail)
            except wire.WireError:
                raise
            except Exception as error:  # whatever the module raises is reported
                (instance,) = wire.KILL.unpack_from(body, offset + 1)
                reply.fault(instance, f"{type(error).__name__}: {error}")
                actions = []
            if actions:
                reply.add(instance, actions)
            offset += wire.EVENT_SIZE
        return reply.encode()

    def event(self, now: int, body: memoryview, offset: int, tail: memoryview) -> tuple[int, list[Action]]:
        """Hand one record to the instance it is for; returns that and its actions.

        The time in µs; the frequent kinds of events come first.
        """
        code = body[offset]
        at = offset + 1
        if code == wire.EV_REQ:
            i, rid, cls, tenant, key, expires, hint, options = wire.REQ.unpack_from(body, at)
            if (balancer := self.instances.get(i)) is None:
                return i, []
            if not options & wire.OPTION_HINT:
                hint = 0
            repeat = bool(options & wire.OPTION_REPEAT)
            return i, balancer.request(now, Arrival(rid, cls, expires, tenant, key, hint, repeat))
        if code == wire.EV_RETURNED:
            i, rid, copy, endpoint, raw, delay, over, n, *load = wire.RETURNED.unpack_from(body, at)
            if (balancer := self.instances.get(i)) is None:
                return i, []
            if raw not in wire.OUTCOMES:
                raise wire.WireError(f"unknown outcome {raw}")
            report = load[:n] if n else None
            outcome = wire.OUTCOMES[raw]
            ended = Outcome(rid, copy, endpoint, outcome, delay, over != 0, report)
            return i, balancer.outcome(now, ended)
        if code == wire.EV_FIRED:
            i, token = wire.ID_VALUE.unpack_from(body, at)
            balancer = self.instances.get(i)
            return i, balancer.timer(now, token) if balancer else []
        return self._rare_event(code, now, body, at, tail)

    def _rare_event(
        self, code: int, now: int, body: memoryview, at: int, tail: memoryview
    ) -> tuple[int, list[Action]]:
        if code == wire.EV_MANIFEST:
            number, start, count = wire.MANIFEST.unpack_from(body, at)
            self.lists[number] = wire.read_entries(tail, start, count)
            return -1, []
        if code == wire.EV_INIT:
            i, seed, start, size = wire.INIT.unpack_from(body, at)
            settings = wire.read_settings(wire.tail_bytes(tail, start, size))
            balancer = self.instances[i] = Balancer(seed, settings)
            return i, balancer.start(now)
        (i,) = wire.KILL.unpack_from(body, at)
        if code == wire.EV_KILL:
            self.instances.pop(i, None)
            return i, []
        if not wire.EV_INIT < code < wire.EV_MANIFEST:
            raise wire.WireError(f"unknown event code {code}")
        found = self.instances.get(i)
        return i, self._instance_event(found, code, now, body, at, tail) if found else []

    def _instance_event(
        self, balancer: Balancer, code: int, now: int, body: memoryview, at: int, tail: memoryview
    ) -> list[Action]:
        if code == wire.EV_BACKENDS:
            _, _, raw, number = wire.BACKENDS.unpack_from(body, at)
            if raw not in wire.MODES:
                raise wire.WireError(f"unknown list mode {raw}")
            failed = wire.MODES[raw] == LIST_FAILED
            if not failed and number not in self.lists:
                raise wire.WireError(f"list {number} was never sent")
            return balancer.members(now, wire.MODES[raw], () if failed else self.lists[number])
        if code == wire.EV_HEAD:
            _, rid, copy, endpoint, delay = wire.HEAD.unpack_from(body, at)
            return balancer.head(now, Outcome(rid, copy, endpoint, OK, delay))
        if code == wire.EV_ABANDONED:
            _, rid = wire.ID_VALUE.unpack_from(body, at)
            return balancer.client_disconnected(now, rid)
        if code == wire.EV_PROBED:
            _, endpoint, raw, delay, n, *load = wire.PROBED.unpack_from(body, at)
            if raw not in wire.OUTCOMES:
                raise wire.WireError(f"unknown outcome {raw}")
            report = load[:n] if n else None
            return balancer.probed(now, ProbeResult(endpoint, wire.OUTCOMES[raw], delay, report))
        _, sender, start, size = wire.MAIL.unpack_from(body, at)
        return balancer.gossip_received(now, sender, wire.tail_bytes(tail, start, size))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batch after batch until the input ends. Raises `WireError` where it can't be read."""
    host = Host()
    while (body := wire.read_frame(source)) is not None:
        sink.write(host.batch(body))
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
        print("laurelstep.adapter: the reader of the replies went away", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
