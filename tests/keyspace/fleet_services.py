"""Orders of a fleet with several keyed services."""

from collections.abc import Mapping

from result import Result

from carobwalk.directory import BackendServer
from carobwalk.keyspace import Grant, OrderFailure, Release
from carobwalk.model import ServiceName
from standins.platform import MemoryOrderChannel


class ServiceOrders:
    """Order channel that leads to the servers of each service.

    Keys of different services are different keys, so each service has a
    channel of its own that checks for double owners.

    Args:
        books_by_service: Channels of the services.
    """

    def __init__(
        self, books_by_service: Mapping[ServiceName, MemoryOrderChannel]
    ) -> None:
        self._books_by_service = books_by_service

    async def grant(
        self, server: BackendServer, order: Grant
    ) -> Result[None, OrderFailure]:
        """Send a grant to a server of any service."""
        return await self._books_by_service[server.service].grant(server, order)

    async def release(
        self, server: BackendServer, order: Release
    ) -> Result[str, OrderFailure]:
        """Send a release to a server of any service."""
        book = self._books_by_service[server.service]
        return await book.release(server, order)
