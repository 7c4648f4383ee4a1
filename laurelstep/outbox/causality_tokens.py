"""The causality token: carries the writes that a client's next write depends on. Pure.

1. A token is signed with the edges' common secret, so that it can't be forged or altered. It has at most
   `MAX_TOKEN_LENGTH` characters, enough for any `GUARANTEED_LOGS` logs. A set that does not fit is replaced
   by a join: a queued write without effect that depends on the whole set (`Outbox.join`).
2. A request may bring several tokens, with at most `MAX_DEPENDENCIES` write ids in all.
3. A token is not confidential: it names writes, but the right to read their receipts is granted separately.
"""

from __future__ import annotations

import base64
import binascii
import hmac
from hashlib import blake2b
from typing import Final

import msgspec

from laurelstep.outbox.dependencies import MAX_DEPENDENCIES, Dependencies, Dependency, merge
from laurelstep.outbox.errors import LooseError, TokenError
from laurelstep.outbox.write_ids import EdgeLog, WriteId, check_edge

__all__ = ["MAX_TOKEN_LENGTH", "CausalityTokens"]

MAX_TOKEN_LENGTH: Final = 512
GUARANTEED_LOGS: Final = 6
# Bounds the memory that one header can take before any of its tokens is read.
_MAX_TOKENS: Final = 128
_SIGNATURE_BYTES: Final = 12
_VERSION: Final = 1
_NUMBER_END: Final = 1 << 63
_Payload = tuple[int, list[tuple[str, int, list[int], int]]]
_decoder: Final[msgspec.msgpack.Decoder[_Payload]] = msgspec.msgpack.Decoder(_Payload)


class CausalityTokens:
    """Encodes and reads tokens. The secret (16 bytes or more) is common to all edges and upstream copies."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) < 16:
            raise ValueError("the secret is shorter than 16 bytes")
        self._secret = blake2b(secret, digest_size=32, person=b"outbox token").digest()

    def encode(self, dependencies: Dependencies) -> str:
        """The token of a set of dependencies; `LooseError` if they do not fit into one token (rule 1)."""
        edge_logs: dict[EdgeLog, tuple[list[int], int]] = {}
        for dependency in merge(dependencies):
            exact, _ = edge_logs.setdefault(dependency.edge_log, ([], 0))
            if dependency.before:
                edge_logs[dependency.edge_log] = (exact, dependency.number)
            else:
                exact.append(dependency.number)
        payload = [
            (edge_log.edge, edge_log.incarnation, exact, bound)
            for edge_log, (exact, bound) in edge_logs.items()
        ]
        data = msgspec.msgpack.encode((_VERSION, payload))
        text = base64.urlsafe_b64encode(self._sign(data) + data).rstrip(b"=").decode()
        if len(text) > MAX_TOKEN_LENGTH:
            raise LooseError(f"{len(edge_logs)} lines are more than one token tells")
        return text

    def receipt(self, write_id: WriteId) -> str:
        """The token that names only this write: its receipt."""
        return self.encode((Dependency(*write_id),))

    def read(self, value: str) -> Dependencies:
        """Read the comma-separated tokens of one header.

        `TokenError` if one is invalid, `LooseError` if they exceed the bound of rule 2.
        """
        if len(value) > _MAX_TOKENS * (MAX_TOKEN_LENGTH + 2):
            raise LooseError("the tokens of one request are too long")
        texts = [text for part in value.split(",") if (text := part.strip())]
        if len(texts) > _MAX_TOKENS:
            raise LooseError(f"more than {_MAX_TOKENS} tokens in one request")
        dependencies = merge(*(self._read(text) for text in texts))
        if len(dependencies) > MAX_DEPENDENCIES:
            raise LooseError(f"{len(dependencies)} writes before one, {MAX_DEPENDENCIES} are the most")
        return dependencies

    def _read(self, text: str) -> list[Dependency]:
        if len(text) > MAX_TOKEN_LENGTH:
            raise TokenError(f"a token is longer than {MAX_TOKEN_LENGTH} characters")
        try:
            raw = base64.b64decode(text.encode("ascii") + b"=" * (-len(text) % 4), b"-_", validate=True)
        except (UnicodeEncodeError, binascii.Error, ValueError):
            raise TokenError("a token is not in the form of one") from None
        signature, data = raw[:_SIGNATURE_BYTES], raw[_SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._sign(data)):
            raise TokenError("a token was not given by an edge with this secret")
        return _dependencies_of(data)

    def _sign(self, data: bytes) -> bytes:
        return blake2b(data, digest_size=_SIGNATURE_BYTES, key=self._secret).digest()


def _dependencies_of(data: bytes) -> list[Dependency]:
    """Read a token's payload. Checked in full although it is signed: another version may have made it."""
    dependencies: list[Dependency] = []
    try:
        version, edge_logs = _decoder.decode(data)
        if version != _VERSION:
            raise ValueError(f"a token of version {version}")
        for edge, incarnation, numbers, bound in edge_logs:
            check_edge(edge)
            if not all(0 < number < _NUMBER_END for number in (*numbers, bound or 1)):
                raise ValueError("a number that can't be")
            if not 0 <= incarnation < 1 << 64:
                raise ValueError("an incarnation that can't be")
            dependencies += [Dependency(edge, incarnation, number) for number in numbers]
            if bound:
                dependencies.append(Dependency(edge, incarnation, bound, True))
    except (msgspec.MsgspecError, ValueError) as error:
        raise TokenError(f"a token can't be read: {error}") from None
    return dependencies
