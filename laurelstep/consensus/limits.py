"""Size limits of replicated data: entries and leader messages, with their framing, fit into one datagram."""

from __future__ import annotations

from typing import Final

__all__ = ["MAX_ENTRY_BYTES", "MAX_LEADER_MESSAGE_BYTES", "MAX_PENDING_PROPOSALS"]

MAX_ENTRY_BYTES: Final = 160
MAX_LEADER_MESSAGE_BYTES: Final = 160
# Entries in the leader's log that may be uncommitted at a time.
MAX_PENDING_PROPOSALS: Final = 64
