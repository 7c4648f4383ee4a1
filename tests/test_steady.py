"""What keeps the tests' verdict the same on a machine that is busy."""

from __future__ import annotations

import itertools
import time
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st


def test_examples_that_take_long_are_no_failure() -> None:
    """Whoever reads the time finds that another ten seconds have passed."""
    played: list[int] = []

    @settings(max_examples=20)
    @given(st.integers())
    def examples(number: int) -> None:
        played.append(number)

    with mock.patch.object(time, "perf_counter", itertools.count(0.0, 10.0).__next__):
        examples()
    assert len(played) >= 20
