"""Contract of the answering side of small HTTP exchanges."""

from typing import Protocol

from carobwalk.http._messages import HttpRequest, HttpResponse


class HttpHandler(Protocol):
    """Answers small requests."""

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the response; an exception is answered with status 500."""
