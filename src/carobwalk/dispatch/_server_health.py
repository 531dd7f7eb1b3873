"""Passive health check of a backend server."""

from carobwalk.dispatch._events import ServerRecovered, ServerSuspected
from carobwalk.dispatch._limit_policy import SendEnd
from carobwalk.events import EventLog

_SUSPECT_FAILURES = 3


class ServerHealth:
    """Counts consecutive failed sends.

    The health and load endpoints of the server are not queried.


    Args:
        server: Name of the backend server.
        events: Event log.
    """

    def __init__(self, server: str, events: EventLog) -> None:
        self._server = server
        self._events = events
        self._failures = 0

    @property
    def is_suspected(self) -> bool:
        """Whether the most recent sends have all failed."""
        return self._failures >= _SUSPECT_FAILURES

    def record(self, end: SendEnd) -> None:
        """Record how a send ended."""
        if end is SendEnd.LOST:
            self._failures += 1
            if self._failures == _SUSPECT_FAILURES:
                self._events.emit(ServerSuspected(self._server, self._failures))
        if end in {SendEnd.ANSWERED, SendEnd.SHED}:
            if self.is_suspected:
                self._events.emit(ServerRecovered(self._server))
            self._failures = 0
