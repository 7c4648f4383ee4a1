"""The compiled balancer gives the same results as the plain Python one, and tests that run on only one of the
two use no compiled module.

The comparison runs where the compiled package is tested; `./check` tests both."""

from __future__ import annotations

import ast
import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from laurelstep.balancing import balancer
from laurelstep.balancing.events import DRAINING, GONE, LIST_DELTA, LIST_FULL, LIST_PARTIAL, READY

from tests.player import CONFIGS, play
from tests.test_memory import compiled_modules
from tests.test_rules import STEPS

ROOT = Path(__file__).parent.parent
IS_PLAIN = balancer.__file__.endswith(".py")


class PlainPlayer:
    """A process that runs `tests.player` with the plain Python files."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.player"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONSAFEPATH": "1", "PYTHONPATH": str(ROOT)},
        )
        assert json.loads(self._read_line()).endswith(".py")

    def _read_line(self) -> str:
        assert self.process.stdout is not None
        return self.process.stdout.readline()

    def play(self, *arguments: Any) -> Any:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(arguments) + "\n")
        self.process.stdin.flush()
        return json.loads(self._read_line())


@pytest.fixture(scope="module")
def plain_player() -> Iterator[PlainPlayer]:
    player = PlainPlayer()
    yield player
    player.process.communicate()


def test_the_package_is_compiled_exactly_where_check_says_so() -> None:
    assert ("LAURELSTEP_COMPILED" not in os.environ) == IS_PLAIN


ENTRIES = st.lists(
    st.tuples(st.integers(1, 60), st.sampled_from((READY, READY, DRAINING, GONE)), st.sampled_from((0, 1))),
    max_size=20,
)
MEMBERS = st.tuples(st.just("members"), st.sampled_from((LIST_FULL, LIST_DELTA, LIST_PARTIAL)), ENTRIES)


def without_members(steps: list[Any]) -> list[Any]:
    return [step for step in steps if step[0] != "members"]


@pytest.mark.skipif(IS_PLAIN, reason="the package is not compiled")
@settings(deadline=None, max_examples=150)
@given(
    seed=st.integers(0, 2**32),
    config=st.integers(0, len(CONFIGS) - 1),
    steps=st.lists(st.one_of(STEPS.map(without_members), MEMBERS.map(lambda step: [step]))),
)
def test_compiled_and_plain_send_the_same_attempts(
    plain_player: PlainPlayer, seed: int, config: int, steps: list[list[Any]]
) -> None:
    flat = [list(step) for group in steps for step in group]
    assert play(seed, config, flat) == plain_player.play(seed, config, flat)


# Tests that run once, on the plain files only

ONCE_PATHS = [
    path for path in sorted((ROOT / "tests").glob("test_*.py")) if "\npytestmark = once\n" in path.read_text()
]


def imported_modules(node: ast.AST) -> list[str]:
    """The modules that an import may name: `from a import b` names `a`, and `a.b` if that is a module."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom):
        assert node.module is not None and node.level == 0, "the project uses absolute imports only"
        modules = [f"{node.module}.{alias.name}" for alias in node.names]
        # A name that `laurelstep` itself exports, as opposed to a submodule, comes from a compiled module.
        uses_parent = node.module != "laurelstep" or any(file_of(module) is None for module in modules)
        return [*modules, *([node.module] if uses_parent else [])]
    return []


def file_of(module: str) -> Path | None:
    """The source file of a module of this project; None for any other name."""
    base = ROOT.joinpath(*module.split("."))
    return next((path for path in (base.with_suffix(".py"), base / "__init__.py") if path.exists()), None)


def transitive_imports(path: Path) -> set[str]:
    """The project's modules that a file imports anywhere in its code, and those that they import."""
    modules: set[str] = set()
    pending = [path]
    while pending:
        for node in ast.walk(ast.parse(pending.pop().read_text())):
            for module in imported_modules(node):
                # Importing a module runs its parent packages. The top-level package only re-exports names.
                parts = module.split(".")
                for ancestor in (".".join(parts[:n]) for n in range(2, len(parts) + 1)):
                    if ancestor not in modules and (file := file_of(ancestor)) is not None:
                        modules.add(ancestor)
                        pending.append(file)
                if module == "laurelstep":
                    modules.add(module)
    return modules


def compiled_imports(path: Path) -> set[str]:
    """The modules among `transitive_imports` that an installation has compiled."""
    names = {"laurelstep", *(f"laurelstep.{name}".replace("/", ".") for name in compiled_modules())}
    return transitive_imports(path) & names


def test_some_files_run_once() -> None:
    assert {"test_consensus_schedules.py", "test_outbox_schedules.py"} <= {path.name for path in ONCE_PATHS}


@pytest.mark.parametrize("path", ONCE_PATHS, ids=lambda path: str(path.name))
def test_a_file_that_runs_once_uses_no_compiled_module(path: Path) -> None:
    assert compiled_imports(path) == set()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("import laurelstep.balancing.balancer", {"laurelstep.balancing.balancer"}),
        ("from laurelstep import Balancer", {"laurelstep"}),
        ("from laurelstep.balancing import events", {"laurelstep.balancing.events"}),
        (
            "from laurelstep.maintenance import state",
            {"laurelstep.engine.endpoint_table"},
        ),  # imported by `state`
        (
            "def late():\n    from laurelstep.engine.endpoint_table import PHASES",
            {"laurelstep.engine.endpoint_table"},
        ),
        ("from tests import fakes", {"laurelstep.engine.call", "laurelstep.balancing.events"}),
        ("from laurelstep.consensus import core", set()),
    ],
)
def test_a_compiled_module_is_found_wherever_it_is_imported(
    tmp_path: Path, text: str, expected: set[str]
) -> None:
    path = tmp_path / "test_one.py"
    path.write_text(text)
    assert compiled_imports(path) >= expected and bool(compiled_imports(path)) == bool(expected)
