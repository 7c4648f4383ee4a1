"""The mark for test files that use no compiled module. They run only with the plain build, because running
them again with the compiled package would test the same code.

    pytestmark = once

tests/test_compiled.py checks that each file with this mark uses no compiled module."""

from __future__ import annotations

import os

import pytest

COMPILED = "LAURELSTEP_COMPILED" in os.environ

once = pytest.mark.skipif(COMPILED, reason="uses nothing that is compiled")


def schedule_count(plain_build_count: int) -> int:
    """Return how many schedules to run: all with the plain build, a tenth with the compiled one.

    For tests whose only use of compiled code is to compute names of endpoints. A tenth of the schedules is
    enough to show that the compiled code computes the same names."""
    return plain_build_count // 10 if COMPILED else plain_build_count
