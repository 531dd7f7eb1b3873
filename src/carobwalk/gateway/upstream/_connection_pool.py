"""Pool of persistent connections to backend servers."""

from collections import defaultdict
from typing import Final

import trio

from carobwalk.directory import (
    BackendServer,
    ServerDirectory,
    ServerIncarnation,
)
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway.upstream._outcomes import NotSent
from carobwalk.gateway.upstream._upstream_connection import UpstreamConnection
from carobwalk.http import connect_with_keepalive

_CONNECT_TIMEOUT_SECONDS: Final = 0.4
# Idle time after which a connection is closed instead of being reused.
_MAX_IDLE_SECONDS: Final = 6.0
# Stricter limit for requests that must not be retried: if the server drops an
# idle connection just before it is reused, the outcome of the request is
# unknown, whereas a new connection costs only one round trip.
_MAX_IDLE_AT_MOST_ONCE_SECONDS: Final = 0.1
# Fraction of the idle timeout announced by the server within which its
# connections are reused.
_KEEP_ALIVE_SHARE: Final = 0.6
_MAX_IDLE_CONNECTIONS: Final = 8


class ConnectionPool:
    """Pool of idle connections, kept per incarnation of a backend server.

    Args:
        directory: Registered backend servers; connections to others are
            closed.
        names: Names of the header fields, passed to new connections.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        names: HeaderNames,
    ) -> None:
        self._directory = directory
        self._names = names
        self._idle_by_incarnation: dict[
            ServerIncarnation, list[UpstreamConnection]
        ] = defaultdict(
            list,
        )
        self.opened_count = 0

    async def acquire(
        self,
        server: BackendServer,
        request: CallerRequest,
    ) -> UpstreamConnection | NotSent:
        """Return an idle connection or open a new one.

        Args:
            server: Backend server to connect to.
            request: Request that the connection is to carry.

        Returns:
            A usable connection, or ``NotSent`` if none could be opened.
        """
        max_idle_seconds = _max_idle_seconds(request)
        connection = self._pop_idle(server, request.id)
        while connection is not None:
            if _is_usable(connection, max_idle_seconds):
                return connection
            await connection.aclose()
            connection = self._pop_idle(server, request.id)
        return await self._open(server)

    def has_idle(self, server: BackendServer, request: CallerRequest) -> bool:
        """Return whether an idle connection can carry a request."""
        limit = _max_idle_seconds(request)
        idle = self._idle_by_incarnation.get(server.incarnation, ())
        return any(
            _is_usable(connection, limit)
            and connection.carried_ids.may_add(request.id)
            for connection in reversed(idle)
        )

    async def release(
        self,
        server: BackendServer,
        connection: UpstreamConnection,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        idle = self._idle_by_incarnation[server.incarnation]
        if not connection.is_reusable or len(idle) >= _MAX_IDLE_CONNECTIONS:
            await connection.aclose()
            return
        connection.idle_since = trio.current_time()
        idle.append(connection)

    async def close_expired(self) -> None:
        """Close connections idle for too long or to unregistered servers."""
        incarnations = {
            server.incarnation for server in self._directory.all_servers()
        }
        for incarnation, idle in tuple(self._idle_by_incarnation.items()):
            retained: list[UpstreamConnection] = []
            expired: list[UpstreamConnection] = []
            for connection in idle:
                is_retained = incarnation in incarnations and _is_usable(
                    connection,
                    _MAX_IDLE_SECONDS,
                )
                (retained if is_retained else expired).append(connection)
            self._idle_by_incarnation[incarnation] = retained
            if not retained:
                self._idle_by_incarnation.pop(incarnation)
            for closing in expired:
                await closing.aclose()

    def _pop_idle(
        self,
        server: BackendServer,
        request_id: bytes,
    ) -> UpstreamConnection | None:
        """Remove and return the last used connection that may carry an id."""
        # ``close_expired`` may have replaced the list since the last call.
        idle = self._idle_by_incarnation[server.incarnation]
        for connection in reversed(idle):
            if connection.carried_ids.may_add(request_id):
                idle.remove(connection)
                return connection
        return None

    async def _open(
        self,
        server: BackendServer,
    ) -> UpstreamConnection | NotSent:
        self.opened_count += 1
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_SECONDS):
                stream = await connect_with_keepalive(server.address)
        except (ConnectionRefusedError, ConnectionResetError) as error:
            return NotSent(str(error), is_refused=True)
        except (OSError, trio.TooSlowError) as error:
            return NotSent(f'{type(error).__name__}: {error}')
        return UpstreamConnection(stream, self._names)


def _max_idle_seconds(request: CallerRequest) -> float:
    if request.route.is_idempotent:
        return _MAX_IDLE_SECONDS
    return _MAX_IDLE_AT_MOST_ONCE_SECONDS


def _is_usable(connection: UpstreamConnection, max_idle_seconds: float) -> bool:
    limit = max_idle_seconds
    if connection.idle_limit_seconds is not None:
        limit = min(limit, connection.idle_limit_seconds * _KEEP_ALIVE_SHARE)
    idle = trio.current_time() - connection.idle_since
    return idle < limit and connection.is_idle
