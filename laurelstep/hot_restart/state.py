"""What crosses from predecessor to successor: the endpoint list as it was told. Pure.

Not the requests: each is finished by the process that accepted it, which alone knows what of it may have run.
So no idempotency key and no window has to cross. Not the connections to endpoints: they carry requests. The
slow-start budget of an endpoint begins anew with what the successor sends itself, as for a replica that
starts beside others; each stays within its own part.

And, where it is on, the memory of the predecessor's consensus replica, from which the successor goes on as
the same member. It is handed over once, by a process that takes no part any more.
"""

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
MAX_REPLICA_BYTES: Final = 1 << 20


def collect_state(config: Config, source: MemberSource, endpoint_list: bytes) -> dict[str, bytes]:
    """The state, its values in JSON; `endpoint_list` is in JSON, in discovery's form."""
    address = source.address if isinstance(source, Discovery) else config.discovery
    return {"discovery": json.dumps(address).encode(), "known": endpoint_list}


def config_with_state(config: Config, state: dict[str, Any]) -> Config:
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


def encode_replica(memory: Mapping[bytes, bytes]) -> dict[str, bytes]:
    """The state's value for a replica's memory, in JSON; none where it would be too long."""
    if not memory or sum(len(key) + len(value) for key, value in memory.items()) > MAX_REPLICA_BYTES:
        return {}
    encoded = {_encode_base64(key): _encode_base64(value) for key, value in memory.items()}
    return {"accord": json.dumps(encoded, separators=(",", ":")).encode()}


def decode_replica(state: Mapping[str, Any]) -> dict[bytes, bytes] | None:
    """What `encode_replica` was given; None if it is absent or can't be read completely."""
    encoded = state.get("accord")
    if not isinstance(encoded, dict) or not encoded:
        return None
    try:
        return {
            base64.b64decode(key, validate=True): base64.b64decode(value, validate=True)
            for key, value in encoded.items()
        }
    except (ValueError, TypeError):
        return None


def _encode_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()
