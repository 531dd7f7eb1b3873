"""Routing of orders to backend servers or to their dispatchers."""

import msgspec
from result import Err, Ok, Result

from carobwalk.model import Endpoint, ServerId
from carobwalk.ownership._codec import SCHEMA
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._delegated_grants import (
    DELEGATED_GRANTS_TOPIC,
    ORDER_KINDS,
)
from carobwalk.ownership._grant_channel import GrantFailure
from carobwalk.ownership._server_messages import GrantReport, ServerOrder
from carobwalk.ownership._shard_maps import ShardMaps
from carobwalk.ownership._shard_row import ServerRow


class DelegatingGrantChannel:
    """Sends an order to the server, or to the dispatcher acting for it.

    For a server that does not check grants, its dispatcher holds the grants
    and handles the orders.

    Args:
        context: Dependencies of this process; its ``channel`` reaches servers
            directly.
        maps: Shard maps, which name each server's dispatcher.
    """

    def __init__(self, context: OwnershipContext, maps: ShardMaps) -> None:
        self._context = context
        self._maps = maps

    async def send(
        self,
        server: Endpoint,
        order: ServerOrder,
        timeout: float,
    ) -> Result[GrantReport, GrantFailure]:
        """Send an order and wait for the report; see ``GrantChannel``."""
        row = self._maps.row_of(ServerId(server.name))
        if row is None or self._context.checks_grants(row.service):
            return await self._context.channel.send(server, order, timeout)
        dispatcher = self._dispatcher(row)
        if dispatcher is None:
            return Err(
                GrantFailure(refused=False, detail='server has no dispatcher')
            )
        reply = await self._context.peers.ask(
            dispatcher,
            DELEGATED_GRANTS_TOPIC,
            _encode(server, order),
            timeout,
        )
        if isinstance(reply, Err):
            detail = reply.err_value.detail
            return Err(GrantFailure(refused=False, detail=detail))
        return _decode(reply.ok_value)

    def _dispatcher(self, row: ServerRow) -> Endpoint | None:
        if row.dispatcher is None:
            return None
        for view in self._maps.by_group.values():
            if row.server in view.servers:
                return view.dispatchers.get(row.dispatcher)
        return None


def _encode(server: Endpoint, order: ServerOrder) -> bytes:
    kinds = {kind: name for name, kind in ORDER_KINDS.items()}
    message = SCHEMA.GateOrder.new_message(
        server=server.name,
        kind=kinds[type(order)],
        order=msgspec.json.encode(order),
    )
    return bytes(message.to_bytes_packed())


def _decode(payload: bytes) -> Result[GrantReport, GrantFailure]:
    message = SCHEMA.GateAnswer.from_bytes_packed(payload)
    if not message.report:
        return Err(
            GrantFailure(refused=False, detail='process is not the dispatcher')
        )
    return Ok(msgspec.json.decode(message.report, type=GrantReport))
