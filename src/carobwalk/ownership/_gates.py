"""Grants that a dispatcher holds for servers that do not check them."""

import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

import msgspec

from carobwalk.model import FenceToken, ProcessId, ServerId
from carobwalk.ownership._codec import SCHEMA
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._grant_table import GrantTable
from carobwalk.ownership._server_messages import (
    FenceOrder,
    GrantOrder,
    ReleaseOrder,
    ServerOrder,
    ShardId,
)
from carobwalk.ownership._shard_maps import ShardMaps
from carobwalk.peer import Topic

GATE_TOPIC: Final = Topic('ownership.gate')
ORDER_KINDS: Final[Mapping[str, type[ServerOrder]]] = MappingProxyType(
    {
        'grant': GrantOrder,
        'fence': FenceOrder,
        'release': ReleaseOrder,
    }
)


@dataclass(slots=True)
class _Gate:
    """Grants of one server, and the shards with requests that may run.

    Args:
        table: The grants.
        sent_at: Last send by shard, on this process's clock.
    """

    table: GrantTable
    sent_at: dict[ShardId, float] = field(default_factory=dict)

    def note_send(self, shard_id: ShardId, now: float) -> None:
        """Count the shard as busy."""
        if shard_id not in self.sent_at:
            self.table.begin(*shard_id)
        self.sent_at[shard_id] = now

    def forget_sends(self, before: float) -> None:
        """Count shards as idle whose last send is long over."""
        for shard_id, moment in tuple(self.sent_at.items()):
            if moment < before:
                self.sent_at.pop(shard_id)
                self.table.finish(*shard_id)


class Gates:
    """Holds the grants of all servers that this process dispatches to.

    A request that was sent counts as running for the longest time that one
    may run, since such a server tells nothing of its requests' ends.

    Args:
        context: Surroundings of the process.
        maps: Shard maps and leases.
    """

    def __init__(self, context: OwnershipContext, maps: ShardMaps) -> None:
        self._context = context
        self._maps = maps
        self._by_server: dict[ServerId, _Gate] = {}

    async def receive(self, sender: ProcessId, payload: bytes) -> bytes:
        """Apply an order to a server that this process dispatches to."""
        message = SCHEMA.GateOrder.from_bytes_packed(payload)
        order = msgspec.json.decode(
            message.order,
            type=ORDER_KINDS[str(message.kind)],
        )
        report = b''
        server = ServerId(message.server)
        if self._maps.lease_of(server) is not None:
            report = self._apply(server, order)
        answer = SCHEMA.GateAnswer.new_message(report=report)
        return bytes(answer.to_bytes_packed())

    def admits(
        self,
        server: ServerId,
        shard_id: ShardId,
        token: FenceToken,
    ) -> bool:
        """Return whether a request may be sent now, and count it."""
        gate = self._by_server.get(server)
        now = self._context.clock.now()
        if gate is None or not gate.table.admits(*shard_id, token, now):
            return False
        gate.note_send(shard_id, now)
        return True

    def owns(self, server: ServerId, shard_id: ShardId) -> bool:
        """Return whether a grant that is held here covers the shard."""
        gate = self._by_server.get(server)
        now = self._context.clock.now()
        return gate is not None and gate.table.owns(*shard_id, now)

    def _apply(self, server: ServerId, order: ServerOrder) -> bytes:
        gate = self._by_server.get(server)
        if gate is None:
            name = f'{self._context.own.name}/{secrets.token_hex(4)}'
            gate = _Gate(GrantTable(name, self._context.rules))
            self._by_server[server] = gate
        row = self._maps.row_of(server)
        now = self._context.clock.now()
        if row is not None:
            longest = self._context.longest_request(row.service)
            gate.forget_sends(now - longest)
            gate.table.leaving = self._maps.leaving
        return msgspec.json.encode(gate.table.handle(order, now))
