"""Listener for callers."""

import trio

from carobwalk.gateway._caller_connection import CallerConnection
from carobwalk.gateway._gateway_service import GatewayService
from carobwalk.http import DrainingServer


class GatewayServer:
    """Takes callers' connections.

    Args:
        service: What all connections share.
        most_connections: Connections of callers open at once.
    """

    def __init__(
        self,
        service: GatewayService,
        most_connections: int,
    ) -> None:
        self._service = service
        self._server = DrainingServer(self._connect, most_connections)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve callers until ``close`` was called and the last one left."""
        await self._server.run(listeners)

    async def close(self, seconds: float) -> bool:
        """Stop accepting and let the requests in flight finish.

        Args:
            seconds: Longest wait.

        Returns:
            Whether every request in flight finished in time.
        """
        return await self._server.drain(seconds)

    def _connect(self, stream: trio.SocketStream) -> CallerConnection:
        return CallerConnection(stream, self._service)
