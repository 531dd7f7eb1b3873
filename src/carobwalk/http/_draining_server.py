"""TCP server with graceful shutdown."""

from collections.abc import Callable
from typing import Final, Protocol

import trio

_POLL_SECONDS: Final = 0.02


class DrainableConnection(Protocol):
    """A connection that serves requests sequentially.

    Attributes:
        idle_scope: Scope of the wait for the next request; cancelling it
            closes the connection without interrupting a request.
    """

    idle_scope: trio.CancelScope

    async def run(self) -> None:
        """Serve until either side closes the connection."""


class DrainingServer:
    """Accepts connections and can drain them before it stops.

    Args:
        make_connection: Creates the connection that serves a stream.
        max_connections: Maximum number of open connections; a further one
            is closed as soon as it is accepted.
    """

    def __init__(
        self,
        make_connection: Callable[[trio.SocketStream], DrainableConnection],
        max_connections: int,
    ) -> None:
        self._make_connection = make_connection
        self._max_connections = max_connections
        self._accept_scope = trio.CancelScope()
        self._connections: set[DrainableConnection] = set()

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until ``drain`` is called and the last connection closes.

        Args:
            listeners: Sockets to accept connections from.
        """
        async with trio.open_nursery() as nursery:
            with self._accept_scope:
                await trio.serve_listeners(
                    self._serve,
                    listeners,
                    handler_nursery=nursery,
                )

    async def drain(self, seconds: float) -> bool:
        """Stop accepting connections and wait for requests in flight.

        Args:
            seconds: Timeout.

        Returns:
            Whether every request in flight finished before the timeout.
        """
        self._accept_scope.cancel()
        with trio.move_on_after(seconds):
            while self._connections:
                for connection in tuple(self._connections):
                    connection.idle_scope.cancel()
                await trio.sleep(_POLL_SECONDS)
        return not self._connections

    async def _serve(self, stream: trio.SocketStream) -> None:
        if len(self._connections) >= self._max_connections:
            await trio.aclose_forcefully(stream)
            return
        try:
            connection = self._make_connection(stream)
        except OSError:
            return  # The caller disconnected right after the accept.
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
