"""Numbers of the names that travel on the sockets."""

from __future__ import annotations

from collections.abc import Mapping
from math import nan
from typing import Any

from laurelstep.balancing.events import (
    CPU_UTILIZATION,
    ERROR_RATE,
    IN_FLIGHT,
    LATENCY_MS,
    QUEUED,
    SERVED_RATE,
    Settings,
)

# Load-report names on the socket; those of the settings may differ.
REPORT_NAMES = {
    "inflight": IN_FLIGHT,
    "queue": QUEUED,
    "util": CPU_UTILIZATION,
    "latency_ms": LATENCY_MS,
    "qps": SERVED_RATE,
    "eps": ERROR_RATE,
}


class NameTable:
    """Made from the settings object of the platform's configuration. `order_headers` are the
    headers, by class, with which requests name their order; `queueable_classes` the classes that an outbox
    may keep, here or at an edge of this copy.
    """

    def __init__(
        self, raw: dict[str, Any], settings: Settings, order_headers: Mapping[str, bytes] | None = None
    ) -> None:
        self.queueable_classes: frozenset[int] = frozenset()
        self.classes = {str(entry["name"]): n for n, entry in enumerate(raw["classes"])}
        self.order_headers = {self.classes[name]: one for name, one in (order_headers or {}).items()}
        self.tenants = {str(entry["name"]): n for n, entry in enumerate(raw.get("accounts", ()))}
        self.zones = {str(name): n for n, name in enumerate(raw.get("zones", ()))}
        self.kinds = {str(name): n for n, name in enumerate(raw.get("kinds", ()))}
        self.report_fields = {name: at for at, name in enumerate(settings.report_fields)}

    def parse_load_report(self, raw: bytes) -> list[float] | None:
        """A load report in the settings' order; what can't be read is left out."""
        if not raw or not self.report_fields:
            return None
        values = [nan] * len(self.report_fields)
        for part in raw.split(b","):
            name, _, value = part.decode("latin-1").strip().partition("=")
            at = self.report_fields.get(REPORT_NAMES.get(name, name))
            if at is not None:
                try:
                    values[at] = float(value)
                except ValueError:
                    continue
        return values
