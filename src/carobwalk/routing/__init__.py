"""Which service a request goes to, by host and path."""

from carobwalk.routing._configuration import CallerLimits, RoutingConfiguration
from carobwalk.routing._destination import Destination
from carobwalk.routing._route import RepeatRule, Route
from carobwalk.routing._route_table import RouteTable
from carobwalk.routing._routed_service import RoutedService
from carobwalk.routing._routes_in_force import (
    RoutesInForce,
    RoutesRejected,
    RoutesReplaced,
)
from carobwalk.routing._split_choice import SplitChoice

__all__ = (
    'CallerLimits',
    'Destination',
    'RepeatRule',
    'Route',
    'RouteTable',
    'RoutedService',
    'RoutesInForce',
    'RoutesRejected',
    'RoutesReplaced',
    'RoutingConfiguration',
    'SplitChoice',
)
