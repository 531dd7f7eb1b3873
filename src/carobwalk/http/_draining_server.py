"""TCP server with graceful shutdown."""

from collections.abc import Callable
from typing import Final, Protocol

import trio

_POLL_SECONDS: Final = 0.02
# Shortest and longest time to accept the connections that were queued when the
# stop began.
_LAST_ACCEPT_SECONDS: Final = 0.05
_MAX_LAST_ACCEPT_SECONDS: Final = 1.0
# Time within which the first request on a new connection arrives.
_FIRST_REQUEST_SECONDS: Final = 0.3


class DrainableConnection(Protocol):
    """A connection that serves requests."""

    @property
    def idle_scope(self) -> trio.CancelScope:
        """Scope of the wait for the next request.

        Cancelling it closes an idle connection; a request in progress isn't
        interrupted.
        """

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
        self._listeners: list[trio.SocketListener] = []
        self._accepted_at: dict[DrainableConnection, float] = {}

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until ``drain`` is called and the last connection closes.

        Args:
            listeners: Sockets to accept connections from.
        """
        self._listeners = listeners
        async with trio.open_nursery() as nursery:
            with self._accept_scope:
                await trio.serve_listeners(
                    self._serve,
                    listeners,
                    handler_nursery=nursery,
                )

    async def drain(self, seconds: float) -> bool:
        """Stop accepting connections and wait for requests in flight.

        Connections that callers have just opened are served once more: their
        first requests may be on the way.

        Args:
            seconds: Timeout.

        Returns:
            Whether every request in flight finished before the timeout.
        """
        with trio.move_on_after(seconds):
            await self._accept_queued_connections()
            self._accept_scope.cancel()
            while self._accepted_at:
                self._close_idle_connections()
                await trio.sleep(_POLL_SECONDS)
        self._accept_scope.cancel()
        return not self._accepted_at

    async def _accept_queued_connections(self) -> None:
        """Wait until no connection is queued; a busy process takes longer."""
        await trio.sleep(_LAST_ACCEPT_SECONDS)
        with trio.move_on_after(_MAX_LAST_ACCEPT_SECONDS):
            while any(
                listener.socket.is_readable() for listener in self._listeners
            ):
                await trio.sleep(_POLL_SECONDS)

    def _close_idle_connections(self) -> None:
        limit = trio.current_time() - _FIRST_REQUEST_SECONDS
        for connection, accepted_at in tuple(self._accepted_at.items()):
            if accepted_at < limit:
                connection.idle_scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        if len(self._accepted_at) >= self._max_connections:
            await trio.aclose_forcefully(stream)
            return
        try:
            connection = self._make_connection(stream)
        except OSError:
            return  # The caller disconnected right after the accept.
        self._accepted_at[connection] = trio.current_time()
        try:
            await connection.run()
        finally:
            self._accepted_at.pop(connection)
