"""Kept connections to backend servers."""

from collections import defaultdict
from typing import Final

import trio

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.gateway._header_names import HeaderNames
from carobwalk.gateway._life import Life
from carobwalk.gateway._outcomes import NotSent
from carobwalk.gateway._upstream_connection import UpstreamConnection
from carobwalk.http import connect_with_keepalive

_CONNECT_SECONDS: Final = 0.4
# Idle time after which a connection is not trusted any more.
_LONGEST_IDLE_SECONDS: Final = 6.0
# A server may forget an idle connection just before it is used, which leaves
# the outcome of a request open; a new connection costs a round trip.
_LONGEST_IDLE_AT_MOST_ONCE_SECONDS: Final = 0.1
# Share of the server's own limit of idle time that is made use of.
_IDLE_SHARE: Final = 0.6
_MOST_IDLE: Final = 8


class ConnectionPool:
    """Idle connections by life of a backend server.

    Args:
        directory: Registered backend servers.
        names: Names of header fields.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        names: HeaderNames,
    ) -> None:
        self._directory = directory
        self._names = names
        self._idle_by_life: dict[Life, list[UpstreamConnection]] = defaultdict(
            list,
        )
        self.opened = 0

    async def take(
        self,
        server: BackendServer,
        *,
        is_repeatable: bool,
    ) -> UpstreamConnection | NotSent:
        """Return an idle connection, or a new one.

        Args:
            server: Backend server to connect to.
            is_repeatable: Whether the request may be sent again if the
                connection turns out to be gone.
        """
        longest_idle = (
            _LONGEST_IDLE_SECONDS
            if is_repeatable
            else _LONGEST_IDLE_AT_MOST_ONCE_SECONDS
        )
        # The list may be replaced during each wait.
        while self._idle_by_life[server.life]:
            connection = self._idle_by_life[server.life].pop()
            if _is_usable(connection, longest_idle):
                return connection
            await connection.aclose()
        return await self._open(server)

    async def give_back(
        self,
        server: BackendServer,
        connection: UpstreamConnection,
    ) -> None:
        """Keep a connection for the next request if that is possible."""
        idle = self._idle_by_life[server.life]
        if not connection.is_reusable or len(idle) >= _MOST_IDLE:
            await connection.aclose()
            return
        connection.idle_since = trio.current_time()
        idle.append(connection)

    async def close_old(self) -> None:
        """Close connections that idle too long or whose server is gone."""
        lives = {server.life for server in self._directory.all_servers()}
        for life, idle in tuple(self._idle_by_life.items()):
            kept: list[UpstreamConnection] = []
            old: list[UpstreamConnection] = []
            for connection in idle:
                is_kept = life in lives and _is_usable(
                    connection,
                    _LONGEST_IDLE_SECONDS,
                )
                (kept if is_kept else old).append(connection)
            self._idle_by_life[life] = kept
            if not kept:
                self._idle_by_life.pop(life)
            for closing in old:
                await closing.aclose()

    async def _open(
        self,
        server: BackendServer,
    ) -> UpstreamConnection | NotSent:
        self.opened += 1
        try:
            with trio.fail_after(_CONNECT_SECONDS):
                stream = await connect_with_keepalive(server.address)
        except (ConnectionRefusedError, ConnectionResetError) as error:
            return NotSent(str(error), is_refused=True)
        except (OSError, trio.TooSlowError) as error:
            return NotSent(f'{type(error).__name__}: {error}')
        return UpstreamConnection(stream, self._names)


def _is_usable(connection: UpstreamConnection, longest_idle: float) -> bool:
    limit = longest_idle
    if connection.idle_limit is not None:
        limit = min(limit, connection.idle_limit * _IDLE_SHARE)
    idle = trio.current_time() - connection.idle_since
    return idle < limit and connection.is_quiet
