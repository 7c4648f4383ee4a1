"""Several worker processes: the rules of the plan, and real workers killed and replaced under load."""

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


def start_all(plan: SupervisorPlan, now: int = 0) -> list[int]:
    """Start all processes and report them as ready; return their numbers."""
    started = [action.process for action in plan.advance(now) if isinstance(action, StartWorker)]
    for process in started:
        assert plan.on_ready(now, process) == []
    return started


def test_a_process_that_exits_is_replaced_after_a_backoff_that_doubles() -> None:
    plan = SupervisorPlan(1, INITIAL_BACKOFF, MAX_BACKOFF, READY_TIMEOUT)
    (process,) = start_all(plan)
    now, backoffs = 0, []
    for _ in range(6):
        plan.on_exit(now, process)
        due = plan.next_due_us()
        assert due is not None and plan.advance(due - 1) == []
        backoffs.append(due - now)
        now = due
        (start,) = plan.advance(now)
        assert isinstance(start, StartWorker)
        process = start.process
    assert backoffs == [100, 200, 400, 800, 1_000, 1_000]
    plan.on_ready(now, process)
    plan.on_exit(now + MAX_BACKOFF, process)
    assert plan.next_due_us() == now + MAX_BACKOFF + INITIAL_BACKOFF, "it was ready for long enough"


def test_a_rolling_restart_replaces_one_process_at_a_time_and_stops_the_old_once_the_new_is_ready() -> None:
    plan = SupervisorPlan(3, INITIAL_BACKOFF, MAX_BACKOFF, READY_TIMEOUT)
    old = start_all(plan)
    plan.restart_all()
    for number in range(3):
        (start,) = plan.advance(10)
        assert isinstance(start, StartWorker) and start.slot == number
        assert plan.advance(10) == [], "one at a time"
        assert plan.slots[number].serving == old[number]
        assert plan.on_ready(20, start.process) == [StopWorker(old[number])]
        plan.on_exit(30, old[number])
    assert plan.advance(40) == [] and plan.failure_count == 0 and len(plan.slot_of) == 3


def test_a_new_process_that_is_not_ready_in_time_is_killed_and_the_old_one_keeps_serving() -> None:
    plan = SupervisorPlan(1, INITIAL_BACKOFF, MAX_BACKOFF, READY_TIMEOUT)
    (old,) = start_all(plan)
    plan.restart_all()
    (start,) = plan.advance(0)
    assert isinstance(start, StartWorker) and plan.next_due_us() == READY_TIMEOUT
    assert plan.advance(READY_TIMEOUT) == [KillWorker(start.process)]
    assert plan.slots[0].serving == old and plan.on_ready(READY_TIMEOUT, start.process) == []
    plan.on_exit(READY_TIMEOUT, start.process)
    assert plan.advance(10 * READY_TIMEOUT) == []


def test_after_a_stop_nothing_starts() -> None:
    plan = SupervisorPlan(2, INITIAL_BACKOFF, MAX_BACKOFF, READY_TIMEOUT)
    first, second = start_all(plan)
    plan.on_exit(5, first)
    assert plan.stop() == [StopWorker(second)] and not plan.is_complete
    assert plan.advance(10**9) == [] and plan.next_due_us() is None
    plan.on_exit(10, second)
    assert plan.is_complete


@given(
    st.lists(st.tuples(st.sampled_from(("ready", "exit", "restart", "wait")), st.integers(0, 7)), max_size=60)
)
def test_no_slot_has_more_than_two_processes_and_none_stays_empty(steps: list[tuple[str, int]]) -> None:
    plan, now = SupervisorPlan(3, INITIAL_BACKOFF, MAX_BACKOFF, READY_TIMEOUT), 0
    slot_by_process: dict[int, int] = {}
    stopped: set[int] = set()  # told to stop, or killed

    def perform(actions: list[SupervisorAction]) -> None:
        for action in actions:
            if isinstance(action, StartWorker):
                assert action.process not in slot_by_process
                slot_by_process[action.process] = action.slot
            else:
                stopped.add(action.process)

    for step, choice in steps:
        now += 50
        perform(plan.advance(now))
        process = sorted(slot_by_process)[choice % len(slot_by_process)] if slot_by_process else 0
        if step == "ready" and process:
            perform(plan.on_ready(now, process))
        elif step == "exit" and process:
            del slot_by_process[process]
            plan.on_exit(now, process)
        elif step == "restart":
            plan.restart_all()
        for slot in range(3):
            assert sum(held == slot and key not in stopped for key, held in slot_by_process.items()) <= 2
    for process in sorted(stopped & set(slot_by_process)):
        del slot_by_process[process]
        plan.on_exit(now, process)
    for _ in range(20):  # without further faults, all of them serve
        now = max(now, plan.next_due_us() or now)
        perform(plan.advance(now))
        for process in list(slot_by_process):
            perform(plan.on_ready(now, process))
        for process in sorted(stopped & set(slot_by_process)):
            del slot_by_process[process]
            plan.on_exit(now, process)
    assert sorted(slot_by_process.values()) == [0, 1, 2] and all(slot.serving for slot in plan.slots)


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
def test_settings_that_exclude_several_processes_are_rejected(tmp_path: Path, text: str, error: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match=error):
        read_operator(str(path))


# --- Processes --------------------------------------------------------------------------


class SupervisedDaemon:
    """A supervisor process with its workers, which listen on one port."""

    def __init__(self, process: asyncio.subprocess.Process, port: int) -> None:
        self.process = process
        self.port = port
        self.retried: list[tuple[str, str]] = []  # request ids, each with the error

    def worker_pids(self) -> list[int]:
        text = Path(f"/proc/{self.process.pid}/task/{self.process.pid}/children").read_text()
        return [int(pid) for pid in text.split()]

    async def send(self, rid: str) -> str:
        """Send an order on a new connection; return the status."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(request("pay", b"sum", rid=rid, deadline_ms=20_000))
            return (await read_message(reader)).start_line.split()[1]
        finally:
            writer.close()

    async def send_with_retries(self, rid: str) -> str:
        """Retry as clients do: a connection closed without any answer had not been read from."""
        while True:
            try:
                return await self.send(rid)
            except (ConnectionResetError, asyncio.IncompleteReadError) as error:
                self.retried.append((rid, repr(error)))

    async def wait_listening(self, count: int) -> None:
        """Wait until this many workers listen."""
        while True:
            text = await asyncio.to_thread(Path(f"/proc/{self.process.pid}/net/tcp").read_text)
            local = f"0100007F:{self.port:04X} 00000000:0000 0A"
            if text.count(local) == count:
                return
            await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def supervised_daemon(
    tmp_path: Path, members: str, processes: int = 3
) -> AsyncIterator[SupervisedDaemon]:
    """Run a supervisor with its workers; `members` is the TOML line of the endpoints' source."""
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
        daemon = SupervisedDaemon(process, port)
        _, writer = await connect_until_up(port)
        writer.close()
        await daemon.wait_listening(processes)
        yield daemon
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await process.communicate()


def members_line(endpoint: Endpoint) -> str:
    return f'members = [{{id = "s-1", address = "127.0.0.1:{endpoint.port}"}}]\n'


def held_until(release: asyncio.Event) -> Handler:
    """Return a handler that executes each request at once, and answers after `release`."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        endpoint.effects.execute(message)
        await release.wait()
        writer.write(answer())

    return handler


def test_a_killed_worker_fails_only_its_open_orders_and_none_runs_twice(tmp_path: Path) -> None:
    async def main() -> None:
        async with (
            Endpoint() as endpoint,
            asyncio.timeout(180),
            supervised_daemon(tmp_path, members_line(endpoint)) as daemon,
        ):
            release = asyncio.Event()
            endpoint.handler = held_until(release)
            first = daemon.worker_pids()
            orders = [asyncio.create_task(daemon.send(f"h{n}")) for n in range(48)]
            for _ in orders:
                await endpoint.arrived.acquire()
            os.kill(first[0], signal.SIGKILL)
            while first[0] in daemon.worker_pids() or len(daemon.worker_pids()) < 3:
                await asyncio.sleep(0)
            await daemon.wait_listening(3)
            release.set()
            results = await asyncio.gather(*orders, return_exceptions=True)
            assert set(map(str, results)) - {"200"} and results.count("200") >= 1
            assert all(isinstance(result, (str, OSError, EOFError)) for result in results)
            assert set(endpoint.effects.by_id.values()) == {1} and len(endpoint.effects.by_id) == 48
            assert await daemon.send("after") == "200", "the killed worker was replaced"

    run(main())


def test_a_rolling_restart_passes_the_endpoint_list_on_and_loses_no_request(tmp_path: Path) -> None:
    """Discovery sends the list once: the new processes can get it only from the old ones."""

    async def main() -> None:
        async with Endpoint() as endpoint, asyncio.timeout(180):
            registry = Registry()
            listener = await registry.start()
            source = f'discovery = "127.0.0.1:{registry.port}"\n'
            async with supervised_daemon(tmp_path, source) as daemon:
                for _ in range(3):
                    _, watch = await registry.watches.get()
                    push(watch, 7, True, endpoint.entry("s-1"))
                while await daemon.send("first") != "200":
                    pass
                first = set(daemon.worker_pids())
                daemon.process.send_signal(signal.SIGUSR2)
                number = 0
                targets: list[str] = []
                while first & set(daemon.worker_pids()) or len(targets) < 3:
                    assert await daemon.send_with_retries(f"r{number}") == "200"
                    number += 1
                    while not registry.watches.empty():
                        targets.append(registry.watches.get_nowait()[0])
                assert all("from=7" in target for target in targets), "they watch from the list's generation"
                listener.close()
                assert not endpoint.effects.executed_twice(), daemon.retried
                assert number > 3

    run(main())


def test_workers_exit_when_their_supervisor_is_killed(tmp_path: Path) -> None:
    async def main() -> None:
        async with (
            Endpoint() as endpoint,
            asyncio.timeout(180),
            supervised_daemon(tmp_path, members_line(endpoint), 2) as daemon,
        ):
            worker_pids = daemon.worker_pids()
            daemon.process.kill()
            await daemon.process.wait()
            while any(
                Path(f"/proc/{pid}/cmdline").exists() and Path(f"/proc/{pid}/cmdline").read_bytes()
                for pid in worker_pids
            ):
                await asyncio.sleep(0)

    run(main())
