"""CRC-32C (RFC 3720, appendix B.4) in plain Python, with the interface that the project's stores use."""

from __future__ import annotations

_POLYNOMIAL = 0x82F63B78


def _table_entry(byte: int) -> int:
    for _ in range(8):
        byte = byte >> 1 ^ (_POLYNOMIAL if byte & 1 else 0)
    return byte


_TABLE = tuple(_table_entry(byte) for byte in range(256))


def extend(crc: int, data: bytes) -> int:
    """The checksum of data that follows other data with the checksum `crc`."""
    crc ^= 0xFFFFFFFF
    table = _TABLE
    for byte in data:
        crc = table[(crc ^ byte) & 0xFF] ^ crc >> 8
    return crc ^ 0xFFFFFFFF


def value(data: bytes) -> int:
    """The checksum of data."""
    return extend(0, data)
