"""Record the decisions again: `python -m tests.recorded_decisions`.

Do so only after an intended change of the actions; the commit message states the change and its reason.
"""

from __future__ import annotations

import json

from tests.recorded_decisions.recording import RECORDING_PATH, simulate
from tests.recorded_decisions.scenarios import SCENARIOS


def main() -> None:
    """Simulate each scenario and write the digests of its actions."""
    recordings = {scenario.name: simulate(scenario) for scenario in SCENARIOS}
    RECORDING_PATH.write_text(json.dumps(recordings, indent=1) + "\n")
    for name, (counts, digests) in recordings.items():
        print(f"{name}: {counts}, {len(digests)} digests")


if __name__ == "__main__":
    main()
