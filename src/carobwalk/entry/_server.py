"""Listener for callers."""

import trio

from carobwalk.entry._caller_connection import CallerConnection
from carobwalk.entry._caller_service import CallerService
from carobwalk.entry._classify import Classifier
from carobwalk.entry._entry_limits import EntryLimits
from carobwalk.entry._observer import RequestObserver
from carobwalk.entry._router import Router
from carobwalk.http import DrainingServer


class EntryServer:
    """Takes callers' connections.

    Args:
        classifier: Gives requests their service, key and rank.
        router: Runs requests.
        observer: Takes note of ended requests.
        limits: Bounds on what callers can take up.
    """

    def __init__(
        self,
        classifier: Classifier,
        router: Router,
        observer: RequestObserver,
        limits: EntryLimits,
    ) -> None:
        self._is_stopping = False
        self._service = CallerService(
            classifier=classifier,
            router=router,
            observer=observer,
            limits=limits,
            is_stopping=self._tell_stopping,
        )
        self._server = DrainingServer(self._connect, limits.connections)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve callers until ``drain`` was called and the last one left.

        Args:
            listeners: Open listeners.
        """
        await self._server.run(listeners)

    async def drain(self, seconds: float) -> bool:
        """Stop accepting and let the requests in flight finish.

        Args:
            seconds: Longest wait.

        Returns:
            Whether every request in flight finished in time.
        """
        self._is_stopping = True
        return await self._server.drain(seconds)

    def _connect(self, stream: trio.SocketStream) -> CallerConnection:
        host = stream.socket.getpeername()[0]
        return CallerConnection(stream, host, self._service)

    def _tell_stopping(self) -> bool:
        return self._is_stopping
