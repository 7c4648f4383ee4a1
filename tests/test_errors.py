"""The errors: one tree, each type with its own cause and remedy, and the operators' page of them."""

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
Kind = type[BaseException]


def below(kind: Kind) -> Iterator[Kind]:
    for one in kind.__subclasses__():
        yield one
        yield from below(one)


def ours(kind: Kind) -> set[Kind]:
    """The types below this one that the program defines, after all of it was imported."""
    for module in pkgutil.walk_packages(laurelstep.__path__, "laurelstep."):
        importlib.import_module(module.name)
    return {one for one in below(kind) if one.__module__.split(".")[0] == "laurelstep"}


def problems(kind: Kind) -> list[str]:
    """What a type lacks."""
    found = [] if issubclass(kind, LaurelstepError) else ["outside the tree"]
    for name in ("cause", "remedy"):
        line = vars(kind).get(name)
        if not isinstance(line, str):
            found.append(f"{name}: none of its own")
        elif not line.strip() or line != line.strip() or len(line.splitlines()) != 1:
            found.append(f"{name}: not one line")
        elif "|" in line:
            found.append(f"{name}: ends the page's column")
    return found


def shown_name(kind: Kind) -> str:
    """What operators see: the code that answers show, where a type has one, or the type's name."""
    return str(vars(kind).get("code", kind.__name__))


def differences(page: str, kinds: set[Kind]) -> list[str]:
    """Between the page's rows and the types."""
    rows = ROW.findall(page)
    told = {name: (cause, remedy) for name, cause, remedy in rows}
    real = {shown_name(kind): (vars(kind).get("cause"), vars(kind).get("remedy")) for kind in kinds}
    found = [f"twice: {name}" for name in told if sum(row[0] == name for row in rows) > 1]
    found += [f"not on the page: {name}" for name in sorted(real.keys() - told.keys())]
    found += [f"no such type: {name}" for name in sorted(told.keys() - real.keys())]
    return found + [f"otherwise: {name}" for name in sorted(real) if told.get(name, real[name]) != real[name]]


def test_every_type_stands_in_the_tree_with_a_cause_and_a_remedy_of_its_own() -> None:
    kinds = ours(BaseException) - {LaurelstepError}
    assert len(kinds) >= 10
    assert {kind.__qualname__: found for kind in kinds if (found := problems(kind))} == {}
    for names in ([kind.__name__ for kind in kinds], [shown_name(kind) for kind in kinds]):
        assert len(set(names)) == len(names)


def test_the_page_and_the_types_say_the_same() -> None:
    assert differences(PAGE.read_text(), ours(LaurelstepError)) == []


def test_what_a_type_lacks_is_found() -> None:
    class OutsideError(Exception):
        cause, remedy = "one", "two"

    class HeirError(StoreError):
        cause = "of its own"

    class LongError(LaurelstepError):
        cause, remedy = "one\ntwo", " "

    class ColumnError(LaurelstepError):
        cause, remedy = "this | that", "either"

    assert problems(OutsideError) == ["outside the tree"]
    assert problems(HeirError) == ["remedy: none of its own"]
    assert problems(LongError) == ["cause: not one line", "remedy: not one line"]
    assert problems(ColumnError) == ["cause: ends the page's column"]


def test_what_the_page_lacks_is_found() -> None:
    class NewError(LaurelstepError):
        cause, remedy = "one", "two"

    row = "| `NewError` | one | two |\n"
    assert differences(row, {NewError}) == []
    assert differences("", {NewError}) == ["not on the page: NewError"]
    assert differences(row, set()) == ["no such type: NewError"]
    assert differences(row + row, {NewError}) == ["twice: NewError"]
    assert differences("| `NewError` | one | three |\n", {NewError}) == ["otherwise: NewError"]


def test_what_clients_catch_is_as_it_was() -> None:
    assert issubclass(RequestError, ValueError) and issubclass(StoreUnavailableError, StoreError)
    assert not issubclass(ClientError, ValueError)
    for one in (BadRequestError(413, "the body is too large"), RequestError(413, "the body is too large")):
        assert (str(one), one.status, one.args) == ("the body is too large", 413, ("the body is too large",))
    with pytest.raises(LaurelstepError) as caught:
        raise StoreUnavailableError("the store is full")
    assert caught.value.remedy == StoreUnavailableError.remedy != StoreError.remedy
