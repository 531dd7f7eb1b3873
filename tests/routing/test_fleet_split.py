"""Split of a route's requests by a whole fleet.

Pattern: a change of weights on hundreds of machines, each of which gets few
requests for the route before the next change.
"""

import random
from collections import Counter
from statistics import median

import pytest

from carobwalk.events import NullEventLog
from carobwalk.model import ServiceName
from carobwalk.routing import ActiveRoutes, Destination, Route, TrafficSplit
from tests.routing.test_routing import make_configuration, make_route

_REQUESTS = 200
# Largest error of a part's share that the users allow.
_MAX_ERROR = 0.1
_DRAWS = 40
# Least and largest traffic of a machine, relative to the mean.
_TRAFFIC_RANGE = (0.4, 2.1)
_WEIGHTS = ((0.5, 0.5), (0.4, 0.3, 0.3), (0.34, 0.33, 0.33), (0.9, 0.1))


def _make_split_route(weights: tuple[float, ...], prefix: str = '/') -> Route:
    destinations = tuple(
        Destination(ServiceName(f's{number}'), weight)
        for number, weight in enumerate(weights)
    )
    return make_route(prefix, destinations=destinations)


def _largest_error(machines: int, weights: tuple[float, ...]) -> float:
    """Return the largest error of a share after a change of the weights."""
    route = _make_split_route(weights)
    splits = [TrafficSplit() for _ in range(machines)]
    traffic = [random.uniform(*_TRAFFIC_RANGE) for _ in range(machines)]
    counts = Counter(
        split.choose(route)
        for split in random.choices(splits, traffic, k=_REQUESTS)
    )
    return max(
        abs(counts[destination.service] / _REQUESTS - destination.weight)
        for destination in route.destinations
    )


class TestFleet:
    # Guards against shares off their weights: each machine began each
    # configuration with the part of the largest weight.
    @pytest.mark.parametrize('machines', [12, 75, 195, 300])
    @pytest.mark.parametrize('weights', _WEIGHTS)
    def test_shares(self, machines: int, weights: tuple[float, ...]) -> None:
        """The fleet keeps the weights, however few requests a machine gets."""
        random.seed(1)
        errors = [_largest_error(machines, weights) for _ in range(_DRAWS)]
        assert median(errors) < _MAX_ERROR / 2
        assert max(errors) < _MAX_ERROR


class TestChangedConfiguration:
    def test_unchanged_route(self) -> None:
        """The cycle of a route goes on when another route changes."""
        kept = _make_split_route((0.5, 0.5), '/kept/')
        before = make_route('/before/')
        after = make_route('/after/')
        routes = ActiveRoutes(NullEventLog())
        counts: Counter[ServiceName] = Counter()
        for version in range(1, 41):
            other = before if version % 2 else after
            routes.offer(make_configuration(kept, other, version=version), 1)
            counts[routes.split.choose(kept)] += 1
        assert set(counts.values()) == {20}
