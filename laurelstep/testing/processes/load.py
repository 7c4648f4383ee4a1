"""Clients of the processes: each asks its own process, one request at a time, until it is stopped."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from typing import Final

from laurelstep.testing.callers import Caller, request
from laurelstep.testing.processes.history import Answered, Asked, Broken, Effect, History
from laurelstep.testing.processes.program import PATIENCE_S, Program

# A class of the tier's settings, and what it is to the rules.
CLASSES: Final[tuple[tuple[str, Effect], ...]] = (("page", "safe"), ("put", "keyed"), ("pay", "unsafe"))
# Between two requests of a client. Paces the load; no verdict depends on it.
GAP_S: Final = 0.004


class Load:
    """`answers` counts by process and status. A client whose process is down waits until it is up."""

    def __init__(
        self, programs: list[Program], history: History, callers: int = 4, deadline_ms: int = 2000
    ) -> None:
        self.programs = programs
        self.history = history
        self.deadline_ms = deadline_ms
        self.answers: Counter[tuple[int, int]] = Counter()
        self.broken: Counter[int] = Counter()
        self._numbers = itertools.count(1)
        self._stopped = asyncio.Event()
        self._news = asyncio.Condition()
        self._tasks = [
            asyncio.create_task(self._call(program, number))
            for program in programs
            for number in range(callers)
        ]

    async def _call(self, program: Program, number: int) -> None:
        """Of four clients one closes its connection behind each answer."""
        caller, last = Caller(*program.listen), ""
        while await self._is_up(program):
            if caller.streams is not None and caller.streams[0].at_eof():
                caller.close()  # ended at rest, possibly with its process: no request is put into it
            last = await self._ask(program, caller, next(self._numbers))
            if number % 4 == 3:
                await self._leave(program, caller, last)
            await asyncio.sleep(GAP_S)
        await self._leave(program, caller, last)

    async def _is_up(self, program: Program) -> bool:
        """Once it is; False when it is time to stop."""
        if not program.up.is_set() and not self._stopped.is_set():
            waiting = [asyncio.create_task(event.wait()) for event in (program.up, self._stopped)]
            try:
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in waiting:
                    task.cancel()
        return not self._stopped.is_set()

    async def _ask(self, program: Program, caller: Caller, number: int) -> str:
        cls, effect = CLASSES[number % len(CLASSES)]
        name, key = f"r{number}", f"k{number}" if effect == "keyed" else None
        raw = request(cls, b"" if effect == "safe" else b"body", "", self.deadline_ms, name, key)
        process, now, kept = program.number, self.history.now, caller.streams is not None
        self.history.add(Asked(now(), process, name, effect, key, self.deadline_ms * 1000))
        try:
            message = await caller.ask(raw)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.history.add(Broken(now(), process, name, type(error).__name__, kept))
            self.broken[process] += 1
        else:
            # Served by an endpoint of the tier, which answers with the id.
            whose = message.body.decode() if message.status == 200 else name
            self.history.add(Answered(now(), process, whose, message.status))
            self.answers[process, message.status] += 1
        async with self._news:
            self._news.notify_all()
        return name

    async def _leave(self, program: Program, caller: Caller, last: str) -> None:
        """End the connection; what still comes on it is an answer that nobody waits for."""
        if caller.streams is None:
            return
        reader, writer = caller.streams
        with contextlib.suppress(OSError):
            writer.write_eof()
            if await reader.read():
                self.history.add(Answered(self.history.now(), program.number, last, 200))
        caller.close()

    def count(self, process: int | None = None) -> int:
        """Answers so far, of one process or of all."""
        return sum(n for (one, _), n in self.answers.items() if process is None or one == process)

    async def more(self, answers: int, *processes: int) -> None:
        """Until each of these has given so many more; all that are up, if none is named."""
        named = processes or [program.number for program in self.programs if program.up.is_set()]
        due = {process: self.count(process) + answers for process in named}
        try:
            async with asyncio.timeout(PATIENCE_S), self._news:
                await self._news.wait_for(lambda: all(self.count(n) >= end for n, end in due.items()))
        except TimeoutError:
            counts = {n: self.count(n) for n in due}
            raise AssertionError(f"answers {counts}, expected {due}") from None

    async def stop(self) -> None:
        """Until the last request has its answer, or its connection ended. What has neither when
        patience ends is given up, for the checker to name."""
        self._stopped.set()
        await asyncio.wait(self._tasks, timeout=PATIENCE_S)
        for task in self._tasks:
            if task.done():
                task.result()
        self.cancel()

    def cancel(self) -> None:
        for task in self._tasks:
            task.cancel()
