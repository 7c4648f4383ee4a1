"""Contradictory settings end a start with an error that names the key; documented values never do."""

from __future__ import annotations

from typing import Any

import pytest
from laurelstep.settings import ConfigError, config_from

from tests.sockets import SETTINGS

PAGE = SETTINGS["classes"][0]


def changed(**changes: Any) -> dict[str, Any]:
    return {"seed": "1", "settings": {**SETTINGS, **changes}}


@pytest.mark.parametrize(
    ("classes", "expected"),
    [
        ([], "settings.classes: expected at least one class"),
        (None, "settings.classes: expected at least one class"),
        (
            [{**PAGE, "repeat": "often"}],
            "settings.classes[0].repeat: page: expected one of retryable, dedup, fragile",
        ),
        ([{**PAGE, "repeat": None}], "settings.classes[0].repeat: page: expected one of retryable"),
        (
            [{**PAGE, "repeat": "dedup", "dedup-scope": "rack"}],
            "settings.classes[0].dedup-scope: page: expected one of all, zone, cell",
        ),
        ([PAGE, PAGE], "settings.classes[1].name: expected each name once, got page again"),
        (
            [{**PAGE, "deadline-us": 0}],
            "settings.classes[0].deadline-us: page: expected microseconds above 0, got 0",
        ),
        (
            [{**PAGE, "aim-us": -1}],
            "settings.classes[0].aim-us: page: expected microseconds, got -1",
        ),
        ([{**PAGE, "name": None}], "settings.classes[0].name: expected a name"),
    ],
)
def test_contradictory_classes_are_one_line_with_key_and_expectation(classes: Any, expected: str) -> None:
    with pytest.raises(ConfigError) as error:
        config_from(changed(classes=classes), "config.json")
    assert str(error.value).startswith(f"config.json: {expected}") and "\n" not in str(error.value)


@pytest.mark.parametrize(
    "changes",
    [
        {"accounts": None, "zones": None, "kinds": None, "ceilings": None, "invariants": None, "goal": None},
        {"load-report": None, "prices": None, "family-info": {"warm-keys": None}, "clients": None},
        {"classes": [{**PAGE, "points": None, "dedup-scope": None, "late-worth": None, "new": 1}]},
        {"classes": [{**PAGE, "aim-us": PAGE["deadline-us"]}]},
        {"classes": [{**PAGE, "aim-us": PAGE["deadline-us"] + 1}]},
        {"classes": [{**PAGE, "dedup-scope": "none", "aim-us": 0}]},
        {"zones": ["only"], "locality": 0, "unknown-key": {"a": [1]}},
        {"ceilings": {"max-attempts": None, "conn-idle-us": None}, "invariants": {"drain-grace-us": 250_000}},
    ],
)
def test_documented_settings_are_accepted(changes: dict[str, Any]) -> None:
    assert config_from({**changed(**changes), "limits": {"sockets": None}}, "config.json").settings.classes
