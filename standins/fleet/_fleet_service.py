"""A service of a small deployment."""

from dataclasses import dataclass

from carobwalk.model import DataCentreName, ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetService:
    """A service and its backend servers.

    Args:
        name: Name of the service.
        profile: Name of its profile.
        keyed: Whether each key is owned by a single server.
        data_centres: Data centre of each backend server.
    """

    name: ServiceName
    profile: str
    keyed: bool
    data_centres: tuple[DataCentreName, ...]
