"""Control of the garbage collector in a process that runs only the balancer."""

from __future__ import annotations

import gc

# Objects are frozen again once the number of endpoints has grown by this factor and by this number.
FREEZE_GROWTH_FACTOR, FREEZE_GROWTH_ENDPOINTS = 1.25, 1_000


class Collector:
    """Keeps the collector from traversing all objects of a large fleet, which would block the event loop:
    it is off while a long endpoint list is applied, and the objects that exist afterwards are frozen.

    Objects are frozen only when the fleet has grown, as cyclic garbage among frozen objects is never freed.
    """

    def __init__(self) -> None:
        self.frozen_endpoint_count = 0  # endpoints listed at the last freeze

    def pause(self) -> None:
        """Turn the collector off until `resume`."""
        gc.disable()

    def resume(self, endpoint_count: int) -> None:
        """Turn the collector on again; `endpoint_count` endpoints are listed now."""
        if endpoint_count > FREEZE_GROWTH_FACTOR * self.frozen_endpoint_count + FREEZE_GROWTH_ENDPOINTS:
            gc.freeze()
            self.frozen_endpoint_count = endpoint_count
        gc.enable()
