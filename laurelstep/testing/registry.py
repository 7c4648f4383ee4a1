"""Discovery whose answers the test writes; `DiscoveryServer` answers by the protocol instead."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from typing import Any

from laurelstep.testing.endpoints import Listener
from laurelstep.testing.messages import Reader, Writer, read_message


def whole_list(*entries: dict[str, Any], generation: int = 1) -> dict[str, Any]:
    """Return a complete endpoint list, as discovery sends it and a configuration's `known` holds it."""
    return {"generation": generation, "reset": True, "instances": list(entries)}


def push_raw(writer: Writer, line: bytes) -> None:
    """Write one chunk of a watch; `line` need not be valid."""
    writer.write(b"%x\r\n%b\r\n" % (len(line), line))


def push(writer: Writer, generation: int, is_whole: bool, *entries: dict[str, Any]) -> None:
    """Write one line of a watch: a complete list if `is_whole`, otherwise changes."""
    line = json.dumps({"generation": generation, "reset": is_whole, "instances": entries}) + "\n"
    push_raw(writer, line.encode())


@dataclass(eq=False)
class Registry(Listener):
    """Accepts watches and writes only their response head.

    Each watch is put into `watches` as its request line and its writer. As no heartbeats are sent, a client
    ends the watch as stalled unless the test writes to it.
    """

    watches: asyncio.Queue[tuple[str, Writer]] = field(default_factory=asyncio.Queue)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        # A task that ends with an error logs it when it is collected, in the middle of any other code.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            message = await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self.watches.put((message.start_line, writer))
            await reader.read()
        writer.close()
