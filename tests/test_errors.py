"""The error types form one tree, state their cause and remedy, and match the operators' page of errors."""

from __future__ import annotations

import importlib
import pkgutil
import re
from collections.abc import Iterator
from pathlib import Path

import laurelstep
import pytest
from laurelstep.errors import LaurelstepError
from laurelstep.library import ClientError, RequestError
from laurelstep.net.errors import BadRequestError
from laurelstep.store import StoreError, StoreUnavailableError

PAGE = Path(__file__).parent.parent / "docs" / "operators" / "errors.md"
ROW = re.compile(r"^\| `(\w+)` \| (.*?) \| (.*?) \|$", re.MULTILINE)
ErrorType = type[BaseException]


def subclasses(error_type: ErrorType) -> Iterator[ErrorType]:
    """All direct and indirect subclasses."""
    for subclass in error_type.__subclasses__():
        yield subclass
        yield from subclasses(subclass)


def defined_subclasses(error_type: ErrorType) -> set[ErrorType]:
    """The subclasses that the program defines. Imports all its modules first."""
    for module in pkgutil.walk_packages(laurelstep.__path__, "laurelstep."):
        importlib.import_module(module.name)
    return {kind for kind in subclasses(error_type) if kind.__module__.split(".")[0] == "laurelstep"}


def problems(error_type: ErrorType) -> list[str]:
    """Violations of the rules for an error type."""
    violations = [] if issubclass(error_type, LaurelstepError) else ["outside the tree"]
    for name in ("cause", "remedy"):
        line = vars(error_type).get(name)
        if not isinstance(line, str):
            violations.append(f"{name}: not set in the class")
        elif not line.strip() or line != line.strip() or len(line.splitlines()) != 1:
            violations.append(f"{name}: not one line")
        elif "|" in line:
            violations.append(f"{name}: contains a column separator of the page")
    return violations


def displayed_name(error_type: ErrorType) -> str:
    """The name that operators see: the type's code in answers if it has one, else its class name."""
    return str(vars(error_type).get("code", error_type.__name__))


def differences(page: str, kinds: set[ErrorType]) -> list[str]:
    """Differences between the rows of the page and the types."""
    rows = ROW.findall(page)
    listed = {name: (cause, remedy) for name, cause, remedy in rows}
    defined = {displayed_name(kind): (vars(kind).get("cause"), vars(kind).get("remedy")) for kind in kinds}
    mismatches = [f"duplicate row: {name}" for name in listed if sum(row[0] == name for row in rows) > 1]
    mismatches += [f"not on the page: {name}" for name in sorted(defined.keys() - listed.keys())]
    mismatches += [f"no such type: {name}" for name in sorted(listed.keys() - defined.keys())]
    return mismatches + [
        f"differs: {name}" for name in sorted(defined) if listed.get(name, defined[name]) != defined[name]
    ]


def test_every_error_type_is_in_the_tree_and_sets_cause_and_remedy() -> None:
    kinds = defined_subclasses(BaseException) - {LaurelstepError}
    assert len(kinds) >= 10
    assert {kind.__qualname__: violations for kind in kinds if (violations := problems(kind))} == {}
    for names in ([kind.__name__ for kind in kinds], [displayed_name(kind) for kind in kinds]):
        assert len(set(names)) == len(names)


def test_the_page_and_the_types_agree() -> None:
    assert differences(PAGE.read_text(), defined_subclasses(LaurelstepError)) == []


def test_violations_in_a_type_are_found() -> None:
    class OutsideError(Exception):
        cause, remedy = "one", "two"

    class InheritingError(StoreError):
        cause = "set here"

    class LongError(LaurelstepError):
        cause, remedy = "one\ntwo", " "

    class ColumnError(LaurelstepError):
        cause, remedy = "this | that", "either"

    assert problems(OutsideError) == ["outside the tree"]
    assert problems(InheritingError) == ["remedy: not set in the class"]
    assert problems(LongError) == ["cause: not one line", "remedy: not one line"]
    assert problems(ColumnError) == ["cause: contains a column separator of the page"]


def test_differences_from_the_page_are_found() -> None:
    class NewError(LaurelstepError):
        cause, remedy = "one", "two"

    row = "| `NewError` | one | two |\n"
    assert differences(row, {NewError}) == []
    assert differences("", {NewError}) == ["not on the page: NewError"]
    assert differences(row, set()) == ["no such type: NewError"]
    assert differences(row + row, {NewError}) == ["duplicate row: NewError"]
    assert differences("| `NewError` | one | three |\n", {NewError}) == ["differs: NewError"]


def test_errors_keep_the_bases_and_attributes_that_clients_use() -> None:
    assert issubclass(RequestError, ValueError) and issubclass(StoreUnavailableError, StoreError)
    assert not issubclass(ClientError, ValueError)
    for exc in (BadRequestError(413, "the body is too large"), RequestError(413, "the body is too large")):
        assert (str(exc), exc.status, exc.args) == ("the body is too large", 413, ("the body is too large",))
    with pytest.raises(LaurelstepError) as caught:
        raise StoreUnavailableError("the store is full")
    assert caught.value.remedy == StoreUnavailableError.remedy != StoreError.remedy
