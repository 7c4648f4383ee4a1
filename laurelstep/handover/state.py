"""What crosses from one process to the next: the list as it was told. Pure.

Not the requests: each is finished by the process that took it, which alone knows what of it may
have run. So no key and no window has to cross. Not the connections to endpoints: they carry
requests. A cold endpoint's budget begins anew with what the new process sends itself, as
for a copy that starts beside others; each stays within its own part.

And, where it is on, this process's part in what the tier shares: what its successor begins from as
the same member. It is given once, by a process that takes no part any more."""

from __future__ import annotations

import base64
import json
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, Final

from laurelstep.engine.ports import MemberSource
from laurelstep.net.discovery import Discovery
from laurelstep.settings import Config

# Keys and values: a snapshot and the entries after it. Above it the successor is another member.
KEPT_MOST: Final = 1 << 20


def state_of(config: Config, source: MemberSource, known: bytes) -> dict[str, bytes]:
    """Values in JSON; `known` is the list in discovery's form."""
    address = source.address if isinstance(source, Discovery) else config.discovery
    return {"discovery": json.dumps(address).encode(), "known": known}


def with_state(config: Config, state: dict[str, Any]) -> Config:
    """The configuration, with what of the state can be used."""
    known = state.get("known")
    if not isinstance(known, dict) or not isinstance(known.get("instances"), list):
        return config
    generation = known.get("generation")
    if type(generation) is not int or generation < 0:
        return config
    if state.get("discovery") != config.discovery:
        # Another source's versions say nothing: its whole list is asked for.
        known = {**known, "generation": 0}
    elif config.known is not None and int(config.known["generation"]) > generation:
        return config
    return replace(config, known=known)


def state_of_accord(kept: Mapping[bytes, bytes]) -> dict[str, bytes]:
    """Value in JSON; none where it would be too long."""
    if not kept or sum(len(key) + len(value) for key, value in kept.items()) > KEPT_MOST:
        return {}
    told = {_text(key): _text(value) for key, value in kept.items()}
    return {"accord": json.dumps(told, separators=(",", ":")).encode()}


def kept_in(state: Mapping[str, Any]) -> dict[bytes, bytes] | None:
    """What `state_of_accord` told, None if it is absent or can't be read as a whole."""
    told = state.get("accord")
    if not isinstance(told, dict) or not told:
        return None
    try:
        return {
            base64.b64decode(key, validate=True): base64.b64decode(value, validate=True)
            for key, value in told.items()
        }
    except (ValueError, TypeError):
        return None


def _text(raw: bytes) -> str:
    return base64.b64encode(raw).decode()
