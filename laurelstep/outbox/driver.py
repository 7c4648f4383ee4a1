"""Joins the pure outbox with its store and the engine: keeps, answers, replays, tells.

The rules:

1. A write is durable before its 202 leaves. One that could not be kept gets the answer it would have had; a
   refusal only where no later life can find the write, and a failure that says it may have run otherwise.
2. A client that left before its 202 was ready has nothing kept for it.
3. Each change of a write is durable before the step that it announces: OUT before it is sent, DONE before
   its receipt says so. An end that can't be written is written again until it is; until then the write is
   out, and a life that follows finds that it may have run.
4. A replay is a request of its own to the engine, with its class's rules and its own deadline.
5. A live write that follows what is kept is kept too, or refused: it never overtakes.
6. Where upstream is copies of this program, `shared.asking` adds what goes between them. A queued write of
   another edge that comes here as at a copy upstream is not kept again: its edge keeps it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import replace
from random import Random
from typing import Any, Final

import msgspec

from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.engine.engine import Engine
from laurelstep.engine.ports import Log
from laurelstep.outbox.admission import JSON, WriteAdmission
from laurelstep.outbox.bodies import BodySpool
from laurelstep.outbox.causality_tokens import CausalityTokens
from laurelstep.outbox.dependencies import Dependencies
from laurelstep.outbox.errors import (
    CauseError,
    OutboxError,
    TokenError,
    UnknownWriteError,
)
from laurelstep.outbox.memory import fix_mmap_threshold
from laurelstep.outbox.options import OutboxSettings
from laurelstep.outbox.outbox import (
    Outbox,
    OutboxBounds,
    QueuedClass,
)
from laurelstep.outbox.queue_store import LoadedWrites, QueueStore
from laurelstep.outbox.receipts import WriteReceipt, encode_receipt
from laurelstep.outbox.records import FINAL, Resolution, WriteState
from laurelstep.outbox.version_vector import LocalVersionVector, VersionVector, WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId, parse_write_id
from laurelstep.settings.config import ConfigError
from laurelstep.store import StoreError

# What is out as the process ends is waited for so long.
CLOSE_TIMEOUT_S: Final = 5.0
# Parked writes that an operator sees at once.
MAX_LISTED_WRITES: Final = 100


class OutboxDriver(WriteAdmission):
    """The engine's `WriteQueue`. Made by `open`, then `begin` with the engine; `close` at the end."""

    def __init__(
        self,
        store: QueueStore,
        outbox: Outbox,
        tokens: CausalityTokens,
        settings: OutboxSettings,
        classes: Mapping[str, int],
        tenants: Mapping[str, int],
        log: Log,
    ) -> None:
        super().__init__(store, outbox, tokens, settings, classes, tenants, log)
        self.bodies = BodySpool(self)

    @classmethod
    async def open(
        cls,
        settings: OutboxSettings,
        classes: Mapping[str, int],
        tenants: Mapping[str, int],
        log: Log,
        version_vector: VersionVector | None = None,
    ) -> OutboxDriver:
        """With all that earlier lives kept. `StoreError` or `OutboxError` if that can't be read, OSError
        or ValueError if the secret can't be. `version_vector`: that of a copy upstream which shares.
        """
        fix_mmap_threshold()
        store = await QueueStore.open(settings.store_path, settings.max_bytes, log)
        try:
            secret = await store.secret() if not settings.secret_file else _read_secret(settings.secret_file)
            tokens = CausalityTokens(secret)
            edge_log = EdgeLog(settings.edge, store.incarnation)
            asks = settings.upstream == "copies" and version_vector is None
            if asks:
                from laurelstep.outbox.shared.edge import RemoteVersionVector

                version_vector = RemoteVersionVector(edge_log, Random())
            version_vector = version_vector or LocalVersionVector(settings.edge)
            outbox = Outbox(edge_log, _classes_of(settings), _bounds_of(settings), tokens, version_vector)
            self = cls(store, outbox, tokens, settings, classes, tenants, log)
            if asks:
                from laurelstep.outbox.shared.asking import EdgeSharing

                self.sharing = EdgeSharing(self, secret)
            await self._restore()
        except BaseException:
            await store.close()
            raise
        return self

    async def _restore(self) -> None:
        loaded = await self.store.load()
        changes = self.outbox.restore(
            loaded.writes,
            loaded.edge_logs,
            self.now(),
            self.wall(),
            is_elapsed_known=self.store.is_elapsed_known,
            doubt_us=self.store.opening_doubt_us,
        )
        await self.store.put_logs(self.outbox.edge_logs())
        for write, moved in loaded.writes:
            if moved is not None and moved.state is WriteState.PARKED:
                self.parked[write.write_id] = moved.parking
        self._restore_shared(loaded)
        for change in changes:
            await self.store.put_state(change.state_change)
            self._apply(change)
        if loaded.writes:
            self.log(f"outbox: {len(loaded.writes)} writes of earlier lives, {len(self.parked)} parked")

    def _restore_shared(self, loaded: LoadedWrites) -> None:
        if self.sharing is not None:
            self.sharing.restore(loaded)
        if self.status_publisher is not None:
            for write_id in self.parked:
                self.status_publisher.publish(write_id, WriteStatus.PARKED)

    def begin(self, engine: Engine) -> None:
        """Take part in the engine's requests, and replay."""
        self.engine = engine
        engine.write_queue = self
        self._check_endpoints()
        self.wake()

    async def close(self) -> None:
        """What is being written is finished first; what is out gets a moment for its answer."""
        self.closing = True
        if self.replay_timer is not None:
            self.replay_timer.cancel()
        if self.sharing is not None:
            self.sharing.close()
        if self.engine is not None:
            self.engine.write_queue = None
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=CLOSE_TIMEOUT_S)
        for task in set(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(set(self.tasks))
        try:
            await self.store.put_logs(self.outbox.edge_logs())
        except StoreError as error:
            self.log(f"outbox: not written at the end: {error}")
        await self.store.close()

    def ask(self, call: Call) -> None:
        """A client asks for a receipt: `call.start` is its token."""
        self.spawn(self._tell(call))

    async def _tell(self, call: Call) -> None:
        try:
            receipt = await self.receipt(_one(self.tokens.read(call.method_and_target.decode("ascii"))))
            answer = Answer(Ending.SERVED, 200, (JSON,), encode_receipt(receipt))
        except UnknownWriteError as error:
            answer = Answer(Ending.FAILED, 404, (), f"{error}\n".encode())
        except (CauseError, UnicodeDecodeError) as error:
            answer = Answer(Ending.FAILED, 400, (), f"{error}\n".encode())
        except (StoreError, OutboxError) as error:
            answer = Answer(Ending.FAILED, 503, (), f"{error}\n".encode())
        call.frontend.on_answer(call, answer)

    async def receipt(self, write_id: WriteId) -> WriteReceipt:
        """With the final answer, where there is one. `UnknownWriteError`, `StoreError`."""
        receipt = self.outbox.receipt(write_id)
        if receipt.state in FINAL and (moved := await self.store.state_change(write_id)) is not None:
            receipt = replace(receipt, status=moved.status, headers=moved.headers, body=moved.body)
        return receipt

    def resolve(self, text: str, parking: int, resolution: Resolution) -> bool:
        """An operator's word on a parked write; False if it was given already. `OutboxError`."""
        change = self.outbox.resolve(parse_write_id(text), parking, resolution, self.wall())
        if change is None:
            return False
        self.spawn(self.take_step(change))
        return True

    def claim(self, edge_log: EdgeLog) -> bool:
        """An operator's word: of the processes that have copies of this disk, this one replays that log.
        False if it does. `UnknownWriteError`.
        """
        if self.sharing is None or edge_log not in self.outbox.edge_logs():
            raise UnknownWriteError(
                f"no line {edge_log.edge}/{edge_log.incarnation:016x} that others could have"
            )
        return self.sharing.force_lease(edge_log)

    def status(self) -> dict[str, Any]:
        """For an operator."""
        shown = list(self.parked)[:MAX_LISTED_WRITES]
        return {
            "edge": self.settings.edge,
            "cut_off": self.cutoff.is_cut_off,
            "kept": self.outbox.count,
            "bytes": self.outbox.size,
            "out": len(self.in_flight),
            "parked": len(self.parked),
            "disk_bytes": self.store.size,
            "writes": [
                msgspec.json.decode(encode_receipt(self.outbox.receipt(write_id))) for write_id in shown
            ],
        }


def _bounds_of(settings: OutboxSettings) -> OutboxBounds:
    return OutboxBounds(
        max_bytes=settings.max_bytes,
        max_writes=settings.max_writes,
        tenant_share=settings.tenant_share,
        age_us=settings.age_us,
        receipt_us=settings.receipt_us,
        replay_most=settings.replay_most,
        send_us=settings.max_deadline_us,
        orphans=settings.orphan_policy,
    )


def _classes_of(settings: OutboxSettings) -> dict[str, QueuedClass]:
    return {
        name: QueuedClass(name, one.effect == "keyed", one.window_us)
        for name, one in settings.classes.items()
    }


def _read_secret(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read(4096).strip()


def _one(dependencies: Dependencies) -> WriteId:
    if len(dependencies) != 1 or dependencies[0].before:
        raise TokenError("not the receipt of one write")
    return dependencies[0].write_id


async def open_driver(
    settings: OutboxSettings,
    classes: Mapping[str, int],
    tenants: Mapping[str, int],
    log: Log,
    file: str = "",
    version_vector: VersionVector | None = None,
) -> OutboxDriver:
    """As `OutboxDriver.open`; `ConfigError` with the key, `file` before it, if that can't be."""
    if settings.secret_file:
        try:
            _read_secret(settings.secret_file)
        except OSError as error:
            problem = f"{error.strerror}: expected a file that this user may read"
            raise ConfigError(f"{file}outbox.secret_file: {settings.secret_file}: {problem}") from None
    try:
        return await OutboxDriver.open(settings, classes, tenants, log, version_vector)
    except ValueError as error:
        if isinstance(error, OutboxError):
            raise ConfigError(f"{file}outbox.store_path: {settings.store_path}: {error}") from None
        raise ConfigError(f"{file}outbox.secret_file: {settings.secret_file}: {error}") from None
    except (StoreError, OutboxError, OSError) as error:
        raise ConfigError(f"{file}outbox.store_path: {settings.store_path}: {error}") from None
