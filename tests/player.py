"""Plays event sequences on the balancing package as this interpreter imports it.

Another process compares the results, for instance of the compiled package and of plain Python. Each
input line is `[seed, configuration, steps]`; each output line lists the attempts that were sent.
"""

from __future__ import annotations

import json
import sys
from typing import Any

from laurelstep.balancing import balancer
from laurelstep.balancing.events import LIST_FULL, READY, Entry, Settings

from tests.test_rules import CLASSES, RuleChecker

CONFIGS: tuple[dict[str, Any], ...] = (
    {"second_copies": True},
    {"me": 2, "instances": 5, "zones": 2, "cross_zone_price": 0.2, "zone": 1},
    {"me": 1, "instances": 3, "cold_us": 2_000_000, "cold_share": 0.1, "tip_multiple": 3.0},
)


def entry(number: int, phase: int = READY, boot: int = 0) -> Entry:
    return Entry(number, phase, boot, 1.0 + number % 2, number % 3, number % 2, 0)


def play(seed: int, config: int, steps: list[list[Any]]) -> list[list[int]]:
    """Return the endpoint and the time of each attempt."""
    checker = RuleChecker(seed, Settings(classes=CLASSES, max_attempts=3, can_cancel=True, **CONFIGS[config]))
    checker.members(LIST_FULL, [entry(number) for number in range(1, 41)])
    for name, *arguments in steps:
        if name == "members":
            mode, listed = arguments
            checker.members(mode, [entry(*fields) for fields in listed])
        else:
            getattr(checker, name)(*arguments)
    return [
        [attempt.endpoint, attempt.sent_at]
        for request in checker.requests.values()
        for attempt in request.attempts
    ]


def main() -> None:
    print(json.dumps(balancer.__file__), flush=True)
    for line in sys.stdin:
        print(json.dumps(play(*json.loads(line))), flush=True)


if __name__ == "__main__":
    main()
