"""The event counters of a replica, by the names that its status shows to operators."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["ReplicaCounter"]


class ReplicaCounter(StrEnum):
    """Counters of one replica's events. The values are shown to operators and may not change."""

    # Dropped datagrams: undecodable; of a later protocol version; from a sender that is not a peer or may not
    # send such a message; of an older epoch or addressed to another incarnation.
    UNREADABLE = "unreadable"
    FUTURE_VERSION = "future"
    FOREIGN_SENDER = "foreign"
    STALE = "past"
    # Leader messages dropped because no leader was known, or because they belonged to another epoch.
    LEADER_MESSAGES_LOST = "words_lost"
    # Bootstraps that this replica initiated, and how many of them started an epoch.
    BOOTSTRAPS_INITIATED = "foundings"
    EPOCHS_STARTED = "founded"
    # Epochs that this learner discarded because they had ended.
    EPOCHS_DISCARDED = "eras_forgotten"
    # How often this replica continued as another incarnation because it had been frozen for too long.
    FROZEN_RESTARTS = "came_again"
    # As the leader: how often it lost its quorum, and the members it removed from and added to the
    # configuration.
    STEPPED_DOWN = "stepped_down"
    MEMBERS_REMOVED = "taken_out"
    MEMBERS_ADDED = "taken_in"
