"""HTTP server for callers."""

import trio

from carobwalk.entry._caller_connection import CallerConnection
from carobwalk.entry._classifier import Classifier
from carobwalk.entry._entry_context import EntryContext
from carobwalk.entry._entry_limits import EntryLimits
from carobwalk.entry._request_observer import RequestObserver
from carobwalk.entry._router import Router
from carobwalk.http import DrainingServer


class EntryServer:
    """Accepts callers' connections and serves their requests.

    Args:
        classifier: Determines the service, key and rank of a request.
        router: Forwards classified requests.
        observer: Is notified of each finished request.
        limits: Size limits and timeouts.
    """

    def __init__(
        self,
        classifier: Classifier,
        router: Router,
        observer: RequestObserver,
        limits: EntryLimits,
    ) -> None:
        self._is_stopping = False
        self._context = EntryContext(
            classifier=classifier,
            router=router,
            observer=observer,
            limits=limits,
            is_stopping=self._get_is_stopping,
        )
        self._server = DrainingServer(self._make_connection, limits.connections)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until ``drain`` is called and the last connection closes.

        Args:
            listeners: Sockets to accept connections from.
        """
        await self._server.run(listeners)

    async def drain(self, seconds: float) -> bool:
        """Stop accepting connections and wait for requests in flight.

        Args:
            seconds: Timeout.

        Returns:
            Whether every request in flight finished before the timeout.
        """
        self._is_stopping = True
        return await self._server.drain(seconds)

    def _make_connection(self, stream: trio.SocketStream) -> CallerConnection:
        host = stream.socket.getpeername()[0]
        return CallerConnection(stream, host, self._context)

    def _get_is_stopping(self) -> bool:
        return self._is_stopping
