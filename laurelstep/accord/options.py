"""The settings of `[accord]`, checked. Pure."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Final, Literal

SEATS_MOST: Final = 5  # where the table names no number
PEERS_MOST: Final = 256
PATH_MOST: Final = 107  # bytes of a Unix socket's path

LinkKind = Literal["udp", "unix"]


@dataclass(frozen=True)
class AccordSettings:
    """Times in µs. `peers` are in the order of their numbers, `me` is this process's own. With
    none the settings allow no datagrams: then accord stays off.

    `listen` is where it binds. It may differ from its own entry in `peers`, which is where the
    others see it."""

    peers: tuple[str, ...]
    listen: str
    me: int
    link: LinkKind = "udp"
    seats: int = 1
    store_path: str = ""  # empty: nothing lasts
    heartbeat_us: int = 200_000
    election_us: int = 600_000
    drift: float = 0.01

    @property
    def is_linked(self) -> bool:
        return bool(self.peers)


def seats_for(peers: int) -> int:
    """How many decide where the operator names no number: as many as can, an odd number."""
    most = min(SEATS_MOST, peers)
    return most - 1 + most % 2


def udp_address(text: object) -> tuple[str, int] | None:
    """Host and port of `host:port`, the host an IP address; None if it is anything else.
    Senders are told by their addresses: a name might come to mean another one."""
    host, _, port = str(text).rpartition(":")
    if not port.isdecimal() or not port.isascii() or not 0 <= int(port) <= 65535:
        return None
    host = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        # As the kernel tells a sender: an address may be written in several ways.
        return socket.inet_ntop(family, socket.inet_pton(family, host)), int(port)
    except (OSError, ValueError):
        return None


def problem_of(settings: AccordSettings) -> tuple[str, str] | None:
    """What can't be as the settings say: the key, and what was expected."""
    peers, count = settings.peers, len(settings.peers)
    if not peers:
        return None
    if count > PEERS_MOST:
        return "peers", f"expected at most {PEERS_MOST}, got {count}"
    if len(set(peers)) < count:
        return "peers", "expected each address once"
    if settings.me >= count:
        return "me", f"expected less than {count}, the number of peers, got {settings.me}"
    if settings.seats > count:
        return "seats", f"expected at most {count}, the number of peers, got {settings.seats}"
    return _udp_problem(settings) if settings.link == "udp" else _unix_problem(settings)


def _udp_problem(settings: AccordSettings) -> tuple[str, str] | None:
    for one in settings.peers:
        found = udp_address(one)
        if found is None or found[1] == 0:
            return "peers", f"expected an IP address and a port, as 10.0.0.4:7946, got {one!r}"
    if udp_address(settings.listen) is None:
        return "peer_listen", f"expected an IP address and a port, got {settings.listen!r}"
    found_all = {udp_address(one) for one in settings.peers}
    if len(found_all) < len(settings.peers):
        return "peers", "expected each address once"
    if len({":" in one[0] for one in (*found_all, udp_address(settings.listen)) if one}) > 1:
        return "peers", "expected addresses of one kind with peer_listen, IPv4 or IPv6"
    return None


def _unix_problem(settings: AccordSettings) -> tuple[str, str] | None:
    for one in settings.peers:
        if not one.startswith("/") or len(one.encode()) > PATH_MOST:
            return "peers", f"expected a whole path of at most {PATH_MOST} bytes, got {one!r}"
    if settings.listen not in settings.peers:
        return "peer_listen", f"expected one of peers, got {settings.listen!r}"
    if settings.listen != settings.peers[settings.me]:
        return "peer_listen", f"expected that of me, {settings.peers[settings.me]!r}, got {settings.listen!r}"
    return None
