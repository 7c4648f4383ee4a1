"""The settings of `[outbox]`, and checks of them against the rest of the configuration.

Pure, except that paths are resolved.
"""

from __future__ import annotations

import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final, Literal

# `keyed`: upstream recognizes repeats by the idempotency key, within the class's scope and window.
# `unsafe`: a write is sent at most once.
WriteEffect = Literal["keyed", "unsafe"]
# What happens to writes that depend on writes of an edge that is declared lost.
OrphanPolicy = Literal["park", "release"]

# What an edge's endpoints are: servers, or copies of this program that share a ledger of applied writes.
Upstream = Literal["servers", "copies"]

# Bodies are stored in parts of this size.
BODY_PART_BYTES: Final = 64 * 1024


@dataclass(frozen=True, slots=True)
class QueuedClass:
    """How the writes of one class are queued.

    `window_us`: how long upstream remembers an idempotency key; 0 for an unsafe class.
    """

    effect: WriteEffect
    window_us: int = 0


@dataclass(frozen=True)
class OutboxSettings:
    """The settings of one outbox. Times in µs, sizes in bytes."""

    store_path: str
    edge: str
    classes: Mapping[str, QueuedClass]
    secret_file: str = ""  # empty: the edge makes its own secret and keeps it in its store
    max_bytes: int = 1 << 30
    max_writes: int = 100_000
    body_bytes: int = 8 << 20
    age_us: int = 7 * 86_400_000_000
    tenant_share: float = 0.5  # of bytes and of count; the most that one tenant may use
    receipt_us: int = 7 * 86_400_000_000
    cut_us: int = 3_000_000
    back_us: int = 1_000_000
    replay_most: int = 8
    max_deadline_us: int = 30_000_000  # the longest deadline of the queued classes
    orphan_policy: OrphanPolicy = "park"
    upstream: Upstream = "servers"
    shared: bool = False  # this copy shares the ledger of edges' applied writes with its tier


def class_problem(
    settings: OutboxSettings, effects: Mapping[str, tuple[str, int, int]], recorded: Sequence[str] = ()
) -> str | None:
    """Describe a conflict with the deployment's classes; None if there is none.

    `effects`: by class, its effect, window in µs and deadline in µs. `recorded`: the classes of `[orders]`.
    """
    queueable = sorted(name for name, (effect, _, _) in effects.items() if effect != "safe")
    for name, queued in settings.classes.items():
        if name not in effects:
            return f"outbox.classes: {name}: expected one of {', '.join(queueable)}"
        effect, class_window, deadline = effects[name]
        if effect == "safe":
            return f"outbox.classes: {name}: expected a class with effects, as {', '.join(queueable)}"
        if queued.effect != effect:
            return (
                f"outbox.classes: {name}: keep: expected {effect!r}, as the class is, got {queued.effect!r}"
            )
        window = queued.window_us or class_window
        if effect == "keyed" and window <= deadline:
            return (
                f"outbox.classes: {name}: window_s: expected above the class's deadline, "
                f"{deadline / 1e6:g} s, got {window / 1e6:g}"
            )
        if name in recorded:
            return f"outbox.classes: {name}: expected a class that [orders] does not record"
    return None


def store_problem(store_path: str, others: Mapping[str, str]) -> str | None:
    """Why `store_path` can't be used; None if it can.

    `others`: the folders of other stores, by their settings keys; none may contain or be inside the outbox's.
    """
    outbox_folder = os.path.realpath(store_path)
    for key, path in others.items():
        if not path:
            continue
        other_folder = os.path.realpath(path)
        if os.path.commonpath((outbox_folder, other_folder)) in (outbox_folder, other_folder):
            return f"outbox.store_path: expected a folder outside that of {key}, {path!r}"
    return None


def shared_problem(settings: OutboxSettings, accord_path: str | None) -> str | None:
    """Why `shared` or `upstream = 'copies'` can't be used; None if they can.

    `accord_path`: `accord.store_path`, None without the table `[accord]`.
    """
    if settings.shared and settings.upstream == "copies":
        # A write would have its id in this tier's ledger, but none in that of the copies further upstream. A
        # repeat through another copy would run there as a different write.
        return (
            "outbox.shared: expected false where outbox.upstream is 'copies': a copy's endpoints are servers"
        )
    if settings.shared and accord_path is None:
        return "outbox.shared: expected the table [accord]: the applied writes are agreed there"
    if settings.shared and not accord_path:
        return "accord.store_path: expected a folder where outbox.shared is on: the ledger has to last"
    if (settings.shared or settings.upstream == "copies") and not settings.secret_file:
        reason = "outbox.shared is on" if settings.shared else "outbox.upstream is 'copies'"
        return f"outbox.secret_file: expected the file of the edges' and copies' common secret, as {reason}"
    return None
