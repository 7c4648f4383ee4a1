"""Record the decisions anew: `python -m tests.recorded_decisions`.

Only where a change of the actions is meant; the commit says which change, and why.
"""

from __future__ import annotations

import json

from tests.recorded_decisions.recording import RECORDED, played
from tests.recorded_decisions.scenarios import SCENARIOS


def main() -> None:
    """Play each scenario and write the digests of its actions."""
    found = {scenario.name: played(scenario) for scenario in SCENARIOS}
    RECORDED.write_text(json.dumps(found, indent=1) + "\n")
    for name, (counts, digests) in found.items():
        print(f"{name}: {counts}, {len(digests)} digests")


if __name__ == "__main__":
    main()
