"""The engine's source of endpoint lists: discovery's lists with the cordons laid over them.

1. No list is forwarded before the replicated state is known, or before the operator's settings allow to serve
   without it.
2. A list is forwarded as it came, but for machines that are cordoned or have returned. A long one stays in
   steps: neither parsing, publishing nor storing it blocks the event loop.
3. What changes while a long list is on its way is published behind it, as one change.
4. A list that the engine would reject is not stored either.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, Final

from laurelstep.balancing.events import READY
from laurelstep.engine.endpoint_table import endpoint_number
from laurelstep.engine.list_updates import STEP_ENTRIES
from laurelstep.engine.ports import Clock, Log, MemberSink, MemberSource
from laurelstep.maintenance.entries import UNKNOWN_STATE
from laurelstep.maintenance.machines import ListedMachine, MachineTable, parse_listed_machine
from laurelstep.maintenance.overlay import EndpointOverlay
from laurelstep.maintenance.state import MaintenanceState

# What is published at once; longer lists go in steps.
MAX_DIRECT_ENTRIES: Final = 2 * STEP_ENTRIES

# Runs the steps in time slices, then calls its second argument with the exception that they raised, if any.
RunInSteps = Callable[[Iterator[None], Callable[[Exception | None], None]], None]


class MaintenanceSource:
    """The engine's source of members, and the sink of the source that it wraps.

    `grace_us` is the drain grace in µs. `on_list_changed` is called after each change of the list,
    `in_flight_at` gives the requests in flight at an endpoint, and `is_state_known` whether the replicated
    state is known now: one that is being learned again says nothing of what stands.
    """

    def __init__(
        self,
        inner: MemberSource,
        state: MaintenanceState,
        clock: Clock,
        grace_us: int,
        run_in_steps: RunInSteps,
        log: Log,
    ) -> None:
        self.inner = inner
        self.state = state
        self.clock = clock
        self.grace_us = grace_us
        self.run_in_steps = run_in_steps
        self.log = log
        self.table = MachineTable()
        self.overlay = EndpointOverlay()
        self.sink: MemberSink | None = None
        self.generation = 0  # of the last list; what is published in between is of the same
        self.in_flight_at: Callable[[int], int] = lambda endpoint: 0
        self.on_list_changed: Callable[[], None] = lambda: None
        self.is_state_known: Callable[[], bool] = lambda: self.has_learned_state
        self.is_forwarding = False
        self.has_learned_state = False  # the replicated state was known once
        self.is_reading = False  # a long list of the inner source is on its way
        self.is_publishing = False  # a long list of our own is
        self.is_full_list_due = False
        self.due_ids: dict[str, None] = {}  # to be published behind what is on its way, in this order

    # --- As the engine's source -------------------------------------------------------

    def start(self, sink: MemberSink, generation: int) -> None:
        """Begin to publish to the engine, after the given generation."""
        self.sink = sink
        self.generation = max(generation, self.generation)
        self.inner.start(self, self.generation)

    def watch(self, on: bool) -> None:
        """Passed on to the inner source."""
        self.inner.watch(on)

    def fetch(self) -> None:
        """Passed on to the inner source."""
        self.inner.fetch()

    def set_initial_list(self, generation: int, entries: Sequence[Any]) -> None:
        """The list that the process was started with. ValueError if it can't be read."""
        self._store(True, [parse_listed_machine(raw) for raw in entries])
        self.generation = generation
        self.is_full_list_due = True
        self.refresh()

    # --- As the inner source's sink ---------------------------------------------------

    def now(self) -> int:
        """The time on the clock, in µs."""
        return self.clock.now()

    def on_list_failed(self) -> None:
        """Passed on to the engine."""
        if self.sink is not None:
            self.sink.on_list_failed()

    def on_list(self, version: int, whole: bool, entries: Sequence[Any]) -> None:
        """A complete list, or changes. ValueError, with nothing changed, if an entry can't be read."""
        machines = [parse_listed_machine(raw) for raw in entries]
        if self.can_publish and self.sink is not None:
            overlaid = [self._overlaid(machine, raw) for machine, raw in zip(machines, entries, strict=True)]
            self.sink.on_list(version, whole, overlaid)
            self._on_published(whole, [machine.machine_id for machine in machines])
        else:
            self._defer(whole, machines)
        self.generation = version
        self._store(whole, machines)
        self._on_list_stored()

    def apply_list_in_steps(self, whole: bool, entries: list[Any], told_at: int) -> Iterator[None]:
        """The same for a long list, in steps. `entries` is used up, so that freeing it is no long step."""
        machines: dict[str, ListedMachine] = {}
        overlaid: list[Any] = []
        can_publish = self.can_publish
        self.is_reading = True
        try:
            entries.reverse()
            while entries:
                raw = entries.pop()
                machine = parse_listed_machine(raw)
                machines[machine.machine_id] = machine
                if can_publish:
                    overlaid.append(self._overlaid(machine, raw))
                if len(entries) % STEP_ENTRIES == 0:
                    yield
            if can_publish and self.sink is not None:
                yield from self.sink.apply_list_in_steps(whole, overlaid, told_at)
                self._on_published(whole, machines)
            else:
                self._defer(whole, machines.values())
            yield from self._store_in_steps(whole, machines)
        finally:
            self.is_reading = False
        self._on_list_stored()

    @property
    def can_publish(self) -> bool:
        """Whether a list that comes now goes straight to the engine."""
        return self.is_forwarding and not self.is_publishing and not self.is_reading

    def _on_published(self, is_complete: bool, machine_ids: Iterable[str]) -> None:
        """The engine has taken a list with these machines."""
        published = self.overlay.cordons if is_complete else machine_ids
        self.overlay.on_published(published, self.clock.now())

    def _overlaid(self, machine: ListedMachine, raw: Any) -> Any:
        altered = self.overlay.may_alter(machine.machine_id)
        return self.overlay.overlaid_entry(machine) if altered else raw

    def _defer(self, is_complete: bool, machines: Iterable[ListedMachine]) -> None:
        if is_complete:
            self.is_full_list_due = True
        elif self.is_forwarding:
            self.due_ids.update((machine.machine_id, None) for machine in machines)

    def _store(self, is_complete: bool, machines: Sequence[ListedMachine]) -> None:
        by_id = {machine.machine_id: machine for machine in machines}
        for _ in self.table.replace(by_id) if is_complete else self._put_each(machines):
            pass

    def _store_in_steps(self, is_complete: bool, machines: dict[str, ListedMachine]) -> Iterator[None]:
        each = self.table.replace(machines) if is_complete else self._put_each(machines.values())
        for count, _ in enumerate(each, 1):
            if count % STEP_ENTRIES == 0:
                yield

    def _put_each(self, machines: Iterable[ListedMachine]) -> Iterator[None]:
        for machine in machines:
            self.table.put(machine)
            yield

    def _on_list_stored(self) -> None:
        self.overlay.forget_unlisted(self.table)
        self.refresh()
        self.on_list_changed()

    # --- Publishing -------------------------------------------------------------------

    def start_forwarding(self, has_learned_state: bool) -> None:
        """Forward lists from now on: the replicated state is known, or not waited for any more."""
        if not self.is_forwarding:
            self.is_forwarding = self.is_full_list_due = True
        self.has_learned_state = self.has_learned_state or has_learned_state
        self.refresh()

    def refresh(self) -> None:
        """The state or the list changed: publish what is shown otherwise now."""
        if not self.can_publish or self.sink is None:
            return
        if self.has_learned_state and self.is_state_known():
            wall_ms = self.clock.wall() // 1000
            changed = self.overlay.update(self.state, self.table, self.clock.now(), wall_ms)
            self.due_ids.update((machine_id, None) for machine_id in changed)
        is_complete = self.is_full_list_due and self.table.is_complete
        self.is_full_list_due = False
        machine_ids = list(self.table.machines if is_complete else self.due_ids)
        self.due_ids.clear()
        if is_complete or machine_ids:
            self._publish(is_complete, machine_ids)

    def _publish(self, is_complete: bool, machine_ids: list[str]) -> None:
        assert self.sink is not None
        if len(machine_ids) > MAX_DIRECT_ENTRIES:
            self.is_publishing = True
            steps = self._publish_in_steps(is_complete, machine_ids, self.sink)
            self.run_in_steps(steps, self._on_steps_ended)
            return
        try:
            entries = [self._entry_of(machine_id) for machine_id in machine_ids]
            self.sink.on_list(self.generation, is_complete, entries)
        except ValueError as error:
            self._log_rejected(error)
        else:
            self._on_published(is_complete, machine_ids)

    def _publish_in_steps(
        self, is_complete: bool, machine_ids: list[str], sink: MemberSink
    ) -> Iterator[None]:
        published_at = sink.now()
        entries = []
        for count, machine_id in enumerate(machine_ids, 1):
            entries.append(self._entry_of(machine_id))
            if count % STEP_ENTRIES == 0:
                yield
        yield from sink.apply_list_in_steps(is_complete, entries, published_at)
        self._on_published(is_complete, machine_ids)

    def _on_steps_ended(self, error: Exception | None) -> None:
        self.is_publishing = False
        if error is not None:
            self._log_rejected(error)
        self.refresh()

    def _log_rejected(self, error: Exception) -> None:
        self.log(f"maintenance: the engine rejected an endpoint list: {error}")

    def _entry_of(self, machine_id: str) -> dict[str, Any]:
        machine = self.table.machines.get(machine_id)
        if machine is None:
            return {"instanceId": machine_id, "lifecycle": "gone"}
        return self.overlay.overlaid_entry(machine)

    # --- Queries ----------------------------------------------------------------------

    def drained_index(self) -> int:
        """See `EndpointOverlay.drained_index`; `UNKNOWN_STATE` while this process does not go by the
        state.
        """
        if not self.has_learned_state or not self.is_forwarding or not self.is_state_known():
            return UNKNOWN_STATE
        is_list_on_its_way = self.is_publishing or self.is_reading

        def in_flight(machine_id: str) -> int:
            """The requests in flight at a machine; at least one while a list on its way may change where they
            go.
            """
            return 1 if is_list_on_its_way else self.in_flight_at(endpoint_number(machine_id))

        return self.overlay.drained_index(self.state, self.clock.now(), self.grace_us, in_flight)

    def dump_in_steps(self, generation: int, taken: list[bytes]) -> Iterator[None]:
        """Discovery's ready machines, cordoned or not, as a complete list in its JSON form.

        The list is put into `taken` with the last step.
        """
        entries = []
        for count, machine in enumerate(list(self.table.machines.values()), 1):
            if machine.phase == READY:
                entries.append(json.dumps(machine.to_entry(READY, machine.started_ms)))
            if count % STEP_ENTRIES == 0:
                yield
        instances = ",".join(entries)
        taken.append(f'{{"generation":{generation},"reset":true,"instances":[{instances}]}}'.encode())
