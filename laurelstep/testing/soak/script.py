"""What an endpoint of the soak is to do with a request, carried in the request's target. Pure."""

from __future__ import annotations

from dataclasses import dataclass, fields
from urllib.parse import parse_qs, urlencode


@dataclass(frozen=True, slots=True)
class EndpointScript:
    """The answer to one request, and how the request is read. Sizes in bytes, times in ms."""

    framing: str = "length"  # "length", "chunks" or "end"
    size: int = 2  # of the answer's body
    first: int = 0  # bytes of the body before the pause; 0: no pause
    pause: int = 0
    chunk: int = 0  # size of each chunk; 0: as written
    rate: int = 0  # bytes a second of the body; 0: at once
    fields: int = 0  # short header fields of the answer
    head_pause: int = 0  # before the last byte of the answer's head
    delay: int = 0  # before the answer
    read: int = -1  # bytes of the request's body that are read; -1: all
    read_rate: int = 0  # bytes a second of the request's body; 0: as it comes

    def query(self) -> str:
        """The script as part of a query."""
        default = EndpointScript()
        changed = {
            item.name: getattr(self, item.name)
            for item in fields(self)
            if getattr(self, item.name) != getattr(default, item.name)
        }
        return urlencode(changed)


def script_from_target(target: str) -> EndpointScript:
    """The script that a target's query carries."""
    values = parse_qs(target.partition("?")[2])
    parsed: dict[str, str | int] = {}
    for item in fields(EndpointScript):
        if item.name in values:
            text = values[item.name][0]
            parsed[item.name] = text if item.name == "framing" else int(text)
    return EndpointScript(**parsed)  # type: ignore[arg-type]
