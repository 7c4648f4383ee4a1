"""Plays sequences of events on the module as this interpreter imports it, for another one to
compare: each line of input is `[seed, configuration, steps]`, each of output what was sent."""

from __future__ import annotations

import json
import sys
from typing import Any

from laurelstep.balancing import balancer
from laurelstep.balancing.events import LIST_FULL, READY, Entry, Settings

from tests.test_rules import CLASSES, Ledger

CONFIGS: tuple[dict[str, Any], ...] = (
    {"second_copies": True},
    {"me": 2, "instances": 5, "zones": 2, "cross_zone_price": 0.2, "zone": 1},
    {"me": 1, "instances": 3, "cold_us": 2_000_000, "cold_share": 0.1, "tip_multiple": 3.0},
)


def entry(number: int, phase: int = READY, boot: int = 0) -> Entry:
    return Entry(number, phase, boot, 1.0 + number % 2, number % 3, number % 2, 0)


def play(seed: int, config: int, steps: list[list[Any]]) -> list[list[int]]:
    """Where and when everything was sent."""
    ledger = Ledger(seed, Settings(classes=CLASSES, max_attempts=3, can_cancel=True, **CONFIGS[config]))
    ledger.members(LIST_FULL, [entry(number) for number in range(1, 41)])
    for name, *arguments in steps:
        if name == "members":
            mode, listed = arguments
            ledger.members(mode, [entry(*one) for one in listed])
        else:
            getattr(ledger, name)(*arguments)
    return [[one.endpoint, one.at] for asked in ledger.asked.values() for one in asked.tries]


def main() -> None:
    print(json.dumps(balancer.__file__), flush=True)
    for line in sys.stdin:
        print(json.dumps(play(*json.loads(line))), flush=True)


if __name__ == "__main__":
    main()
