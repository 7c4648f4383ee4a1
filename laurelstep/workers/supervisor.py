"""The supervisor of several workers: carries out the plan, and passes endpoint lists to new workers.

SIGTERM and SIGINT stop all workers, SIGHUP is forwarded to them, SIGUSR2 replaces them one by one: each new
worker gets the endpoint list of its predecessor, which serves until the new one is ready.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass
from typing import Any, Final

from laurelstep.net.log import log
from laurelstep.workers.plan import KillWorker, StartWorker, StopWorker, SupervisorAction, SupervisorPlan
from laurelstep.workers.worker import MAX_LINE_BYTES, SLOT_VARIABLE, WorkerSlot

# A worker that has not exited this long after SIGTERM is killed.
STOP_TIMEOUT_S: Final = 10.0
# A worker that does not send its list within this time is skipped.
LIST_TIMEOUT_S: Final = 2.0
NO_LIST: Final = b'{"known":null}\n'
LIST_REQUEST: Final = b'{"ask":"known"}\n'


@dataclass(frozen=True)
class SupervisorSettings:
    """How many workers run, and how they are replaced. Times in µs."""

    processes: int
    initial_backoff_us: int
    max_backoff_us: int
    ready_timeout_us: int


def interpreter_command() -> list[str]:
    """Return how this process was started, without the command's arguments: the interpreter, its options,
    and the module or script.
    """
    end = len(sys.orig_argv) - len(sys.argv) + 1
    return [sys.executable, *sys.orig_argv[1:end]]


def monotonic_us() -> int:
    """The time on the monotonic clock, in µs."""
    return time.monotonic_ns() // 1000


class WorkerProcess:
    """A worker process and the supervisor's end of its channel."""

    def __init__(self, popen: asyncio.subprocess.Process, reader: asyncio.StreamReader) -> None:
        self.popen = popen
        self.reader = reader
        self.writer: asyncio.StreamWriter | None = None
        self.is_ready = False
        self.list_answer: asyncio.Future[bytes] | None = None  # while a list request is open

    def send_signal(self, signal_number: int) -> None:
        """Send a signal; does nothing once the process has exited."""
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(signal_number)


class Supervisor:
    """Starts, stops and replaces workers as the plan decides."""

    def __init__(self, settings: SupervisorSettings, environ: Mapping[str, str]) -> None:
        self.settings = settings
        self.environ = environ
        self.plan = SupervisorPlan(
            settings.processes,
            settings.initial_backoff_us,
            settings.max_backoff_us,
            settings.ready_timeout_us,
        )
        self.workers: dict[int, WorkerProcess] = {}  # by process number
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.all_exited = asyncio.Event()

    async def run(self) -> None:
        """Run the workers; returns when all have exited after `stop`."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._forward_signal, signal.SIGHUP)
        loop.add_signal_handler(signal.SIGUSR2, self.restart_all)
        self._advance()
        await self.all_exited.wait()

    def stop(self) -> None:
        """Stop all workers; none starts afterwards."""
        self._perform(self.plan.stop())
        self._advance()

    def restart_all(self) -> None:
        """Replace all workers, one after the other."""
        self.plan.restart_all()
        self._advance()

    def _forward_signal(self, signal_number: int) -> None:
        for worker in self.workers.values():
            if worker.is_ready:
                worker.send_signal(signal_number)

    def _advance(self) -> None:
        now_us = monotonic_us()
        self._perform(self.plan.advance(now_us))
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.plan.is_complete:
            self.all_exited.set()
        elif (due_us := self.plan.next_due_us()) is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(max(0.0, (due_us - now_us) / 1e6), self._advance)

    def _perform(self, actions: list[SupervisorAction]) -> None:
        for action in actions:
            match action:
                case StartWorker():
                    self._spawn(self._run_worker(action))
                case StopWorker():
                    self._stop_worker(action)
                case KillWorker():
                    self._kill_worker(action)

    def _stop_worker(self, action: StopWorker) -> None:
        worker = self.workers.get(action.process)
        if worker is not None:
            worker.send_signal(signal.SIGTERM)
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_TIMEOUT_S, worker.send_signal, signal.SIGKILL)

    def _kill_worker(self, action: KillWorker) -> None:
        worker = self.workers.get(action.process)
        if worker is not None:
            log(f"worker {action.process} was not ready in time")
            worker.send_signal(signal.SIGKILL)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _is_wanted(self, action: StartWorker) -> bool:
        return action.process in self.plan.slot_of and not self.plan.is_stopping

    async def _run_worker(self, action: StartWorker) -> None:
        """Start a worker, and wait for its exit."""
        try:
            endpoint_list = await self._fetch_endpoint_list(action.slot)
            if self._is_wanted(action):
                await self._start_worker(action, endpoint_list)
        except OSError as error:
            log(f"can't start a worker: {error}")
        self.workers.pop(action.process, None)
        self.plan.on_exit(monotonic_us(), action.process)
        self._advance()

    async def _start_worker(self, action: StartWorker, endpoint_list: bytes) -> None:
        channel_end, worker_end = socket.socketpair()
        with worker_end:
            slot = WorkerSlot(action.slot, self.settings.processes, worker_end.fileno())
            popen = await asyncio.create_subprocess_exec(
                *interpreter_command(),
                "run",
                env={**self.environ, SLOT_VARIABLE: slot.to_environ()},
                pass_fds=(worker_end.fileno(),),
            )
        worker = WorkerProcess(popen, asyncio.StreamReader())
        self.workers[action.process] = worker
        worker.reader, worker.writer = await asyncio.open_connection(sock=channel_end, limit=MAX_LINE_BYTES)
        worker.writer.write(endpoint_list)
        self._spawn(self._read_lines(action, worker))
        if self.plan.is_stopping:
            worker.send_signal(signal.SIGTERM)
        exit_code = await popen.wait()
        worker.writer.close()
        if self._is_wanted(action):
            log(f"worker {action.process} in slot {action.slot} exited unexpectedly: {exit_code}")

    async def _read_lines(self, action: StartWorker, worker: WorkerProcess) -> None:
        with contextlib.suppress(ConnectionError, ValueError):
            while line := await worker.reader.readline():
                if worker.list_answer is not None and not worker.list_answer.done():
                    worker.list_answer.set_result(line)
                elif json.loads(line).get("ready"):
                    worker.is_ready = True
                    self._perform(self.plan.on_ready(monotonic_us(), action.process))
                    self._advance()
        if worker.list_answer is not None and not worker.list_answer.done():
            worker.list_answer.set_result(NO_LIST)

    async def _fetch_endpoint_list(self, slot: int) -> bytes:
        """Return the line with the list of the slot's worker, or else of another one, as it was received;
        `NO_LIST` if none answers.
        """
        candidates = [
            number
            for number, worker in self.workers.items()
            if worker.is_ready and worker.list_answer is None
        ]
        candidates.sort(key=lambda number: self.plan.slot_of.get(number) != slot)
        for number in candidates:
            worker = self.workers.get(number)
            if worker is None or worker.writer is None or worker.list_answer is not None:
                continue
            worker.list_answer = asyncio.get_running_loop().create_future()
            try:
                worker.writer.write(LIST_REQUEST)
                return await asyncio.wait_for(worker.list_answer, LIST_TIMEOUT_S)
            except (TimeoutError, ConnectionError):
                continue
            finally:
                worker.list_answer = None
        return NO_LIST


def run_supervisor(settings: SupervisorSettings, environ: Mapping[str, str]) -> int:
    """Run until all workers have exited; return the command's exit status. SystemExit in a worker."""
    if os.environ.get(SLOT_VARIABLE):
        raise SystemExit("laurelstep: a worker can't start a supervisor")
    asyncio.run(Supervisor(settings, environ).run())
    return 0
