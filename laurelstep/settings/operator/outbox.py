"""`[outbox]`: writes that an edge queues while it is cut off."""

from __future__ import annotations

from typing import Annotated

import msgspec

from laurelstep.outbox.options import OrphanPolicy, OutboxSettings, QueuedClass, Upstream, WriteEffect
from laurelstep.settings.operator.fields import Count, Name, OperatorTable, Part, Whole, has_duplicates


class KeepableClass(OperatorTable, frozen=True, kw_only=True):
    """A class whose writes may be queued, and how they are replayed."""

    name: Name
    keep: WriteEffect
    window_s: Whole | None = None


class OutboxTable(OperatorTable, frozen=True, kw_only=True):
    """Writes that are kept while this edge is cut off, and replayed upstream."""

    store_path: Annotated[str, msgspec.Meta(min_length=1)]
    edge: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,31}$")]
    classes: Annotated[tuple[KeepableClass, ...], msgspec.Meta(min_length=1)]
    secret_file: str = ""
    max_mb: Count = 1024
    most: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 100_000
    body_mb: Annotated[int, msgspec.Meta(ge=1, le=32)] = 8
    age_s: Count = 604_800
    share: Part = 0.5
    receipt_s: Count = 604_800
    cut_ms: Annotated[int, msgspec.Meta(ge=100)] = 3_000
    back_ms: Annotated[int, msgspec.Meta(ge=10)] = 1_000
    replay_most: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 8
    lost: OrphanPolicy = "park"
    upstream: Upstream = "servers"
    shared: bool = False

    def problem(self) -> str | None:
        """What can't be as the file says: the key, and what was expected."""
        names = [one.name for one in self.classes]
        if has_duplicates(names):
            return "outbox.classes: expected each name once"
        for one in self.classes:
            if one.window_s == 0:
                return f"outbox.classes: {one.name}: window_s: expected above 0, or none for the class's own"
            if one.window_s is not None and one.keep != "keyed":
                return f"outbox.classes: {one.name}: window_s: expected none, as it is sent once"
        if self.body_mb > self.max_mb:
            return "outbox.body_mb: expected at most max_mb"
        return None

    def settings(self) -> OutboxSettings:
        """The same as the driver takes it."""
        classes = {
            one.name: QueuedClass(one.keep, 0 if one.window_s is None else one.window_s * 1_000_000)
            for one in self.classes
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
