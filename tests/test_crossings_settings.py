"""Settings that contradict themselves end a start with key and remedy; what the pages allow never does."""

from __future__ import annotations

from typing import Any

import pytest
from laurelstep.settings import ConfigError, config_from

from tests.sockets import SETTINGS

FIRST = SETTINGS["classes"][0]


def given(**changes: Any) -> dict[str, Any]:
    return {"seed": "1", "settings": {**SETTINGS, **changes}}


@pytest.mark.parametrize(
    ("classes", "expected"),
    [
        ([], "settings.classes: expected at least one class"),
        (None, "settings.classes: expected at least one class"),
        (
            [{**FIRST, "repeat": "often"}],
            "settings.classes[0].repeat: page: expected one of retryable, dedup, fragile",
        ),
        ([{**FIRST, "repeat": None}], "settings.classes[0].repeat: page: expected one of retryable"),
        (
            [{**FIRST, "repeat": "dedup", "dedup-scope": "rack"}],
            "settings.classes[0].dedup-scope: page: expected one of all, zone, cell",
        ),
        ([FIRST, FIRST], "settings.classes[1].name: expected each name once, got page again"),
        (
            [{**FIRST, "deadline-us": 0}],
            "settings.classes[0].deadline-us: page: expected microseconds above 0, got 0",
        ),
        (
            [{**FIRST, "aim-us": -1}],
            "settings.classes[0].aim-us: page: expected microseconds, got -1",
        ),
        ([{**FIRST, "name": None}], "settings.classes[0].name: expected a name"),
    ],
)
def test_a_contradiction_is_one_line_with_key_and_remedy(classes: Any, expected: str) -> None:
    with pytest.raises(ConfigError) as told:
        config_from(given(classes=classes), "config.json")
    assert str(told.value).startswith(f"config.json: {expected}") and "\n" not in str(told.value)


@pytest.mark.parametrize(
    "changes",
    [
        {"accounts": None, "zones": None, "kinds": None, "ceilings": None, "invariants": None, "goal": None},
        {"load-report": None, "prices": None, "family-info": {"warm-keys": None}, "clients": None},
        {"classes": [{**FIRST, "points": None, "dedup-scope": None, "late-worth": None, "new": 1}]},
        {"classes": [{**FIRST, "aim-us": FIRST["deadline-us"]}]},
        {"classes": [{**FIRST, "aim-us": FIRST["deadline-us"] + 1}]},
        {"classes": [{**FIRST, "dedup-scope": "none", "aim-us": 0}]},
        {"zones": ["only"], "locality": 0, "unknown-key": {"a": [1]}},
        {"ceilings": {"max-attempts": None, "conn-idle-us": None}, "invariants": {"drain-grace-us": 250_000}},
    ],
)
def test_what_the_pages_allow_starts(changes: dict[str, Any]) -> None:
    assert config_from({**given(**changes), "limits": {"sockets": None}}, "config.json").settings.classes
