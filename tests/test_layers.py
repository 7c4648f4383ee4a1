"""The import contract: which package may import which, and no cycles between modules.

`docs/architecture.md` describes the layers. Imports inside functions and under `TYPE_CHECKING` count like any
other.
"""

from __future__ import annotations

import ast
from collections.abc import Iterable, Mapping
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = "laurelstep"

# The layers that each layer may import beside itself. Packages that are not listed assemble the others, or
# are programs.
ALLOWED: Mapping[str, frozenset[str]] = {
    "errors": frozenset(),
    "balancing": frozenset(),
    "lifecycle": frozenset(),
    "resources": frozenset(),
    "flow_control": frozenset(),
    "store": frozenset({"errors"}),
    "wire": frozenset({"balancing", "errors"}),
    "engine": frozenset({"balancing", "errors"}),
    "consensus": frozenset({"engine", "errors", "store"}),
    "net": frozenset({"balancing", "engine", "errors", "flow_control", "lifecycle", "resources", "settings"}),
    "request_journal": frozenset({"engine", "errors", "settings", "store"}),
}
# Programs and public helpers that nothing below them may import.
PROGRAMS = frozenset({"__main__", "adapter", "daemon", "demo", "library", "testing", "workers"})


def module_name(path: Path) -> str:
    """The dotted name of the module in a file of the package."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imports_of(source: str, known: frozenset[str]) -> set[str]:
    """The modules of the package that a source imports, wherever the import statement is."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names if alias.name in known)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            names = (f"{node.module}.{alias.name}" for alias in node.names)
            submodules = {name for name in names if name in known}
            found.update(submodules)
            if node.module in known and len(submodules) < len(node.names):
                found.add(node.module)
    return found


def import_graph() -> dict[str, set[str]]:
    """Each module of the package, with the modules of the package that it imports."""
    paths = {module_name(path): path for path in (ROOT / PACKAGE).rglob("*.py")}
    known = frozenset(paths)
    return {name: imports_of(path.read_text(), known) - {name} for name, path in paths.items()}


def cycles(graph: Mapping[str, Iterable[str]]) -> list[set[str]]:
    """The groups of modules that import each other, directly or through others."""
    reachable: dict[str, set[str]] = {}
    for start in graph:
        seen: set[str] = set()
        pending = list(graph[start])
        while pending:
            module = pending.pop()
            if module not in seen:
                seen.add(module)
                pending.extend(graph.get(module, ()))
        reachable[start] = seen
    groups: list[set[str]] = []
    for module, seen in reachable.items():
        group = {other for other in seen if module in reachable.get(other, ())}
        if module in seen and group not in groups:
            groups.append(group)
    return groups


def layer_of(module: str) -> str:
    """The layer of a module: the part of its dotted name after the package."""
    parts = module.split(".")
    return parts[1] if len(parts) > 1 else ""


def test_there_are_no_import_cycles() -> None:
    assert cycles(import_graph()) == []


@pytest.mark.parametrize("layer", sorted(ALLOWED))
def test_a_layer_imports_only_the_layers_below_it(layer: str) -> None:
    allowed = ALLOWED[layer] | {layer}
    graph = import_graph()
    assert any(layer_of(module) == layer for module in graph), f"no module in {layer}"
    violations = {
        (module, imported)
        for module, imports in graph.items()
        if layer_of(module) == layer
        for imported in imports
        if layer_of(imported) not in allowed
    }
    assert violations == set()


def test_no_library_code_imports_a_program() -> None:
    violations = {
        (module, imported)
        for module, imports in import_graph().items()
        if layer_of(module) not in PROGRAMS
        for imported in imports
        if layer_of(imported) in PROGRAMS
    }
    assert violations == set()


def test_cycles_through_several_modules_are_found() -> None:
    graph = {"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}
    assert cycles(graph) == [{"a", "b", "c"}]


def test_imports_are_found_inside_functions_and_under_type_checking() -> None:
    source = (
        "from typing import TYPE_CHECKING\n"
        "if TYPE_CHECKING:\n    from laurelstep.engine.call import Call\n"
        "def late() -> None:\n    from laurelstep import errors\n"
    )
    known = frozenset({"laurelstep", "laurelstep.errors", "laurelstep.engine.call"})
    assert imports_of(source, known) == {"laurelstep.engine.call", "laurelstep.errors"}
