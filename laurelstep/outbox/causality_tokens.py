"""The token that tells a client's next write what it follows. Pure.

1. A token is signed with the edges' common secret: it can't be made up, and no bit of it changed. It is at
   most `TOKEN_MOST` characters; any `LOGS_FIT` logs fit. A set that does not fit gets a name of its own
   instead: a join, a queued write without an effect that follows all of the set (`Outbox.join`).
2. A request may bring several tokens, `MAX_DEPENDENCIES` write ids in all.
3. The token is no secret of its client: it names writes, and asking for their receipts is another right.
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

__all__ = ["TOKEN_MOST", "CausalityTokens"]

TOKEN_MOST: Final = 512
LOGS_FIT: Final = 6
# Guards the header's memory before anything of it is read: as many tokens as have sense.
_TOKENS_MOST: Final = 128
_SIGN_SIZE: Final = 12
_VERSION: Final = 1
_NUMBER_END: Final = 1 << 63
_Told = tuple[int, list[tuple[str, int, list[int], int]]]
_decoder: Final[msgspec.msgpack.Decoder[_Told]] = msgspec.msgpack.Decoder(_Told)


class CausalityTokens:
    """Makes and reads tokens with the secret that all edges and upstream copies share (16 bytes or more)."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) < 16:
            raise ValueError("the secret is shorter than 16 bytes")
        self._secret = blake2b(secret, digest_size=32, person=b"outbox token").digest()

    def encode(self, dependencies: Dependencies) -> str:
        """The token of a set; `LooseError` if it is longer than a token may be (rule 1)."""
        edge_logs: dict[EdgeLog, tuple[list[int], int]] = {}
        for dependency in merge(dependencies):
            exact, _ = edge_logs.setdefault(dependency.edge_log, ([], 0))
            if dependency.before:
                edge_logs[dependency.edge_log] = (exact, dependency.number)
            else:
                exact.append(dependency.number)
        told = [
            (edge_log.edge, edge_log.incarnation, exact, bound)
            for edge_log, (exact, bound) in edge_logs.items()
        ]
        data = msgspec.msgpack.encode((_VERSION, told))
        text = base64.urlsafe_b64encode(self._sign(data) + data).rstrip(b"=").decode()
        if len(text) > TOKEN_MOST:
            raise LooseError(f"{len(edge_logs)} lines are more than one token tells")
        return text

    def receipt(self, write_id: WriteId) -> str:
        """The token of one write."""
        return self.encode((Dependency(*write_id),))

    def read(self, value: str) -> Dependencies:
        """What a header's tokens say, parted by commas; `TokenError`, or `LooseError` by rule 2."""
        if len(value) > _TOKENS_MOST * (TOKEN_MOST + 2):
            raise LooseError("the tokens of one request are too long")
        texts = [text for part in value.split(",") if (text := part.strip())]
        if len(texts) > _TOKENS_MOST:
            raise LooseError(f"more than {_TOKENS_MOST} tokens in one request")
        dependencies = merge(*(self._read(text) for text in texts))
        if len(dependencies) > MAX_DEPENDENCIES:
            raise LooseError(f"{len(dependencies)} writes before one, {MAX_DEPENDENCIES} are the most")
        return dependencies

    def _read(self, text: str) -> list[Dependency]:
        if len(text) > TOKEN_MOST:
            raise TokenError(f"a token is longer than {TOKEN_MOST} characters")
        try:
            raw = base64.b64decode(text.encode("ascii") + b"=" * (-len(text) % 4), b"-_", validate=True)
        except (UnicodeEncodeError, binascii.Error, ValueError):
            raise TokenError("a token is not in the form of one") from None
        sign, data = raw[:_SIGN_SIZE], raw[_SIGN_SIZE:]
        if not hmac.compare_digest(sign, self._sign(data)):
            raise TokenError("a token was not given by an edge with this secret")
        return _causes_of(data)

    def _sign(self, data: bytes) -> bytes:
        return blake2b(data, digest_size=_SIGN_SIZE, key=self._secret).digest()


def _causes_of(data: bytes) -> list[Dependency]:
    """Signed, but maybe by another version: read as strictly as if it were not."""
    found: list[Dependency] = []
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
            found += [Dependency(edge, incarnation, number) for number in numbers]
            if bound:
                found.append(Dependency(edge, incarnation, bound, True))
    except (msgspec.MsgspecError, ValueError) as error:
        raise TokenError(f"a token can't be read: {error}") from None
    return found
