"""CRC-32C in plain Python, for a machine on which the declared extra `store` can't be installed.

The same two functions, with the same results, as the library that the extra names; only slower.
"""

from __future__ import annotations

_POLYNOMIAL = 0x82F63B78


def _table() -> list[int]:
    table = []
    for byte in range(256):
        crc = byte
        for _ in range(8):
            crc = crc >> 1 ^ (_POLYNOMIAL if crc & 1 else 0)
        table.append(crc)
    return table


_TABLE = _table()


def extend(crc: int, chunk: bytes) -> int:
    """Return the checksum `crc` extended by these bytes."""
    crc ^= 0xFFFFFFFF
    for byte in chunk:
        crc = _TABLE[(crc ^ byte) & 0xFF] ^ crc >> 8
    return crc ^ 0xFFFFFFFF


def value(chunk: bytes) -> int:
    """Return the checksum of these bytes."""
    return extend(0, chunk)
