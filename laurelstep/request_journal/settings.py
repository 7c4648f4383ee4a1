"""The journal's settings: which request classes it records, and what happens if the store fails."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

DAY_MS = 86_400_000


@dataclass(frozen=True, slots=True)
class JournalClass:
    """Where requests of one class carry their idempotency key: in a header, or in a top-level field of a JSON
    body. A record is kept for `retention_ms` of real time.
    """

    header: bytes = b""
    body_field: str = ""
    retention_ms: int = DAY_MS


@dataclass(frozen=True)
class JournalSettings:
    """The settings of one journal. `unavailable`: whether a request that can't be recorded fails with nothing
    sent, or is sent as without a journal. `max_bytes` limits the store's size on disk.
    """

    store_path: str
    classes: Mapping[str, JournalClass]
    unavailable: Literal["fail", "pass"] = "fail"
    max_bytes: int = 1 << 30
