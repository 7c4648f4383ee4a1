"""The one step where lists change: between discovery and the engine.

Rules that everything here serves:

1. Nothing is told before the record is known, or before somebody says to go on without it.
2. A list is passed on as it came, but for the machines that are held or have come back. A long one
   stays in steps: neither reading, telling nor keeping it holds the loop.
3. What changes while a long list is on its way is told behind it, as one change.
4. A list that the engine would not take is not kept either.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, Final

from laurelstep.engine.listing import STEP
from laurelstep.engine.members import endpoint_number
from laurelstep.engine.ports import Clock, Log, MemberSink, MemberSource
from laurelstep.interface import READY
from laurelstep.upkeep.members import Member, MemberTable, read_member
from laurelstep.upkeep.roll import Roll
from laurelstep.upkeep.shown import Shown

# What is told at once; more goes in steps.
SHORT: Final = 2 * STEP

# Runs the steps in slices, and calls its second argument with what they raised.
RunSteps = Callable[[Iterator[None], Callable[[Exception | None], None]], None]


class UpkeepSource:
    """The engine's source of members, and the sink of the one that it wraps.

    `on_list` is called when the list has changed."""

    def __init__(
        self, inner: MemberSource, roll: Roll, clock: Clock, grace_us: int, run_steps: RunSteps, log: Log
    ) -> None:
        self.inner = inner
        self.roll = roll
        self.clock = clock
        self.grace_us = grace_us
        self.run_steps = run_steps
        self.log = log
        self.table = MemberTable()
        self.shown = Shown()
        self.sink: MemberSink | None = None
        self.generation = 0  # of the last list: what is told by itself is of the same
        self.out_at: Callable[[int], int] = lambda endpoint: 0
        self.on_list: Callable[[], None] = lambda: None
        self.open = False  # lists are passed on
        self.learned = False  # the roll was that of the record once
        # Whether it is now: a roll that is being learned anew says nothing of what stands.
        self.knows: Callable[[], bool] = lambda: self.learned
        self.reading = False  # a long list of the inner source is on its way
        self.telling = False  # one of our own is
        self.whole_due = False
        self.changed: dict[str, None] = {}  # to be told behind what is on its way

    # --- For the engine, as its source ------------------------------------------------

    def start(self, sink: MemberSink, generation: int) -> None:
        self.sink = sink
        self.generation = max(generation, self.generation)
        self.inner.start(self, self.generation)

    def watch(self, on: bool) -> None:
        self.inner.watch(on)

    def fetch(self) -> None:
        self.inner.fetch()

    # --- For the inner source, as its sink --------------------------------------------

    def now(self) -> int:
        return self.clock.now()

    def list_failed(self) -> None:
        if self.sink is not None:
            self.sink.list_failed()

    def listed(self, version: int, whole: bool, entries: Sequence[Any]) -> None:
        read = [read_member(raw) for raw in entries]
        if self.is_passing and self.sink is not None:
            raws = [self._raw(one, raw) for one, raw in zip(read, entries, strict=True)]
            self.sink.listed(version, whole, raws)
            self._passed(whole, [one.id for one in read])
        else:
            self._tell_later(whole, read)
        self.generation = version
        self._keep(whole, read)
        self._after_list()

    def list_in_steps(self, whole: bool, entries: list[Any], told_at: int) -> Iterator[None]:
        """`entries` is used up, so that freeing it is no step as long as the list."""
        read: dict[str, Member] = {}
        raws: list[Any] = []
        passing = self.is_passing
        self.reading = True
        try:
            entries.reverse()
            while entries:
                raw = entries.pop()
                one = read_member(raw)
                read[one.id] = one
                if passing:
                    raws.append(self._raw(one, raw))
                if len(entries) % STEP == 0:
                    yield
            if passing and self.sink is not None:
                yield from self.sink.list_in_steps(whole, raws, told_at)
                self._passed(whole, read)
            else:
                self._tell_later(whole, read.values())
            yield from self._keep_in_steps(whole, read)
        finally:
            self.reading = False
        self._after_list()

    @property
    def is_passing(self) -> bool:
        """Whether a list that comes now goes straight on."""
        return self.open and not self.telling and not self.reading

    def _passed(self, whole: bool, ids: Iterable[str]) -> None:
        """The engine has taken a list with these."""
        self.shown.told(self.shown.holds if whole else ids, self.clock.now())

    def _raw(self, one: Member, raw: Any) -> Any:
        return self.shown.raw(one) if self.shown.touches(one.id) else raw

    def _tell_later(self, whole: bool, read: Any) -> None:
        if whole:
            self.whole_due = True
        elif self.open:
            self.changed.update((one.id, None) for one in read)

    def _keep(self, whole: bool, read: Sequence[Member]) -> None:
        if whole:
            for _ in self.table.replace({one.id: one for one in read}):
                pass
        else:
            for one in read:
                self.table.put(one)

    def _keep_in_steps(self, whole: bool, read: dict[str, Member]) -> Iterator[None]:
        if whole:
            for at, _ in enumerate(self.table.replace(read), 1):
                if at % STEP == 0:
                    yield
        else:
            for at, one in enumerate(read.values(), 1):
                self.table.put(one)
                if at % STEP == 0:
                    yield

    def _after_list(self) -> None:
        self.shown.forget(self.table)
        self.refresh()
        self.on_list()

    # --- What is told -----------------------------------------------------------------

    def give_known(self, generation: int, entries: Sequence[Any]) -> None:
        self._keep(True, [read_member(raw) for raw in entries])
        self.generation = generation
        self.whole_due = True
        self.refresh()

    def go_on(self, learned: bool) -> None:
        """Lists are passed on from now on: the record is known, or is not waited for any more."""
        if not self.open:
            self.open = self.whole_due = True
        self.learned = self.learned or learned
        self.refresh()

    def refresh(self) -> None:
        """The roll or the list changed: tell what is shown otherwise now."""
        if not self.is_passing or self.sink is None:
            return
        if self.learned and self.knows():
            wall_ms = self.clock.wall() // 1000
            for id in self.shown.follow(self.roll, self.table, self.clock.now(), wall_ms):
                self.changed[id] = None
        whole, self.whole_due = self.whole_due and self.table.whole, False
        ids = list(self.table.members if whole else self.changed)
        self.changed.clear()
        if whole or ids:
            self._tell(whole, ids)

    def _tell(self, whole: bool, ids: list[str]) -> None:
        assert self.sink is not None
        if len(ids) <= SHORT:
            try:
                self.sink.listed(self.generation, whole, [self._raw_of(id) for id in ids])
            except ValueError as error:
                self.log(f"upkeep: the engine did not take its list: {error}")
            else:
                self._passed(whole, ids)
        else:
            self.telling = True
            self.run_steps(self._tell_in_steps(whole, ids, self.sink), self._told)

    def _tell_in_steps(self, whole: bool, ids: list[str], sink: MemberSink) -> Iterator[None]:
        told_at = sink.now()
        raws = []
        for at, id in enumerate(ids, 1):
            raws.append(self._raw_of(id))
            if at % STEP == 0:
                yield
        yield from sink.list_in_steps(whole, raws, told_at)
        self._passed(whole, ids)

    def _told(self, error: Exception | None) -> None:
        self.telling = False
        if error is not None:
            self.log(f"upkeep: the engine did not take its list: {error}")
        self.refresh()

    def _raw_of(self, id: str) -> dict[str, Any]:
        member = self.table.members.get(id)
        return {"instanceId": id, "lifecycle": "gone"} if member is None else self.shown.raw(member)

    # --- What is asked ----------------------------------------------------------------

    def quiet(self) -> int:
        """See `shown.Shown.quiet`; -1 while this process does not go by the record."""
        if not self.learned or not self.open or not self.knows():
            return -1
        on_its_way = self.telling or self.reading

        def out_at(id: str) -> int:
            return 1 if on_its_way else self.out_at(endpoint_number(id))

        return self.shown.quiet(self.roll, self.clock.now(), self.grace_us, out_at)

    def dump_in_steps(self, generation: int, taken: list[bytes]) -> Iterator[None]:
        """The ready machines as discovery told of them, held or not, as a whole list in its form:
        JSON, put into `taken` with the last step."""
        parts = []
        for at, one in enumerate(list(self.table.members.values()), 1):
            if one.phase == READY:
                parts.append(json.dumps(one.raw(READY, one.started_ms)))
            if at % STEP == 0:
                yield
        taken.append(f'{{"generation":{generation},"reset":true,"instances":[{",".join(parts)}]}}'.encode())
