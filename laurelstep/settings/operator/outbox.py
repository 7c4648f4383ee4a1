"""The table `[outbox]`: writes that an edge queues while it is cut off from its upstream."""

from __future__ import annotations

from typing import Annotated

import msgspec

from laurelstep.outbox.options import OrphanPolicy, OutboxSettings, QueuedClass, Upstream, WriteEffect
from laurelstep.settings.operator.fields import (
    Fraction,
    Name,
    NonNegativeInt,
    OperatorTable,
    PositiveInt,
    has_duplicates,
)


class QueueableClass(OperatorTable, frozen=True, kw_only=True):
    """A class whose writes may be queued. `keep` is their effect, which decides how they are replayed;
    `window_s` is how long the upstream remembers an idempotency key, None for the class's own window.
    """

    name: Name
    keep: WriteEffect
    window_s: NonNegativeInt | None = None


class OutboxTable(OperatorTable, frozen=True, kw_only=True):
    """The queue of writes: its store and bounds, cut-off detection, replay, and sharing among copies."""

    store_path: Annotated[str, msgspec.Meta(min_length=1)]
    edge: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,31}$")]
    classes: Annotated[tuple[QueueableClass, ...], msgspec.Meta(min_length=1)]
    secret_file: str = ""
    max_mb: PositiveInt = 1024
    most: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 100_000
    body_mb: Annotated[int, msgspec.Meta(ge=1, le=32)] = 8
    age_s: PositiveInt = 604_800
    share: Fraction = 0.5
    receipt_s: PositiveInt = 604_800
    cut_ms: Annotated[int, msgspec.Meta(ge=100)] = 3_000
    back_ms: Annotated[int, msgspec.Meta(ge=10)] = 1_000
    replay_most: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 8
    lost: OrphanPolicy = "park"
    upstream: Upstream = "servers"
    shared: bool = False

    def problem(self) -> str | None:
        """An invalid value, as its key and what was expected; None if the table is valid."""
        names = [entry.name for entry in self.classes]
        if has_duplicates(names):
            return "outbox.classes: expected each name once"
        for entry in self.classes:
            if entry.window_s == 0:
                return (
                    f"outbox.classes: {entry.name}: window_s: expected above 0, or none for the class's own"
                )
            if entry.window_s is not None and entry.keep != "keyed":
                return f"outbox.classes: {entry.name}: window_s: expected none, as it is unsafe and sent once"
        if self.body_mb > self.max_mb:
            return "outbox.body_mb: expected at most max_mb"
        return None

    def settings(self) -> OutboxSettings:
        """The settings of the outbox driver."""
        classes = {
            entry.name: QueuedClass(entry.keep, 0 if entry.window_s is None else entry.window_s * 1_000_000)
            for entry in self.classes
        }
        return OutboxSettings(
            store_path=self.store_path,
            edge=self.edge,
            classes=classes,
            secret_file=self.secret_file,
            max_bytes=self.max_mb << 20,
            max_writes=self.most,
            body_bytes=self.body_mb << 20,
            age_us=self.age_s * 1_000_000,
            tenant_share=self.share,
            receipt_us=self.receipt_s * 1_000_000,
            cut_us=self.cut_ms * 1000,
            back_us=self.back_ms * 1000,
            replay_most=self.replay_most,
            orphan_policy=self.lost,
            upstream=self.upstream,
            shared=self.shared,
        )
