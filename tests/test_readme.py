"""The examples in the README and the docs run and print what they should, and links lead to files."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize(
    ("page", "expected"),
    [("README.md", "served b'an album' by s-1\n"), ("docs/module.md", "Send(request=7, endpoint=1")],
)
def test_the_example_runs_and_prints_its_result(
    page: str, expected: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    (block,) = re.findall(r"```python\n(.*?)```", (ROOT / page).read_text(), re.S)
    monkeypatch.chdir(ROOT)
    exec(compile(block, page, "exec"), {"__name__": "example"})
    assert expected in capsys.readouterr().out


def test_links_lead_to_existing_files() -> None:
    for page in [ROOT / "README.md", *ROOT.glob("docs/**/*.md")]:
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / target).exists(), f"{page.name}: {target}"
