"""HTTP handler of the administration listener."""

from carobwalk.http import HttpHandler, HttpRequest, HttpResponse
from carobwalk.metrics import SCRAPE_PATH


class AdministrationHandler:
    """Routes metric scrapes and administration requests by path.

    Args:
        scrape_handler: Answers requests for ``SCRAPE_PATH``.
        administration_api: Answers all other requests.
    """

    def __init__(
        self,
        scrape_handler: HttpHandler,
        administration_api: HttpHandler,
    ) -> None:
        self._scrape_handler = scrape_handler
        self._administration_api = administration_api

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Answer a metric scrape or an administration request."""
        if request.path == SCRAPE_PATH:
            return await self._scrape_handler(request)
        return await self._administration_api(request)
