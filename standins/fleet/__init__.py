"""Small deployments, as separate processes on the loopback interface."""

from standins.fleet._configure import ConfigurationRefusedError, configure
from standins.fleet._deployment import Deployment
from standins.fleet._entry_process import EntryProcess
from standins.fleet._fleet import Fleet
from standins.fleet._fleet_service import FleetService

__all__ = (
    'ConfigurationRefusedError',
    'Deployment',
    'EntryProcess',
    'Fleet',
    'FleetService',
    'configure',
)
