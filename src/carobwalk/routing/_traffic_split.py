"""Weighted split of a route's requests among services."""

from collections import defaultdict
from functools import partial

from carobwalk.model import ServiceName
from carobwalk.routing._route import Route


class TrafficSplit:
    """Splits the requests of routes among services by smooth round-robin.

    Each request goes to the service that is furthest behind its weight, so
    that even a small number of requests is split in proportion.
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
        total = sum(destination.weight for destination in route.destinations)
        for destination in route.destinations:
            credits_by_service[destination.service] += (
                destination.weight / total
            )
        chosen = max(credits_by_service, key=credits_by_service.__getitem__)
        credits_by_service[chosen] -= 1
        return chosen
