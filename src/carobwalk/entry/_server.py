"""Listener for callers."""

from typing import Final

import trio

from carobwalk.entry._caller_connection import CallerConnection
from carobwalk.entry._caller_service import CallerService
from carobwalk.entry._classify import Classifier
from carobwalk.entry._entry_limits import EntryLimits
from carobwalk.entry._observer import RequestObserver
from carobwalk.entry._router import Router

_POLL_SECONDS: Final = 0.02


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
        self._limits = limits
        self._is_stopping = False
        self._accepting = trio.CancelScope()
        self._connections: set[CallerConnection] = set()
        self._service = CallerService(
            classifier=classifier,
            router=router,
            observer=observer,
            limits=limits,
            is_stopping=self._tell_stopping,
        )

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve callers until ``drain`` was called and the last one left.

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
        self._is_stopping = True
        self._accepting.cancel()
        with trio.move_on_after(seconds):
            while self._connections:
                for connection in tuple(self._connections):
                    connection.idle_scope.cancel()
                await trio.sleep(_POLL_SECONDS)
        return not self._connections

    async def _serve(self, stream: trio.SocketStream) -> None:
        if len(self._connections) >= self._limits.connections:
            await trio.aclose_forcefully(stream)
            return
        host = stream.socket.getpeername()[0]
        connection = CallerConnection(stream, host, self._service)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def _tell_stopping(self) -> bool:
        return self._is_stopping
