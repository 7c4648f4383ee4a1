"""The wire codec on byte examples, and the adapter on malformed input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from typing import cast

import pytest
from laurelstep import wire
from laurelstep.adapter import Host, serve
from laurelstep.balancing import events
from laurelstep.balancing.balancer import Balancer

from tests.sockets import MethodProxy

NOW = 0x805C5A

SETTINGS = {
    "me": 0,
    "instances": 2,
    "classes": [
        {"aim-us": 100_000, "deadline-us": 400_000, "repeat": "retryable", "points": 1.0},
        {
            "aim-us": 100_000,
            "deadline-us": 400_000,
            "repeat": "dedup",
            "dedup-scope": "cell",
            "repeat-window-us": 5_000_000,
        },
    ],
    "ceilings": {"max-attempts": 3, "cancel": True, "second-copies": True, "unheard-of": 1},
    "invariants": {"cold-share": 0.2, "cold-us": 10_000_000, "tip-multiple": 3.0},
    "unknown-key": [1, 2],
}


def record(hex_text: str) -> bytes:
    raw = bytes.fromhex(hex_text.replace(" ", ""))
    return raw + bytes(wire.EVENT_SIZE_BYTES - len(raw))


def frame(*records: bytes, tail: bytes = b"", now: int = NOW) -> bytes:
    body = struct.pack(">QI", now, len(records)) + b"".join(records) + tail
    return struct.pack(">I", len(body)) + body


def body(*records: bytes, tail: bytes = b"", now: int = NOW) -> memoryview:
    return memoryview(frame(*records, tail=tail, now=now))[4:]


def init(instance: int, tail_offset: int = 0, settings: bytes | None = None) -> tuple[bytes, bytes]:
    raw = json.dumps(SETTINGS).encode() if settings is None else settings
    head = struct.pack(">BIQII", 0, instance, 7, tail_offset, len(raw))
    return head + bytes(wire.EVENT_SIZE_BYTES - len(head)), raw


LIST_ENTRIES_RECORD = "0a 0000 00000000 00000002"
CACHED_LIST_RECORD = "01 00000003 00000029 03 0000"
ENTRIES = bytes.fromhex(
    "0000000000000000 3f800000 03124a07 0000 00 01 00"
    "00000000005d1420 3fc00000 2c9011f2 0000 00 01 00".replace(" ", "")
)
REQUEST_RECORD = "02 00000003 000e37b15d3a91c4 00 0000 91f03b7c55d20a64 00000000008405da 00002ee0 01"
OUTCOME_OK_RECORD = "04 00000003 000e37b15d3a91c4 00 03124a07 0000 00004844 01 00"
REQUEST_ID = 0x000E37B15D3A91C4


def started_host(now: int = NOW) -> Host:
    host = Host()
    first, raw = init(3)
    entries_offset_hex = struct.pack(">I", len(raw)).hex()
    manifest = record(f"0a 0000 {entries_offset_hex} 00000002")
    host.process_batch(body(first, manifest, record(CACHED_LIST_RECORD), tail=raw + ENTRIES, now=now))
    return host


def action_records(raw: bytes) -> list[bytes]:
    length, count = struct.unpack_from(">II", raw)
    assert length == len(raw) - 4
    return [raw[8 + 24 * i : 32 + 24 * i] for i in range(count)]


def test_empty_batch_and_reply() -> None:
    source = io.BytesIO(bytes.fromhex("0000000c0000000000805c5a00000000"))
    sink = io.BytesIO()
    serve(source, sink)
    assert sink.getvalue() == bytes.fromhex("0000000400000000")


def test_reply_example_byte_for_byte() -> None:
    reply = wire.Reply()
    reply.add(3, [events.Send(REQUEST_ID, 0x03124A07, 0x13880), events.Timer(0x4D, 0x7A120)])
    reply.add(5, [events.Log("two servers known")])
    expected = (
        "0000005d 00000003"
        "40 00000003 000e37b15d3a91c4 03124a07 00013880 000000"
        "43 00000003 000000000000004d 0007a120 00000000000000"
        "42 00000005 00000000 00000011 0000000000000000000000"
        "74776f2073657276657273206b6e6f776e"
    )
    assert reply.encode() == bytes.fromhex(expected.replace(" ", ""))


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (events.Refuse(REQUEST_ID, 9), "48 00000003 000e37b15d3a91c4 00000009"),
        (events.Fail(REQUEST_ID), "46 00000003 000e37b15d3a91c4"),
        (events.Cancel(REQUEST_ID, 2), "47 00000003 000e37b15d3a91c4 02"),
        (events.Probe(0x03124A07), "41 00000003 03124a07"),
        (events.Watch(True), "4a 00000003 01"),
        (events.Fetch(), "44 00000003"),
        (events.Gossip(None, b"hi 7"), "49 00000003 ffffffff 00000000 00000004"),
        (events.Gossip(6, b""), "49 00000003 00000006 00000000 00000000"),
    ],
)
def test_each_action_has_its_record(action: events.Action, expected: str) -> None:
    reply = wire.Reply()
    reply.add(3, [action])
    raw = bytes.fromhex(expected.replace(" ", ""))
    assert action_records(reply.encode())[0] == raw + bytes(24 - len(raw))


def test_entries_example() -> None:
    first, second = wire.read_entries(memoryview(ENTRIES), 0, 2)
    assert first == events.Entry(0x03124A07, events.READY, 0, 1.0, 0, 0, 0)
    assert second == events.Entry(0x2C9011F2, events.READY, 0x5D1420, 1.5, 0, 0, 0)


def test_request_is_sent_and_ends_with_its_first_ok() -> None:
    host = started_host(now=NOW + 20_000_000)
    sent = action_records(host.process_batch(body(record(REQUEST_RECORD), now=NOW)))
    assert [r[0] for r in sent] == [64]
    assert sent[0][5:13] == REQUEST_ID.to_bytes(8, "big")
    assert REQUEST_ID in host.instances[3].requests
    host.process_batch(body(record(OUTCOME_OK_RECORD)))
    assert not host.instances[3].requests


def test_late_events_for_unknown_requests_are_ignored() -> None:
    host = started_host()
    client_disconnected = record("05 00000003 000000000000004d")
    timer_fired = record("06 00000003 000000000000004d")
    assert (
        action_records(host.process_batch(body(record(OUTCOME_OK_RECORD), client_disconnected, timer_fired)))
        == []
    )


def test_list_numbers_are_reused_within_a_batch() -> None:
    host = Host()
    first_start, raw = init(1)
    second_start, _ = init(2)
    entries_offset = len(raw)
    lists = [struct.pack(">BHII", 10, 0, entries_offset + 21 * k, 1) for k in range(2)]
    cached = [struct.pack(">BIIBH", 1, i, 1, 3, 0) for i in (1, 2)]
    padded_records = [part + bytes(48 - len(part)) for part in (*lists, *cached)]
    records = (
        first_start,
        padded_records[0],
        padded_records[2],
        second_start,
        padded_records[1],
        padded_records[3],
    )
    host.process_batch(body(*records, tail=raw + ENTRIES))
    assert list(host.instances[1].endpoints) == [0x03124A07]
    assert list(host.instances[2].endpoints) == [0x2C9011F2]


def test_a_restart_within_one_batch_keeps_no_state() -> None:
    host = started_host()
    host.process_batch(body(record(REQUEST_RECORD)))
    restart, raw = init(3)
    host.process_batch(body(record("09 00000003"), restart, tail=raw))
    assert not host.instances[3].requests
    assert not host.instances[3].endpoints


def test_an_exception_in_the_balancer_is_reported_as_a_fault() -> None:
    host = started_host()

    def raise_error(*args: object) -> list[events.Action]:
        raise RuntimeError("no such luck")

    host.instances[3] = cast(Balancer, MethodProxy(host.instances[3], request=raise_error))
    raw = host.process_batch(body(record(REQUEST_RECORD)))
    assert action_records(raw)[0][0] == 69
    assert raw.endswith(b"RuntimeError: no such luck")


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "laurelstep.adapter"], input=data, capture_output=True, timeout=60
    )


STARTED, STARTED_RAW = init(3)
UNREADABLE, UNREADABLE_RAW = init(3, settings=b"{not json")


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x00",
        bytes.fromhex("00000fff0000"),
        bytes.fromhex("00000002abcd"),
        struct.pack(">IQI", 12, NOW, 5),
        frame(record("63 00000003")),
        frame(UNREADABLE, tail=UNREADABLE_RAW),
        frame(record("0a 0000 00000000 00000009")),
        frame(record("0a 0000 00000000 00000001"), tail=ENTRIES[:18] + b"\x00\x09\x00"),
        frame(STARTED, record("01 00000003 00000029 07 0000"), tail=STARTED_RAW),
        frame(STARTED, record("01 00000003 00000029 03 0005"), tail=STARTED_RAW),
        frame(STARTED, record("04 00000003 000e37b15d3a91c4 00 03124a07 0063"), tail=STARTED_RAW),
        frame(STARTED, record("08 00000003 0001 00000000 0000ffff"), tail=STARTED_RAW),
    ],
    ids=[
        "length",
        "truncated",
        "short",
        "count",
        "code",
        "settings",
        "tail",
        "phase",
        "mode",
        "unsent",
        "outcome",
        "offset",
    ],
)
def test_malformed_input_ends_with_one_line_on_standard_error(data: bytes) -> None:
    done = run_adapter(data)
    assert done.returncode == 1
    assert done.stdout == b""
    assert done.stderr.startswith(b"laurelstep.adapter: ")
    assert done.stderr.count(b"\n") == 1


def test_end_of_input_exits_zero() -> None:
    assert run_adapter(b"").returncode == 0


FULL_SETTINGS = {
    "classes": [
        {"aim-us": 5, "deadline-us": 9, "repeat": "fragile", "sequential": True, "aim-stretch": 1.5},
        {"aim-us": 5, "deadline-us": 9, "repeat": "retryable"},
    ],
    "invariants": {"key-rest-us": 50_000, "full-unproven": True},
    "goal": {"whole": 0.2, "worst-window": 0.3, "punctual": 0.4, "miss-allowed": 0.02, "worst-tenant": 0.1},
    "prices": {"late-fail": 0.08, "peer": 0.01, "discovery": 0.02, "handshake": 0.03},
    "ceilings": {"cpu-us-per-s": 800_000, "cpu-us-per-request": 10.0},
    "family-info": {"warm-keys": True, "passes-deadline": True},
    "load-report": {"fields": ["rps", "err_rps", "avg_ms", "waiting"], "how": "piggyback"},
}


def test_every_used_setting_is_decoded() -> None:
    settings = wire.read_settings(json.dumps(FULL_SETTINGS).encode())
    first, second = settings.classes
    assert (first.sequential, first.aim_stretch, second.sequential, second.aim_stretch) == (
        True,
        1.5,
        False,
        0,
    )
    assert (settings.key_rest_us, settings.full_unproven) == (50_000, True)
    assert settings.goal == events.Goal(0.2, 0.3, 0.0, 0.1, 0.4, 0.02)
    assert (settings.late_fail_price, settings.peer_price, settings.discovery_price) == (0.08, 0.01, 0.02)
    assert (settings.cpu_us_per_s, settings.cpu_us_per_request) == (800_000, 10.0)
    assert settings.warm_keys and settings.passes_deadline
    assert settings.report_fields == ("served_rate", "error_rate", "latency_ms", "waiting")


def test_absent_settings_get_the_conservative_default() -> None:
    settings = wire.read_settings(b'{"classes": [{"aim-us": 5, "deadline-us": 9, "repeat": "fragile"}]}')
    assert (settings.max_attempts, settings.second_copies, settings.can_cancel, settings.can_probe) == (
        1,
        False,
        False,
        False,
    )
    assert not settings.classes[0].sequential and settings.goal.punctual == 0.0


@pytest.mark.parametrize("invalid_field", [{"classes": ()}, {"instances": 0}, {"cold_us": -1}])
def test_invalid_settings_name_their_field(invalid_field: dict[str, object]) -> None:
    fields: dict[str, object] = {"classes": (events.RequestClass(),), **invalid_field}
    with pytest.raises(ValueError, match=next(iter(invalid_field))):
        events.Settings(**fields)  # type: ignore[arg-type]


def test_close_has_its_record() -> None:
    reply = wire.Reply()
    reply.add(3, [events.Close(0x03124A07)])
    assert action_records(reply.encode())[0][:9] == bytes.fromhex("4b0000000303124a07")
