"""A deployment in miniature."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from carobwalk.admin import Token
from carobwalk.model import DataCentreName, RegionName
from standins.fleet._fleet_service import FleetService


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Entries, services and places of one user.

    Args:
        name: Start of the names of all its processes.
        regions: Region of each data centre.
        services: Services with their backend servers.
        entries: Data centre of each entry.
        profile_fields: Fields that all its profiles set.
        server_options: Further options of the stand-in backend servers.
        server_module: Module that runs a backend server, and its command.
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
