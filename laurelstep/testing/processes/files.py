"""Configuration files of a process, and faults of the disk that it writes to."""

from __future__ import annotations

import json
import random
import resource
from collections.abc import Mapping
from pathlib import Path
from typing import Any

# The largest size of a file in bytes, as a limit of the process, while the disk counts as full.
_FULL_DISK_BYTES = 0


def format_toml(tables: Mapping[str, Mapping[str, Any]]) -> str:
    """Tables as TOML; ValueError for a value that it has no form for. Tables in lists are inline."""
    parts = []
    for name, table in tables.items():
        parts += [f"[{_key(name)}]", *(f"{_key(key)} = {_value(value)}" for key, value in table.items()), ""]
    return "\n".join(parts)


def _key(name: str) -> str:
    return _text(name)


def _text(text: str) -> str:
    """A basic string: as in JSON, with one more character that must be escaped."""
    return json.dumps(text, ensure_ascii=False).replace("\x7f", "\\u007f")


def _value(value: Any) -> str:
    match value:
        case bool():
            return "true" if value else "false"
        case int() | float():
            return repr(value)
        case str():
            return _text(value)
        case list() | tuple():
            return f"[{', '.join(_value(one) for one in value)}]"
        case dict():
            return f"{{{', '.join(f'{_key(key)} = {_value(one)}' for key, one in value.items())}}}"
    raise ValueError(f"no form in TOML: {value!r}")


# --- Disks ------------------------------------------------------------------------------


def fill_disk(pid: int) -> None:
    """From now on no regular file takes a byte from this process: EFBIG, where a full disk says
    ENOSPC; OSError both. What is open may still be read, and synced. Linux only.
    """
    _, hard_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (_FULL_DISK_BYTES, hard_limit))


def free_disk(pid: int) -> None:
    """End what `fill_disk` did."""
    _, hard_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard_limit, hard_limit))


def truncate_tail(path: Path, rng: random.Random, max_bytes: int = 4096) -> int:
    """Take away a part of the last `most` bytes that were written, as power that fails in a write does;
    gives how many. A file that was made long before it was filled keeps its length, with zeros. For a
    process that is down. 0 if nothing was written.
    """
    data = path.read_bytes()
    written = len(data.rstrip(b"\0"))
    lost = rng.randint(1, min(max_bytes, written)) if written else 0
    with path.open("r+b") as file:
        if written == len(data):
            file.truncate(written - lost)
        else:
            file.seek(written - lost)
            file.write(bytes(lost))
    return lost


def flip_bit(path: Path, rng: random.Random) -> int:
    """Flip one bit of the file; gives the byte's offset. ValueError for an empty file."""
    data = bytearray(path.read_bytes())
    if not data:
        raise ValueError(f"{path.name} is empty")
    at = rng.randrange(len(data))
    data[at] ^= 1 << rng.randrange(8)
    path.write_bytes(data)
    return at
