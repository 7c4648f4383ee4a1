"""Combines several state machines on one replicated log. No I/O.

1. The first byte of an entry selects its state machine, which applies the rest. A state machine sees only
   the indexes of its own entries.
2. An entry for an unknown state machine is counted and has no effect. So a new state machine is used only
   once every process of the tier has it. Dumps of unknown state machines in a snapshot are kept
   unchanged.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from laurelstep.consensus.ports import StateMachine

__all__ = ["CompositeStateMachine"]

_decoder: msgspec.msgpack.Decoder[dict[int, bytes]] = msgspec.msgpack.Decoder(dict[int, bytes])


class CompositeStateMachine:
    """A state machine that consists of several others. See the rules of the module."""

    def __init__(self, machines: Mapping[int, StateMachine]) -> None:
        """`machines` are keyed by the first byte of their entries, 0 to 255."""
        self._machines = dict(machines)
        self._unknown_dumps: dict[int, bytes] = {}
        self.ignored_count = 0

    def apply(self, index: int, data: bytes) -> None:
        """Apply an entry to the state machine that its first byte selects."""
        machine = self._machines.get(data[0]) if data else None
        if machine is None:
            self.ignored_count += 1
        else:
            machine.apply(index, data[1:])

    def dump(self) -> bytes:
        """Return the dumps of all state machines, including those of unknown ones, as bytes."""
        dumps = self._unknown_dumps | {key: machine.dump() for key, machine in self._machines.items()}
        return msgspec.msgpack.encode(dict(sorted(dumps.items())))

    def load(self, raw: bytes) -> None:
        """Replace the state of all state machines with a dump; with the initial state if `raw` is empty."""
        dumps = _decoder.decode(raw) if raw else {}
        for key, machine in self._machines.items():
            machine.load(dumps.pop(key, b""))
        self._unknown_dumps = dumps
