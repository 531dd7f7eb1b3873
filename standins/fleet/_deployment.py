"""Description of a small deployment."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from carobwalk.admin import Token
from carobwalk.model import DataCentreName, RegionName
from standins.fleet._fleet_service import FleetService


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Entries, services and data centres of a small deployment.

    Args:
        name: Prefix of the names of all its processes.
        regions: Region of each data centre.
        services: Services and their backend servers.
        entries: Data centre of each entry.
        profile_fields: Fields set in all its profiles.
        server_options: Additional options of the stand-in backend servers.
        server_module: Module and command that run a backend server.
        tokens: Tokens of operators with all roles.
        limits: Fields of the section ``limits`` of the entries' settings.
        ownership: Fields of the section ``ownership``.
    """

    name: str
    regions: Mapping[DataCentreName, RegionName]
    services: tuple[FleetService, ...]
    entries: tuple[DataCentreName, ...]
    profile_fields: Mapping[str, object] = field(default_factory=dict)
    server_options: tuple[str, ...] = ()
    server_module: tuple[str, ...] = ('standins', 'server')
    tokens: tuple[Token, ...] = ()
    limits: Mapping[str, object] = field(default_factory=dict)
    ownership: Mapping[str, object] = field(default_factory=dict)
