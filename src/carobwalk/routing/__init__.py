"""Routing of requests to services by host and path."""

from carobwalk.routing._active_routes import (
    ActiveRoutes,
    RoutesRejected,
    RoutesReplaced,
)
from carobwalk.routing._configuration import CallerLimits, RoutingConfiguration
from carobwalk.routing._destination import Destination
from carobwalk.routing._route import RepeatRule, Route, common_regions
from carobwalk.routing._route_table import RouteTable
from carobwalk.routing._routed_service import RoutedService
from carobwalk.routing._traffic_split import TrafficSplit

__all__ = (
    'ActiveRoutes',
    'CallerLimits',
    'Destination',
    'RepeatRule',
    'Route',
    'RouteTable',
    'RoutedService',
    'RoutesRejected',
    'RoutesReplaced',
    'RoutingConfiguration',
    'TrafficSplit',
    'common_regions',
)
