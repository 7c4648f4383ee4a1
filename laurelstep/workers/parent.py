"""The parent of several processes: carries out the plan, and hands lists on.

SIGTERM and SIGINT end all, SIGHUP is passed on, SIGUSR2 replaces the processes one by one:
each new one gets the list that its forerunner has, and that serves until the new one does.
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
from typing import Any

from laurelstep.net.message import log
from laurelstep.workers.child import LINE_MAX, SEAT, Seat
from laurelstep.workers.plan import Action, End, Plan, Start

# A process that was told to stop ends by itself; this long after it is ended.
STOP_S = 10.0
# A forerunner that does not give its list in this time is passed over.
ASK_S = 2.0
NOTHING = b'{"known":null}\n'


@dataclass(frozen=True)
class Workers:
    """Settings of the parent; times in µs."""

    processes: int
    first_us: int
    most_us: int
    ready_us: int


def own_command() -> list[str]:
    """How this process was started, without the command's own words: the interpreter, its
    options, and the module or script."""
    options = len(sys.orig_argv) - len(sys.argv) + 1
    return [sys.executable, *sys.orig_argv[1:options]]


class Process:
    """One child as the parent has it."""

    def __init__(self, popen: asyncio.subprocess.Process, reader: asyncio.StreamReader) -> None:
        self.popen = popen
        self.reader = reader
        self.writer: asyncio.StreamWriter | None = None
        self.is_ready = False
        self.asked: asyncio.Future[bytes] | None = None

    def signal(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(number)


class Parent:
    """Runs until all its processes have ended."""

    def __init__(self, workers: Workers, environ: Mapping[str, str]) -> None:
        self.workers = workers
        self.environ = environ
        self.plan = Plan(workers.processes, workers.first_us, workers.most_us, workers.ready_us)
        self.processes: dict[int, Process] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.over = asyncio.Event()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._pass_on, signal.SIGHUP)
        loop.add_signal_handler(signal.SIGUSR2, self.renew)
        self._act()
        await self.over.wait()

    def stop(self) -> None:
        self._do(self.plan.stop())
        self._act()

    def renew(self) -> None:
        self.plan.renew()
        self._act()

    def _pass_on(self, number: int) -> None:
        for one in self.processes.values():
            if one.is_ready:
                one.signal(number)

    def _act(self) -> None:
        now = time.monotonic_ns() // 1000
        self._do(self.plan.act(now))
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.plan.over:
            self.over.set()
        elif (due := self.plan.wake()) is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(max(0.0, (due - now) / 1e6), self._act)

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._begin(self._live(action))
            elif (one := self.processes.get(action.process)) is not None:
                if isinstance(action, End):
                    log(f"process {action.process} was not ready in time")
                    one.signal(signal.SIGKILL)
                else:
                    one.signal(signal.SIGTERM)
                    asyncio.get_running_loop().call_later(STOP_S, one.signal, signal.SIGKILL)

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _live(self, start: Start) -> None:
        """One process from its start to its end."""
        try:
            known = await self._known(start.slot)
            if start.process in self.plan.slot_of and not self.plan.stopping:
                await self._start(start, known)
        except OSError as error:
            log(f"can't start a process: {error}")
        self.processes.pop(start.process, None)
        self.plan.ended(time.monotonic_ns() // 1000, start.process)
        self._act()

    async def _start(self, start: Start, known: bytes) -> None:
        ours, theirs = socket.socketpair()
        with theirs:
            seat = Seat(start.slot, self.workers.processes, theirs.fileno())
            popen = await asyncio.create_subprocess_exec(
                *own_command(),
                "run",
                env={**self.environ, SEAT: seat.text()},
                pass_fds=(theirs.fileno(),),
            )
        one = self.processes[start.process] = Process(popen, asyncio.StreamReader())
        one.reader, one.writer = await asyncio.open_connection(sock=ours, limit=LINE_MAX)
        one.writer.write(known)
        self._begin(self._hear(start, one))
        if self.plan.stopping:
            one.signal(signal.SIGTERM)
        code = await popen.wait()
        one.writer.close()
        if start.process in self.plan.slot_of and not self.plan.stopping:
            log(f"process {start.process} of copy {start.slot} ended: {code}")

    async def _hear(self, start: Start, one: Process) -> None:
        with contextlib.suppress(ConnectionError, ValueError):
            while line := await one.reader.readline():
                if one.asked is not None and not one.asked.done():
                    one.asked.set_result(line)
                elif json.loads(line).get("ready"):
                    one.is_ready = True
                    self._do(self.plan.ready(time.monotonic_ns() // 1000, start.process))
                    self._act()
        if one.asked is not None and not one.asked.done():
            one.asked.set_result(NOTHING)

    async def _known(self, slot: int) -> bytes:
        """The list of the slot's process, or of another one; as it came from there."""
        holders = [number for number, one in self.processes.items() if one.is_ready and one.asked is None]
        holders.sort(key=lambda number: self.plan.slot_of.get(number) != slot)
        for number in holders:
            one = self.processes.get(number)
            if one is None or one.writer is None or one.asked is not None:
                continue
            one.asked = asyncio.get_running_loop().create_future()
            try:
                one.writer.write(b'{"ask":"known"}\n')
                return await asyncio.wait_for(one.asked, ASK_S)
            except (TimeoutError, ConnectionError):
                continue
            finally:
                one.asked = None
        return NOTHING


def run_parent(workers: Workers, environ: Mapping[str, str]) -> int:
    if os.environ.get(SEAT):
        raise SystemExit("laurelstep: a process of several is no parent")
    asyncio.run(Parent(workers, environ).run())
    return 0
