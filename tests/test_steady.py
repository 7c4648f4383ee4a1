"""The results of the tests must not depend on how busy the machine is."""

from __future__ import annotations

import itertools
import time
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st


def test_slow_examples_are_not_a_failure() -> None:
    """Guards against Hypothesis's deadline for each example: here every reading of the clock is ten seconds
    later than the one before."""
    examples_run: list[int] = []

    @settings(max_examples=20)
    @given(st.integers())
    def examples(number: int) -> None:
        examples_run.append(number)

    with mock.patch.object(time, "perf_counter", itertools.count(0.0, 10.0).__next__):
        examples()
    assert len(examples_run) >= 20
