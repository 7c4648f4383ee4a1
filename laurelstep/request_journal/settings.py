"""The journal's settings: which classes of requests it records, and what happens when it can't."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

DAY_MS = 86_400_000


@dataclass(frozen=True, slots=True)
class JournalClass:
    """How requests of one class carry their idempotency key: in a header, or in a top-level field of a JSON
    body. A record is kept for `retention_ms` of real time.
    """

    header: bytes = b""
    body_field: str = ""
    retention_ms: int = DAY_MS


@dataclass(frozen=True)
class JournalSettings:
    """The settings of one journal. `unavailable` says what becomes of a request that can't be recorded: it
    fails with nothing sent, or passes as without a journal. `max_bytes` bounds the store on the disk.
    """

    store_path: str
    classes: Mapping[str, JournalClass]
    unavailable: Literal["fail", "pass"] = "fail"
    max_bytes: int = 1 << 30
