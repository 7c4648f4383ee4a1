"""The outbox's driver: connects the pure `Outbox` with its store and the engine.

The rules:

1. A write is durable before its 202 is sent. A write that could not be stored gets the answer that it would
   have had without the outbox. It is refused only if no later incarnation can find the write; otherwise its
   client is told that it may have run.
2. No write is kept for a client that disconnected before its 202 was ready.
3. Each state change of a write is durable before the step that it announces: OUT before the write is sent,
   DONE before its receipt says so. A final state that can't be stored is retried until it is; until then the
   write counts as sent, and the next incarnation finds that it may have run.
4. The engine treats a replay as a separate request, with the rules of its class and a new deadline.
5. A live write that causally depends on a queued write is queued too, or refused: it never overtakes.
6. Where upstream is copies of this program, `shared.asking` adds the messages between the edge and them. A
   queued write that another edge replays to this process is not queued again: that edge keeps it.
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

# How long `close` waits for the tasks that still run, replays in flight included.
CLOSE_TIMEOUT_S: Final = 5.0
# Parked writes in one status reply.
MAX_LISTED_WRITES: Final = 100


class OutboxDriver(WriteAdmission):
    """The engine's `WriteQueue`. Made by `open`; `begin` connects it to the engine, `close` ends it."""

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
        """Open the store and restore all that earlier incarnations queued.

        `version_vector`: the replicated one, at an upstream copy with `outbox.shared` on; None elsewhere.
        `StoreError` or `OutboxError` if the store can't be read, OSError if the secret can't be, ValueError
        if the secret is shorter than 16 bytes.
        """
        fix_mmap_threshold()
        store = await QueueStore.open(settings.store_path, settings.max_bytes, log)
        try:
            secret = await store.secret() if not settings.secret_file else _read_secret(settings.secret_file)
            tokens = CausalityTokens(secret)
            edge_log = EdgeLog(settings.edge, store.incarnation)
            uses_remote_vector = settings.upstream == "copies" and version_vector is None
            if uses_remote_vector:
                from laurelstep.outbox.shared.edge import RemoteVersionVector

                version_vector = RemoteVersionVector(edge_log, Random())
            version_vector = version_vector or LocalVersionVector(settings.edge)
            outbox = Outbox(edge_log, _classes_of(settings), _bounds_of(settings), tokens, version_vector)
            self = cls(store, outbox, tokens, settings, classes, tenants, log)
            if uses_remote_vector:
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
            uncertainty_us=self.store.opening_uncertainty_us,
        )
        await self.store.put_logs(self.outbox.edge_logs())
        for write, state_change in loaded.writes:
            if state_change is not None and state_change.state is WriteState.PARKED:
                self.parked[write.write_id] = state_change.parking
        self._restore_shared(loaded)
        for change in changes:
            await self.store.put_state(change.state_change)
            self._apply(change)
        if loaded.writes:
            self.log(
                f"outbox: {len(loaded.writes)} writes restored from the store, {len(self.parked)} parked"
            )

    def _restore_shared(self, loaded: LoadedWrites) -> None:
        if self.sharing is not None:
            self.sharing.restore(loaded)
        if self.status_publisher is not None:
            for write_id in self.parked:
                self.status_publisher.publish(write_id, WriteStatus.PARKED)

    def begin(self, engine: Engine) -> None:
        """Become the engine's write queue, and start to replay."""
        self.engine = engine
        engine.write_queue = self
        self._check_endpoints()
        self.wake()

    async def close(self) -> None:
        """Stop replaying, wait up to `CLOSE_TIMEOUT_S` for pending tasks, and close the store.

        The tasks include writes that are being stored and replays whose answer is awaited.
        """
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
            self.log(f"outbox: the highest numbers of the logs were not stored at shutdown: {error}")
        await self.store.close()

    def ask(self, call: Call) -> None:
        """Answer a client's request for a receipt; `call.method_and_target` is its token."""
        self.spawn(self._answer_receipt(call))

    async def _answer_receipt(self, call: Call) -> None:
        try:
            receipt = await self.receipt(
                _single_write_id(self.tokens.read(call.method_and_target.decode("ascii")))
            )
            answer = Answer(Ending.SERVED, 200, (JSON,), encode_receipt(receipt))
        except UnknownWriteError as error:
            answer = Answer(Ending.FAILED, 404, (), f"{error}\n".encode())
        except (CauseError, UnicodeDecodeError) as error:
            answer = Answer(Ending.FAILED, 400, (), f"{error}\n".encode())
        except (StoreError, OutboxError) as error:
            answer = Answer(Ending.FAILED, 503, (), f"{error}\n".encode())
        call.frontend.on_answer(call, answer)

    async def receipt(self, write_id: WriteId) -> WriteReceipt:
        """The receipt of a write, with its final answer if there is one.

        `UnknownWriteError` if there is no such write, `StoreError` if its answer can't be read.
        """
        receipt = self.outbox.receipt(write_id)
        if receipt.state in FINAL and (state_change := await self.store.state_change(write_id)) is not None:
            receipt = replace(
                receipt, status=state_change.status, headers=state_change.headers, body=state_change.body
            )
        return receipt

    def resolve(self, text: str, parking: int, resolution: Resolution) -> bool:
        """Apply an operator's resolution of a parked write.

        False if the same resolution was given already. `OutboxError` if it can't be applied.
        """
        change = self.outbox.resolve(parse_write_id(text), parking, resolution, self.wall())
        if change is None:
            return False
        self.spawn(self.take_step(change))
        return True

    def claim(self, edge_log: EdgeLog) -> bool:
        """Make this process the one that replays an edge log, on an operator's request.

        For a log that several processes have, each on a copy of the same disk. False if this process replays
        it already. `UnknownWriteError` if it has no such log.
        """
        if self.sharing is None or edge_log not in self.outbox.edge_logs():
            raise UnknownWriteError(
                f"no line {edge_log.edge}/{edge_log.incarnation:016x} that others could have"
            )
        return self.sharing.force_lease(edge_log)

    def status(self) -> dict[str, Any]:
        """The outbox's status for an operator, in types that JSON has."""
        listed = list(self.parked)[:MAX_LISTED_WRITES]
        return {
            "edge": self.settings.edge,
            "cut_off": self.cutoff.is_cut_off,
            "kept": self.outbox.count,
            "bytes": self.outbox.size,
            "out": len(self.in_flight),
            "parked": len(self.parked),
            "disk_bytes": self.store.size,
            "writes": [
                msgspec.json.decode(encode_receipt(self.outbox.receipt(write_id))) for write_id in listed
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
        name: QueuedClass(name, queued.effect == "keyed", queued.window_us)
        for name, queued in settings.classes.items()
    }


def _read_secret(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read(4096).strip()


def _single_write_id(dependencies: Dependencies) -> WriteId:
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
    """Open a driver as `OutboxDriver.open` does, with each error as a `ConfigError` that names its key.

    `file` is put before the key.
    """
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
