"""The README's example is run as a reader would run it."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_the_example_runs_and_sends(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (block,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(block, "README.md", "exec"), {})
    assert "Send(request=7, endpoint=1" in capsys.readouterr().out
