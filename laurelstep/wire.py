"""Binary codec of the simulator's wire protocol: it decodes and encodes frames and makes no decisions.

This is the only module that knows the record layouts, codes and setting names of the protocol; it
converts them to and from the types of `laurelstep.balancing.events`.

A batch (from the simulator) and a reply (to it) each consist of a length, a header, records of fixed
size and a tail with data of variable size, to which the records refer by offset and length.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

from laurelstep.balancing import events
from laurelstep.errors import LaurelstepError

EVENT_SIZE_BYTES = 48
ACTION_SIZE_BYTES = 24
ENTRY = struct.Struct(">QfIHBBB")

BATCH_HEAD = struct.Struct(">QI")
LENGTH = struct.Struct(">I")
REPLY_HEAD = struct.Struct(">II")

(
    EVENT_START,
    EVENT_LIST,
    EVENT_REQUEST,
    EVENT_RESPONSE_START,
    EVENT_OUTCOME,
    EVENT_CLIENT_DISCONNECTED,
    EVENT_TIMER,
    EVENT_PROBE_RESULT,
    EVENT_GOSSIP,
    EVENT_STOP,
    EVENT_LIST_ENTRIES,
) = range(11)

START = struct.Struct(">IQII")
LIST = struct.Struct(">IIBH")
REQUEST = struct.Struct(">IQBHQQIB")
RESPONSE_START = struct.Struct(">IQBII")
OUTCOME = struct.Struct(">IQBIHIBB4f")
ID_VALUE = struct.Struct(">IQ")  # of EVENT_CLIENT_DISCONNECTED and EVENT_TIMER
PROBE_RESULT = struct.Struct(">IIHIB4f")
GOSSIP = struct.Struct(">IHII")
STOP = struct.Struct(">I")
LIST_ENTRIES = struct.Struct(">HII")

ACT_SEND = struct.Struct(">BIQIi3x")
ACT_TEXT = struct.Struct(">BIII11x")
ACT_TIMER = struct.Struct(">BIQI7x")
ACT_ID = struct.Struct(">BIQ11x")
ACT_ATTEMPT = struct.Struct(">BIQB10x")
ACT_REFUSE = struct.Struct(">BIQI7x")
ACT_GOSSIP = struct.Struct(">BIIII7x")
ACT_FLAG = struct.Struct(">BIB18x")
ACT_PLAIN = struct.Struct(">BI19x")
ACT_ENDPOINT = struct.Struct(">BII15x")

# Codes of the action records.
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
    CODE_GOSSIP,
    CODE_WATCH,
    CODE_CLOSE,
) = range(64, 76)

MAX_U32 = 0xFFFFFFFF
MAX_TIMEOUT_US = 0x7FFFFFFF
OPTION_WORK_HINT, OPTION_RETRY, OPTION_WRITE = 1, 2, 4

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
LIST_MODES = {0: events.LIST_FULL, 1: events.LIST_FAILED, 2: events.LIST_DELTA, 3: events.LIST_CACHED}
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
    """The input is not a valid frame of the protocol, or its settings cannot be read."""

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
    """Read the next batch, without its length field; returns None at the end of input.

    Raises `WireError` where the input ends inside a batch.
    """
    length_field = _read_exactly(stream, LENGTH.size)
    if not length_field:
        return None
    if len(length_field) < LENGTH.size:
        raise WireError("truncated batch: input ends inside the length field")
    (length,) = LENGTH.unpack(length_field)
    batch = _read_exactly(stream, length)
    if len(batch) < length:
        raise WireError(f"truncated batch: {len(batch)} of {length} bytes")
    return memoryview(batch)


def split_batch(batch: memoryview) -> tuple[int, int, memoryview]:
    """Return the time (µs), the number of records and the tail of a batch."""
    if len(batch) < BATCH_HEAD.size:
        raise WireError("batch is shorter than its header")
    now, count = BATCH_HEAD.unpack_from(batch)
    start = BATCH_HEAD.size + count * EVENT_SIZE_BYTES
    if start > len(batch):
        raise WireError(f"batch is too short for its {count} records")
    return now, count, batch[start:]


def read_tail(tail: memoryview, offset: int, length: int) -> bytes:
    """Return a range of a batch's tail; raises `WireError` where the range exceeds the tail."""
    if offset + length > len(tail):
        raise WireError("a record refers to data past the end of the tail")
    return bytes(tail[offset : offset + length])


def read_entries(tail: memoryview, offset: int, count: int) -> tuple[events.Entry, ...]:
    """Read the entries of a list; raises `WireError` where they exceed the tail or a phase is unknown."""
    end = offset + count * ENTRY.size
    if end > len(tail):
        raise WireError("a list refers to data past the end of the tail")
    return tuple(_decode_entries(tail[offset:end]))


def _decode_entries(raw: memoryview) -> Iterator[events.Entry]:
    for boot, rating, endpoint, cell, zone, phase, kind in ENTRY.iter_unpack(raw):
        if phase not in PHASES:
            raise WireError(f"unknown phase {phase}")
        yield events.Entry(endpoint, PHASES[phase], boot, rating, cell, zone, kind)


def read_settings(raw: bytes) -> events.Settings:
    """Read the start-up settings from JSON; unknown keys are ignored, absent ones get their defaults.

    Raises `WireError` where the settings cannot be read.
    """
    try:
        settings = json.loads(raw)
        return _decode_settings(settings)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise WireError(f"settings cannot be read: {type(error).__name__}: {error}") from None


def _decode_settings(settings: dict[str, Any]) -> events.Settings:
    return events.Settings(
        **_decode_position(settings),
        **_decode_service(settings),
        **_decode_environment(settings),
        **_decode_limits(settings.get("ceilings", {})),
        **_decode_invariants(settings.get("invariants", {})),
        **_decode_prices(settings.get("prices", {})),
        resolution_us=int(settings.get("resolution-us", 1000)),
    )


def _decode_position(settings: dict[str, Any]) -> dict[str, Any]:
    """Return the settings on this copy's number, tier and zone."""
    return {
        "me": int(settings.get("me", 0)),
        "instances": max(1, int(settings.get("instances", 1))),
        "zone": int(settings.get("locality", 0)),
        "zones": max(1, len(settings.get("zones", ()))),
        "stage": int(settings.get("stage", 0)),
        "stages": max(1, len(settings.get("layers", ()))),
    }


def _decode_service(settings: dict[str, Any]) -> dict[str, Any]:
    """Return the settings on classes, tenants and the goal."""
    return {
        "classes": tuple(_decode_request_class(entry) for entry in settings["classes"]),
        "tenants": tuple(
            float(tenant.get("allowance-per-s", 0.0)) for tenant in settings.get("accounts", ())
        ),
        "over_share_worth": float(settings.get("over-share-worth", 1.0)),
        "worth_by_work": settings.get("worth-by", "request") == "work",
        "goal": _decode_goal(settings.get("goal", {})),
    }


def _decode_goal(goal: dict[str, Any]) -> events.Goal:
    return events.Goal(
        whole=float(goal.get("whole", 1.0)),
        worst_window=float(goal.get("worst-window", 0.0)),
        worst_class=float(goal.get("worst-class", 0.0)),
        worst_tenant=float(goal.get("worst-tenant", 0.0)),
        punctual=float(goal.get("punctual", 0.0)),
        miss_allowed=float(goal.get("miss-allowed", 0.0)),
    )


def _decode_environment(settings: dict[str, Any]) -> dict[str, Any]:
    """Return the settings on the behaviour of discovery, endpoints and clients."""
    report = settings.get("load-report", {})
    platform = settings.get("family-info", {})
    return {
        "asks_discovery": settings.get("discovery", "push") == "ask",
        "passes_deadline": bool(platform.get("passes-deadline", False)),
        "warm_keys": bool(platform.get("warm-keys", False)),
        "marks_retry": bool(settings.get("clients", {}).get("marks-retry", False)),
        "rated": settings.get("weight-kind", "silent") != "silent",
        "rating_is_live": settings.get("weight-kind") == "live",
        "report_fields": tuple(REPORT_FIELDS.get(name, str(name)) for name in report.get("fields", ())),
        "reports_pulled": report.get("how") == "pull",
    }


def _decode_limits(limits: dict[str, Any]) -> dict[str, Any]:
    """Return the settings on what a sidecar may do, and how much of it."""
    return {
        "can_cancel": bool(limits.get("cancel", False)),
        "can_probe": bool(limits.get("probes", False)),
        "can_tell": bool(limits.get("may-tell", False)),
        "second_copies": bool(limits.get("second-copies", False)),
        "retry_after": bool(limits.get("retry-after", False)),
        "max_retry_after_us": int(limits.get("max-retry-after-us", 0)),
        "max_attempts": int(limits.get("max-attempts", 1)),
        "max_held": int(limits.get("most-held", 1_000_000)),
        "streams": max(1, int(limits.get("max-streams", 1))),
        "idle_us": int(limits.get("conn-idle-us", 0)),
        "connect_timeout_us": int(limits.get("connect-timeout-us", 0)),
        "cpu_us_per_s": float(limits.get("cpu-us-per-s", 0.0)),
        "cpu_us_per_request": float(limits.get("cpu-us-per-request", 0.0)),
    }


def _decode_invariants(rules: dict[str, Any]) -> dict[str, Any]:
    """Return the settings on the rules that a sidecar must always keep."""
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


def _decode_prices(prices: dict[str, Any]) -> dict[str, Any]:
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


def _decode_request_class(entry: dict[str, Any]) -> events.RequestClass:
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
    """Collects the records and the tail of one reply."""

    __slots__ = ("_records", "_tail", "_tail_size")

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail: list[bytes] = []
        self._tail_size = 0

    def add(self, instance: int, actions: list[events.Action]) -> None:
        """Append the records of one instance's actions, in order."""
        records = self._records
        for action in actions:
            if type(action) is events.Send:
                records.append(
                    ACT_SEND.pack(
                        CODE_SEND,
                        instance,
                        action.request,
                        action.endpoint,
                        min(action.timeout_us, MAX_TIMEOUT_US),
                    )
                )
            elif type(action) is events.Timer:
                delay_us = min(action.delay_us, MAX_U32)
                records.append(ACT_TIMER.pack(CODE_TIMER, instance, action.token, delay_us))
            else:
                records.append(self._rare_record(instance, action))

    def _rare_record(self, instance: int, action: events.Action) -> bytes:
        match action:
            case events.Refuse(request, retry_after_us):
                return ACT_REFUSE.pack(CODE_REFUSE, instance, request, retry_after_us)
            case events.Fail(request):
                return ACT_ID.pack(CODE_FAIL, instance, request)
            case events.Cancel(request, attempt_index):
                return ACT_ATTEMPT.pack(CODE_CANCEL, instance, request, attempt_index)
            case events.Probe(endpoint):
                return ACT_ENDPOINT.pack(CODE_PROBE, instance, endpoint)
            case events.Close(endpoint):
                return ACT_ENDPOINT.pack(CODE_CLOSE, instance, endpoint)
            case events.Watch(is_enabled):
                return ACT_FLAG.pack(CODE_WATCH, instance, is_enabled)
            case events.Fetch():
                return ACT_PLAIN.pack(CODE_FETCH, instance)
            case events.Gossip(target, payload):
                target_code = MAX_U32 if target is None else target
                offset, size = self._append_to_tail(payload)
                return ACT_GOSSIP.pack(CODE_GOSSIP, instance, target_code, offset, size)
            case events.Log(text):
                return ACT_TEXT.pack(CODE_LOG, instance, *self._append_to_tail(text.encode()))
        raise TypeError(f"action without a record: {action!r}")

    def add_fault(self, instance: int, text: str) -> None:
        """Append a record that reports an internal error: the balancer raised an exception."""
        self._records.append(ACT_TEXT.pack(CODE_FAULT, instance, *self._append_to_tail(text.encode())))

    def _append_to_tail(self, data: bytes) -> tuple[int, int]:
        offset = self._tail_size
        self._tail.append(data)
        self._tail_size += len(data)
        return offset, len(data)

    def encode(self) -> bytes:
        """Return the complete reply with its length field."""
        body = b"".join(self._records) + b"".join(self._tail)
        return REPLY_HEAD.pack(4 + len(body), len(self._records)) + body
