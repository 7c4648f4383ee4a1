"""The settings of `[outbox]`, and what can't be of them beside a deployment's classes. Pure but for the
resolving of paths.
"""

from __future__ import annotations

import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final, Literal

# `keyed`: told apart by its key, within the class's scope and window. `unsafe`: one send, ever.
WriteEffect = Literal["keyed", "unsafe"]
# What becomes of the followers of an edge that is declared lost.
OrphanPolicy = Literal["park", "release"]

# What the endpoints of an edge are: servers, or copies of this program that share what is in.
Upstream = Literal["servers", "copies"]

# A body is in the store in parts of this size.
BODY_PART_BYTES: Final = 64 * 1024


@dataclass(frozen=True, slots=True)
class QueuedClass:
    """How the writes of one class are kept. `window_us`: how long a key is remembered upstream."""

    effect: WriteEffect
    window_us: int = 0


@dataclass(frozen=True)
class OutboxSettings:
    """Times in µs, sizes in bytes."""

    store_path: str
    edge: str
    classes: Mapping[str, QueuedClass]
    secret_file: str = ""  # empty: of this edge alone, kept in its store
    max_bytes: int = 1 << 30
    max_writes: int = 100_000
    body_bytes: int = 8 << 20
    age_us: int = 7 * 86_400_000_000
    tenant_share: float = 0.5  # of bytes and of count, that one tenant may use
    receipt_us: int = 7 * 86_400_000_000
    cut_us: int = 3_000_000
    back_us: int = 1_000_000
    replay_most: int = 8
    max_deadline_us: int = 30_000_000  # the longest deadline of the classes that are kept
    orphan_policy: OrphanPolicy = "park"
    upstream: Upstream = "servers"
    shared: bool = False  # this copy shares with the others of its tier which writes of edges are in


def class_problem(
    settings: OutboxSettings, effects: Mapping[str, tuple[str, int, int]], recorded: Sequence[str] = ()
) -> str | None:
    """What can't be beside the classes of the deployment: `effects` has the effect, the window and the
    deadline in µs of each, `recorded` those of `[orders]`.
    """
    keepable = sorted(name for name, (effect, _, _) in effects.items() if effect != "safe")
    for name, one in settings.classes.items():
        if name not in effects:
            return f"outbox.classes: {name}: expected one of {', '.join(keepable)}"
        effect, class_window, deadline = effects[name]
        if effect == "safe":
            return f"outbox.classes: {name}: expected a class with effects, as {', '.join(keepable)}"
        if one.effect != effect:
            return f"outbox.classes: {name}: keep: expected {effect!r}, as the class is, got {one.effect!r}"
        window = one.window_us or class_window
        if effect == "keyed" and window <= deadline:
            return (
                f"outbox.classes: {name}: window_s: expected above the class's deadline, "
                f"{deadline / 1e6:g} s, got {window / 1e6:g}"
            )
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


def shared_problem(settings: OutboxSettings, accord_path: str | None) -> str | None:
    """Why it can't share, or can't be an edge of copies: `accord_path` is `accord.store_path`, None without
    the table `[accord]`.
    """
    if settings.shared and settings.upstream == "copies":
        # An edge's write would have a name in its copies' record, and none in that of the copies beyond: a
        # repeat that goes through another copy would run there as another write.
        return (
            "outbox.shared: expected false where outbox.upstream is 'copies': a copy's endpoints are servers"
        )
    if settings.shared and accord_path is None:
        return "outbox.shared: expected the table [accord]: what is in is agreed there"
    if settings.shared and not accord_path:
        return "accord.store_path: expected a folder where outbox.shared is on: what is in must last"
    if (settings.shared or settings.upstream == "copies") and not settings.secret_file:
        why = "outbox.shared is on" if settings.shared else "outbox.upstream is 'copies'"
        return f"outbox.secret_file: expected the file of the edges' and copies' common secret, as {why}"
    return None
