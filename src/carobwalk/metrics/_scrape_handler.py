"""HTTP handler of Prometheus scrapes."""

from http import HTTPMethod, HTTPStatus
from typing import Final

from prometheus_client.exposition import CONTENT_TYPE_LATEST

from carobwalk.http import HttpRequest, HttpResponse
from carobwalk.metrics._metrics import Metrics

SCRAPE_PATH: Final = '/metrics'


class ScrapeHandler:
    """Handler of ``GET /metrics``.

    Args:
        metrics: Metrics to return.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return all metrics in the Prometheus text format."""
        if request.path != SCRAPE_PATH:
            return HttpResponse(HTTPStatus.NOT_FOUND)
        if request.method != HTTPMethod.GET:
            return HttpResponse(
                HTTPStatus.METHOD_NOT_ALLOWED,
                {'allow': HTTPMethod.GET},
            )
        return HttpResponse(
            HTTPStatus.OK,
            {'content-type': CONTENT_TYPE_LATEST},
            self._metrics.render(),
        )
