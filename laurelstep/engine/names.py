"""Maps the names of classes, tenants, zones, kinds and load-report fields to their numbers."""

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

# Field names in a load report from an endpoint, with the names that the settings use.
REPORT_NAMES = {
    "inflight": IN_FLIGHT,
    "queue": QUEUED,
    "util": CPU_UTILIZATION,
    "latency_ms": LATENCY_MS,
    "qps": SERVED_RATE,
    "eps": ERROR_RATE,
}


class NameTable:
    """Numbers by name, from the `settings` object of the platform's configuration.

    `order_headers`: the header that carries the order of a request, by class number. `queueable_classes`:
    numbers of the classes whose writes an outbox may queue, in this process or at an edge of it.
    """

    def __init__(
        self, raw: dict[str, Any], settings: Settings, order_headers: Mapping[str, bytes] | None = None
    ) -> None:
        self.queueable_classes: frozenset[int] = frozenset()
        self.classes = {str(entry["name"]): n for n, entry in enumerate(raw["classes"])}
        self.order_headers = {self.classes[name]: header for name, header in (order_headers or {}).items()}
        self.tenants = {str(entry["name"]): n for n, entry in enumerate(raw.get("accounts", ()))}
        self.zones = {str(name): n for n, name in enumerate(raw.get("zones", ()))}
        self.kinds = {str(name): n for n, name in enumerate(raw.get("kinds", ()))}
        self.report_fields = {name: index for index, name in enumerate(settings.report_fields)}

    def parse_load_report(self, raw: bytes) -> list[float] | None:
        """The values of a load report, in the order of `Settings.report_fields`; nan for a field that is
        missing or malformed. None if there is no report or no field is configured.
        """
        if not raw or not self.report_fields:
            return None
        values = [nan] * len(self.report_fields)
        for part in raw.split(b","):
            name, _, value = part.decode("latin-1").strip().partition("=")
            index = self.report_fields.get(REPORT_NAMES.get(name, name))
            if index is not None:
                try:
                    values[index] = float(value)
                except ValueError:
                    continue
        return values
