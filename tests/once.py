"""The mark of test files whose modules are none of those that are compiled: played a second time on the
compiled package they would prove the same.

    pytestmark = once

tests/test_compiled.py holds each such file to that."""

from __future__ import annotations

import os

import pytest

COMPILED = "LAURELSTEP_COMPILED" in os.environ

once = pytest.mark.skipif(COMPILED, reason="uses nothing that is compiled")


def schedule_count(plain: int) -> int:
    """Of schedules whose rules are all plain and that only name endpoints by what is compiled: a tenth of
    them shows there that the names are the same."""
    return plain // 10 if COMPILED else plain
