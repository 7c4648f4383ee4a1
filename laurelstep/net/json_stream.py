"""Splits a stream of bytes into JSON objects, independent of line breaks and chunks.

Rules of this module:

1. An object is returned complete, or not at all. Only white space may stand between two objects.
2. Bytes that can't become valid JSON are an error at once. An incomplete object is not: the reader of the
   stream decides when it has waited too long.
3. A call scans about `SCAN_BYTES` at most, and the buffer is bounded: an object by `max_object_bytes`, the
   bytes between two braces by `SCAN_BYTES`, the nesting depth by `MAX_DEPTH`.
4. Objects are not decoded here; that is done by the caller.

The grammar is that of RFC 8259, section 2, checked loosely: only braces outside strings are matched.
"""

from __future__ import annotations

import re
from typing import Final

# Bytes that one call scans, so that it takes some milliseconds at most. No string in a list entry is nearly
# as long.
SCAN_BYTES: Final = 64 * 1024
MAX_DEPTH: Final = 64

_LITERALS: Final = (b"true", b"false", b"null")
_TOKENS: Final = rb'(?:[\s,:\[\]0-9+\-.eE]++|"(?:[^"\\]++|\\.)*+"|true|false|null)*+'
_TO_BRACE: Final = re.compile(_TOKENS + rb"([{}])", re.DOTALL)
_TOKENS_ONLY: Final = re.compile(_TOKENS, re.DOTALL)
_SPACE: Final = re.compile(rb"[ \t\r\n]*+")


class JsonStreamDecoder:
    """Takes bytes with `feed` and returns objects with `next_object`, which raises ValueError for bytes that
    are not JSON.
    """

    __slots__ = ("buffer", "depth", "has_more", "max_object_bytes", "position")

    def __init__(self, max_object_bytes: int) -> None:
        self.max_object_bytes = max_object_bytes
        self.buffer = bytearray()
        self.position = 0  # bytes of the buffer that were scanned
        self.depth = 0  # braces that are open at `position`
        self.has_more = False  # the last call stopped at its limit, so `next_object` has to be called again

    @property
    def has_partial_object(self) -> bool:
        """Whether the buffer holds the beginning of an object that is not complete."""
        return bool(self.depth) or self._white_space_end() < len(self.buffer)

    def feed(self, data: bytes) -> None:
        """Append bytes of the stream to the buffer."""
        self.buffer += data

    def next_object(self) -> bytearray | None:
        """Remove the next complete object from the buffer and return it. None if there is none, or, with
        `has_more` set, if its end was not found within the bytes that one call scans.
        """
        self.has_more = False
        if not self.depth and not self._has_object_start():
            return None
        begin = self.position
        while self.position - begin < SCAN_BYTES:
            match = _TO_BRACE.match(self.buffer, self.position, self.position + SCAN_BYTES)
            if match is None:
                self._check_incomplete()
                return None
            self.position = match.end()
            self.depth += 1 if match[1] == b"{" else -1
            if not self.depth:
                return self._take_object()
            if self.depth > MAX_DEPTH:
                raise ValueError(f"JSON nested deeper than {MAX_DEPTH} levels")
        self.has_more = True
        self._check_size()
        return None

    def _has_object_start(self) -> bool:
        """Whether the buffer holds the start of an object; drops the white space before it."""
        del self.buffer[: self._white_space_end()]
        self.position = 0
        if not self.buffer:
            return False
        if self.buffer[:1] != b"{":
            raise ValueError(f"expected a JSON object, got {bytes(self.buffer[:16])!r}")
        return True

    def _white_space_end(self) -> int:
        """The length of the white space at the start of the buffer."""
        space = _SPACE.match(self.buffer)
        assert space is not None  # the pattern also matches the empty string
        return space.end()

    def _take_object(self) -> bytearray:
        if self.position == len(self.buffer):  # the usual case, which needs no copy
            complete, self.buffer = self.buffer, bytearray()
        else:
            complete = self.buffer[: self.position]
            del self.buffer[: self.position]
        self.position = 0
        return complete

    def _check_incomplete(self) -> None:
        """Check the unscanned bytes, which hold no brace outside a string; ValueError if they can't become
        JSON.
        """
        self._check_size()
        if len(self.buffer) - self.position >= SCAN_BYTES:
            raise ValueError(f"{SCAN_BYTES} bytes of JSON without a brace")
        match = _TOKENS_ONLY.match(self.buffer, self.position)
        assert match is not None
        rest = bytes(self.buffer[match.end() : match.end() + 5])
        if rest and rest[:1] != b'"' and not any(literal.startswith(rest) for literal in _LITERALS):
            raise ValueError(f"malformed JSON: {rest!r}")

    def _check_size(self) -> None:
        if len(self.buffer) > self.max_object_bytes:
            raise ValueError(f"JSON object of more than {self.max_object_bytes} bytes")
