"""Tests of routes, traffic splits and the configuration in force."""

from collections import Counter
from dataclasses import replace

from carobwalk.events import NullEventLog
from carobwalk.model import ServiceName
from carobwalk.platform import decode_configuration
from carobwalk.routing import (
    ActiveRoutes,
    CallerLimits,
    Destination,
    RepeatRule,
    Route,
    RouteTable,
    RoutingConfiguration,
    TrafficSplit,
)
from tests.gateway.harness import CONFIGURATION


def make_route(prefix: str, host: str = 'a.example', **changes) -> Route:
    """Return a route named like its prefix, with some fields changed."""
    route = Route(
        name=prefix,
        host=host,
        prefix=prefix,
        repeat_rule=RepeatRule.IDEMPOTENT,
        is_bulk=False,
        rank=0,
        destinations=(Destination(ServiceName('x')),),
        timeout=1,
        target_latency=1,
        max_attempts=1,
    )
    return replace(route, **changes)


def make_configuration(
    *routes: Route, version: int = 1
) -> RoutingConfiguration:
    """Return a configuration with the given routes."""
    return RoutingConfiguration(
        version=version,
        routes=routes,
        services_by_name={},
        limits=CallerLimits(),
    )


class TestRouteTable:
    def test_longest_prefix(self) -> None:
        """The route with the longest matching prefix is found."""
        table = RouteTable(
            make_configuration(
                make_route('/'), make_route('/a/'), make_route('/a/b/')
            ),
        )
        prefixes_by_target = {
            '/': '/',
            '/a': '/',
            '/ab/c': '/',
            '/a/': '/a/',
            '/a/bc': '/a/',
            '/a/b/c/d?x=/e/': '/a/b/',
        }
        for target, prefix in prefixes_by_target.items():
            assert table.find('a.example', target).prefix == prefix

    def test_host(self) -> None:
        """Hosts are compared without their port and regardless of case."""
        table = RouteTable(make_configuration(make_route('/a/')))
        assert table.find('A.example:8080', '/a/x')
        assert table.find('b.example', '/a/x') is None

    def test_nothing_matches(self) -> None:
        """A path that begins with no prefix has no route."""
        table = RouteTable(make_configuration(make_route('/a/')))
        assert table.find('a.example', '/b/') is None
        assert table.find('a.example', '*') is None


class TestTrafficSplit:
    def test_shares(self) -> None:
        """Even a small number of requests is split by the weights."""
        route = make_route(
            '/',
            destinations=(
                Destination(ServiceName('x'), 90),
                Destination(ServiceName('y'), 10),
            ),
        )
        split = TrafficSplit()
        counts = Counter(split.choose(route) for _ in range(30))
        assert counts == {'x': 27, 'y': 3}


class TestActiveRoutes:
    def test_version_never_decreases(self) -> None:
        """A lower version does not replace a higher one."""
        routes = ActiveRoutes(NullEventLog())
        routes.offer(make_configuration(version=5), 10)
        routes.offer(make_configuration(version=4), 11)
        assert routes.version == 5
        routes.offer(make_configuration(version=6), 12)
        assert routes.version == 6

    def test_rejected(self) -> None:
        """An invalid configuration leaves the previous one in force."""
        routes = ActiveRoutes(NullEventLog())
        routes.offer(decode_configuration(CONFIGURATION).ok_value, 1)
        routes.reject(2, 'broken')
        assert routes.version == 7
