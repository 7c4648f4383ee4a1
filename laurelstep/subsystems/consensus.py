"""The consensus node as a subsystem: this process's replica in the consensus group of its tier."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from laurelstep.net.log import log
from laurelstep.settings import ConfigError
from laurelstep.subsystems.base import ProcessContext, Subsystem

if TYPE_CHECKING:
    from laurelstep.consensus.multiplexer import ConsensusMultiplexer
    from laurelstep.consensus.node import ConsensusNode
    from laurelstep.consensus.options import ConsensusSettings
    from laurelstep.consensus.ports import StateMachine
    from laurelstep.engine import Engine
    from laurelstep.net.server import Server


class ConsensusSubsystem(Subsystem):
    """One node, and the multiplexer that provides the other subsystems' channels."""

    outlives_sockets = True

    def __init__(
        self,
        context: ProcessContext,
        node: ConsensusNode,
        multiplexer: ConsensusMultiplexer,
        inherited: Mapping[bytes, bytes] | None,
    ) -> None:
        """`inherited`: the state that a predecessor's node handed over at a hot restart; None without one."""
        self.context = context
        self.node = node
        self.multiplexer = multiplexer
        self.inherited = inherited

    @classmethod
    def create(
        cls,
        context: ProcessContext,
        maintenance: Mapping[int, StateMachine] | None,
        outbox: Mapping[int, StateMachine] | None,
        state: Mapping[str, Any] | None,
    ) -> ConsensusSubsystem | None:
        """Create the node, not yet started; None if consensus is off.

        `maintenance`, `outbox`: the state machines of these subsystems; None if the subsystem is off; passive
        ones are then replicated. `state`: the state of the predecessor at a hot restart, None without one.
        Raises `ConfigError` if the folder of the store can't be used, or its library is missing.
        """
        settings = context.config.accord
        if settings is None:
            return None
        if not settings.has_peers:
            log("accord: off, and all that depends on it: the configuration has no peers and peer_listen")
            return None
        from laurelstep.hot_restart.state import decode_replica

        try:
            node, multiplexer = _node_and_multiplexer(context, settings, maintenance, outbox)
        except ImportError as error:
            problem = f"{error.name} is missing: pip install 'laurelstep[store]'"
        except OSError as error:
            problem = f"{settings.store_path}: {error.strerror}: expected a folder that this user may write"
        else:
            return cls(context, node, multiplexer, None if state is None else decode_replica(state))
        raise ConfigError(f"{context.error_prefix}accord.store_path: {problem}")

    async def start(self, engine: Engine, server: Server) -> None:
        """Open the links to the other copies. Raises `ConfigError` if the address can't be bound."""
        accord = self.context.config.accord
        try:
            await self.node.start(self.inherited)
        except OSError as error:
            listen = accord.listen if accord is not None else ""
            problem = f"{listen}: {error.strerror}: expected a local address that this process may bind"
            raise ConfigError(f"{self.context.error_prefix}accord.peer_listen: {problem}") from None

    async def stop(self) -> None:
        """Close the links."""
        await self.node.close()


def _node_and_multiplexer(
    context: ProcessContext,
    settings: ConsensusSettings,
    maintenance: Mapping[int, StateMachine] | None,
    outbox: Mapping[int, StateMachine] | None,
) -> tuple[ConsensusNode, ConsensusMultiplexer]:
    """Build the node and its multiplexer. Each copy replicates the state machines of all subsystems, also of
    those that are off in it: it may become the leader, and a snapshot without one of them would delete that
    state on the other copies.
    """
    from laurelstep.consensus.assembly import build_node, check_store_folder
    from laurelstep.consensus.multiplexer import ConsensusMultiplexer
    from laurelstep.consensus.state_machines import CompositeStateMachine
    from laurelstep.engine.clock import LoopClock
    from laurelstep.maintenance.assembly import passive_state_machines
    from laurelstep.outbox.shared.carried_ledger import CarriedLedger
    from laurelstep.outbox.shared.entries import KIND as QUEUED_WRITES

    check_store_folder(settings.store_path)
    clock = LoopClock(context.loop)
    passive = CarriedLedger()  # replicates the outbox's state if the outbox is off here
    state_machines = {
        **(passive_state_machines() if maintenance is None else maintenance),
        **(passive.state_machines if outbox is None else outbox),
    }
    node = build_node(settings, CompositeStateMachine(state_machines), context.loop, clock, log)
    multiplexer = ConsensusMultiplexer(node)
    if outbox is None:
        passive.join(multiplexer.channel(QUEUED_WRITES), clock)
    return node, multiplexer
