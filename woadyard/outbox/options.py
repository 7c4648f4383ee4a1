"""The settings of `[outbox]`, and what can't be of them beside a deployment's classes. Pure but for the
resolving of paths."""

from __future__ import annotations

import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final, Literal

# `keyed`: told apart by its key, within the class's scope and window. `unsafe`: one send, ever.
How = Literal["keyed", "unsafe"]
# What becomes of the followers of an edge that is declared lost.
Lost = Literal["park", "release"]

# A body is in the store in parts of this size.
CHUNK: Final = 64 * 1024


@dataclass(frozen=True, slots=True)
class KeptClass:
    """How the writes of one class are kept. `window_us`: how long a key is remembered upstream."""

    how: How
    window_us: int = 0


@dataclass(frozen=True)
class OutboxSettings:
    """Times in µs, sizes in bytes."""

    store_path: str
    edge: str
    classes: Mapping[str, KeptClass]
    secret_file: str = ""  # empty: of this edge alone, kept in its store
    max_bytes: int = 1 << 30
    most: int = 100_000
    body_bytes: int = 8 << 20
    age_us: int = 7 * 86_400_000_000
    share: float = 0.5  # of bytes and of count, that one tenant may use
    receipt_us: int = 7 * 86_400_000_000
    cut_us: int = 3_000_000
    back_us: int = 1_000_000
    replay_most: int = 8
    lost: Lost = "park"


def class_problem(
    settings: OutboxSettings, effects: Mapping[str, tuple[str, int]], recorded: Sequence[str] = ()
) -> str | None:
    """What can't be beside the classes of the deployment: `effects` has the effect and the window in µs of
    each, `recorded` those of `[orders]`."""
    keepable = sorted(name for name, (effect, _) in effects.items() if effect != "safe")
    for name, one in settings.classes.items():
        if name not in effects:
            return f"outbox.classes: {name}: expected one of {', '.join(keepable)}"
        effect, _ = effects[name]
        if effect == "safe":
            return f"outbox.classes: {name}: expected a class with effects, as {', '.join(keepable)}"
        if one.how != effect:
            return f"outbox.classes: {name}: keep: expected {effect!r}, as the class is, got {one.how!r}"
        if effect == "keyed" and one.window_us == 0 and effects[name][1] == 0:
            return f"outbox.classes: {name}: window_s: expected above 0, as the class tells no window"
        if name in recorded:
            return f"outbox.classes: {name}: expected a class that [orders] does not record"
    return None


def store_problem(store_path: str, others: Mapping[str, str]) -> str | None:
    """Why the store can't be there: `others` are the folders of other stores by their keys."""
    mine = os.path.realpath(store_path)
    for key, path in others.items():
        if not path:
            continue
        other = os.path.realpath(path)
        if os.path.commonpath((mine, other)) in (mine, other):
            return f"outbox.store_path: expected a folder outside that of {key}, {path!r}"
    return None
