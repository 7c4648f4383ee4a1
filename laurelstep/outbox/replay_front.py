"""The frontend of an engine call that replays a queued write."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from laurelstep.engine.call import Answer, Call
from laurelstep.outbox.write_ids import WriteId

__all__ = ["ReplayFront"]


@dataclass(eq=False)
class ReplayFront:
    """The frontend of one replay. `never_ran`: the engine reported that no endpoint can have run it."""

    write_id: WriteId
    never_ran: bool = False
    answer: asyncio.Future[Answer] = field(default_factory=lambda: asyncio.get_running_loop().create_future())

    def on_answer(self, call: Call, answer: Answer) -> None:
        """Resolve `answer` with the engine's final answer to the replay."""
        if not self.answer.done():
            self.answer.set_result(answer)
