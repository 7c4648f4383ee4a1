"""Parses and applies long endpoint lists in steps, so that requests are served in between.

Rules of this module:

1. A list is parsed completely, entry by entry, before any of it is applied.
2. Withdrawn endpoints are reported first, then new and changed ones; unchanged entries are skipped. The
   balancer receives the entries in parts, and uses none of them before the last part.
3. A step parses, compares or reports `STEP_ENTRIES` entries at most. It does no I/O; the caller decides how
   many steps run before the next pause.

This module is not compiled with mypyc, because it consists of generators: a compiled generator and its frame
refer to each other, and keep the list in memory until the garbage collector runs.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Generator, Iterator, Sequence
from typing import Any

from laurelstep.balancing.events import READY, Entry
from laurelstep.engine.endpoint_table import (
    PHASES,
    EndpointTable,
    ListedEndpoint,
    gone_entry,
    split_address,
)

# Entries in a step, which then takes some tenths of a millisecond, also as plain Python.
STEP_ENTRIES = 32

# Receives a part of the changed entries, and whether more parts follow.
OnPart = Callable[[Sequence[Entry], bool], None]
ParsedEntries = dict[int, tuple[Entry, ListedEndpoint]]

_WHITE_SPACE = re.compile(r"[ \t\n\r]*")


def _skip_space(text: str, position: int) -> int:
    match = _WHITE_SPACE.match(text, position)
    assert match is not None  # the pattern also matches the empty string
    return match.end()


def _read_delimiter(text: str, position: int, delimiters: str) -> tuple[str, int]:
    """The delimiter at a position, white space before it skipped, and the position of the next token.
    ValueError if it is none of `delimiters`.
    """
    position = _skip_space(text, position)
    if text[position : position + 1] not in delimiters or position == len(text):
        raise ValueError(f"expected one of {delimiters} at character {position}")
    return text[position], _skip_space(text, position + 1)


def parse_in_steps(text: str) -> Generator[None, None, dict[str, Any]]:
    """Parse a JSON object (RFC 8259) as `json.loads` does. The array `instances`, which may be long, takes a
    step for every `STEP_ENTRIES` items. ValueError if the text is malformed or no object.
    """
    decode = json.JSONDecoder().raw_decode
    fields: dict[str, Any] = {}
    _, position = _read_delimiter(text, 0, "{")
    has_more = text[position : position + 1] != "}"
    if not has_more:
        position += 1
    while has_more:
        key, position = decode(text, position)
        if not isinstance(key, str):
            raise ValueError("malformed JSON: a key is not a string")
        _, position = _read_delimiter(text, position, ":")
        if key == "instances" and text[position : position + 1] == "[":
            fields[key], position = yield from _items_in_steps(text, position, decode)
        else:
            fields[key], position = decode(text, position)
        delimiter, position = _read_delimiter(text, position, ",}")
        has_more = delimiter == ","
    if _skip_space(text, position) != len(text):
        raise ValueError("malformed JSON: data after the end of the object")
    return fields


def _items_in_steps(
    text: str, position: int, decode: Callable[[str, int], tuple[Any, int]]
) -> Generator[None, None, tuple[list[Any], int]]:
    items: list[Any] = []
    _, position = _read_delimiter(text, position, "[")
    if text[position : position + 1] == "]":
        return items, position + 1
    delimiter = ","
    while delimiter == ",":
        item, position = decode(text, position)
        items.append(item)
        delimiter, position = _read_delimiter(text, position, ",]")
        if len(items) % STEP_ENTRIES == 0:
            yield
    return items, position


def normalize_entry(raw: Any) -> tuple[dict[str, Any] | None, str]:
    """An entry of discovery with its malformed fields replaced by defaults, and a description of the last
    malformed field; the description is empty if the entry is well-formed.

    Guards the good entries of a list against a malformed one. An endpoint whose lifecycle or address is
    malformed counts as draining. The entry is None if it has no usable instance id. Null counts as absent.
    """
    name = raw.get("instanceId") if isinstance(raw, dict) else None
    if not isinstance(name, str) or (not name.isascii() and not _is_encodable(name)):
        return None, f"an entry has no usable instanceId: {str(raw)[:80]!r}"
    entry, problem = dict(raw), ""
    for key, default in (("zone", ""), ("machineType", ""), ("weight", 1.0), ("cell", 0), ("startedAtMs", 0)):
        value = raw.get(key)
        if value is None:
            entry[key] = default
        elif not _has_type_of(value, default):
            entry[key] = default
            problem = f"{name}: {key}: {value!r:.80}"
    phase, address = raw.get("lifecycle"), raw.get("hostPort")
    entry["hostPort"] = str(address or "")
    if not isinstance(phase, str) or phase not in PHASES:
        entry["lifecycle"], problem = "draining", f"{name}: lifecycle: {phase!r:.80}"
    elif phase == "ready" and not _is_address(entry["hostPort"]):
        entry["lifecycle"], problem = "draining", f"{name}: hostPort: {address!r:.80}"
    return entry, problem


def _is_encodable(name: str) -> bool:
    """Whether a name can be encoded as UTF-8, as `endpoint_number` requires; a lone surrogate can't."""
    try:
        name.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_address(text: str) -> bool:
    try:
        split_address(text)
    except ValueError:
        return False
    return True


def _has_type_of(value: Any, default: str | float) -> bool:
    if isinstance(default, str):
        return isinstance(value, str)
    return isinstance(value, int | float) and math.isfinite(value)


def apply_in_steps(
    table: EndpointTable, is_full: bool, raw: list[Any], received_at: int, on_part: OnPart
) -> Iterator[None]:
    """Apply a list in the format of discovery, full or of changes, that was received at `received_at`, µs.
    ValueError, before anything is changed, if an entry is malformed. The last call of `on_part` says that no
    more parts follow. Empties `raw` on the way: freeing all its items at the end would take as long as a
    step over the whole list.
    """
    parsed: ParsedEntries = {}
    raw.reverse()
    while raw:
        entry, listed = table.read_entry(raw.pop())
        parsed[entry.endpoint] = entry, listed
        if len(raw) % STEP_ENTRIES == 0:
            yield
    table.forget_withdrawn(table.clock.now())
    if is_full:
        table.draining.intersection_update(parsed)
    yield from _withdraw_in_steps(table, is_full, parsed, received_at, on_part)
    part: list[Entry] = []
    while parsed:
        _, (entry, listed) = parsed.popitem()
        table.note_draining(entry.endpoint, entry.phase)
        if entry.phase == READY and not table.is_unchanged(entry, listed):
            table.apply_entry(received_at, entry, listed)
            part.append(table.reported(entry))
        if len(parsed) % STEP_ENTRIES == 0:
            on_part(part, True)
            part = []
            yield
    on_part([*part, *table.take_superseded()], False)


def _withdraw_in_steps(
    table: EndpointTable, is_full: bool, parsed: ParsedEntries, received_at: int, on_part: OnPart
) -> Iterator[None]:
    part: list[Entry] = []
    for count, (number, listed) in enumerate(list(table.by_number.items()), 1):
        entry = _withdrawn_entry(number, listed, parsed, is_full)
        if entry is not None:
            table.withdraw(received_at, number, listed)
            part.append(entry)
        if count % STEP_ENTRIES == 0:
            on_part(part, True)
            part = []
            yield
    on_part(part, True)


def _withdrawn_entry(
    number: int, listed: ListedEndpoint, parsed: ParsedEntries, is_full: bool
) -> Entry | None:
    """The entry that withdraws an endpoint; None if the list keeps it, or if it was withdrawn before."""
    if listed.withdrawn_at is not None:
        return None
    pair = parsed.get(number)
    if pair is not None:
        return None if pair[0].phase == READY else pair[0]
    return gone_entry(listed.entry) if is_full else None


def dump_in_steps(table: EndpointTable, generation: int, output: list[bytes]) -> Iterator[None]:
    """Encode the endpoints that are not withdrawn as a full list in the format of discovery: JSON, which the
    last step appends to `output`.
    """
    zones = {number: name for name, number in table.names.zones.items()}
    kinds = {number: name for name, number in table.names.kinds.items()}
    parts: list[str] = []
    for count, listed in enumerate(list(table.by_number.values()), 1):
        if listed.withdrawn_at is None:
            raw = {
                "instanceId": listed.name, "hostPort": listed.address,
                "zone": zones.get(listed.entry.zone, ""),
                "machineType": kinds.get(listed.entry.kind, ""), "cell": listed.entry.cell,
                "lifecycle": "ready", "weight": listed.entry.rating, "startedAtMs": listed.started_ms,
            }  # fmt: skip
            parts.append(json.dumps(raw))
        if count % STEP_ENTRIES == 0:
            yield
    text = ",".join(parts)
    output.append(f'{{"generation":{generation},"reset":true,"instances":[{text}]}}'.encode())
