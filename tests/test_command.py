"""The command line: a daemon from the operator's file, the demo, invalid arguments."""

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
ENVIRON = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}


def test_a_daemon_runs_with_the_operators_file_alone(tmp_path: Path) -> None:
    async def main() -> None:
        async with Endpoint() as endpoint, asyncio.timeout(60):
            port = free_port()
            path = tmp_path / "operator.toml"
            path.write_text(
                f'[deployment]\nlisten = "127.0.0.1:{port}"\n{CLASS}'
                f'[[deployment.members]]\nid = "s-1"\naddress = "127.0.0.1:{endpoint.port}"\n'
            )
            process = await asyncio.create_subprocess_exec(
                *COMMAND, "run", "--operator", str(path), env=ENVIRON
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


def test_an_invalid_operators_file_is_one_line_and_status_2(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("[deployment]\nlisten = 7070\n" + CLASS)
    process = subprocess.run(
        [*COMMAND, "--operator", str(path)], env=ENVIRON, capture_output=True, check=False
    )
    assert process.returncode == 2 and process.stderr.count(b"\n") == 1
    assert b"deployment.listen: Expected `str | null`, got `int`" in process.stderr


def test_an_unknown_subcommand_prints_the_usage() -> None:
    process = subprocess.run([*COMMAND, "fly"], env=ENVIRON, capture_output=True, check=False)
    assert process.returncode == 2 and process.stderr.startswith(b"usage: laurelstep")


@pytest.mark.parametrize(
    "options", [["--seconds", "3", "--rate", "100"], []], ids=["short", "default length"]
)
def test_the_demo_ends_by_itself_and_violates_no_guarantee(options: list[str]) -> None:
    """Unlike a short run, the default length exceeds the silence that a discovery watch may have."""
    command = [*COMMAND, "demo", *options, "--json"]
    process = subprocess.run(command, env=ENVIRON, capture_output=True, check=False, timeout=60)
    assert process.returncode == 0, process.stderr
    summary = json.loads(process.stdout)
    assert summary["asked"] == summary["served"] + summary["refused"] + summary["failed"] > 0
    assert summary["orders_run_twice"] == summary["unanswered"] == summary["sends_past_the_grace"] == 0
    assert len(summary["by_endpoint"]) == 8 and summary["kept"]


def test_the_daemon_does_not_import_the_libraries_of_subsystems_that_are_off(tmp_path: Path) -> None:
    """A process may have only 32 MB: msgspec, rich and the library are imported only when they are needed."""
    code = (
        "import sys, laurelstep.__main__\n"
        "off = {'msgspec', 'rich', 'google_crc32c', 'uvicorn', 'starlette', 'argparse', 'tomllib',"
        " 'logging.config', 'laurelstep.store',"
        " 'laurelstep.library', 'laurelstep.testing', 'laurelstep.demo', 'laurelstep.settings.operator'}\n"
        "print(sorted(off & set(sys.modules)))"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert process.stdout == "[]\n"
