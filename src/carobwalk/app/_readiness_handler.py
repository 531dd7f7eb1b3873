"""Answer to the balancer that asks whether the process takes callers."""

from collections.abc import Callable
from http import HTTPStatus

from carobwalk.http import HttpRequest, HttpResponse


class ReadinessHandler:
    """Answers 200 while the process takes callers, else 503.

    Args:
        path: Path that is asked for.
        is_ready: Returns whether the process takes callers.
    """

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        self._path = path
        self._is_ready = is_ready

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the answer."""
        if request.path != self._path:
            return HttpResponse(HTTPStatus.NOT_FOUND)
        if self._is_ready():
            return HttpResponse(HTTPStatus.OK)
        return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE)
