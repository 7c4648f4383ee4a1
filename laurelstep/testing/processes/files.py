"""Configuration files of a process, and faults of its disk and files."""

from __future__ import annotations

import json
import random
import resource
from collections.abc import Mapping
from pathlib import Path
from typing import Any

# The process's limit of file sizes (RLIMIT_FSIZE) that stands for a full disk.
_FULL_DISK_BYTES = 0


def format_toml(tables: Mapping[str, Mapping[str, Any]]) -> str:
    """Return tables as TOML, nested ones inline; ValueError for a value that TOML cannot represent."""
    parts = []
    for name, table in tables.items():
        parts += [f"[{_key(name)}]", *(f"{_key(key)} = {_value(value)}" for key, value in table.items()), ""]
    return "\n".join(parts)


def _key(name: str) -> str:
    return _text(name)


def _text(text: str) -> str:
    """Return a basic string: as in JSON, but DEL must be escaped too."""
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
            return f"[{', '.join(_value(item) for item in value)}]"
        case dict():
            return f"{{{', '.join(f'{_key(key)} = {_value(item)}' for key, item in value.items())}}}"
    raise ValueError(f"no form in TOML: {value!r}")


# --- Disks ------------------------------------------------------------------------------


def fill_disk(pid: int) -> None:
    """Fail all further writes of the process to regular files. Linux only.

    The writes fail with EFBIG rather than with the ENOSPC of a full disk; both are OSError. Open files can
    still be read and synced.
    """
    _, hard_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (_FULL_DISK_BYTES, hard_limit))


def free_disk(pid: int) -> None:
    """Undo `fill_disk`."""
    _, hard_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard_limit, hard_limit))


def truncate_tail(path: Path, rng: random.Random, max_bytes: int = 4096) -> int:
    """Lose at most `max_bytes` of the last bytes written, as a power loss may; return how many.

    A preallocated file keeps its length: its tail is overwritten with zeros. 0 if nothing was written.
    The process must be down.
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
    """Flip one bit of the file; return the byte's offset. ValueError for an empty file."""
    data = bytearray(path.read_bytes())
    if not data:
        raise ValueError(f"{path.name} is empty")
    offset = rng.randrange(len(data))
    data[offset] ^= 1 << rng.randrange(8)
    path.write_bytes(data)
    return offset
