"""Bounds of the replicated state and of what one call may ask for. Every replica must apply the same ones."""

from __future__ import annotations

from typing import Final

# Of one encoded log entry or message, its tag included.
MAX_ENTRY_BYTES: Final = 160
MAX_OPEN_REQUESTS: Final = 16
MAX_MACHINES_PER_REQUEST: Final = 1024
# Out of service at once, over all requests.
MAX_MACHINES_OUT: Final = 256
MAX_PEERS: Final = 1024
# Finished requests that are remembered.
MAX_PAST_REQUESTS: Final = 8
# Dropped machines that a request remembers, with the reason of each.
MAX_DROPPED_MACHINES: Final = 8
MAX_DROP_REASON_LENGTH: Final = 24
