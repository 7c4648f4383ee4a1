"""The command as it is started: a daemon from the operator's file, the demo, bad words."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from laurelstep.testing import Endpoint, read_message, request

from tests.sockets import connect_until_up, free_port, run
from tests.test_settings import CLASS

COMMAND = [sys.executable, "-m", "laurelstep"]
CLEAN = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}


def test_a_daemon_runs_from_the_operators_file_alone(tmp_path: Path) -> None:
    async def main() -> None:
        async with Endpoint() as endpoint, asyncio.timeout(60):
            port = free_port()
            path = tmp_path / "operator.toml"
            path.write_text(
                f'[deployment]\nlisten = "127.0.0.1:{port}"\n{CLASS}'
                f'[[deployment.members]]\nid = "s-1"\naddress = "127.0.0.1:{endpoint.port}"\n'
            )
            process = await asyncio.create_subprocess_exec(
                *COMMAND, "run", "--operator", str(path), env=CLEAN
            )
            reader, writer = await connect_until_up(port)
            writer.write(request("view"))
            assert (await read_message(reader)).body == b"ok"
            process.send_signal(signal.SIGHUP)
            writer.write(request("view", rid="r2"))
            assert (await read_message(reader)).body == b"ok"
            writer.close()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(main())


def test_a_bad_operators_file_is_one_line_and_status_2(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("[deployment]\nlisten = 7070\n" + CLASS)
    ended = subprocess.run([*COMMAND, "--operator", str(path)], env=CLEAN, capture_output=True, check=False)
    assert ended.returncode == 2 and ended.stderr.count(b"\n") == 1
    assert b"deployment.listen: Expected `str | null`, got `int`" in ended.stderr


def test_words_that_are_none_of_the_command_are_told_its_usage() -> None:
    ended = subprocess.run([*COMMAND, "fly"], env=CLEAN, capture_output=True, check=False)
    assert ended.returncode == 2 and ended.stderr.startswith(b"usage: laurelstep")


@pytest.mark.parametrize(
    "options", [["--seconds", "3", "--rate", "100"], []], ids=["short", "default length"]
)
def test_the_demo_ends_by_itself_with_every_promise_kept(options: list[str]) -> None:
    """Its default length is longer than a watch of discovery may be silent; a short run is not."""
    words = [*COMMAND, "demo", *options, "--json"]
    ended = subprocess.run(words, env=CLEAN, capture_output=True, check=False, timeout=60)
    assert ended.returncode == 0, ended.stderr
    told = json.loads(ended.stdout)
    assert told["asked"] == told["served"] + told["refused"] + told["failed"] > 0
    assert told["orders_run_twice"] == told["unanswered"] == told["sends_past_the_grace"] == 0
    assert len(told["by_endpoint"]) == 8 and told["kept"]


def test_the_plain_daemon_imports_no_library_of_what_is_off(tmp_path: Path) -> None:
    """Guards the 32 MB process: msgspec, rich and the library come when they are asked for."""
    code = (
        "import sys, laurelstep.__main__\n"
        "off = {'msgspec', 'rich', 'google_crc32c', 'uvicorn', 'starlette', 'argparse', 'tomllib',"
        " 'logging.config', 'laurelstep.store',"
        " 'laurelstep.library', 'laurelstep.testing', 'laurelstep.demo', 'laurelstep.settings.operator'}\n"
        "print(sorted(off & set(sys.modules)))"
    )
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert ended.stdout == "[]\n"
