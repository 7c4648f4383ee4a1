"""Every socket test of the daemon is played on the library too, or stands in the table."""

from __future__ import annotations

import pytest

from tests import fronts


def played(front: str) -> set[str]:
    return {name for _, name, seen in fronts.SEEN if seen == front}


def test_each_case_is_played_on_both_fronts_or_stands_in_the_table(request: pytest.FixtureRequest) -> None:
    if {module for module, _, _ in fronts.SEEN} != set(fronts.SHARED):
        pytest.skip("only a part of the tests was asked for")
    assert played("daemon") == played("library"), "nothing is skipped silently"
    known = played("daemon") | {name.partition("[")[0] for name in played("daemon")}
    stale = [name for name in fronts.HOST_ONLY if name not in known]
    assert not stale, "the table names what is no test"
    kept = {fronts.case(item)[1] for item in request.session.items if fronts.is_shared(item)}
    assert len(kept) > 100 and all(reason for reason in fronts.HOST_ONLY.values())
