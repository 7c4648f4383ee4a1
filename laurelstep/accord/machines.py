"""Several machines on one record. Pure.

1. An entry's first byte names its machine; the rest is that machine's. Each sees the places of its own
   entries alone.
2. An entry for no machine here is counted and does nothing. So a new machine is used only once every process
   of the tier has it; what a snapshot holds for one that is not here is handed on as it came.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from laurelstep.accord.ports import Machine

__all__ = ["Machines"]

_decoder: msgspec.msgpack.Decoder[dict[int, bytes]] = msgspec.msgpack.Decoder(dict[int, bytes])


class Machines:
    """See the rules. Is a Machine itself."""

    def __init__(self, machines: Mapping[int, Machine]) -> None:
        """`machines` by their byte, 0 to 255."""
        self._machines = dict(machines)
        self._others: dict[int, bytes] = {}
        self.ignored = 0

    def apply(self, index: int, data: bytes) -> None:
        machine = self._machines.get(data[0]) if data else None
        if machine is None:
            self.ignored += 1
        else:
            machine.apply(index, data[1:])

    def dump(self) -> bytes:
        dumps = self._others | {key: machine.dump() for key, machine in self._machines.items()}
        return msgspec.msgpack.encode(dict(sorted(dumps.items())))

    def load(self, raw: bytes) -> None:
        dumps = _decoder.decode(raw) if raw else {}
        for key, machine in self._machines.items():
            machine.load(dumps.pop(key, b""))
        self._others = dumps
