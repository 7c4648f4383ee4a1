"""What a replica counts, by the names under which a status shows it to operators."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["ReplicaCounter"]


class ReplicaCounter(StrEnum):
    """Events of one replica. Operators read the values: they may not change."""

    # Datagrams that were dropped: not readable, of a later protocol version, of a sender that is no peer or
    # may not send such a message, of an older epoch or for another incarnation.
    UNREADABLE = "unreadable"
    FUTURE_VERSION = "future"
    FOREIGN_SENDER = "foreign"
    STALE = "past"
    LEADER_MESSAGES_LOST = "words_lost"
    # Bootstraps that this replica initiated, and those of them that started an epoch.
    BOOTSTRAPS_INITIATED = "foundings"
    EPOCHS_STARTED = "founded"
    # A learner left an epoch that was over.
    EPOCHS_DISCARDED = "eras_forgotten"
    # A frozen replica continued as another incarnation.
    FROZEN_RESTARTS = "came_again"
    # As the leader: how often it had no quorum any more, and its changes of the configuration.
    STEPPED_DOWN = "stepped_down"
    MEMBERS_REMOVED = "taken_out"
    MEMBERS_ADDED = "taken_in"
