"""Replication of the configuration to all processes."""

from carobwalk.profiles.replication._events import (
    ConfigurationDamaged,
    ConfigurationInForce,
    ConfigurationStoreBehind,
    ConfigurationStoreLost,
)
from carobwalk.profiles.replication._fleet_status import (
    FleetStatus,
    ProcessStatus,
)
from carobwalk.profiles.replication._follower import ConfigurationFollower
from carobwalk.profiles.replication._follower_parts import FollowerParts
from carobwalk.profiles.replication._follower_settings import FollowerSettings

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
