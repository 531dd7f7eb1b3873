"""Grants that a dispatcher holds on behalf of backend servers."""

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

DELEGATED_GRANTS_TOPIC: Final = Topic('ownership.gate')
ORDER_KINDS: Final[Mapping[str, type[ServerOrder]]] = MappingProxyType(
    {
        'grant': GrantOrder,
        'fence': FenceOrder,
        'release': ReleaseOrder,
    }
)


@dataclass(slots=True)
class _DelegatedTable:
    """Grants of one server and the shards with requests in flight.

    Args:
        table: Grants of the server.
        sent_at: Time of the last send by shard, on this process's clock.
    """

    table: GrantTable
    sent_at: dict[ShardId, float] = field(default_factory=dict)

    def record_send(self, shard_id: ShardId, now: float) -> None:
        """Count the shard as having a request in flight."""
        if shard_id not in self.sent_at:
            self.table.begin(*shard_id)
        self.sent_at[shard_id] = now

    def expire_sends(self, before: float) -> None:
        """Count shards as idle whose last send was before the given time."""
        for shard_id, moment in tuple(self.sent_at.items()):
            if moment < before:
                self.sent_at.pop(shard_id)
                self.table.finish(*shard_id)


class DelegatedGrants:
    """Holds the grants of servers that do not check grants themselves.

    Such a server does not report when requests end, so a request counts as
    in flight for the longest time limit of its service.

    Args:
        context: Dependencies and settings of this process.
        maps: Shard maps and dispatch leases of this process.
    """

    def __init__(self, context: OwnershipContext, maps: ShardMaps) -> None:
        self._context = context
        self._maps = maps
        self._by_server: dict[ServerId, _DelegatedTable] = {}

    async def receive(self, sender: ProcessId, payload: bytes) -> bytes:
        """Handle an order for a server that this process dispatches to.

        Returns:
            The encoded report; empty if this process is not the dispatcher.
        """
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
        """Return whether a request may be sent now; if so, count it."""
        delegated = self._by_server.get(server)
        now = self._context.clock.now()
        if delegated is None or not delegated.table.admits(
            *shard_id, token, now
        ):
            return False
        delegated.record_send(shard_id, now)
        return True

    def owns(self, server: ServerId, shard_id: ShardId) -> bool:
        """Return whether this process holds a live grant of the shard."""
        delegated = self._by_server.get(server)
        now = self._context.clock.now()
        return delegated is not None and delegated.table.owns(*shard_id, now)

    def _apply(self, server: ServerId, order: ServerOrder) -> bytes:
        delegated = self._by_server.get(server)
        if delegated is None:
            name = f'{self._context.own.name}/{secrets.token_hex(4)}'
            delegated = _DelegatedTable(GrantTable(name, self._context.rules))
            self._by_server[server] = delegated
        row = self._maps.row_of(server)
        now = self._context.clock.now()
        if row is not None:
            longest = self._context.longest_request(row.service)
            delegated.expire_sends(now - longest)
            delegated.table.leaving = self._maps.leaving
        return msgspec.json.encode(delegated.table.handle(order, now))
