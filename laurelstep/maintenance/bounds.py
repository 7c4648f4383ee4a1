"""Bounds of the replicated state and of a single call. They must be the same on every replica."""

from __future__ import annotations

from typing import Final

# Size of an encoded log entry or message, including its tag.
MAX_ENTRY_BYTES: Final = 160
MAX_OPEN_REQUESTS: Final = 16
MAX_MACHINES_PER_REQUEST: Final = 1024
# Machines out of service at the same time, for all requests together.
MAX_MACHINES_OUT: Final = 256
MAX_PEERS: Final = 1024
# Closed requests that the state keeps.
MAX_PAST_REQUESTS: Final = 8
# Dropped machines that a request keeps, each with its reason of up to MAX_DROP_REASON_LENGTH characters.
MAX_DROPPED_MACHINES: Final = 8
MAX_DROP_REASON_LENGTH: Final = 24
