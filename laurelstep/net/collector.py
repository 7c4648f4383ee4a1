"""The garbage collector of a process that is the balancer's own."""

from __future__ import annotations

import gc

# What stands is set apart again once the fleet has grown by this factor, and by so many.
GROWN, GROWN_LEAST = 1.25, 1_000


class Collector:
    """Guards the loop against walks over all that a large fleet holds: the collector rests
    while a long list is applied, and what stands then is set apart from its walks.

    That happens only as the fleet grows: garbage in cycles that is set apart stays.
    """

    def __init__(self) -> None:
        self.frozen_endpoint_count = 0  # endpoints listed when it last was

    def pause(self) -> None:
        """Collect no garbage until `resume`."""
        gc.disable()

    def resume(self, endpoint_count: int) -> None:
        """Collect again, with so many endpoints listed now."""
        if endpoint_count > GROWN * self.frozen_endpoint_count + GROWN_LEAST:
            gc.freeze()
            self.frozen_endpoint_count = endpoint_count
        gc.enable()
