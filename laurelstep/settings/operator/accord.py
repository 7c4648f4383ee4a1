"""The table `[accord]`: consensus among the copies of a tier."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from laurelstep.consensus.options import (
    ConsensusSettings,
    LinkKind,
    default_voter_count,
    find_settings_problem,
)
from laurelstep.settings.operator.fields import NonNegativeInt, OperatorTable

VoterCount = Literal[1, 3, 5, 7]


class AccordTable(OperatorTable, frozen=True, kw_only=True):
    """The consensus group of a tier: its peers, the link between them, and the timing of elections."""

    peer_listen: str | None = None
    peers: tuple[str, ...] | None = None
    me: NonNegativeInt | None = None
    link: LinkKind = "udp"
    seats: VoterCount | None = None
    store_path: str = ""
    heartbeat_ms: Annotated[int, msgspec.Meta(ge=10, le=60_000)] = 200
    election_ms: Annotated[int, msgspec.Meta(ge=20, le=600_000)] = 600
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.2)] = 0.01

    def problem(self) -> str | None:
        """An invalid value, as its key and what was expected; None if the table itself is valid."""
        if self.election_ms < 2 * self.heartbeat_ms:
            return "accord.election_ms: expected at least twice heartbeat_ms"
        if self.peers is not None and not self.peers:
            return "accord.peers: expected the addresses of all copies, one each"
        if self.peers is not None and self.link == "unix":
            try:
                self.settings(self.peers, None, 0)
            except ValueError as error:
                return f"accord.{error}"
        return None

    def misplaced_key(self) -> str | None:
        """The first key set here that only the platform's configuration may set; None if there is none.

        Used where there is such a configuration. With the link `unix`, this table sets all keys.
        """
        if self.link == "unix":
            return None
        platform_keys = {"peer_listen": self.peer_listen, "peers": self.peers, "me": self.me}
        return next((key for key, value in platform_keys.items() if value is not None), None)

    def settings(self, peers: tuple[str, ...], listen: str | None, me: int) -> ConsensusSettings:
        """The settings of the consensus node. Raises ValueError with the key and what was expected.

        `me` applies if the table does not set it. Without `listen`, this process's entry in `peers` is used.
        """
        peer_number = me if self.me is None else self.me
        if listen is None:
            listen = peers[peer_number] if peer_number < len(peers) else ""
        settings = ConsensusSettings(
            peers=peers,
            listen=listen,
            me=peer_number,
            link=self.link,
            seats=self.seats or default_voter_count(len(peers)),
            store_path=self.store_path,
            heartbeat_us=self.heartbeat_ms * 1000,
            election_us=self.election_ms * 1000,
            drift=self.drift,
        )
        if (problem := find_settings_problem(settings)) is not None:
            raise ValueError(f"{problem.key}: {problem.expected}")
        return settings
