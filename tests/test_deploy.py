"""`deploy/balancer.toml`, which the platform and the test benches read, and `deploy/sites/lay`."""

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
    """Guards against sidecar code that is missing from both lists."""
    code = (
        "import sys, laurelstep.__main__ as main\n"
        "print(*(name for name in sys.modules if name.split('.')[0] == 'laurelstep'))"
    )
    proc = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT)
    listed = [ROOT / path for path in (*DEPLOY["node"], *DEPLOY["policy"])]
    assert all(path.exists() for path in listed)
    for name in proc.stdout.split():
        package = ROOT.joinpath(*name.split("."))
        path = package / "__init__.py" if package.is_dir() else package.with_suffix(".py")
        assert any(path == entry or entry in path.parents for entry in listed), f"{name} is not listed"


def test_run_and_sim_replace_the_shell_by_exec() -> None:
    """No shell process remains, so signals reach the program itself."""
    for name in ("run", "sim"):
        assert DEPLOY[name].startswith("exec ")
        assert not set(DEPLOY[name]) & set(";|&`$<>\n")


@pytest.mark.parametrize("is_relative", [True, False], ids=["relative", "absolute"])
def test_lay_copies_the_files_of_the_bench_from_a_kit(tmp_path: Path, is_relative: bool) -> None:
    kit, sites, working_folder = tmp_path / "kit", tmp_path / "work/deploy/sites", tmp_path / "work/tests"
    source = kit / "more/mass/other"
    for folder in (source, sites, working_folder):
        folder.mkdir(parents=True)
    files = {"real.json": "{}", "wire.json": "[]", "unlock.txt": "words"}
    for name, text in files.items():
        (source / name).write_text(text)
    (sites / "real.json").write_text("from an older kit")
    lay = shutil.copy2(ROOT / "deploy/sites/lay", sites / "lay")
    command = [lay, os.path.relpath(kit, working_folder) if is_relative else kit]
    subprocess.run(command, cwd=working_folder, check=True)
    assert {name: (sites / name).read_text() for name in files} == files
    assert sorted(path.name for path in sites.iterdir()) == sorted([*files, "lay"])


@pytest.mark.parametrize("arguments", [[], ["no-such-kit"]], ids=["none", "missing"])
def test_lay_without_a_kit_fails_and_changes_no_file(tmp_path: Path, arguments: list[str]) -> None:
    lay = shutil.copy2(ROOT / "deploy/sites/lay", tmp_path / "lay")
    (tmp_path / "real.json").write_text("from an older kit")
    proc = subprocess.run([lay, *arguments], cwd=tmp_path, capture_output=True, check=False)
    assert proc.returncode != 0 and proc.stderr
    assert (tmp_path / "real.json").read_text() == "from an older kit"
