"""The record of requests with effects, kept across restarts in the store.

Intent is durable before anything is sent; the final answer is durable before it leaves. A
request that names an order again gets the answer that is known, or hears that it may have
run; it is never sent a second time. `book` decides without I/O; `recorder` joins the engine
and the store."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from laurelstep.orders.book import OrderClass, Orders

if TYPE_CHECKING:
    from laurelstep.engine.ports import Log
    from laurelstep.orders.recorder import OrderRecorder

__all__ = ["OrderClass", "Orders", "open_recorder"]


async def open_recorder(orders: Orders, classes: Mapping[str, int], log: Log) -> OrderRecorder:
    """The recorder, with its store open; `ConfigError` if that can't be. Only here is the
    store's library loaded."""
    from laurelstep.settings.config import ConfigError

    try:
        from laurelstep.orders.recorder import OrderRecorder
        from laurelstep.store import StoreError
    except ImportError as error:
        raise ConfigError(f"orders: {error.name} is missing: pip install 'laurelstep[store]'") from None
    try:
        return await OrderRecorder.open(orders, classes, log)
    except (StoreError, OSError) as error:
        raise ConfigError(f"orders.store_path: {orders.store_path}: {error}") from None
