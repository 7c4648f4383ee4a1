"""The mark of test files whose modules are none of those that are compiled: played a second time on the
compiled package they would prove the same.

    pytestmark = once

tests/test_compiled.py holds each such file to that."""

from __future__ import annotations

import os

import pytest

once = pytest.mark.skipif("LAURELSTEP_COMPILED" in os.environ, reason="uses nothing that is compiled")
