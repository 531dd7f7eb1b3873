"""Reachability of simulated backend servers."""

from collections.abc import Mapping

import trio

from carobwalk.directory import BackendServer
from carobwalk.keyspace import (
    OrderFailure,
    OrderMisdirected,
    OrderUnanswered,
    OrderUnsent,
)
from carobwalk.model import Address, ServerId
from standins.platform._key_holder import KeyHolder
from standins.platform._order_faults import OrderFaults

ORDER_TIMEOUT_SECONDS = 0.4
_CONNECT_SECONDS = 0.002


class ServerReach:
    """Opens connections to servers, with faults.

    ``checks_incarnation`` states whether a server that restarted under its id
    refuses orders meant for its former incarnation. Those of the platform
    accept them, because they compare only the id.

    ``addresses_by_id`` holds the addresses that servers listen at, if known;
    orders to another address are refused. At a reused address a server of
    another service listens.

    Args:
        holders_by_id: Keys of the running servers.
    """

    def __init__(self, holders_by_id: Mapping[ServerId, KeyHolder]) -> None:
        self.faults_by_id: dict[ServerId, OrderFaults] = {}
        self.addresses_by_id: dict[ServerId, Address] = {}
        self.reused_addresses: set[Address] = set()
        self.checks_incarnation = True
        self._holders_by_id = holders_by_id

    def faults(self, server: BackendServer) -> OrderFaults:
        """Return the faults of the way to a server."""
        return self.faults_by_id.setdefault(server.id, OrderFaults())

    def is_accepted(self, server: BackendServer) -> bool:
        """Return whether the running incarnation accepts orders."""
        holder = self._holders_by_id[server.id]
        if holder.refuses_connections or holder.resets_connections:
            return False
        if (
            self.addresses_by_id.get(server.id, server.address)
            != server.address
        ):
            return False
        return holder.born == server.born or not self.checks_incarnation

    async def connect(self, server: BackendServer) -> OrderFailure | None:
        """Open a connection; return why an order has no effect."""
        holder = self._holders_by_id[server.id]
        await trio.sleep(_CONNECT_SECONDS)
        if server.address in self.reused_addresses:
            return OrderMisdirected('another server')
        if not self.is_accepted(server):
            return OrderUnsent('refused', is_refused=True)
        if self.faults(server).opens_no_connections:
            await trio.sleep(ORDER_TIMEOUT_SECONDS)
            return OrderUnsent('connection did not open', is_refused=False)
        if holder.is_unresponsive:
            await trio.sleep(ORDER_TIMEOUT_SECONDS)
            return OrderUnanswered('silent')
        return None
