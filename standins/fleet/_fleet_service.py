"""A service of a miniature deployment."""

from dataclasses import dataclass

from carobwalk.model import DataCentreName, ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetService:
    """A service and its backend servers.

    Args:
        name: Name of the service.
        profile: Name of the profile that it runs under.
        keyed: Whether each key has one owning server.
        data_centres: Data centre of each backend server.
    """

    name: ServiceName
    profile: str
    keyed: bool
    data_centres: tuple[DataCentreName, ...]
