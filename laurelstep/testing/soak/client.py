"""A client of the soak: writes one request as its scenario says, and records how it ended."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import Final

from laurelstep.testing.messages import Reader, Writer
from laurelstep.testing.soak.endpoint import CONNECTION_ERRORS
from laurelstep.testing.soak.records import Exchange, RequestEnd, RunRecord
from laurelstep.testing.soak.script import EndpointScript

# How long after its time a client still waits for an answer, so that a late one is seen as late.
PATIENCE_S: Final = 6.0
READ_BYTES: Final = 1 << 16


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """A request: its class, what its endpoint does, and how its client writes and reads."""

    cls: str = "view"  # "view" (safe), "upload" (keyed) or "order" (unsafe)
    wait_s: float = 2.5
    script: EndpointScript = field(default_factory=EndpointScript)
    body_bytes: int = 0
    is_chunked: bool = False
    chunk_bytes: int = 0  # size of each chunk; 0: as written
    header_lines: str = ""
    target_bytes: int = 0  # padding of the target
    read_bytes_per_s: int = 0  # 0: as it comes
    must_be_served: bool = False

    def head(self, request_id: str) -> bytes:
        """The head of the request."""
        method = "GET" if self.cls == "view" else "POST"
        target = f"/{self.cls}?{self.script.query()}&pad={'x' * self.target_bytes}"
        lines = [f"{method} {target} HTTP/1.1", "Host: backend.local", f"X-Request-Id: {request_id}"]
        lines += [f"X-Class: {self.cls}", f"X-Deadline-Ms: {int(self.wait_s * 1000)}"]
        if self.cls == "upload":
            lines.append(f"Idempotency-Key: k-{request_id}")
        if method == "POST":
            framing = (
                "Transfer-Encoding: chunked" if self.is_chunked else f"Content-Length: {self.body_bytes}"
            )
            lines.append(framing)
        return ("\r\n".join(lines) + f"\r\n{self.header_lines}\r\n").encode()

    def body(self) -> bytes:
        """The framed body."""
        if not self.is_chunked:
            return b"y" * self.body_bytes
        if not self.chunk_bytes:
            return b"%x\r\n%b\r\n0\r\n\r\n" % (self.body_bytes, b"y" * self.body_bytes)
        frame = b"%x\r\n%b\r\n" % (self.chunk_bytes, b"y" * self.chunk_bytes)
        return frame * (self.body_bytes // self.chunk_bytes) + b"0\r\n\r\n"


class SoakClient:
    """One client with a connection that it keeps."""

    def __init__(self, port: int, record: RunRecord, scenario: str) -> None:
        self.port = port
        self.record = record
        self.scenario = scenario
        self.streams: tuple[Reader, Writer] | None = None
        self.loop = asyncio.get_running_loop()

    async def connect(self) -> tuple[Reader, Writer]:
        """The kept connection, or a new one. OSError if nothing listens."""
        if self.streams is None or self.streams[0].at_eof() or self.streams[1].is_closing():
            self.close()
            self.streams = await asyncio.open_connection("127.0.0.1", self.port, limit=READ_BYTES)
        return self.streams

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None

    async def send(self, plan: RequestPlan, request_id: str) -> Exchange | None:
        """Send a request and read its answer; None if nothing listens. A request that crosses the end of a
        kept connection is sent once more.
        """
        is_reused = self.streams is not None
        exchange = await self._try(plan, request_id)
        if exchange is not None and is_reused and exchange.end is RequestEnd.LOST:
            self.record.begun.discard(request_id)
            exchange = await self._try(plan, request_id)
        if exchange is not None:
            self.record.exchanges.append(exchange)
        return exchange

    async def _try(self, plan: RequestPlan, request_id: str) -> Exchange | None:
        kept = self.streams
        try:
            reader, writer = await self.connect()
        except OSError:
            return None
        exchange = Exchange(self.scenario, request_id, plan.cls == "order", plan.wait_s)
        exchange.must_be_served = plan.must_be_served
        exchange.is_first = self.streams is not kept
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(plan.head(request_id) + plan.body())
        exchange.written_at = self.loop.time()
        writing = asyncio.create_task(self._note_written(writer, exchange))
        try:
            async with asyncio.timeout(
                plan.wait_s + PATIENCE_S + plan.script.pause / 1000 + self._read_s(plan)
            ):
                await self._read_answer(reader, exchange, plan.read_bytes_per_s)
        except TimeoutError:
            exchange.end = RequestEnd.UNANSWERED
        except CONNECTION_ERRORS:
            exchange.end = RequestEnd.CUT if exchange.first_byte_at else RequestEnd.LOST
        finally:
            writing.cancel()
        exchange.ended_at = self.loop.time()
        if exchange.end is not RequestEnd.ANSWERED:
            self.close()
        return exchange

    async def _note_written(self, writer: Writer, exchange: Exchange) -> None:
        """Note when the kernel has taken the last byte of the request."""
        with contextlib.suppress(*CONNECTION_ERRORS):
            await writer.drain()
            if not exchange.first_byte_at:
                exchange.written_at = self.loop.time()

    @staticmethod
    def _read_s(plan: RequestPlan) -> float:
        rates = [rate for rate in (plan.read_bytes_per_s, plan.script.rate) if rate]
        return 2 * plan.script.size / min(rates) if rates else 0.0

    async def _read_answer(self, reader: Reader, exchange: Exchange, bytes_per_s: int) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        exchange.status = int(head[0].split()[1])
        exchange.first_byte_at = self.loop.time()
        headers = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])
        }
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                await self._read(reader, size + 2, bytes_per_s)
            await reader.readuntil(b"\r\n")
        elif "content-length" in headers:
            await self._read(reader, int(headers["content-length"]), bytes_per_s)
        else:
            await reader.read()
        exchange.end = RequestEnd.ANSWERED
        if headers.get("connection") == "close":
            self.close()

    async def _read(self, reader: Reader, size: int, bytes_per_s: int) -> None:
        while size:
            part = await reader.read(min(size, READ_BYTES, bytes_per_s // 10 or READ_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(part, size)
            size -= len(part)
            if bytes_per_s:
                await asyncio.sleep(len(part) / bytes_per_s)

    async def abandon(self, plan: RequestPlan, request_id: str, after_s: float) -> None:
        """Send a request, and close the connection without reading an answer."""
        with contextlib.suppress(*CONNECTION_ERRORS):
            _, writer = await self.connect()
            writer.write(plan.head(request_id) + plan.body())
            await asyncio.sleep(after_s)
        self.close()
