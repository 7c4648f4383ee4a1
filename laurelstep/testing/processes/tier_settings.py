"""Default settings and names of a tier of processes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

# The platform's settings, unless a test replaces them.
SETTINGS: Final[dict[str, Any]] = {
    "classes": [
        {"name": "page", "aim-us": 1_000_000, "deadline-us": 20_000_000, "repeat": "retryable"},
        {
            "name": "put", "aim-us": 1_000_000, "deadline-us": 20_000_000, "repeat": "dedup",
            "dedup-scope": "cell", "repeat-window-us": 20_000_000,
        },
        {"name": "pay", "aim-us": 1_000_000, "deadline-us": 20_000_000, "repeat": "fragile"},
    ],
    "ceilings": {
        "cancel": True, "second-copies": True, "max-attempts": 3, "max-streams": 1,
        "conn-idle-us": 30_000_000, "connect-timeout-us": 1_000_000, "retry-after": True,
    },
    "invariants": {"drain-grace-us": 500_000},
    "load-report": {"fields": ["waiting", "rps"], "how": "piggyback"},
    "kinds": ["small"], "discovery": "push", "stage": 1,
}  # fmt: skip
# Answers may be late by this much, as the machine that runs the test may be slow.
LATENESS_US: Final = 3_000_000
# Number of cells. Endpoints of one cell share the record of executed idempotency keys.
CELL_COUNT: Final = 2

# The tables of an operator's configuration file, by name.
Tables = Mapping[str, Mapping[str, Any]]


def endpoint_name(endpoint: int) -> str:
    """Return an endpoint's name in endpoint lists and in the history."""
    return f"s-{endpoint}"


def endpoint_index(name: str) -> int:
    """Return the number of the endpoint with this name."""
    return int(name.removeprefix("s-"))


def address_text(address: tuple[str, int]) -> str:
    """Return host and port in the format of configurations."""
    return f"{address[0]}:{address[1]}"


def substitute(value: Any, values: Mapping[str, object]) -> Any:
    """Return the value with each `{name}` in its strings replaced, also in nested tables and lists."""
    match value:
        case str():
            for name, replacement in values.items():
                value = value.replace(f"{{{name}}}", str(replacement))
            return value
        case dict() | Mapping():
            return {key: substitute(item, values) for key, item in value.items()}
        case list() | tuple():
            return [substitute(item, values) for item in value]
    return value
