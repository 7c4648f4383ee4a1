"""The compiled module beside the plain one: the same events, the same sends; and which tests need not be
played on both.

Plays where the compiled one is tested; `./check` does both."""

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
PLAIN = balancer.__file__.endswith(".py")


class Other:
    """An interpreter with the plain files."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.player"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONSAFEPATH": "1", "PYTHONPATH": str(ROOT)},
        )
        assert json.loads(self._line()).endswith(".py")

    def _line(self) -> str:
        assert self.process.stdout is not None
        return self.process.stdout.readline()

    def play(self, *words: Any) -> Any:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(words) + "\n")
        self.process.stdin.flush()
        return json.loads(self._line())


@pytest.fixture(scope="module")
def other() -> Iterator[Other]:
    one = Other()
    yield one
    one.process.communicate()


def test_what_check_calls_compiled_is() -> None:
    assert ("LAURELSTEP_COMPILED" not in os.environ) == PLAIN


LISTED = st.lists(
    st.tuples(st.integers(1, 60), st.sampled_from((READY, READY, DRAINING, GONE)), st.sampled_from((0, 1))),
    max_size=20,
)
MEMBERS = st.tuples(st.just("members"), st.sampled_from((LIST_FULL, LIST_DELTA, LIST_PARTIAL)), LISTED)


def events(steps: list[Any]) -> list[Any]:
    return [one for one in steps if one[0] != "members"]


@pytest.mark.skipif(PLAIN, reason="there is nothing compiled to compare")
@settings(deadline=None, max_examples=150)
@given(
    seed=st.integers(0, 2**32),
    config=st.integers(0, len(CONFIGS) - 1),
    steps=st.lists(st.one_of(STEPS.map(events), MEMBERS.map(lambda one: [one]))),
)
def test_compiled_and_plain_do_the_same(other: Other, seed: int, config: int, steps: list[list[Any]]) -> None:
    flat = [list(one) for group in steps for one in group]
    assert play(seed, config, flat) == other.play(seed, config, flat)


# --- What is played once --------------------------------------------------------------------

ONCE = [
    path for path in sorted((ROOT / "tests").glob("test_*.py")) if "\npytestmark = once\n" in path.read_text()
]


def named(node: ast.AST) -> list[str]:
    """The modules that an import may mean: `from a import b` is of `a`, and of `a.b` if that is one."""
    if isinstance(node, ast.Import):
        return [one.name for one in node.names]
    if isinstance(node, ast.ImportFrom):
        assert node.module is not None and node.level == 0, "the project imports by whole names"
        modules = [f"{node.module}.{one.name}" for one in node.names]
        # The package itself gives its names from compiled modules.
        own = node.module != "laurelstep" or any(file_of(one) is None for one in modules)
        return [*modules, *([node.module] if own else [])]
    return []


def file_of(module: str) -> Path | None:
    base = ROOT.joinpath(*module.split("."))
    return next((one for one in (base.with_suffix(".py"), base / "__init__.py") if one.exists()), None)


def used(path: Path) -> set[str]:
    """The project's modules that a file imports, anywhere in it, and those that they import."""
    found: set[str] = set()
    left = [path]
    while left:
        for node in ast.walk(ast.parse(left.pop().read_text())):
            for module in named(node):
                # What holds a module is run when it is imported; the package's own head does nothing more.
                parts = module.split(".")
                for one in (".".join(parts[:n]) for n in range(2, len(parts) + 1)):
                    if one not in found and (file := file_of(one)) is not None:
                        found.add(one)
                        left.append(file)
                if module == "laurelstep":
                    found.add(module)
    return found


def compiled(path: Path) -> set[str]:
    """Of what it uses, what an installation has compiled."""
    names = {"laurelstep", *(f"laurelstep.{name}".replace("/", ".") for name in compiled_modules())}
    return used(path) & names


def test_some_files_are_played_once() -> None:
    assert {"test_consensus_schedules.py", "test_outbox_schedules.py"} <= {path.name for path in ONCE}


@pytest.mark.parametrize("path", ONCE, ids=lambda path: str(path.name))
def test_what_is_played_once_uses_nothing_compiled(path: Path) -> None:
    assert compiled(path) == set()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("import laurelstep.balancing.balancer", {"laurelstep.balancing.balancer"}),
        ("from laurelstep import Balancer", {"laurelstep"}),
        ("from laurelstep.balancing import events", {"laurelstep.balancing.events"}),
        (
            "from laurelstep.maintenance import state",
            {"laurelstep.engine.endpoint_table"},
        ),  # by what that imports
        (
            "def late():\n    from laurelstep.engine.endpoint_table import PHASES",
            {"laurelstep.engine.endpoint_table"},
        ),
        ("from tests import fakes", {"laurelstep.engine.call", "laurelstep.balancing.events"}),
        ("from laurelstep.consensus import core", set()),
    ],
)
def test_what_is_compiled_is_seen_wherever_it_is_imported(
    tmp_path: Path, text: str, expected: set[str]
) -> None:
    path = tmp_path / "test_one.py"
    path.write_text(text)
    assert compiled(path) >= expected and bool(compiled(path)) == bool(expected)
