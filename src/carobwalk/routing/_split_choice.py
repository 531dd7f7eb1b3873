"""Choice among the services that share a route."""

from collections import defaultdict
from functools import partial

from carobwalk.model import ServiceName
from carobwalk.routing._route import Route


class SplitChoice:
    """Gives each service of a route its share, request by request.

    The service that is furthest behind its share is chosen, so that also a
    small number of requests is divided by the weights.
    """

    def __init__(self) -> None:
        self._credits_by_service_by_route: dict[
            Route,
            dict[ServiceName, float],
        ] = defaultdict(partial(defaultdict, float))

    def choose(self, route: Route) -> ServiceName:
        """Return the service for the next request of a route."""
        first = route.destinations[0]
        if len(route.destinations) == 1:
            return first.service
        credits_by_service = self._credits_by_service_by_route[route]
        total = sum(share.weight for share in route.destinations)
        for share in route.destinations:
            credits_by_service[share.service] += share.weight / total
        chosen = max(credits_by_service, key=credits_by_service.__getitem__)
        credits_by_service[chosen] -= 1
        return chosen
