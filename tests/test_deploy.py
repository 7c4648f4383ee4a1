"""The deploy file says what the platform and the benches read of the program."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

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
