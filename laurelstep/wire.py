"""Binary codec of the simulator's wire: frames in, frames out, no decisions.

The only module that knows the wire's record layouts, codes and settings
names; it turns them into the types of `laurelstep.balancing.events` and back.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

from laurelstep.balancing import events
from laurelstep.errors import LaurelstepError

EVENT_SIZE = 48
ACTION_SIZE = 24
ENTRY = struct.Struct(">QfIHBBB")

BATCH_HEAD = struct.Struct(">QI")
LENGTH = struct.Struct(">I")
REPLY_HEAD = struct.Struct(">II")

(
    EV_INIT,
    EV_BACKENDS,
    EV_REQ,
    EV_HEAD,
    EV_RETURNED,
    EV_ABANDONED,
    EV_FIRED,
    EV_PROBED,
    EV_MAIL,
    EV_KILL,
    EV_MANIFEST,
) = range(11)

INIT = struct.Struct(">IQII")
BACKENDS = struct.Struct(">IIBH")
REQ = struct.Struct(">IQBHQQIB")
HEAD = struct.Struct(">IQBII")
RETURNED = struct.Struct(">IQBIHIBB4f")
ID_VALUE = struct.Struct(">IQ")  # Abandoned and Fired
PROBED = struct.Struct(">IIHIB4f")
MAIL = struct.Struct(">IHII")
KILL = struct.Struct(">I")
MANIFEST = struct.Struct(">HII")

ACT_SEND = struct.Struct(">BIQIi3x")
ACT_TEXT = struct.Struct(">BIII11x")
ACT_TIMER = struct.Struct(">BIQI7x")
ACT_ID = struct.Struct(">BIQ11x")
ACT_COPY = struct.Struct(">BIQB10x")
ACT_REFUSE = struct.Struct(">BIQI7x")
ACT_TELL = struct.Struct(">BIIII7x")
ACT_FLAG = struct.Struct(">BIB18x")
ACT_PLAIN = struct.Struct(">BI19x")
ACT_ENDPOINT = struct.Struct(">BII15x")

# Codes of the actions' records.
(
    CODE_SEND,
    CODE_PROBE,
    CODE_LOG,
    CODE_TIMER,
    CODE_FETCH,
    CODE_FAULT,
    CODE_FAIL,
    CODE_CANCEL,
    CODE_REFUSE,
    CODE_TELL,
    CODE_WATCH,
    CODE_CLOSE,
) = range(64, 76)

MAX_U32 = 0xFFFFFFFF
MAX_TIMEOUT = 0x7FFFFFFF
OPTION_HINT, OPTION_REPEAT, OPTION_WRITE = 1, 2, 4

OUTCOMES = {
    0: events.OK,
    5: events.ERROR,
    11: events.FULL,
    110: events.TIMEOUT,
    111: events.NO_CONNECT,
    104: events.RESET,
    125: events.CANCELLED,
    114: events.NOT_SENT,
}
MODES = {0: events.LIST_FULL, 1: events.LIST_FAILED, 2: events.LIST_DELTA, 3: events.LIST_CACHED}
PHASES = {0: events.GONE, 1: events.READY, 2: events.DRAINING}
EFFECTS = {"retryable": events.SAFE, "dedup": events.KEYED, "fragile": events.UNSAFE}
REPORT_FIELDS = {
    "active": events.IN_FLIGHT,
    "waiting": events.QUEUED,
    "cpu": events.CPU_UTILIZATION,
    "avg_ms": events.LATENCY_MS,
    "rps": events.SERVED_RATE,
    "err_rps": events.ERROR_RATE,
}
SCOPES = {"all": events.SCOPE_ALL, "zone": events.SCOPE_ZONE, "cell": events.SCOPE_CELL}


class WireError(LaurelstepError):
    """What was read is not a frame of this wire."""

    cause = "settings, or a batch from the simulator, are not in the form that this version reads"
    remedy = "correct the settings that the text names; else run a simulator and an adapter of one version"


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    parts = []
    while size:
        part = stream.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def read_frame(stream: BinaryIO) -> memoryview | None:
    """The next batch without its length field, or None at the end of input."""
    head = _read_exactly(stream, LENGTH.size)
    if not head:
        return None
    if len(head) < LENGTH.size:
        raise WireError("input ends inside a frame's length")
    (length,) = LENGTH.unpack(head)
    body = _read_exactly(stream, length)
    if len(body) < length:
        raise WireError(f"truncated batch: {len(body)} of {length} bytes")
    return memoryview(body)


def frame_head(body: memoryview) -> tuple[int, int, memoryview]:
    """Clock, number of records and tail of a batch."""
    if len(body) < BATCH_HEAD.size:
        raise WireError("batch shorter than its header")
    now, count = BATCH_HEAD.unpack_from(body)
    start = BATCH_HEAD.size + count * EVENT_SIZE
    if start > len(body):
        raise WireError(f"{count} records do not fit into the batch")
    return now, count, body[start:]


def tail_bytes(tail: memoryview, offset: int, length: int) -> bytes:
    """A stretch of a batch's tail; raises `WireError` where it ends before."""
    if offset + length > len(tail):
        raise WireError("a record points past the tail")
    return bytes(tail[offset : offset + length])


def read_entries(tail: memoryview, offset: int, count: int) -> tuple[events.Entry, ...]:
    """A list's entries; raises `WireError` where they go past the tail or have an unknown phase."""
    end = offset + count * ENTRY.size
    if end > len(tail):
        raise WireError("a list points past the tail")
    return tuple(_entries(tail[offset:end]))


def _entries(raw: memoryview) -> Iterator[events.Entry]:
    for boot, rating, endpoint, cell, zone, phase, kind in ENTRY.iter_unpack(raw):
        if phase not in PHASES:
            raise WireError(f"unknown phase {phase}")
        yield events.Entry(endpoint, PHASES[phase], boot, rating, cell, zone, kind)


def read_settings(raw: bytes) -> events.Settings:
    """The start-up settings; unknown keys are skipped, absent ones get defaults."""
    try:
        info = json.loads(raw)
        return _settings(info)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise WireError(f"settings can't be read: {type(error).__name__}: {error}") from None


def _settings(info: dict[str, Any]) -> events.Settings:
    return events.Settings(
        **_position(info),
        **_service(info),
        **_surroundings(info),
        **_limits(info.get("ceilings", {})),
        **_invariants(info.get("invariants", {})),
        **_prices(info.get("prices", {})),
        resolution_us=int(info.get("resolution-us", 1000)),
    )


def _position(info: dict[str, Any]) -> dict[str, Any]:
    """Which copy of which tier this is, and where."""
    return {
        "me": int(info.get("me", 0)),
        "instances": max(1, int(info.get("instances", 1))),
        "zone": int(info.get("locality", 0)),
        "zones": max(1, len(info.get("zones", ()))),
        "stage": int(info.get("stage", 0)),
        "stages": max(1, len(info.get("layers", ()))),
    }


def _service(info: dict[str, Any]) -> dict[str, Any]:
    """What is served to whom, and how that counts."""
    return {
        "classes": tuple(_request_class(entry) for entry in info["classes"]),
        "tenants": tuple(float(t.get("allowance-per-s", 0.0)) for t in info.get("accounts", ())),
        "over_share_worth": float(info.get("over-share-worth", 1.0)),
        "worth_by_work": info.get("worth-by", "request") == "work",
        "goal": _goal(info.get("goal", {})),
    }


def _goal(goal: dict[str, Any]) -> events.Goal:
    return events.Goal(
        whole=float(goal.get("whole", 1.0)),
        worst_window=float(goal.get("worst-window", 0.0)),
        worst_class=float(goal.get("worst-class", 0.0)),
        worst_tenant=float(goal.get("worst-tenant", 0.0)),
        punctual=float(goal.get("punctual", 0.0)),
        miss_allowed=float(goal.get("miss-allowed", 0.0)),
    )


def _surroundings(info: dict[str, Any]) -> dict[str, Any]:
    """How discovery, endpoints and clients behave."""
    report = info.get("load-report", {})
    family = info.get("family-info", {})
    return {
        "asks_discovery": info.get("discovery", "push") == "ask",
        "passes_deadline": bool(family.get("passes-deadline", False)),
        "warm_keys": bool(family.get("warm-keys", False)),
        "marks_retry": bool(info.get("clients", {}).get("marks-retry", False)),
        "rated": info.get("weight-kind", "silent") != "silent",
        "rating_is_live": info.get("weight-kind") == "live",
        "report_fields": tuple(REPORT_FIELDS.get(name, str(name)) for name in report.get("fields", ())),
        "reports_pulled": report.get("how") == "pull",
    }


def _limits(caps: dict[str, Any]) -> dict[str, Any]:
    """What a sidecar may do, and how much of it."""
    return {
        "can_cancel": bool(caps.get("cancel", False)),
        "can_probe": bool(caps.get("probes", False)),
        "can_tell": bool(caps.get("may-tell", False)),
        "second_copies": bool(caps.get("second-copies", False)),
        "retry_after": bool(caps.get("retry-after", False)),
        "max_retry_after_us": int(caps.get("max-retry-after-us", 0)),
        "max_attempts": int(caps.get("max-attempts", 1)),
        "max_held": int(caps.get("most-held", 1_000_000)),
        "streams": max(1, int(caps.get("max-streams", 1))),
        "idle_us": int(caps.get("conn-idle-us", 0)),
        "connect_timeout_us": int(caps.get("connect-timeout-us", 0)),
        "cpu_us_per_s": float(caps.get("cpu-us-per-s", 0.0)),
        "cpu_us_per_request": float(caps.get("cpu-us-per-request", 0.0)),
    }


def _invariants(rules: dict[str, Any]) -> dict[str, Any]:
    """The rules that hold whatever happens."""
    return {
        "answer_slack_us": int(rules.get("answer-slack-us", 0)),
        "ask_within_us": int(rules.get("ask-within-us", 10_000_000)),
        "key_rest_us": int(rules.get("key-rest-us", 0)),
        "full_unproven": bool(rules.get("full-unproven", False)),
        "cold_share": float(rules.get("cold-share", 1.0)),
        "cold_us": int(rules.get("cold-us", 0)),
        "tip_multiple": float(rules.get("tip-multiple", 1.0)),
        "overload_for_us": int(rules.get("overload-for-us", 1_000_000)),
    }


def _prices(prices: dict[str, Any]) -> dict[str, Any]:
    return {
        "cross_zone_price": float(prices.get("cross-zone", 0.0)),
        "probe_price": float(prices.get("probe", 0.0)),
        "waste_price": float(prices.get("waste", 0.0)),
        "connection_price": float(prices.get("connection", 0.0)),
        "handshake_price": float(prices.get("handshake", 0.0)),
        "late_fail_price": float(prices.get("late-fail", 0.0)),
        "peer_price": float(prices.get("peer", 0.0)),
        "discovery_price": float(prices.get("discovery", 0.0)),
    }


def _request_class(entry: dict[str, Any]) -> events.RequestClass:
    effect = EFFECTS[entry["repeat"]]
    scope = SCOPES[entry.get("dedup-scope") or "all"] if effect == events.KEYED else events.SCOPE_ALL
    return events.RequestClass(
        effect=effect,
        scope=scope,
        window_us=int(entry.get("repeat-window-us", 0)),
        aim_us=max(1, int(entry["aim-us"])),
        deadline_us=int(entry["deadline-us"]),
        worth=float(entry.get("points", 1.0)),
        late_worth=float(entry.get("late-worth", 0.0)),
        aim_stretch=float(entry.get("aim-stretch", 0.0)),
        stream=bool(entry.get("stream", False)),
        sequential=bool(entry.get("sequential", False)),
    )


class Reply:
    """Collects one reply's records and tail."""

    __slots__ = ("_records", "_tail", "_tail_size")

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail: list[bytes] = []
        self._tail_size = 0

    def add(self, instance: int, actions: list[events.Action]) -> None:
        """Append the records of one instance's actions, in their order."""
        records = self._records
        for action in actions:
            if type(action) is events.Send:
                records.append(
                    ACT_SEND.pack(
                        CODE_SEND,
                        instance,
                        action.request,
                        action.endpoint,
                        min(action.timeout_us, MAX_TIMEOUT),
                    )
                )
            elif type(action) is events.Timer:
                delay = min(action.delay_us, MAX_U32)
                records.append(ACT_TIMER.pack(CODE_TIMER, instance, action.token, delay))
            else:
                records.append(self._rare_record(instance, action))

    def _rare_record(self, instance: int, action: events.Action) -> bytes:
        match action:
            case events.Refuse(request, after):
                return ACT_REFUSE.pack(CODE_REFUSE, instance, request, after)
            case events.Fail(request):
                return ACT_ID.pack(CODE_FAIL, instance, request)
            case events.Cancel(request, copy):
                return ACT_COPY.pack(CODE_CANCEL, instance, request, copy)
            case events.Probe(endpoint):
                return ACT_ENDPOINT.pack(CODE_PROBE, instance, endpoint)
            case events.Close(endpoint):
                return ACT_ENDPOINT.pack(CODE_CLOSE, instance, endpoint)
            case events.Watch(on):
                return ACT_FLAG.pack(CODE_WATCH, instance, on)
            case events.Fetch():
                return ACT_PLAIN.pack(CODE_FETCH, instance)
            case events.Gossip(target, payload):
                to = MAX_U32 if target is None else target
                offset, size = self._store(payload)
                return ACT_TELL.pack(CODE_TELL, instance, to, offset, size)
            case events.Log(text):
                return ACT_TEXT.pack(CODE_LOG, instance, *self._store(text.encode()))
        raise TypeError(f"no record for {action!r}")

    def fault(self, instance: int, text: str) -> None:
        """The wire's internal error: the decision code is broken."""
        self._records.append(ACT_TEXT.pack(CODE_FAULT, instance, *self._store(text.encode())))

    def _store(self, data: bytes) -> tuple[int, int]:
        offset = self._tail_size
        self._tail.append(data)
        self._tail_size += len(data)
        return offset, len(data)

    def encode(self) -> bytes:
        """The whole reply with its length field."""
        body = b"".join(self._records) + b"".join(self._tail)
        return REPLY_HEAD.pack(4 + len(body), len(self._records)) + body
