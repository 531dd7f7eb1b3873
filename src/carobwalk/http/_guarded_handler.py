"""Containment of a handler's faults."""

from http import HTTPStatus
from typing import Final

from carobwalk.events import EventLog
from carobwalk.http._handler import HttpHandler
from carobwalk.http._handler_crashed import HandlerCrashed
from carobwalk.http._messages import HttpRequest, HttpResponse

_INTERNAL_ERROR: Final = HttpResponse(
    status=HTTPStatus.INTERNAL_SERVER_ERROR,
    body=b'internal error\n',
)


class GuardedHandler:
    """Answers a handler's exceptions with status 500, and logs them.

    Args:
        inner: Answers requests.
        events: Log of events.
    """

    def __init__(self, inner: HttpHandler, events: EventLog) -> None:
        self._inner = inner
        self._events = events

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the handler's response, or status 500."""
        try:
            return await self._inner(request)
        except Exception as error:
            crashed = HandlerCrashed(
                request.method,
                request.path,
                type(error).__name__,
                str(error),
            )
            self._events.emit(crashed)
            return _INTERNAL_ERROR
