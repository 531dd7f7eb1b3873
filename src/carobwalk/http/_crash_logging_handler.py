"""Wrapper that turns exceptions of a handler into status 500."""

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


class CrashLoggingHandler:
    """Logs exceptions of a handler and responds to them with status 500.

    Args:
        inner: Handler to wrap.
        events: Log to which ``HandlerCrashed`` is written.
    """

    def __init__(self, inner: HttpHandler, events: EventLog) -> None:
        self._inner = inner
        self._events = events

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the response of the handler, or status 500."""
        try:
            return await self._inner(request)
        except Exception as error:
            event = HandlerCrashed(
                request.method,
                request.path,
                type(error).__name__,
                str(error),
            )
            self._events.emit(event)
            return _INTERNAL_ERROR
