"""The engine's source of endpoint lists: discovery's lists with the overlay applied.

1. No list is forwarded before the replicated state is known, or the operator's settings allow serving without
   it.
2. Entries are forwarded unchanged, except those of machines that are cordoned or have returned. A long list
   is parsed, published and stored in steps, so that it does not block the event loop.
3. Changes that arrive while a long list is being applied are published after it, as one change.
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

# A longer list is published in steps.
MAX_DIRECT_ENTRIES: Final = 2 * STEP_ENTRIES

# Runs steps in time slices, then calls the second argument with the exception that they raised, or None.
RunInSteps = Callable[[Iterator[None], Callable[[Exception | None], None]], None]


class MaintenanceSource:
    """The engine's source of members, and the sink of the source `inner` that it wraps.

    `grace_us` is the drain grace in µs. `on_list_changed` is called after each change of the list.
    `in_flight_at` returns the number of requests in flight at an endpoint. `is_state_known` returns whether
    the replicated state is current: while it is being loaded again, the cordons stay as they are.
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
        self.generation = 0  # of the last list, and of changes published after it
        self.in_flight_at: Callable[[int], int] = lambda endpoint: 0
        self.on_list_changed: Callable[[], None] = lambda: None
        self.is_state_known: Callable[[], bool] = lambda: self.has_learned_state
        self.is_forwarding = False
        self.has_learned_state = False  # the replicated state was known at least once
        self.is_applying_list = False  # a long list of the inner source is being applied
        self.is_publishing = False  # a long list of the table is being published
        self.is_full_list_due = False  # the whole table is to be published next
        self.unpublished_ids: dict[str, None] = {}  # to be published next, in this order

    # --- As the engine's source -------------------------------------------------------

    def start(self, sink: MemberSink, generation: int) -> None:
        """Start to publish to the engine, with lists later than `generation`."""
        self.sink = sink
        self.generation = max(generation, self.generation)
        self.inner.start(self, self.generation)

    def watch(self, is_on: bool) -> None:
        """See `MemberSource.watch`."""
        self.inner.watch(is_on)

    def fetch(self) -> None:
        """See `MemberSource.fetch`."""
        self.inner.fetch()

    def set_initial_list(self, generation: int, entries: Sequence[Any]) -> None:
        """Set the list that the process was started with. ValueError if an entry is malformed."""
        self._store(True, [parse_listed_machine(raw) for raw in entries])
        self.generation = generation
        self.is_full_list_due = True
        self.refresh()

    # --- As the inner source's sink ---------------------------------------------------

    def now(self) -> int:
        """The time on the clock, in µs."""
        return self.clock.now()

    def on_list_failed(self) -> None:
        """See `MemberSink.on_list_failed`."""
        if self.sink is not None:
            self.sink.on_list_failed()

    def on_list(self, generation: int, is_full: bool, entries: Sequence[Any]) -> None:
        """Publish and store a full list, or changes. ValueError, with nothing changed, if an entry is
        malformed.
        """
        machines = [parse_listed_machine(raw) for raw in entries]
        if self.can_publish and self.sink is not None:
            overlaid = [self._overlay(machine, raw) for machine, raw in zip(machines, entries, strict=True)]
            self.sink.on_list(generation, is_full, overlaid)
            self._on_published(is_full, [machine.machine_id for machine in machines])
        else:
            self._defer(is_full, machines)
        self.generation = generation
        self._store(is_full, machines)
        self._on_list_stored()

    def apply_list_in_steps(self, is_full: bool, entries: list[Any], received_at: int) -> Iterator[None]:
        """Like `on_list`, for a long list, in steps. `entries` is emptied step by step, since freeing it at
        once would take long.
        """
        machines: dict[str, ListedMachine] = {}
        overlaid: list[Any] = []
        can_publish = self.can_publish
        self.is_applying_list = True
        try:
            entries.reverse()
            while entries:
                raw = entries.pop()
                machine = parse_listed_machine(raw)
                machines[machine.machine_id] = machine
                if can_publish:
                    overlaid.append(self._overlay(machine, raw))
                if len(entries) % STEP_ENTRIES == 0:
                    yield
            if can_publish and self.sink is not None:
                yield from self.sink.apply_list_in_steps(is_full, overlaid, received_at)
                self._on_published(is_full, machines)
            else:
                self._defer(is_full, machines.values())
            yield from self._store_in_steps(is_full, machines)
        finally:
            self.is_applying_list = False
        self._on_list_stored()

    @property
    def can_publish(self) -> bool:
        """Whether a list that arrives now is passed to the engine at once."""
        return self.is_forwarding and not self.is_publishing and not self.is_applying_list

    def _on_published(self, is_full: bool, machine_ids: Iterable[str]) -> None:
        """Called after the engine has applied a list with these machines."""
        published = self.overlay.cordons if is_full else machine_ids
        self.overlay.on_published(published, self.clock.now())

    def _overlay(self, machine: ListedMachine, raw: Any) -> Any:
        may_differ = self.overlay.may_differ(machine.machine_id)
        return self.overlay.overlaid_entry(machine) if may_differ else raw

    def _defer(self, is_full: bool, machines: Iterable[ListedMachine]) -> None:
        if is_full:
            self.is_full_list_due = True
        elif self.is_forwarding:
            self.unpublished_ids.update((machine.machine_id, None) for machine in machines)

    def _store(self, is_full: bool, machines: Sequence[ListedMachine]) -> None:
        by_id = {machine.machine_id: machine for machine in machines}
        for _ in self.table.replace(by_id) if is_full else self._put_in_steps(machines):
            pass

    def _store_in_steps(self, is_full: bool, machines: dict[str, ListedMachine]) -> Iterator[None]:
        steps = self.table.replace(machines) if is_full else self._put_in_steps(machines.values())
        for count, _ in enumerate(steps, 1):
            if count % STEP_ENTRIES == 0:
                yield

    def _put_in_steps(self, machines: Iterable[ListedMachine]) -> Iterator[None]:
        for machine in machines:
            self.table.put(machine)
            yield

    def _on_list_stored(self) -> None:
        self.overlay.forget_unlisted(self.table)
        self.refresh()
        self.on_list_changed()

    # --- Publishing -------------------------------------------------------------------

    def start_forwarding(self, has_learned_state: bool) -> None:
        """Forward lists from now on: the replicated state is known, or the wait for it has timed out."""
        if not self.is_forwarding:
            self.is_forwarding = self.is_full_list_due = True
        self.has_learned_state = self.has_learned_state or has_learned_state
        self.refresh()

    def refresh(self) -> None:
        """Publish the entries that changed with the state or the list. Does nothing while another list is
        being published or applied.
        """
        if not self.can_publish or self.sink is None:
            return
        if self.has_learned_state and self.is_state_known():
            wall_ms = self.clock.wall() // 1000
            changed = self.overlay.update(self.state, self.table, self.clock.now(), wall_ms)
            self.unpublished_ids.update((machine_id, None) for machine_id in changed)
        is_full = self.is_full_list_due and self.table.is_complete
        self.is_full_list_due = False
        machine_ids = list(self.table.machines if is_full else self.unpublished_ids)
        self.unpublished_ids.clear()
        if is_full or machine_ids:
            self._publish(is_full, machine_ids)

    def _publish(self, is_full: bool, machine_ids: list[str]) -> None:
        assert self.sink is not None
        if len(machine_ids) > MAX_DIRECT_ENTRIES:
            self.is_publishing = True
            steps = self._publish_in_steps(is_full, machine_ids, self.sink)
            self.run_in_steps(steps, self._on_steps_ended)
            return
        try:
            entries = [self._current_entry(machine_id) for machine_id in machine_ids]
            self.sink.on_list(self.generation, is_full, entries)
        except ValueError as error:
            self._log_rejected(error)
        else:
            self._on_published(is_full, machine_ids)

    def _publish_in_steps(self, is_full: bool, machine_ids: list[str], sink: MemberSink) -> Iterator[None]:
        published_us = sink.now()
        entries = []
        for count, machine_id in enumerate(machine_ids, 1):
            entries.append(self._current_entry(machine_id))
            if count % STEP_ENTRIES == 0:
                yield
        yield from sink.apply_list_in_steps(is_full, entries, published_us)
        self._on_published(is_full, machine_ids)

    def _on_steps_ended(self, error: Exception | None) -> None:
        self.is_publishing = False
        if error is not None:
            self._log_rejected(error)
        self.refresh()

    def _log_rejected(self, error: Exception) -> None:
        self.log(f"maintenance: the engine rejected an endpoint list: {error}")

    def _current_entry(self, machine_id: str) -> dict[str, Any]:
        machine = self.table.machines.get(machine_id)
        if machine is None:
            return {"instanceId": machine_id, "lifecycle": "gone"}
        return self.overlay.overlaid_entry(machine)

    # --- Queries ----------------------------------------------------------------------

    def drained_index(self) -> int:
        """See `EndpointOverlay.drained_index`; `UNKNOWN_STATE` while this process serves without the state,
        or does not serve yet.
        """
        if not self.has_learned_state or not self.is_forwarding or not self.is_state_known():
            return UNKNOWN_STATE
        is_list_in_progress = self.is_publishing or self.is_applying_list

        def in_flight(machine_id: str) -> int:
            """The number of requests in flight at a machine; 1 while a list is being applied that may change
            where requests are sent.
            """
            return 1 if is_list_in_progress else self.in_flight_at(endpoint_number(machine_id))

        return self.overlay.drained_index(self.state, self.clock.now(), self.grace_us, in_flight)

    def dump_in_steps(self, generation: int, output: list[bytes]) -> Iterator[None]:
        """Dump discovery's ready machines, cordoned or not, as a full list in the JSON format of discovery.

        The last step appends the list to `output`.
        """
        entries = []
        for count, machine in enumerate(list(self.table.machines.values()), 1):
            if machine.phase == READY:
                entries.append(json.dumps(machine.to_entry(READY, machine.started_ms)))
            if count % STEP_ENTRIES == 0:
                yield
        instances = ",".join(entries)
        output.append(f'{{"generation":{generation},"reset":true,"instances":[{instances}]}}'.encode())
