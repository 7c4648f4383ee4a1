"""An endpoint of the soak: does what the script in a request's target says, and counts executions."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final

from laurelstep.testing.endpoints import Listener, reset_connection
from laurelstep.testing.messages import Reader, Writer, limit_receive_buffer
from laurelstep.testing.soak.records import RunRecord
from laurelstep.testing.soak.script import EndpointScript, script_from_target

MAX_HEAD_BYTES: Final = 1 << 18
# What the kernel holds of a request that is not read: little, so that its writer notices soon.
RECEIVE_BUFFER_BYTES: Final = 1 << 16
# What reading and writing raise once a connection has ended; RuntimeError is uvloop's for a closed one.
CONNECTION_ERRORS: Final = (
    OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, RuntimeError, ValueError,
)  # fmt: skip
STEP_S: Final = 0.05


class ScriptedEndpoint(Listener):
    """Serves requests by their scripts. `stop` ends it as a crash does."""

    def __init__(self, record: RunRecord) -> None:
        self.record = record
        self.server: asyncio.Server | None = None
        self.writers: set[Writer] = set()

    async def open(self, port: int = 0) -> None:
        """Listen, for 0 at a port that the system picks."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, backlog=1024, limit=MAX_HEAD_BYTES
        )
        limit_receive_buffer(self.server, RECEIVE_BUFFER_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset_connection(writer)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(*CONNECTION_ERRORS):
                while await self._exchange(reader, writer):
                    pass
        except asyncio.CancelledError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _exchange(self, reader: Reader, writer: Writer) -> bool:
        """Serve one request; return whether the connection can carry another one."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])
        }
        script = script_from_target(head[0].split(" ")[1])
        if not await self._read_body(reader, headers, script):
            await asyncio.sleep(60.0)  # reads no further; the other side ends it
            return False
        request_id = headers.get("x-request-id", "")
        self._execute(request_id, headers.get("idempotency-key"), head[0].startswith("GET "))
        await asyncio.sleep(script.delay / 1000)
        self.record.begun.add(request_id)
        await self._answer(writer, script)
        return script.framing != "end"

    def _execute(self, request_id: str, key: str | None, is_safe: bool) -> None:
        if key is not None:
            if not self.record.keys[key]:
                self.record.keys[key] += 1
        elif not is_safe:
            self.record.effects[request_id] += 1

    async def _read_body(self, reader: Reader, headers: dict[str, str], script: EndpointScript) -> bool:
        """Read the request's body; False if the script says to stop within it."""
        if headers.get("transfer-encoding") == "chunked":
            return await self._read_chunks(reader, script)
        left = int(headers.get("content-length", "0"))
        if 0 <= script.read < left:
            await reader.readexactly(script.read)
            return False
        while left:
            part = await reader.read(min(left, 1 << 16))
            if not part:
                raise asyncio.IncompleteReadError(part, left)
            left -= len(part)
            if script.read_rate:
                await asyncio.sleep(len(part) / script.read_rate)
        return True

    async def _read_chunks(self, reader: Reader, script: EndpointScript) -> bool:
        read = 0
        while size := int(await reader.readuntil(b"\r\n"), 16):
            if 0 <= script.read < read + size:
                return False
            read += len(await reader.readexactly(size))
            await reader.readexactly(2)
            if script.read_rate:
                await asyncio.sleep(size / script.read_rate)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return True

    async def _answer(self, writer: Writer, script: EndpointScript) -> None:
        framing = {
            "length": f"Content-Length: {script.size}\r\n",
            "chunks": "Transfer-Encoding: chunked\r\n",
            "end": "Connection: close\r\n",
        }[script.framing]
        fields = "".join(f"a{number % 10}:b\r\n" for number in range(script.fields))
        writer.write(f"HTTP/1.1 200 OK\r\n{framing}{fields}".encode())
        await asyncio.sleep(script.head_pause / 1000)
        if writer.transport.is_closing():
            raise ConnectionResetError
        writer.write(b"\r\n")
        first = script.first or script.size
        await self._write(writer, script, first)
        if first < script.size:
            await asyncio.sleep(script.pause / 1000)
            await self._write(writer, script, script.size - first)
        if script.framing == "chunks":
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _write(self, writer: Writer, script: EndpointScript, size: int) -> None:
        step = int(script.rate * STEP_S) if script.rate else 1 << 16
        while size > 0:
            if writer.is_closing():
                raise ConnectionResetError
            part = min(size, step)
            writer.write(self._frame(script, part))
            await writer.drain()
            size -= part
            if script.rate:
                await asyncio.sleep(STEP_S)

    def _frame(self, script: EndpointScript, size: int) -> bytes:
        if script.framing != "chunks":
            return b"x" * size
        if not script.chunk:
            return b"%x\r\n%b\r\n" % (size, b"x" * size)
        whole, rest = divmod(size, script.chunk)
        frames = (b"%x\r\n%b\r\n" % (script.chunk, b"x" * script.chunk)) * whole
        return frames + (b"%x\r\n%b\r\n" % (rest, b"x" * rest) if rest else b"")
