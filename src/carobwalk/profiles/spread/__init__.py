"""Spread of the configuration over all processes."""

from carobwalk.profiles.spread._events import (
    ConfigurationDamaged,
    ConfigurationInForce,
    ConfigurationStoreBehind,
    ConfigurationStoreLost,
)
from carobwalk.profiles.spread._fleet_status import FleetStatus, ProcessStatus
from carobwalk.profiles.spread._follower import ConfigurationFollower
from carobwalk.profiles.spread._follower_parts import FollowerParts
from carobwalk.profiles.spread._follower_settings import FollowerSettings

__all__ = (
    'ConfigurationDamaged',
    'ConfigurationFollower',
    'ConfigurationInForce',
    'ConfigurationStoreBehind',
    'ConfigurationStoreLost',
    'FleetStatus',
    'FollowerParts',
    'FollowerSettings',
    'ProcessStatus',
)
