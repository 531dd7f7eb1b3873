"""Routes, their splits and the configuration in force."""

from collections import Counter
from dataclasses import replace

from carobwalk.events import NullEventLog
from carobwalk.model import ServiceName
from carobwalk.platform import decode_configuration
from carobwalk.routing import (
    CallerLimits,
    Destination,
    RepeatRule,
    Route,
    RoutesInForce,
    RouteTable,
    RoutingConfiguration,
    SplitChoice,
)
from tests.gateway.scene import CONFIGURATION


def make_route(prefix: str, host: str = 'a.example', **changes) -> Route:
    """Return a route to a service that is named like its prefix."""
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


def make_table(*routes: Route, version: int = 1) -> RoutingConfiguration:
    """Return a configuration with routes."""
    return RoutingConfiguration(
        version=version,
        routes=routes,
        services_by_name={},
        limits=CallerLimits(),
    )


class TestRouteTable:
    def test_longest_prefix(self) -> None:
        """The longest prefix that begins the path wins."""
        table = RouteTable(
            make_table(make_route('/'), make_route('/a/'), make_route('/a/b/')),
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
        """Hosts are told apart, without port and case."""
        table = RouteTable(make_table(make_route('/a/')))
        assert table.find('A.example:8080', '/a/x')
        assert table.find('b.example', '/a/x') is None

    def test_nothing_matches(self) -> None:
        """A path under no prefix has no route."""
        table = RouteTable(make_table(make_route('/a/')))
        assert table.find('a.example', '/b/') is None
        assert table.find('a.example', '*') is None


class TestSplitChoice:
    def test_shares(self) -> None:
        """Also few requests are divided by the weights."""
        route = make_route(
            '/',
            destinations=(
                Destination(ServiceName('x'), 90),
                Destination(ServiceName('y'), 10),
            ),
        )
        split = SplitChoice()
        counts = Counter(split.choose(route) for _ in range(30))
        assert counts == {'x': 27, 'y': 3}


class TestRoutesInForce:
    def test_never_falls(self) -> None:
        """A lower version does not replace a higher one."""
        routes = RoutesInForce(NullEventLog())
        routes.offer(make_table(version=5), 10)
        routes.offer(make_table(version=4), 11)
        assert routes.version == 5
        routes.offer(make_table(version=6), 12)
        assert routes.version == 6

    def test_rejected(self) -> None:
        """A configuration that can't be read changes nothing."""
        routes = RoutesInForce(NullEventLog())
        routes.offer(decode_configuration(CONFIGURATION).ok_value, 1)
        routes.reject(2, 'broken')
        assert routes.version == 7
