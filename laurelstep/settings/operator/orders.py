"""`[orders]`: the journal of requests with effects."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from laurelstep.request_journal.settings import JournalClass, JournalSettings
from laurelstep.settings.operator.fields import Count, Name, OperatorTable, has_duplicates

Unavailable = Literal["fail", "pass"]


class RecordedClass(OperatorTable, frozen=True, kw_only=True):
    """A class whose requests are recorded, and how a request names its order."""

    name: Name
    header: Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z-]{0,64}$")] = ""
    body_field: str = ""
    keep_s: Count = 86_400


class OrdersTable(OperatorTable, frozen=True, kw_only=True):
    """The record of requests with effects, and the store that it is kept in."""

    store_path: Annotated[str, msgspec.Meta(min_length=1)]
    classes: Annotated[tuple[RecordedClass, ...], msgspec.Meta(min_length=1)]
    unavailable: Unavailable = "fail"
    max_mb: Count = 1024

    def problem(self) -> str | None:
        """What can't be as the file says: the key, and what was expected."""
        names = [one.name for one in self.classes]
        if has_duplicates(names):
            return "orders.classes: expected each name once"
        for one in self.classes:
            if bool(one.header) == bool(one.body_field):
                return f"orders.classes: {one.name}: expected one of header and body_field"
        return None

    def settings(self) -> JournalSettings:
        """The same as the recorder takes it."""
        classes = {
            one.name: JournalClass(one.header.lower().encode(), one.body_field, one.keep_s * 1000)
            for one in self.classes
        }
        return JournalSettings(self.store_path, classes, self.unavailable, self.max_mb << 20)
