"""Every socket test of the daemon also runs on the library, or is listed in `tests.fronts.HOST_ONLY`."""

from __future__ import annotations

import pytest

from tests import fronts


def cases_on(front: str) -> set[str]:
    return {name for _, name, case_front in fronts.SEEN if case_front == front}


def test_each_case_runs_on_both_fronts_or_is_listed_as_host_only(request: pytest.FixtureRequest) -> None:
    if {module for module, _, _ in fronts.SEEN} != set(fronts.SHARED):
        pytest.skip("only a part of the tests was selected")
    assert cases_on("daemon") == cases_on("library"), "no case is skipped silently"
    names = cases_on("daemon") | {name.partition("[")[0] for name in cases_on("daemon")}
    stale = [name for name in fronts.HOST_ONLY if name not in names]
    assert not stale, "HOST_ONLY names tests that do not exist"
    shared_cases = {fronts.case(item)[1] for item in request.session.items if fronts.is_shared(item)}
    assert len(shared_cases) > 100 and all(reason for reason in fronts.HOST_ONLY.values())
