"""Weighted split of a route's requests among services."""

import random
from collections.abc import Iterable
from typing import Final

from carobwalk.model import ServiceName
from carobwalk.routing._route import Route

# Most choices by which a process's round-robin starts ahead of others.
_MAX_AHEAD: Final = 256


class TrafficSplit:
    """Splits the requests of routes among services by smooth round-robin.

    Each request goes to the service that is furthest behind its weight, so
    that even a small number of requests is split in proportion. Each process
    starts at a random point of the cycle: if all started at its beginning,
    many processes with few requests each would prefer the same service.
    """

    def __init__(self) -> None:
        self._credits_by_service_by_route: dict[
            Route, dict[ServiceName, float]
        ] = {}

    def choose(self, route: Route) -> ServiceName:
        """Return the service for the next request of a route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        credits_by_service = self._credits_by_service_by_route.get(route)
        if credits_by_service is None:
            credits_by_service = _random_start(route)
            self._credits_by_service_by_route[route] = credits_by_service
        return _choose_next(route, credits_by_service)

    def retain(self, routes: Iterable[Route]) -> None:
        """Forget all routes but some.

        Args:
            routes: Routes of the configuration in force. The cycle of one that
                has not changed goes on.
        """
        if not self._credits_by_service_by_route:
            return
        retained = frozenset(routes)
        self._credits_by_service_by_route = {
            route: credits_by_service
            for route, credits_by_service in (
                self._credits_by_service_by_route.items()
            )
            if route in retained
        }


def _random_start(route: Route) -> dict[ServiceName, float]:
    """Return the credits of services at a random point of the cycle."""
    services = (destination.service for destination in route.destinations)
    credits_by_service: dict[ServiceName, float] = dict.fromkeys(services, 0)
    for _ in range(random.randrange(_MAX_AHEAD)):
        _choose_next(route, credits_by_service)
    return credits_by_service


def _choose_next(
    route: Route, credits_by_service: dict[ServiceName, float]
) -> ServiceName:
    total = sum(destination.weight for destination in route.destinations)
    for destination in route.destinations:
        credits_by_service[destination.service] += destination.weight / total
    chosen = max(credits_by_service, key=credits_by_service.__getitem__)
    credits_by_service[chosen] -= 1
    return chosen
