"""The engine's caller of a replay: a queued write on its way upstream."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from laurelstep.engine.call import Answer, Call
from laurelstep.outbox.write_ids import WriteId

__all__ = ["ReplayFront"]


@dataclass(eq=False)
class ReplayFront:
    """A queued write on its way upstream: the front of its call."""

    write_id: WriteId
    never_ran: bool = False
    over: asyncio.Future[Answer] = field(default_factory=lambda: asyncio.get_running_loop().create_future())

    def on_answer(self, call: Call, answer: Answer) -> None:
        """The engine's final answer to the replay."""
        if not self.over.done():
            self.over.set_result(answer)
