"""Where JSON objects end in a stream of bytes, however they are laid out in lines and chunks.

Rules that everything here serves:

1. An object is given whole, or not at all; what is between two objects is white space.
2. What can't become JSON any more is an error at once; what only stops short is not: whoever
   reads the stream judges its silence.
3. A call looks at `SCAN` bytes at most, and what is kept is bounded: an object by `max_object`, what
   stands between two braces by `SCAN`, the depth by `DEPTH_MOST`.
4. Nothing is decoded here: what an object says is for its reader.

The grammar is RFC 8259's, section 2, read loosely: braces count outside strings only.
"""

from __future__ import annotations

import re
from typing import Final

# Bytes looked at in one call: some milliseconds of the loop at most. Of a list's entry, no
# string comes near it.
SCAN: Final = 64 * 1024
DEPTH_MOST: Final = 64

_WORDS: Final = (b"true", b"false", b"null")
_BETWEEN: Final = rb'(?:[\s,:\[\]0-9+\-.eE]++|"(?:[^"\\]++|\\.)*+"|true|false|null)*+'
_TO_BRACE: Final = re.compile(_BETWEEN + rb"([{}])", re.DOTALL)
_READABLE: Final = re.compile(_BETWEEN, re.DOTALL)
_SPACE: Final = re.compile(rb"[ \t\r\n]*+")


class JsonStreamDecoder:
    """Takes bytes with `feed` and gives objects with `next_object`. ValueError for what is no JSON."""

    __slots__ = ("buffer", "depth", "has_more", "max_object", "position")

    def __init__(self, max_object: int) -> None:
        self.max_object = max_object  # bytes of one object
        self.buffer = bytearray()
        self.position = 0  # up to here it was looked at
        self.depth = 0
        self.has_more = False  # the last call stopped at its bound: call again

    @property
    def has_partial_object(self) -> bool:
        """Whether an object has begun that is not whole."""
        return bool(self.depth) or self._space() < len(self.buffer)

    def feed(self, data: bytes) -> None:
        """More bytes of the stream."""
        self.buffer += data

    def next_object(self) -> bytearray | None:
        """The next object that is whole. None if there is none, or, with `has_more` set, if it was
        not found within the bytes of one call.
        """
        self.has_more = False
        if not self.depth and not self._opens():
            return None
        begin = self.position
        while self.position - begin < SCAN:
            found = _TO_BRACE.match(self.buffer, self.position, self.position + SCAN)
            if found is None:
                self._judge_rest()
                return None
            self.position = found.end()
            self.depth += 1 if found[1] == b"{" else -1
            if not self.depth:
                return self._cut()
            if self.depth > DEPTH_MOST:
                raise ValueError(f"nested deeper than {DEPTH_MOST}")
        self.has_more = True
        self._bound()
        return None

    def _opens(self) -> bool:
        """Whether an object begins; what comes before it is dropped."""
        del self.buffer[: self._space()]
        self.position = 0
        if not self.buffer:
            return False
        if self.buffer[:1] != b"{":
            raise ValueError(f"expected an object, got {bytes(self.buffer[:16])!r}")
        return True

    def _space(self) -> int:
        """Where the white space ends that the buffer begins with."""
        space = _SPACE.match(self.buffer)
        assert space is not None  # it matches nothing, too
        return space.end()

    def _cut(self) -> bytearray:
        if self.position == len(self.buffer):  # most often: it need not be copied
            whole, self.buffer = self.buffer, bytearray()
        else:
            whole = self.buffer[: self.position]
            del self.buffer[: self.position]
        self.position = 0
        return whole

    def _judge_rest(self) -> None:
        """No brace in what is left: more has to come, unless it can't be JSON."""
        self._bound()
        if len(self.buffer) - self.position >= SCAN:
            raise ValueError(f"{SCAN} bytes without a brace")
        found = _READABLE.match(self.buffer, self.position)
        assert found is not None
        rest = bytes(self.buffer[found.end() : found.end() + 5])
        if rest and rest[:1] != b'"' and not any(word.startswith(rest) for word in _WORDS):
            raise ValueError(f"no JSON: {rest!r}")

    def _bound(self) -> None:
        if len(self.buffer) > self.max_object:
            raise ValueError(f"an object of more than {self.max_object} bytes")
