"""Memory that a request leaves behind: none, on every way that a request can go.

Counts the interpreter's blocks, not megabytes: what is lost shows after some hundred requests.
Also for the compiled modules, where a fault of the compiler can lose what no collector finds."""

from __future__ import annotations

import ast
import asyncio
import gc
import sys
from pathlib import Path

import pytest
from laurelstep.testing import Caller
from laurelstep.testing.endpoints import reset_connection

from tests.sockets import (
    Endpoint,
    Handler,
    Message,
    Sidecar,
    Writer,
    answer,
    request,
    run,
    sidecar,
)

ROOT = Path(__file__).parent.parent


def compiled_modules() -> tuple[str, ...]:
    """The names in setup.py, which can't be imported."""
    for node in ast.parse((ROOT / "setup.py").read_text()).body:
        if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) == "MODULES":
            names: tuple[str, ...] = eval(compile(ast.Expression(node.value), "setup.py", "eval"))
            return names
    raise AssertionError("setup.py names no modules")


ROUNDS = 120
WAYS = ("served", "anew", "error", "full", "reset", "keyed", "late", "bad", "gone", "closed", "chunked")


def script(way: str) -> Handler:
    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        endpoint.got.clear()
        endpoint.effects.by_id.clear()
        endpoint.effects.by_key.clear()
        if way == "error":
            writer.write(answer(500))
        elif way == "full":
            writer.write(answer(503, headers="X-Not-Run: 1\r\n"))
        elif way == "reset":
            reset_connection(writer)
        elif way == "closed":
            writer.write(answer(headers="Connection: close\r\n"))
        elif way == "chunked":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
        elif way not in ("late", "gone"):
            writer.write(answer(headers="X-Load: queue=2,qps=5.5\r\n"))

    return handler


async def ask(one: Sidecar, caller: Caller, way: str, n: int) -> None:
    hint = "X-Cost-Hint: 18970\r\n"
    if way == "keyed":
        await caller.ask(request("put", b"body", hint, rid=f"r{n}", key=f"k{n}"))
    elif way in ("late", "full"):
        await caller.ask(request(headers=hint, rid=f"r{n}", deadline_ms=1))
    elif way == "bad":
        await caller.ask(request(headers="X-Class: page\r\n", rid=f"r{n}"))
    elif way == "gone":
        _, writer = await one.connect()
        writer.write(request(rid=f"r{n}"))
        while not one.engine.calls:
            await asyncio.sleep(0)
        writer.transport.abort()
        while one.engine.calls:
            await asyncio.sleep(0)
    else:
        await caller.ask(request(headers=hint, rid=f"r{n}"))
        if way == "anew":
            caller.close()


async def blocks_after(one: Sidecar, caller: Caller, way: str, first: int) -> int:
    for n in range(first, first + ROUNDS):
        await ask(one, caller, way, n)
    caller.close()
    while one.connection_count or one.engine.calls:
        await asyncio.sleep(0)
    gc.collect()
    return sys.getallocatedblocks()


@pytest.mark.parametrize(("way", "stage"), [(way, 1) for way in WAYS] + [("served", 0), ("full", 0)])
def test_a_request_leaves_nothing_behind(way: str, stage: int) -> None:
    async def main() -> None:
        async with sidecar(*(Endpoint(script(way)) for _ in range(3)), stage=stage) as one:
            caller = Caller("127.0.0.1", one.port)
            await blocks_after(one, caller, way, 0)
            before = await blocks_after(one, caller, way, ROUNDS)
            grown = await blocks_after(one, caller, way, 2 * ROUNDS) - before
            assert grown < ROUNDS, f"{grown / ROUNDS:.2f} blocks for each request"

    run(main())


@pytest.mark.parametrize("name", compiled_modules())
def test_compiled_modules_define_no_errors_with_attributes(name: str) -> None:
    """mypyc 1.18 never frees the dictionary that holds them."""
    tree = ast.parse((ROOT / f"laurelstep/{name}.py").read_text())
    found = [
        node.name
        for node in ast.walk(tree)
        if isinstance(node, ast.ClassDef)
        and any(ast.unparse(base).endswith(("Error", "Exception")) for base in node.bases)
        and any(isinstance(part, ast.FunctionDef | ast.AnnAssign) for part in node.body)
    ]
    assert not found


@pytest.mark.parametrize("name", compiled_modules())
def test_compiled_modules_do_not_add_bytes(name: str) -> None:
    """mypyc 1.18 never frees the left one of two `bytes` that are added (`CPyBytes_Concat`)."""
    tree = ast.parse((ROOT / f"laurelstep/{name}.py").read_text())
    found = [
        node.lineno
        for node in ast.walk(tree)
        if isinstance(node, ast.BinOp | ast.AugAssign) and isinstance(node.op, ast.Add)
        for side in ((node.left, node.right) if isinstance(node, ast.BinOp) else (node.value,))
        for part in ast.walk(side)
        if isinstance(part, ast.Constant) and isinstance(part.value, bytes)
    ]
    assert not found, f"lines {found}"
