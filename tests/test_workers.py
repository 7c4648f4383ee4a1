"""Several processes: the plan by its rules, and real ones killed and replaced under load."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from laurelstep.settings import ConfigError
from laurelstep.settings.operator import read_operator
from laurelstep.testing import (
    Endpoint,
    Handler,
    Message,
    Registry,
    Writer,
    answer,
    push,
    read_message,
    request,
)
from laurelstep.workers.plan import KillWorker, StartWorker, StopWorker, SupervisorAction, SupervisorPlan

from tests.sockets import connect_until_up, free_port, run
from tests.test_settings import CLASS

CLEAN = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
PAY = '[[deployment.classes]]\nname = "pay"\neffect = "unsafe"\naim_ms = 500\ndeadline_ms = 20000\n'
INITIAL_BACKOFF, MAX_BACKOFF, READY_TIMEOUT = 100, 1_000, 5_000


# --- The plan ---------------------------------------------------------------------------


def served(plan: SupervisorPlan, now: int = 0) -> list[int]:
    """All processes started and ready."""
    started = [one.process for one in plan.advance(now) if isinstance(one, StartWorker)]
    for process in started:
        assert plan.on_ready(now, process) == []
    return started


def test_a_process_that_dies_is_replaced_after_a_pause_that_doubles() -> None:
    plan = SupervisorPlan(1, INITIAL_BACKOFF, MAX_BACKOFF, READY_TIMEOUT)
    (process,) = served(plan)
    now, pauses = 0, []
    for _ in range(6):
        plan.on_exit(now, process)
        due = plan.next_due_us()
        assert due is not None and plan.advance(due - 1) == []
        pauses.append(due - now)
        now = due
        (start,) = plan.advance(now)
        assert isinstance(start, StartWorker)
        process = start.process
    assert pauses == [100, 200, 400, 800, 1_000, 1_000]
    plan.on_ready(now, process)
    plan.on_exit(now + MAX_BACKOFF, process)
    assert plan.next_due_us() == now + MAX_BACKOFF + INITIAL_BACKOFF, "it was calm for long enough"


def test_a_restart_replaces_one_after_the_other_and_the_old_serves_until_the_new_does() -> None:
    plan = SupervisorPlan(3, INITIAL_BACKOFF, MAX_BACKOFF, READY_TIMEOUT)
    old = served(plan)
    plan.restart_all()
    for number in range(3):
        (start,) = plan.advance(10)
        assert isinstance(start, StartWorker) and start.slot == number
        assert plan.advance(10) == [], "one at a time"
        assert plan.slots[number].serving == old[number]
        assert plan.on_ready(20, start.process) == [StopWorker(old[number])]
        plan.on_exit(30, old[number])
    assert plan.advance(40) == [] and plan.failure_count == 0 and len(plan.slot_of) == 3


def test_a_new_process_that_is_not_ready_in_time_is_ended_and_the_old_one_stays() -> None:
    plan = SupervisorPlan(1, INITIAL_BACKOFF, MAX_BACKOFF, READY_TIMEOUT)
    (old,) = served(plan)
    plan.restart_all()
    (start,) = plan.advance(0)
    assert isinstance(start, StartWorker) and plan.next_due_us() == READY_TIMEOUT
    assert plan.advance(READY_TIMEOUT) == [KillWorker(start.process)]
    assert plan.slots[0].serving == old and plan.on_ready(READY_TIMEOUT, start.process) == []
    plan.on_exit(READY_TIMEOUT, start.process)
    assert plan.advance(10 * READY_TIMEOUT) == []


def test_after_a_stop_nothing_starts() -> None:
    plan = SupervisorPlan(2, INITIAL_BACKOFF, MAX_BACKOFF, READY_TIMEOUT)
    one, two = served(plan)
    plan.on_exit(5, one)
    assert plan.stop() == [StopWorker(two)] and not plan.is_complete
    assert plan.advance(10**9) == [] and plan.next_due_us() is None
    plan.on_exit(10, two)
    assert plan.is_complete


@given(
    st.lists(st.tuples(st.sampled_from(("ready", "die", "renew", "wait")), st.integers(0, 7)), max_size=60)
)
def test_no_slot_is_held_by_more_than_two_and_none_is_forgotten(steps: list[tuple[str, int]]) -> None:
    plan, now = SupervisorPlan(3, INITIAL_BACKOFF, MAX_BACKOFF, READY_TIMEOUT), 0
    alive: dict[int, int] = {}
    told: set[int] = set()

    def do(actions: list[SupervisorAction]) -> None:
        for one in actions:
            if isinstance(one, StartWorker):
                assert one.process not in alive
                alive[one.process] = one.slot
            else:
                told.add(one.process)

    for what, pick in steps:
        now += 50
        do(plan.advance(now))
        process = sorted(alive)[pick % len(alive)] if alive else 0
        if what == "ready" and process:
            do(plan.on_ready(now, process))
        elif what == "die" and process:
            del alive[process]
            plan.on_exit(now, process)
        elif what == "renew":
            plan.restart_all()
        for slot in range(3):
            assert sum(held == slot and one not in told for one, held in alive.items()) <= 2
    for process in sorted(told & set(alive)):
        del alive[process]
        plan.on_exit(now, process)
    for _ in range(20):  # left in peace, all of them serve
        now = max(now, plan.next_due_us() or now)
        do(plan.advance(now))
        for process in list(alive):
            do(plan.on_ready(now, process))
        for process in sorted(told & set(alive)):
            del alive[process]
            plan.on_exit(now, process)
    assert sorted(alive.values()) == [0, 1, 2] and all(one.serving for one in plan.slots)


# --- Settings ---------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("[workers]\nprocesses = 2\n", r"workers: expected the table \[deployment\] with listen"),
        ("[workers]\nprocesses = 0\n", "workers.processes"),
        (
            f'[deployment]\nlisten = "127.0.0.1:1"\n{CLASS}[workers]\nprocesses = 2\n'
            '[orders]\nstore_path = "x"\n[[orders.classes]]\nname = "view"\nheader = "idempotency-key"\n',
            r"workers: expected no \[orders\]",
        ),
    ],
)
def test_what_several_processes_can_not_be(tmp_path: Path, text: str, error: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match=error):
        read_operator(str(path))


# --- Processes --------------------------------------------------------------------------


class Tier:
    def __init__(self, process: asyncio.subprocess.Process, port: int) -> None:
        self.process = process
        self.port = port
        self.noted: list[tuple[str, str]] = []

    def children(self) -> list[int]:
        text = Path(f"/proc/{self.process.pid}/task/{self.process.pid}/children").read_text()
        return [int(one) for one in text.split()]

    async def ask(self, rid: str) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(request("pay", b"sum", rid=rid, deadline_ms=20_000))
            return (await read_message(reader)).start_line.split()[1]
        finally:
            writer.close()

    async def insist(self, rid: str) -> str:
        """As clients do: a connection that ends with nothing said had not been read from."""
        while True:
            try:
                return await self.ask(rid)
            except (ConnectionResetError, asyncio.IncompleteReadError) as error:
                self.noted.append((rid, repr(error)))

    async def all_serve(self, count: int) -> None:
        """Until so many children listen."""
        while True:
            text = await asyncio.to_thread(Path(f"/proc/{self.process.pid}/net/tcp").read_text)
            local = f"0100007F:{self.port:04X} 00000000:0000 0A"
            if text.count(local) == count:
                return
            await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def tier(tmp_path: Path, members: str, processes: int = 3) -> AsyncIterator[Tier]:
    port = free_port()
    path = tmp_path / "operator.toml"
    path.write_text(
        f'[deployment]\nlisten = "127.0.0.1:{port}"\ntier = 1\ntiers = 2\n{members}{PAY}'
        f"[workers]\nprocesses = {processes}\nrestart_first_ms = 1\n"
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "laurelstep", "--operator", str(path), env=CLEAN, stderr=subprocess.PIPE
    )
    try:
        one = Tier(process, port)
        _, writer = await connect_until_up(port)
        writer.close()
        await one.all_serve(processes)
        yield one
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await process.communicate()


def member(endpoint: Endpoint) -> str:
    return f'members = [{{id = "s-1", address = "127.0.0.1:{endpoint.port}"}}]\n'


def held(release: asyncio.Event) -> Handler:
    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        endpoint.effects.execute(message)
        await release.wait()
        writer.write(answer())

    return handler


def test_a_worker_killed_while_it_holds_paid_orders_loses_only_those_and_none_runs_twice(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with Endpoint() as endpoint, asyncio.timeout(180), tier(tmp_path, member(endpoint)) as one:
            release = asyncio.Event()
            endpoint.handler = held(release)
            first = one.children()
            asks = [asyncio.create_task(one.ask(f"h{n}")) for n in range(48)]
            for _ in asks:
                await endpoint.arrived.acquire()
            os.kill(first[0], signal.SIGKILL)
            while first[0] in one.children() or len(one.children()) < 3:
                await asyncio.sleep(0)
            await one.all_serve(3)
            release.set()
            back = await asyncio.gather(*asks, return_exceptions=True)
            assert set(map(str, back)) - {"200"} and back.count("200") >= 1
            assert all(isinstance(one, (str, OSError, EOFError)) for one in back)
            assert set(endpoint.effects.by_id.values()) == {1} and len(endpoint.effects.by_id) == 48
            assert await one.ask("after") == "200", "the place of the dead is taken"

    run(main())


def test_a_restart_goes_copy_by_copy_hands_the_list_on_and_loses_no_request(tmp_path: Path) -> None:
    """The discovery says nothing more: the new processes can have the list only from the old."""

    async def main() -> None:
        async with Endpoint() as endpoint, asyncio.timeout(180):
            registry = Registry()
            listener = await registry.start()
            source = f'discovery = "127.0.0.1:{registry.port}"\n'
            async with tier(tmp_path, source) as one:
                for _ in range(3):
                    _, watch = await registry.watches.get()
                    push(watch, 7, True, endpoint.entry("s-1"))
                while await one.ask("first") != "200":
                    pass
                first = set(one.children())
                one.process.send_signal(signal.SIGUSR2)
                number = 0
                starts: list[str] = []
                while first & set(one.children()) or len(starts) < 3:
                    assert await one.insist(f"r{number}") == "200"
                    number += 1
                    while not registry.watches.empty():
                        starts.append(registry.watches.get_nowait()[0])
                assert all("from=7" in start for start in starts), "they went on from the list's version"
                listener.close()
                assert not endpoint.effects.executed_twice(), one.noted
                assert number > 3

    run(main())


def test_workers_end_with_their_supervisor(tmp_path: Path) -> None:
    async def main() -> None:
        async with Endpoint() as endpoint, asyncio.timeout(180), tier(tmp_path, member(endpoint), 2) as one:
            children = one.children()
            one.process.kill()
            await one.process.wait()
            while any(
                Path(f"/proc/{child}/cmdline").exists() and Path(f"/proc/{child}/cmdline").read_bytes()
                for child in children
            ):
                await asyncio.sleep(0)

    run(main())
