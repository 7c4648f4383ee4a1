"""The table `[orders]`: the journal of requests with effects."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from laurelstep.request_journal.settings import JournalClass, JournalSettings
from laurelstep.settings.operator.fields import Name, OperatorTable, PositiveInt, has_duplicates

UnavailablePolicy = Literal["fail", "pass"]


class RecordedClass(OperatorTable, frozen=True, kw_only=True):
    """A class whose requests are recorded. The idempotency key of a request is in a header or in a field of
    its JSON body. Its record is kept for `keep_s`.
    """

    name: Name
    header: Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z-]{0,64}$")] = ""
    body_field: str = ""
    keep_s: PositiveInt = 86_400


class OrdersTable(OperatorTable, frozen=True, kw_only=True):
    """The recorded classes, the journal's store, and what happens to requests that can't be recorded."""

    store_path: Annotated[str, msgspec.Meta(min_length=1)]
    classes: Annotated[tuple[RecordedClass, ...], msgspec.Meta(min_length=1)]
    unavailable: UnavailablePolicy = "fail"
    max_mb: PositiveInt = 1024

    def problem(self) -> str | None:
        """An invalid value, as its key and what was expected; None if the table is valid."""
        names = [entry.name for entry in self.classes]
        if has_duplicates(names):
            return "orders.classes: expected each name once"
        for entry in self.classes:
            if bool(entry.header) == bool(entry.body_field):
                return f"orders.classes: {entry.name}: expected one of header and body_field"
        return None

    def settings(self) -> JournalSettings:
        """The settings of the journal."""
        classes = {
            entry.name: JournalClass(entry.header.lower().encode(), entry.body_field, entry.keep_s * 1000)
            for entry in self.classes
        }
        return JournalSettings(self.store_path, classes, self.unavailable, self.max_mb << 20)
