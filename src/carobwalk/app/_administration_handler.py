"""Handler of the administration address."""

from carobwalk.http import HttpHandler, HttpRequest, HttpResponse
from carobwalk.metrics import SCRAPE_PATH


class AdministrationHandler:
    """Answers scrapes, and passes the rest to the administration.

    Args:
        scrapes: Answers scrapes of the metrics.
        administration: Answers operators.
    """

    def __init__(
        self,
        scrapes: HttpHandler,
        administration: HttpHandler,
    ) -> None:
        self._scrapes = scrapes
        self._administration = administration

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to a scrape or to an operator."""
        if request.path == SCRAPE_PATH:
            return await self._scrapes(request)
        return await self._administration(request)
