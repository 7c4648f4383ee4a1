"""What crosses from one process to the next: the list as it was told. Pure.

Not the requests: each is finished by the process that took it, which alone knows what of it may
have run. So no key and no window has to cross. Not the connections to endpoints: they carry
requests. A cold endpoint's budget begins anew with what the new process sends itself, as
for a copy that starts beside others; each stays within its own part."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

from woadyard.engine.ports import MemberSource
from woadyard.net.discovery import Discovery
from woadyard.settings import Config


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
