"""The deploy file says what the platform and the benches read of the program."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())


def test_node_and_policy_list_every_module_that_run_imports() -> None:
    """Guards against code of the sidecar that nobody counts as such."""
    code = (
        "import sys, laurelstep.__main__ as main\n"
        "print(*(name for name in sys.modules if name.split('.')[0] == 'laurelstep'))"
    )
    told = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT)
    listed = [ROOT / path for path in (*DEPLOY["node"], *DEPLOY["policy"])]
    assert all(path.exists() for path in listed)
    for name in told.stdout.split():
        package = ROOT.joinpath(*name.split("."))
        path = package / "__init__.py" if package.is_dir() else package.with_suffix(".py")
        assert any(path == one or one in path.parents for one in listed), f"{name} is not listed"


def test_run_and_sim_end_by_exec() -> None:
    """One process, no shell left around it: signals reach the program itself."""
    for name in ("run", "sim"):
        assert DEPLOY[name].startswith("exec ")
        assert not set(DEPLOY[name]) & set(";|&`$<>\n")


@pytest.mark.parametrize("is_relative", [True, False], ids=["relative", "absolute"])
def test_lay_copies_the_benchs_files_from_a_kit(tmp_path: Path, is_relative: bool) -> None:
    kit, sites, elsewhere = tmp_path / "kit", tmp_path / "work/deploy/sites", tmp_path / "work/tests"
    source = kit / "more/mass/other"
    for folder in (source, sites, elsewhere):
        folder.mkdir(parents=True)
    files = {"real.json": "{}", "wire.json": "[]", "unlock.txt": "words"}
    for name, text in files.items():
        (source / name).write_text(text)
    (sites / "real.json").write_text("from an older kit")
    lay = shutil.copy2(ROOT / "deploy/sites/lay", sites / "lay")
    command = [lay, os.path.relpath(kit, elsewhere) if is_relative else kit]
    subprocess.run(command, cwd=elsewhere, check=True)
    assert {name: (sites / name).read_text() for name in files} == files
    assert sorted(path.name for path in sites.iterdir()) == sorted([*files, "lay"])


@pytest.mark.parametrize("arguments", [[], ["no-such-kit"]], ids=["none", "missing"])
def test_lay_without_a_kit_fails_and_leaves_what_there_is(tmp_path: Path, arguments: list[str]) -> None:
    lay = shutil.copy2(ROOT / "deploy/sites/lay", tmp_path / "lay")
    (tmp_path / "real.json").write_text("from an older kit")
    ended = subprocess.run([lay, *arguments], cwd=tmp_path, capture_output=True, check=False)
    assert ended.returncode != 0 and ended.stderr
    assert (tmp_path / "real.json").read_text() == "from an older kit"
