"""Health of a backend server as its own answers show it."""

from carobwalk.dispatch._events import ServerRecovered, ServerSuspected
from carobwalk.dispatch._limit_policy import SendEnd
from carobwalk.events import EventLog

_SUSPECTING_FAILURES = 3


class ServerHealth:
    """Counts failures in a row; health and load endpoints are not asked.

    Args:
        server: Name of the backend server.
        events: Log of events.
    """

    def __init__(self, server: str, events: EventLog) -> None:
        self._server = server
        self._events = events
        self._failures = 0

    @property
    def is_suspected(self) -> bool:
        """Whether the last few sends all failed."""
        return self._failures >= _SUSPECTING_FAILURES

    def note(self, end: SendEnd) -> None:
        """Take in how a send ended."""
        if end is SendEnd.LOST:
            self._failures += 1
            if self._failures == _SUSPECTING_FAILURES:
                self._events.emit(ServerSuspected(self._server, self._failures))
        if end in {SendEnd.ANSWERED, SendEnd.SHED}:
            if self.is_suspected:
                self._events.emit(ServerRecovered(self._server))
            self._failures = 0
