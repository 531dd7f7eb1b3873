"""HTTP handler of readiness checks by the load balancer."""

from collections.abc import Callable
from http import HTTPStatus

from carobwalk.http import HttpRequest, HttpResponse


class ReadinessHandler:
    """Answers 200 while the process accepts callers, else 503.

    Args:
        path: Path of the readiness check; any other path is answered 404.
        is_ready: Returns whether the process accepts callers.
    """

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        self._path = path
        self._is_ready = is_ready

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Answer a readiness check."""
        if request.path != self._path:
            return HttpResponse(HTTPStatus.NOT_FOUND)
        if self._is_ready():
            return HttpResponse(HTTPStatus.OK)
        return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE)
