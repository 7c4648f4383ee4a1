"""Long lists of endpoints, read and applied in steps, so that requests go on in between.

Rules that everything here serves:

1. A list is read whole, entry by entry, before any of it is used.
2. What leaves is told first, then what comes or changed; what did not change is passed
   over. The module gets what comes as parts, and uses none of them before the last.
3. A step reads, compares or tells `STEP_ENTRIES` entries at most. It does no I/O; who runs it
   decides how many steps go before the next pause.

Its generators stay plain Python where the rest is compiled: a compiled one and its frame
hold each other, and with them the list, until the collector comes by.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Generator, Iterator, Sequence
from typing import Any

from laurelstep.balancing.events import GONE, READY, Entry
from laurelstep.engine.endpoint_table import PHASES, EndpointTable, ListedEndpoint, split_address

# Some tenths of a millisecond, also in plain Python.
STEP_ENTRIES = 32

# Takes a part of what changed, and whether there is more to come.
Tell = Callable[[Sequence[Entry], bool], None]
Read = dict[int, tuple[Entry, ListedEndpoint]]

_SPACE = re.compile(r"[ \t\n\r]*")


def _after_space(text: str, at: int) -> int:
    found = _SPACE.match(text, at)
    assert found is not None  # it matches nothing, too
    return found.end()


def _mark(text: str, at: int, marks: str) -> tuple[str, int]:
    """One of the marks, and where the text goes on; ValueError for anything else."""
    at = _after_space(text, at)
    if text[at : at + 1] not in marks or at == len(text):
        raise ValueError(f"expected one of {marks} at character {at}")
    return text[at], _after_space(text, at + 1)


def parse_in_steps(text: str) -> Generator[None, None, dict[str, Any]]:
    """A JSON object (RFC 8259), as `json.loads` reads it; that of a long array, the
    value of `instances`, takes a step for every `STEP_ENTRIES` of its items. ValueError.
    """
    decode = json.JSONDecoder().raw_decode
    found: dict[str, Any] = {}
    _, at = _mark(text, 0, "{")
    more = text[at : at + 1] != "}"
    if not more:
        at += 1
    while more:
        key, at = decode(text, at)
        if not isinstance(key, str):
            raise ValueError("a key is no string")
        _, at = _mark(text, at, ":")
        if key == "instances" and text[at : at + 1] == "[":
            found[key], at = yield from _items_in_steps(text, at, decode)
        else:
            found[key], at = decode(text, at)
        mark, at = _mark(text, at, ",}")
        more = mark == ","
    if _after_space(text, at) != len(text):
        raise ValueError("something follows the object")
    return found


def _items_in_steps(
    text: str, at: int, decode: Callable[[str, int], tuple[Any, int]]
) -> Generator[None, None, tuple[list[Any], int]]:
    items: list[Any] = []
    _, at = _mark(text, at, "[")
    if text[at : at + 1] == "]":
        return items, at + 1
    mark = ","
    while mark == ",":
        item, at = decode(text, at)
        items.append(item)
        mark, at = _mark(text, at, ",]")
        if len(items) % STEP_ENTRIES == 0:
            yield
    return items, at


def normalize_entry(raw: Any) -> tuple[dict[str, Any] | None, str]:
    """An entry of discovery as the engine can use it, and what is wrong with it, if anything is.

    Guards the good entries of a list against a bad one. An endpoint whose state or address can't be
    read wants nothing new; without a name there is nothing to use. Null is as good as absent.
    """
    name = raw.get("instanceId") if isinstance(raw, dict) else None
    if not isinstance(name, str) or (not name.isascii() and not _is_text(name)):
        return None, f"an entry with no instanceId: {str(raw)[:80]!r}"
    found, wrong = dict(raw), ""
    for key, least in (("zone", ""), ("machineType", ""), ("weight", 1.0), ("cell", 0), ("startedAtMs", 0)):
        value = raw.get(key)
        if value is None:
            found[key] = least
        elif not _is_like(value, least):
            found[key] = least
            wrong = f"{name}: {key}: {value!r:.80}"
    phase, address = raw.get("lifecycle"), raw.get("hostPort")
    found["hostPort"] = str(address or "")
    if not isinstance(phase, str) or phase not in PHASES:
        found["lifecycle"], wrong = "draining", f"{name}: lifecycle: {phase!r:.80}"
    elif phase == "ready" and not _is_address(found["hostPort"]):
        found["lifecycle"], wrong = "draining", f"{name}: hostPort: {address!r:.80}"
    return found, wrong


def _is_text(name: str) -> bool:
    """Whether it has a number: half of a pair of code units has none."""
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


def _is_like(value: Any, least: str | float) -> bool:
    if isinstance(least, str):
        return isinstance(value, str)
    return isinstance(value, int | float) and math.isfinite(value)


def apply_in_steps(
    members: EndpointTable, whole: bool, raw: list[Any], told_at: int, tell: Tell
) -> Iterator[None]:
    """A list in discovery's form that was told at `told_at`, µs. ValueError comes before
    anything is changed; `tell` is last called with no more to come. Takes its items out of
    `raw`: to free them all at the end would be a step as long as the list.
    """
    read: Read = {}
    raw.reverse()
    while raw:
        entry, place = members.read_entry(raw.pop())
        read[entry.endpoint] = entry, place
        if len(raw) % STEP_ENTRIES == 0:
            yield
    members.forget_withdrawn(members.clock.now())
    if whole:
        members.draining.intersection_update(read)
    yield from _withdraw_in_steps(members, whole, read, told_at, tell)
    part: list[Entry] = []
    while read:
        _, (entry, place) = read.popitem()
        members.note_draining(entry.endpoint, entry.phase)
        if entry.phase == READY and not members.is_unchanged(entry, place):
            members.apply_entry(told_at, entry, place)
            part.append(entry)
        if len(read) % STEP_ENTRIES == 0:
            tell(part, True)
            part = []
            yield
    tell(part, False)


def _withdraw_in_steps(
    members: EndpointTable, whole: bool, read: Read, told_at: int, tell: Tell
) -> Iterator[None]:
    part: list[Entry] = []
    for at, (number, place) in enumerate(list(members.by_number.items()), 1):
        entry = _leaving(number, place, read, whole)
        if entry is not None:
            members.withdraw(told_at, number, place)
            part.append(entry)
        if at % STEP_ENTRIES == 0:
            tell(part, True)
            part = []
            yield
    tell(part, True)


def _leaving(number: int, place: ListedEndpoint, read: Read, whole: bool) -> Entry | None:
    """What a list makes of a place that leaves with it; None if it stays, or has left."""
    if place.withdrawn_at is not None:
        return None
    pair = read.get(number)
    if pair is not None:
        return None if pair[0].phase == READY else pair[0]
    old = place.entry
    return Entry(number, GONE, old.boot, old.rating, old.cell, old.zone, old.kind) if whole else None


def dump_in_steps(members: EndpointTable, generation: int, taken: list[bytes]) -> Iterator[None]:
    """The endpoints that have not left, as a whole list in discovery's form: JSON, put
    into `taken` with the last step.
    """
    zones = {number: name for name, number in members.names.zones.items()}
    kinds = {number: name for name, number in members.names.kinds.items()}
    parts: list[str] = []
    for at, place in enumerate(list(members.by_number.values()), 1):
        if place.withdrawn_at is None:
            raw = {
                "instanceId": place.name, "hostPort": place.address, "zone": zones.get(place.entry.zone, ""),
                "machineType": kinds.get(place.entry.kind, ""), "cell": place.entry.cell,
                "lifecycle": "ready", "weight": place.entry.rating, "startedAtMs": place.started_ms,
            }  # fmt: skip
            parts.append(json.dumps(raw))
        if at % STEP_ENTRIES == 0:
            yield
    text = ",".join(parts)
    taken.append(f'{{"generation":{generation},"reset":true,"instances":[{text}]}}'.encode())
