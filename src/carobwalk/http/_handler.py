"""Interface of request handlers."""

from typing import Protocol

from carobwalk.http._messages import HttpRequest, HttpResponse


class HttpHandler(Protocol):
    """Handles requests whose bodies are held in memory."""

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the response; an exception results in status 500."""
