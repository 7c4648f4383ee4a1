"""Settings and names of a tier of processes, for the tests that play it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

# The platform's settings, as far as a test does not give others.
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
# An answer that is later than its deadline by less than this is put down to the machine that runs the test.
LATENESS_US: Final = 3_000_000
# Endpoints of one cell share what they have executed by idempotency key.
CELLS: Final = 2

# Tables of an operator's file, by name.
Tables = Mapping[str, Mapping[str, Any]]


def endpoint_name(endpoint: int) -> str:
    """An endpoint's name in endpoint lists and in the history."""
    return f"s-{endpoint}"


def endpoint_index(name: str) -> int:
    """The number of the endpoint with this name."""
    return int(name.removeprefix("s-"))


def address_text(address: tuple[str, int]) -> str:
    """Host and port as configurations name them."""
    return f"{address[0]}:{address[1]}"


def substitute(value: Any, values: Mapping[str, object]) -> Any:
    """The value with each `{name}` in its texts replaced, in nested tables too."""
    match value:
        case str():
            for name, what in values.items():
                value = value.replace(f"{{{name}}}", str(what))
            return value
        case dict() | Mapping():
            return {key: substitute(one, values) for key, one in value.items()}
        case list() | tuple():
            return [substitute(one, values) for one in value]
    return value
