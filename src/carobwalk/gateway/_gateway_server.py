"""Listener for callers."""

from typing import Final

import trio

from carobwalk.gateway._attempt_log import ConnectionCrashed
from carobwalk.gateway._caller_connection import CallerConnection
from carobwalk.gateway._gateway_service import GatewayService

_POLL_SECONDS: Final = 0.05


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
        self._most_connections = most_connections
        self._accepting = trio.CancelScope()
        self._connections: set[CallerConnection] = set()

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve callers until ``close`` was called and the last one left."""
        async with trio.open_nursery() as nursery:
            with self._accepting:
                await trio.serve_listeners(
                    self._serve,
                    listeners,
                    handler_nursery=nursery,
                )

    async def close(self, seconds: float) -> bool:
        """Stop accepting and let the requests in flight finish.

        Args:
            seconds: Longest wait.

        Returns:
            Whether every request in flight finished in time.
        """
        self._accepting.cancel()
        with trio.move_on_after(seconds):
            while self._connections:
                for connection in tuple(self._connections):
                    connection.idle_scope.cancel()
                await trio.sleep(_POLL_SECONDS)
        return not self._connections

    async def _serve(self, stream: trio.SocketStream) -> None:
        if len(self._connections) >= self._most_connections:
            await trio.aclose_forcefully(stream)
            return
        try:
            connection = CallerConnection(stream, self._service)
        except OSError:
            return  # The caller has gone since it was accepted.
        self._connections.add(connection)
        try:
            await connection.run()
        except trio.TooSlowError:
            return  # The caller doesn't take its answer.
        except Exception as error:
            # A fault of the program ends one connection, not the process.
            self._service.events.emit(
                ConnectionCrashed(type(error).__name__, str(error)),
            )
        finally:
            self._connections.discard(connection)
