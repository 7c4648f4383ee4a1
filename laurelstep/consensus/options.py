"""The settings section `[accord]` and its validation. No I/O."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Final, Literal, NamedTuple

__all__ = [
    "ConsensusSettings",
    "LinkKind",
    "SettingsProblem",
    "default_voter_count",
    "find_settings_problem",
    "parse_udp_address",
]

MAX_DEFAULT_VOTERS: Final = 5
MAX_PEERS: Final = 256
MAX_SOCKET_PATH_BYTES: Final = 107
MAX_PORT: Final = 65535

LinkKind = Literal["udp", "unix"]


@dataclass(frozen=True)
class ConsensusSettings:
    """The settings of the section, named like its keys. Durations in µs.

    `peers` are the addresses of all processes, ordered by peer number; `me` is this process's number; the
    first `seats` peers are voters. Without peers, consensus is off. `listen` is the address to bind. It may
    differ from this process's entry in `peers`, which is the address that the other processes see.
    """

    peers: tuple[str, ...]
    listen: str
    me: int
    link: LinkKind = "udp"
    seats: int = 1
    store_path: str = ""  # empty: no durable store
    heartbeat_us: int = 200_000
    election_us: int = 600_000
    drift: float = 0.01

    @property
    def has_peers(self) -> bool:
        """Whether there are peers to replicate with."""
        return bool(self.peers)


class SettingsProblem(NamedTuple):
    """A key with an invalid value, and what was expected."""

    key: str
    expected: str


def default_voter_count(peer_count: int) -> int:
    """Return the default number of voters: the largest odd one within `peer_count` and the limit."""
    max_voters = min(MAX_DEFAULT_VOTERS, peer_count)
    return max_voters - 1 + max_voters % 2


def parse_udp_address(text: object) -> tuple[str, int] | None:
    """Return the IP address and port of `host:port`; None if the text is anything else.

    Host names are not accepted: senders are identified by address, and a name may resolve to another address
    later.
    """
    host, _, port = str(text).rpartition(":")
    if not port.isdecimal() or not port.isascii() or not 0 <= int(port) <= MAX_PORT:
        return None
    host = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        # Normalize to the form in which the kernel reports a sender: an address has several spellings.
        return socket.inet_ntop(family, socket.inet_pton(family, host)), int(port)
    except (OSError, ValueError):
        return None


def find_settings_problem(settings: ConsensusSettings) -> SettingsProblem | None:
    """Return the first problem of the settings, None if they are valid."""
    peers, peer_count = settings.peers, len(settings.peers)
    if not peers:
        return None
    if peer_count > MAX_PEERS:
        return SettingsProblem("peers", f"expected at most {MAX_PEERS}, got {peer_count}")
    if len(set(peers)) < peer_count:
        return SettingsProblem("peers", "expected each address once")
    if settings.me >= peer_count:
        expected = f"expected less than {peer_count}, the number of peers, got {settings.me}"
        return SettingsProblem("me", expected)
    if settings.seats > peer_count:
        expected = f"expected at most {peer_count}, the number of peers, got {settings.seats}"
        return SettingsProblem("seats", expected)
    return _find_udp_problem(settings) if settings.link == "udp" else _find_unix_problem(settings)


def _find_udp_problem(settings: ConsensusSettings) -> SettingsProblem | None:
    for peer in settings.peers:
        address = parse_udp_address(peer)
        if address is None or address[1] == 0:
            expected = f"expected an IP address and a port, for example 10.0.0.4:7946, got {peer!r}"
            return SettingsProblem("peers", expected)
    listen = parse_udp_address(settings.listen)
    if listen is None:
        expected = f"expected an IP address and a port, got {settings.listen!r}"
        return SettingsProblem("peer_listen", expected)
    addresses = {parse_udp_address(peer) for peer in settings.peers}
    if len(addresses) < len(settings.peers):
        return SettingsProblem("peers", "expected each address once")
    if len({":" in address[0] for address in (*addresses, listen) if address}) > 1:
        expected = "expected addresses of one family, IPv4 or IPv6, the same as peer_listen"
        return SettingsProblem("peers", expected)
    return None


def _find_unix_problem(settings: ConsensusSettings) -> SettingsProblem | None:
    for path in settings.peers:
        if not path.startswith("/") or len(path.encode()) > MAX_SOCKET_PATH_BYTES:
            expected = f"expected an absolute path of up to {MAX_SOCKET_PATH_BYTES} bytes, got {path!r}"
            return SettingsProblem("peers", expected)
    if settings.listen not in settings.peers:
        return SettingsProblem("peer_listen", f"expected one of peers, got {settings.listen!r}")
    own_path = settings.peers[settings.me]
    if settings.listen != own_path:
        expected = f"expected peers[me], {own_path!r}, got {settings.listen!r}"
        return SettingsProblem("peer_listen", expected)
    return None
