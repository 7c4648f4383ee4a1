"""Several state machines on one replicated log. Pure.

1. An entry's first byte names its state machine; the rest is that machine's. Each sees the indexes of its own
   entries alone.
2. An entry for no state machine here is counted and has no effect. So a new one is used only once every
   process of the tier has it; what a snapshot holds for one that is not here is passed on as it came.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from laurelstep.consensus.ports import StateMachine

__all__ = ["CompositeStateMachine"]

_decoder: msgspec.msgpack.Decoder[dict[int, bytes]] = msgspec.msgpack.Decoder(dict[int, bytes])


class CompositeStateMachine:
    """A state machine that consists of several. See the rules."""

    def __init__(self, machines: Mapping[int, StateMachine]) -> None:
        """`machines` by their byte, 0 to 255."""
        self._machines = dict(machines)
        self._unknown_dumps: dict[int, bytes] = {}
        self.ignored_count = 0

    def apply(self, index: int, data: bytes) -> None:
        """Apply an entry to the state machine that it names."""
        machine = self._machines.get(data[0]) if data else None
        if machine is None:
            self.ignored_count += 1
        else:
            machine.apply(index, data[1:])

    def dump(self) -> bytes:
        """Return the state of all, with that of unknown ones."""
        dumps = self._unknown_dumps | {key: machine.dump() for key, machine in self._machines.items()}
        return msgspec.msgpack.encode(dict(sorted(dumps.items())))

    def load(self, raw: bytes) -> None:
        """Replace the state of all by what `dump` gave; by the initial one if empty."""
        dumps = _decoder.decode(raw) if raw else {}
        for key, machine in self._machines.items():
            machine.load(dumps.pop(key, b""))
        self._unknown_dumps = dumps
