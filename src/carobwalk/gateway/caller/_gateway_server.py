"""Server for callers' connections."""

import trio

from carobwalk.gateway.caller._caller_connection import CallerConnection
from carobwalk.gateway.caller._gateway_service import GatewayService
from carobwalk.http import DrainingServer


class GatewayServer:
    """Accepts and serves callers' connections.

    Args:
        service: State shared by all connections.
        max_connections: Most connections of callers open at once.
    """

    def __init__(
        self,
        service: GatewayService,
        max_connections: int,
    ) -> None:
        self._service = service
        self._server = DrainingServer(self._connect, max_connections)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve callers until ``close`` is called and all connections end.

        Args:
            listeners: Listening sockets to accept connections from.
        """
        await self._server.run(listeners)

    async def close(self, seconds: float) -> bool:
        """Stop accepting connections and let requests in flight finish.

        Args:
            seconds: Longest time to wait for them.

        Returns:
            Whether every request in flight finished in time.
        """
        return await self._server.drain(seconds)

    def _connect(self, stream: trio.SocketStream) -> CallerConnection:
        return CallerConnection(stream, self._service)
