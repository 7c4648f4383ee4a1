"""The state that the predecessor passes to the successor: the endpoint list as discovery sent it. Pure.

Requests are not passed on: each is finished by the process that accepted it, as only this one knows which
attempts may have run. So no idempotency key and no window has to be passed on. Connections to endpoints are
not, as they carry requests. The slow-start budget of an endpoint begins anew with what the successor sends,
as for a replica that starts beside others; each process keeps to its share.

If consensus is enabled, the state includes the memory of the predecessor's replica, with which the successor
continues as the same member. It is passed on once, by a process that no longer takes part in consensus.
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
    """Return the state, its values in JSON; `endpoint_list` is JSON in discovery's form."""
    address = source.address if isinstance(source, Discovery) else config.discovery
    return {"discovery": json.dumps(address).encode(), "known": endpoint_list}


def config_with_state(config: Config, state: dict[str, Any]) -> Config:
    """Return the configuration with those parts of the state that can be used."""
    endpoint_list = state.get("known")
    if not isinstance(endpoint_list, dict) or not isinstance(endpoint_list.get("instances"), list):
        return config
    generation = endpoint_list.get("generation")
    if type(generation) is not int or generation < 0:
        return config
    if state.get("discovery") != config.discovery:
        # Generations of another source are not comparable: the complete list is requested.
        endpoint_list = {**endpoint_list, "generation": 0}
    elif config.known is not None and int(config.known["generation"]) > generation:
        return config
    return replace(config, known=endpoint_list)


def encode_replica(memory: Mapping[bytes, bytes]) -> dict[str, bytes]:
    """Return the state's entry for a replica's memory, in JSON; none if it would be too long."""
    if not memory or sum(len(key) + len(value) for key, value in memory.items()) > MAX_REPLICA_BYTES:
        return {}
    encoded = {_encode_base64(key): _encode_base64(value) for key, value in memory.items()}
    return {"accord": json.dumps(encoded, separators=(",", ":")).encode()}


def decode_replica(state: Mapping[str, Any]) -> dict[bytes, bytes] | None:
    """Return the memory that `encode_replica` encoded; None if it is absent or not wholly readable."""
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
