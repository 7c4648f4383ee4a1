"""The settings section `[accord]`, checked. Pure."""

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

MAX_DEFAULT_SEATS: Final = 5
MAX_PEERS: Final = 256
MAX_SOCKET_PATH_BYTES: Final = 107
MAX_PORT: Final = 65535

LinkKind = Literal["udp", "unix"]


@dataclass(frozen=True)
class ConsensusSettings:
    """The settings of the section, named as its keys. Times in µs.

    `peers` are in the order of their numbers, `me` is this process's own; the first `seats` of them are
    voters. Without peers there are no datagrams: then consensus stays off. `listen` is the address to bind.
    It may differ from the process's own entry in `peers`, which is where the others see it.
    """

    peers: tuple[str, ...]
    listen: str
    me: int
    link: LinkKind = "udp"
    seats: int = 1
    store_path: str = ""  # empty: nothing is durable
    heartbeat_us: int = 200_000
    election_us: int = 600_000
    drift: float = 0.01

    @property
    def has_peers(self) -> bool:
        """Whether there are peers to replicate with."""
        return bool(self.peers)


class SettingsProblem(NamedTuple):
    """A key that can't be as it is set, and what was expected."""

    key: str
    expected: str


def default_voter_count(peer_count: int) -> int:
    """Return how many voters there are by default: as many as possible, an odd number."""
    most = min(MAX_DEFAULT_SEATS, peer_count)
    return most - 1 + most % 2


def parse_udp_address(text: object) -> tuple[str, int] | None:
    """Return the host and port of `host:port`, the host an IP address; None if it is anything else.

    Senders are recognized by their addresses: a host name might come to mean another one.
    """
    host, _, port = str(text).rpartition(":")
    if not port.isdecimal() or not port.isascii() or not 0 <= int(port) <= MAX_PORT:
        return None
    host = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        # As the kernel reports a sender: an address may be written in several ways.
        return socket.inet_ntop(family, socket.inet_pton(family, host)), int(port)
    except (OSError, ValueError):
        return None


def find_settings_problem(settings: ConsensusSettings) -> SettingsProblem | None:
    """Return the first problem of the settings, if there is one."""
    peers, count = settings.peers, len(settings.peers)
    if not peers:
        return None
    if count > MAX_PEERS:
        return SettingsProblem("peers", f"expected at most {MAX_PEERS}, got {count}")
    if len(set(peers)) < count:
        return SettingsProblem("peers", "expected each address once")
    if settings.me >= count:
        expected = f"expected less than {count}, the number of peers, got {settings.me}"
        return SettingsProblem("me", expected)
    if settings.seats > count:
        expected = f"expected at most {count}, the number of peers, got {settings.seats}"
        return SettingsProblem("seats", expected)
    return _udp_problem(settings) if settings.link == "udp" else _unix_problem(settings)


def _udp_problem(settings: ConsensusSettings) -> SettingsProblem | None:
    for peer in settings.peers:
        address = parse_udp_address(peer)
        if address is None or address[1] == 0:
            expected = f"expected an IP address and a port, as 10.0.0.4:7946, got {peer!r}"
            return SettingsProblem("peers", expected)
    listen = parse_udp_address(settings.listen)
    if listen is None:
        expected = f"expected an IP address and a port, got {settings.listen!r}"
        return SettingsProblem("peer_listen", expected)
    addresses = {parse_udp_address(peer) for peer in settings.peers}
    if len(addresses) < len(settings.peers):
        return SettingsProblem("peers", "expected each address once")
    if len({":" in address[0] for address in (*addresses, listen) if address}) > 1:
        expected = "expected addresses of one kind with peer_listen, IPv4 or IPv6"
        return SettingsProblem("peers", expected)
    return None


def _unix_problem(settings: ConsensusSettings) -> SettingsProblem | None:
    for path in settings.peers:
        if not path.startswith("/") or len(path.encode()) > MAX_SOCKET_PATH_BYTES:
            expected = f"expected a whole path of at most {MAX_SOCKET_PATH_BYTES} bytes, got {path!r}"
            return SettingsProblem("peers", expected)
    if settings.listen not in settings.peers:
        return SettingsProblem("peer_listen", f"expected one of peers, got {settings.listen!r}")
    own_path = settings.peers[settings.me]
    if settings.listen != own_path:
        expected = f"expected that of me, {own_path!r}, got {settings.listen!r}"
        return SettingsProblem("peer_listen", expected)
    return None
