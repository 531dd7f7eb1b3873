"""Server whose connections can be drained."""

from collections.abc import Callable
from typing import Final, Protocol

import trio

_POLL_SECONDS: Final = 0.02


class DrainableConnection(Protocol):
    """A connection that serves requests one after another."""

    idle_scope: trio.CancelScope

    async def run(self) -> None:
        """Serve until either side ends the connection."""


class DrainingServer:
    """Takes connections, and lets their requests finish at a stop.

    Args:
        connect: Returns the connection that serves a stream.
        most_connections: Connections open at once; more are closed.
    """

    def __init__(
        self,
        connect: Callable[[trio.SocketStream], DrainableConnection],
        most_connections: int,
    ) -> None:
        self._connect = connect
        self._most_connections = most_connections
        self._accepting = trio.CancelScope()
        self._connections: set[DrainableConnection] = set()

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until ``drain`` was called and the last connection ended.

        Args:
            listeners: Open listeners.
        """
        async with trio.open_nursery() as nursery:
            with self._accepting:
                await trio.serve_listeners(
                    self._serve,
                    listeners,
                    handler_nursery=nursery,
                )

    async def drain(self, seconds: float) -> bool:
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
            connection = self._connect(stream)
        except OSError:
            return  # The caller has gone since it was accepted.
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
